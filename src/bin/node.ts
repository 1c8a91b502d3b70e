#!/usr/bin/env node
/** lovagesail-node: all of an entry VM in one program, for platforms that keep settings and servers. */
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
onReload(() => {
  const again = readConfig(NodeConfig, file);
  if (again.isOk()) node.reload(again.value);
  else log('settingsRejected', { issues: again.error.map(formatIssue) });
}, file);
await node.start();
