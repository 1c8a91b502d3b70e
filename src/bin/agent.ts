#!/usr/bin/env node
/** lovagesail-agent: settings, membership and everything else of the control side of an entry VM. */
import { AgentConfig } from '../protocol/index.js';
import { AgentTask } from '../transport/index.js';
import { onStop, startDaemon } from './programs.js';

const { cfg, log, flush } = startDaemon('agent', AgentConfig, import.meta);
const task = new AgentTask(cfg, log);
await task.start();
onStop(async () => {
  await task.stop();
  await flush();
});
