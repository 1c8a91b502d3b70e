#!/usr/bin/env node
/** lovagesail-agent: settings, membership and everything else of the control side of an entry VM. */
import meow from 'meow';
import { AgentConfig } from '../protocol/index.js';
import { AgentTask, createLogger } from '../transport/index.js';
import { EXIT_FAILED, loadConfig, onStop } from './programs.js';

const cli = meow(
  `
  Usage
    $ lovagesail-agent --config FILE

  Options
    --config FILE  settings of this process, JSON
    --help         this text
    --version      the version

  Exit codes: 0 stopped, 1 failed, 2 wrong use
`,
  { importMeta: import.meta, flags: { config: { type: 'string' } } },
);

const cfg = loadConfig(AgentConfig, cli.flags.config);
const log = createLogger({ program: 'agent', entryVm: cfg.id }, { level: cfg.logLevel });
process.on('uncaughtException', (err) => {
  log('invariantBroken', { reason: err.stack });
  process.exit(EXIT_FAILED);
});

const task = new AgentTask(cfg, log);
await task.start();
onStop(() => task.stop());
