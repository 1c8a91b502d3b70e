#!/usr/bin/env node
/** lovagesail-entry: answers look-ups and carries requests. */
import meow from 'meow';
import { EntryConfig } from '../protocol/index.js';
import {
  EntryMetrics,
  EntryTask,
  boundEndpoint,
  callerApp,
  createLogger,
  listen,
  peerApp,
} from '../transport/index.js';
import { EXIT_FAILED, loadConfig, onStop } from './programs.js';

const cli = meow(
  `
  Usage
    $ lovagesail-entry --config FILE

  Options
    --config FILE  settings of this process, JSON
    --help         this text
    --version      the version

  Exit codes: 0 stopped, 1 failed, 2 wrong use
`,
  { importMeta: import.meta, flags: { config: { type: 'string' } } },
);

const cfg = loadConfig(EntryConfig, cli.flags.config);
const log = createLogger({ program: 'entry', entryVm: cfg.id }, { level: cfg.logLevel });
process.on('uncaughtException', (err) => {
  log('invariantBroken', { reason: err.stack });
  process.exit(EXIT_FAILED);
});

const task = new EntryTask(cfg, log);
const metrics = new EntryMetrics(() => task.machine.load);
const peers = await listen(peerApp(task, metrics), cfg.peerAddress);
const callers = await listen(callerApp(task, metrics), cfg.callerAddress);
const addresses = {
  callerAddress: boundEndpoint(callers, cfg.callerAddress),
  peerAddress: boundEndpoint(peers, cfg.peerAddress),
};
task.start(addresses);
log('processStarted', addresses);
onStop(async () => {
  await task.stop();
  callers.close();
  peers.close();
});
