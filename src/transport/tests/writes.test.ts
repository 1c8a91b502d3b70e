/** Writes of settings against the platform stand-in: races, lost answers, outages, keys. */
import { createHash } from 'node:crypto';
import { expect } from 'chai';
import { PlatformStandIn } from '../../../standins/platforms.js';
import { authorize, writeSettings } from '../../coordination/index.js';
import type { SettingsChange } from '../../coordination/index.js';
import { FLEET_PATH, FleetSettings, SettingsPath } from '../../state/index.js';
import { systemClock } from '../clocks.js';
import { PlatformClient } from '../platforms.js';

const CALLS_PER_SECOND = 1_000;

async function platform(): Promise<{
  readonly standIn: PlatformStandIn;
  readonly client: PlatformClient;
}> {
  const standIn = new PlatformStandIn();
  const url = await standIn.listen();
  return { standIn, client: new PlatformClient(url, CALLS_PER_SECOND, systemClock) };
}

function change(changeId: string, lookupTtlS: number, ifVersion?: number): SettingsChange {
  const settings = FleetSettings.parse({
    kind: 'fleet',
    regions: [{ id: 'dar', failureDomains: ['dar-a'] }],
    lookupTtlS,
  });
  return { path: FLEET_PATH, settings, changeId, who: 'asha', atMs: 1, ifVersion };
}

it('of two operators one wins, and the other is told the version and what differs', async () => {
  const { standIn, client } = await platform();
  const first = (await writeSettings(client, change('c-1', 30))).unwrap();
  const won = await writeSettings(client, change('c-2', 40, first.version));
  const lost = await writeSettings(client, change('c-3', 50, first.version));
  expect(won.isOk()).to.equal(true);
  expect(lost.isErr() && lost.error).to.deep.equal({
    code: 'conflict',
    version: won.unwrap().version,
    differences: [{ path: 'lookupTtlS', before: 40, after: 50 }],
  });
  standIn.close();
});

it('two writes at the same moment do not both take effect unseen', async () => {
  const { standIn, client } = await platform();
  await writeSettings(client, change('c-1', 30));
  const results = await Promise.all([
    writeSettings(client, change('c-2', 40)),
    writeSettings(client, change('c-3', 50)),
  ]);
  const accepted = results.filter((each) => each.isOk());
  const stands = (await client.read(FLEET_PATH)).unwrap();
  const { history } = stands.body as { history: { changeId: string }[] };
  expect(history).to.have.length(1 + accepted.length);
  standIn.close();
});

it('an answer lost after the write took effect is settled, and nothing applies twice', async () => {
  const { standIn, client } = await platform();
  standIn.faults.loseWriteAnswers = 1;
  const written = await writeSettings(client, change('c-1', 30));
  expect(written.isOk()).to.equal(true);
  const stands = (await client.read(FLEET_PATH)).unwrap();
  expect((stands.body as { history: unknown[] }).history).to.have.length(1);
  expect(standIn.calls.writes).to.equal(1);
  standIn.close();
});

it('a lost answer followed by an outage is said to be unsettled, and the same id settles it', async () => {
  const { standIn, client } = await platform();
  standIn.faults.loseWriteAnswers = 1;
  const original = client.write.bind(client);
  client.write = async (...args) => {
    const result = await original(...args);
    standIn.faults.down = true;
    return result;
  };
  const unsettled = await writeSettings(client, change('c-1', 30));
  expect(unsettled.isErr() && unsettled.error).to.deep.equal({
    code: 'unsettled',
    changeId: 'c-1',
  });
  standIn.faults.down = false;
  client.write = original;
  const settled = (await writeSettings(client, change('c-1', 30))).unwrap();
  expect(settled.body.history).to.have.length(1);
  standIn.close();
});

it('with the platform down a change is refused, not half taken', async () => {
  const { standIn, client } = await platform();
  standIn.faults.down = true;
  const refused = await writeSettings(client, change('c-1', 30));
  expect(refused.isErr() && refused.error.code).to.equal('store_down');
  standIn.faults.down = false;
  expect((await client.read(FLEET_PATH)).unwrap().version).to.equal(0);
  standIn.close();
});

it("a key opens its own team's subtree and no other", () => {
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

it('calls beyond the budget are not made', async () => {
  const standIn = new PlatformStandIn();
  const client = new PlatformClient(await standIn.listen(), 0.001, systemClock);
  const reads = await Promise.all(Array.from({ length: 50 }, () => client.read(FLEET_PATH)));
  expect(reads.filter((each) => each.isOk())).to.have.length(20);
  expect(standIn.calls.reads).to.equal(20);
  standIn.close();
});
