#!/usr/bin/env node
/** lovagesail-node: an entire entry VM in one process; the platform stores settings and servers. */
import { takeEarlyHangup } from './hangups.js';
import { PlatformFacts, platformDialect } from '../../platform/index.js';
import { NodeConfig } from '../protocol/index.js';
import { formatIssue } from '../state/index.js';
import { EntryNode } from '../transport/index.js';
import { onReload, onStop, readConfig, startDaemon } from './programs.js';

const { cfg, log, file, flush } = startDaemon('node', NodeConfig, import.meta);
const node = new EntryNode(cfg, {
  store: new PlatformFacts(cfg.platform.address),
  dialect: platformDialect,
  log,
});
onStop(async () => {
  await node.stop();
  await flush();
});
const reload = (): void => {
  const reloaded = readConfig(NodeConfig, file);
  if (reloaded.isOk()) node.reload(reloaded.value);
  else log('settingsRejected', { issues: reloaded.error.map(formatIssue) });
};
onReload(reload, file);
if (takeEarlyHangup()) reload();
await node.start();
