/** Writes the settings of `examples/local` through an agent, then says what to try. */
import { readFileSync } from 'node:fs';
import { setTimeout as pause } from 'node:timers/promises';
import { AgentClient } from '../../src/transport/index.js';
import { Endpoint, SettingsPath } from '../../src/state/index.js';

const AGENT = Endpoint.parse('127.0.0.1:7301');
const KEY = 'local';
const OBJECTS = [
  { path: 'fleet', file: 'examples/local/fleet.json' },
  { path: 'shops/order-desk', file: 'examples/local/order-desk.json' },
  { path: 'shops/fitter-docs', file: 'examples/local/fitter-docs.json' },
];
const TRIES = 100;
const PAUSE_MS = 200;

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

for (const { path, file } of OBJECTS) {
  const settings: unknown = JSON.parse(readFileSync(file, 'utf8'));
  let done = false;
  for (let i = 0; i < TRIES && !done; i += 1) {
    done = await apply(SettingsPath.parse(path), settings);
    if (!done) await pause(PAUSE_MS);
  }
  process.stdout.write(`${done ? 'applied' : 'could not apply'} ${path}\n`);
}
process.stdout.write('try: curl -i http://127.0.0.1:7101/v1/lookup/order-desk\n');
process.stdout.write('try: curl -i http://127.0.0.1:7101/v1/call/order-desk/prices/liner\n');
process.exit(0);
