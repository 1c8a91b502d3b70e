#!/usr/bin/env node
import './programs.js';
