#!/usr/bin/env node
/** lovagesail-entry: data plane of an entry VM; answers lookups and forwards requests. */
import { EntryConfig } from '../protocol/index.js';
import {
  EntryMetrics,
  EntryTask,
  boundEndpoint,
  createCallerApp,
  listen,
  createPeerApp,
} from '../transport/index.js';
import { onStop, startDaemon } from './programs.js';

const { cfg, log, flush } = startDaemon('entry', EntryConfig, import.meta);
const task = new EntryTask(cfg, log);
const metrics = new EntryMetrics(() => task.machine.inFlight);
const peers = await listen(createPeerApp(task, metrics), cfg.peerAddress);
const callers = await listen(createCallerApp(task, metrics), cfg.callerAddress);
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
  await flush();
});
