#!/usr/bin/env node
/** lovagesail-agent: control plane of an entry VM, such as settings and membership. */
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
