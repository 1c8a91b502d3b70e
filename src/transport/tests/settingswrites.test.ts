/** Writes of settings to a simulated platform: conflicts, lost responses, outages and keys. */
import { createHash } from 'node:crypto';
import { expect } from 'chai';
import { PlatformStandIn } from '../../../standins/platforms.js';
import { authorize, writeSettings } from '../../coordination/index.js';
import type { SettingsChange } from '../../coordination/index.js';
import { FLEET_PATH, FleetSettings, SettingsPath } from '../../state/index.js';
import { systemClock } from '../clocks.js';
import { PlatformClient } from '../platformclients.js';

const CALLS_PER_SECOND = 1_000;

async function startPlatform(): Promise<{
  readonly standIn: PlatformStandIn;
  readonly client: PlatformClient;
}> {
  const standIn = new PlatformStandIn();
  const url = await standIn.listen();
  return { standIn, client: new PlatformClient(url, CALLS_PER_SECOND, systemClock) };
}

function changeOf(changeId: string, lookupTtlS: number, ifVersion?: number): SettingsChange {
  const settings = FleetSettings.parse({
    kind: 'fleet',
    regions: [{ id: 'dar', failureDomains: ['dar-a'] }],
    lookupTtlS,
  });
  return { path: FLEET_PATH, settings, changeId, who: 'asha', atMs: 1, ifVersion };
}

it('of two conflicting writes one succeeds, and the other gets the current version and the differences', async () => {
  const { standIn, client } = await startPlatform();
  const first = (await writeSettings(client, changeOf('c-1', 30))).unwrap();
  const accepted = await writeSettings(client, changeOf('c-2', 40, first.version));
  const rejected = await writeSettings(client, changeOf('c-3', 50, first.version));
  expect(accepted.isOk()).to.equal(true);
  expect(rejected.isErr() && rejected.error).to.deep.equal({
    code: 'conflict',
    version: accepted.unwrap().version,
    differences: [{ path: 'lookupTtlS', before: 40, after: 50 }],
  });
  standIn.close();
});

it('two concurrent writes leave one history entry per accepted write', async () => {
  const { standIn, client } = await startPlatform();
  await writeSettings(client, changeOf('c-1', 30));
  const results = await Promise.all([
    writeSettings(client, changeOf('c-2', 40)),
    writeSettings(client, changeOf('c-3', 50)),
  ]);
  const accepted = results.filter((result) => result.isOk());
  const stored = (await client.read(FLEET_PATH)).unwrap();
  const { history } = stored.body as { history: { changeId: string }[] };
  expect(history).to.have.length(1 + accepted.length);
  standIn.close();
});

it('a write whose response is lost is confirmed and applied only once', async () => {
  const { standIn, client } = await startPlatform();
  standIn.faults.dropWriteResponses = 1;
  const written = await writeSettings(client, changeOf('c-1', 30));
  expect(written.isOk()).to.equal(true);
  const stored = (await client.read(FLEET_PATH)).unwrap();
  expect((stored.body as { history: unknown[] }).history).to.have.length(1);
  expect(standIn.requestCounts.writes).to.equal(1);
  standIn.close();
});

it('a write whose response is lost before an outage is reported as unsettled, and a retry with the same id settles it', async () => {
  const { standIn, client } = await startPlatform();
  standIn.faults.dropWriteResponses = 1;
  const original = client.write.bind(client);
  client.write = async (...args) => {
    const result = await original(...args);
    standIn.faults.down = true;
    return result;
  };
  const unsettled = await writeSettings(client, changeOf('c-1', 30));
  expect(unsettled.isErr() && unsettled.error).to.deep.equal({
    code: 'unsettled',
    changeId: 'c-1',
  });
  standIn.faults.down = false;
  client.write = original;
  const settled = (await writeSettings(client, changeOf('c-1', 30))).unwrap();
  expect(settled.body.history).to.have.length(1);
  standIn.close();
});

it('a change is rejected, not partly applied, while the platform is down', async () => {
  const { standIn, client } = await startPlatform();
  standIn.faults.down = true;
  const refused = await writeSettings(client, changeOf('c-1', 30));
  expect(refused.isErr() && refused.error.code).to.equal('store_down');
  standIn.faults.down = false;
  expect((await client.read(FLEET_PATH)).unwrap().version).to.equal(0);
  standIn.close();
});

it("a key authorizes writes to its own team's subtree and no other", () => {
  const keyHash = (key: string) => createHash('sha256').update(key).digest('hex');
  const fleet = FleetSettings.parse({
    kind: 'fleet',
    adminKeyHash: keyHash('admin'),
    regions: [{ id: 'dar', failureDomains: ['dar-a'] }],
    teams: [
      { name: 'shops', subtree: 'shops', keyHash: keyHash('one') },
      { name: 'barns', subtree: 'barns', keyHash: keyHash('two') },
    ],
  });
  const path = SettingsPath.parse('shops/order-desk');
  expect(authorize(fleet, path, 'one').unwrap()).to.equal('shops');
  expect(authorize(fleet, path, 'two').isErr()).to.equal(true);
  expect(authorize(fleet, path, 'admin').isErr()).to.equal(true);
  expect(authorize(fleet, SettingsPath.parse('shopsmore/x'), 'one').isErr()).to.equal(true);
  expect(authorize(fleet, FLEET_PATH, 'one').isErr()).to.equal(true);
  expect(authorize(fleet, FLEET_PATH, 'admin').unwrap()).to.equal('admin');
});

it('platform requests beyond the request budget are not sent', async () => {
  const standIn = new PlatformStandIn();
  const client = new PlatformClient(await standIn.listen(), 0.001, systemClock);
  const reads = await Promise.all(Array.from({ length: 50 }, () => client.read(FLEET_PATH)));
  expect(reads.filter((result) => result.isOk())).to.have.length(20);
  expect(standIn.requestCounts.reads).to.equal(20);
  standIn.close();
});
