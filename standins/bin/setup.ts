/** Writes the settings of `examples/local` through an agent, then prints example requests. */
import { readFileSync } from 'node:fs';
import { setTimeout as pause } from 'node:timers/promises';
import { AgentClient } from '../../src/transport/index.js';
import { Endpoint, SettingsPath } from '../../src/state/index.js';

const AGENT = Endpoint.parse('127.0.0.1:7301');
const KEY = 'local';
const SETTINGS_FILES = [
  { path: 'fleet', file: 'examples/local/fleet.json' },
  { path: 'shops/order-desk', file: 'examples/local/order-desk.json' },
  { path: 'shops/fitter-docs', file: 'examples/local/fitter-docs.json' },
];
const MAX_ATTEMPTS = 100;
const RETRY_DELAY_MS = 200;

async function apply(path: SettingsPath, settings: unknown): Promise<boolean> {
  const reply = await new AgentClient(AGENT).operate({
    type: 'apply',
    path,
    settings,
    changeId: `setup-${path}`,
    who: 'setup',
    key: KEY,
  });
  return reply.isOk() && reply.value.type === 'applied';
}

for (const { path, file } of SETTINGS_FILES) {
  const settings: unknown = JSON.parse(readFileSync(file, 'utf8'));
  let applied = false;
  for (let attempt = 0; attempt < MAX_ATTEMPTS && !applied; attempt += 1) {
    applied = await apply(SettingsPath.parse(path), settings);
    if (!applied) await pause(RETRY_DELAY_MS);
  }
  process.stdout.write(`${applied ? 'applied' : 'could not apply'} ${path}\n`);
}
process.stdout.write('try: curl -i http://127.0.0.1:7101/v1/lookup/order-desk\n');
process.stdout.write('try: curl -i http://127.0.0.1:7101/v1/call/order-desk/prices/liner\n');
process.exit(0);
