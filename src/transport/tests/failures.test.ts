/** Failures on real sockets. */
import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import type { BackendStandIn } from '../../../standins/backends.js';
import { RelayStandIn } from '../../../standins/relays.js';
import { fleetOf, prefixOf, request, until } from './fleets.js';
import type { FleetVm, TestFleet } from './fleets.js';

function serversOf(fleet: TestFleet): readonly BackendStandIn[] {
  return [...fleet.backends.values()].flat();
}

function runsOf(fleet: TestFleet, url: string): number {
  return serversOf(fleet)
    .flatMap((server) => server.runs)
    .filter((run) => run.url.startsWith(url)).length;
}

it('silent connections are replaced, and nobody else waits for them', async () => {
  const fleet = await fleetOf({ domains: ['a'], serversPerDomain: 2, backend: { slots: 6 } });
  const [vm] = fleet.vms as [FleetVm];
  for (let i = 0; i < 20; i += 1) await request(vm, 'GET', `/prices/warm${i}`);
  await Promise.all(Array.from({ length: 6 }, () => request(vm, 'GET', '/prices/warm?ms=30')));
  serversOf(fleet).forEach((server) => server.silenceConnections());
  const answers = await Promise.all(
    Array.from({ length: 6 }, (_, i) => request(vm, 'GET', `/prices/after${i}`)),
  );
  answers.forEach((res) => expect(res.statusCode).to.equal(200));
  await fleet.close();
});

/** Time for a change of settings to be in force everywhere, in milliseconds. */
const IN_FORCE_MS = 18_000;

// Guards against settings that no agent learns of while its watch waits on a silent connection.
it('settings are in force in time after the watches of all agents have gone silent', async () => {
  const relays: RelayStandIn[] = [];
  const fleet = await fleetOf({
    domains: ['a', 'b'],
    reach: async (platform) => {
      const relay = new RelayStandIn(new URL(platform).host);
      relays.push(relay);
      return `http://${await relay.start()}`;
    },
  });
  relays.forEach((relay) => relay.silence());
  const changed = { ...fleet.serviceSettings, maxRequestBytes: 100 };
  fleet.platform.put('lovagesail/settings/team/shop', { settings: changed, history: [] });
  const inForce = async (vm: FleetVm): Promise<boolean> =>
    (await request(vm, 'POST', '/orders', { body: 'x'.repeat(200) })).statusCode === 413;
  await Promise.all(
    fleet.vms.map((vm) => until('the new limit is in force', () => inForce(vm), IN_FORCE_MS)),
  );
  await fleet.close();
  relays.forEach((relay) => relay.stop());
});

it('a deposit does not go on a connection that was idle', async () => {
  const fleet = await fleetOf({ domains: ['a'] });
  const [vm] = fleet.vms as [FleetVm];
  await request(vm, 'POST', '/deposits/first', { body: 'x' });
  await pause(100);
  serversOf(fleet).forEach((server) => server.silenceConnections());
  const res = await request(vm, 'POST', '/deposits/second', { body: 'x' });
  expect(res.statusCode).to.equal(200);
  await fleet.close();
});

it('a request that crashes servers crashes one if it is not idempotent, through any entry', async () => {
  const fleet = await fleetOf({ domains: ['a', 'b'], serversPerDomain: 2 });
  const [first, second] = fleet.vms as [FleetVm, FleetVm];
  serversOf(fleet).forEach((server) => {
    server.faults.crashOn = 'poison';
  });
  const send = (vm: FleetVm) => request(vm, 'POST', '/deposits/x', { body: 'poison' });
  const one = await send(first);
  const two = await send(second);
  const three = await send(first);
  expect(one.headers['lovagesail-outcome']).to.equal('unknown');
  expect(two.headers['lovagesail-code']).to.equal('quarantined');
  expect(three.headers['lovagesail-code']).to.equal('quarantined');
  expect(serversOf(fleet).reduce((sum, server) => sum + server.crashes, 0)).to.equal(1);
  await fleet.close();
});

it('a run past its deadline is told as unknown, and its server is not left with it', async () => {
  const fleet = await fleetOf({ domains: ['a'] });
  const [vm] = fleet.vms as [FleetVm];
  const headers = { 'lovagesail-deadline-ms': '200' };
  const res = await request(vm, 'POST', '/deposits/late?ms=5000', { headers, body: 'x' });
  expect(res.headers['lovagesail-outcome']).to.equal('unknown');
  const after = await request(vm, 'GET', '/prices/after');
  expect(after.statusCode).to.equal(200);
  await fleet.close();
});

it('a backend server that says it is draining gets no new work after 3 s', async () => {
  const fleet = await fleetOf({ domains: ['a'], serversPerDomain: 2 });
  const [vm] = fleet.vms as [FleetVm];
  const [leaving] = serversOf(fleet) as [BackendStandIn];
  leaving.faults.draining = true;
  await pause(3_000);
  const before = leaving.runs.length;
  const answers = await Promise.all(
    Array.from({ length: 12 }, (_, i) => request(vm, 'GET', `/prices/d${i}`)),
  );
  answers.forEach((res) => expect(res.statusCode).to.equal(200));
  expect(leaving.runs.length).to.equal(before);
  await fleet.close();
});

it("the platform's list drains a server as well", async () => {
  const fleet = await fleetOf({ domains: ['a'], serversPerDomain: 2 });
  const [vm] = fleet.vms as [FleetVm];
  const [leaving] = serversOf(fleet) as [BackendStandIn];
  fleet.platform.put('vms/server-a-0', { state: 'leaving' });
  await pause(3_000);
  const before = leaving.runs.length;
  await Promise.all(Array.from({ length: 12 }, (_, i) => request(vm, 'GET', `/prices/d${i}`)));
  expect(leaving.runs.length).to.equal(before);
  await fleet.close();
});

it('a planned stop of an entry cuts off no request in flight', async () => {
  const fleet = await fleetOf({ domains: ['a'], vmsPerDomain: 2, serversPerDomain: 2 });
  const [first] = fleet.vms as [FleetVm];
  const headers = { 'idempotency-key': `${await prefixOf(first)}stop-1` };
  const slow = request(first, 'POST', '/deposits/slow?ms=800', { headers, body: 'x' });
  await pause(100);
  const stopped = first.stop();
  const again = request(first, 'POST', '/deposits/slow?ms=800', { headers, body: 'x' });
  expect((await slow).statusCode).to.equal(200);
  expect((await again).body).to.equal((await slow).body);
  expect(runsOf(fleet, '/deposits/slow')).to.equal(1);
  await stopped;
  await fleet.close();
});

it('a resend after the owner died is unknown, and does not run again', async () => {
  const fleet = await fleetOf({ domains: ['a'], vmsPerDomain: 2, serversPerDomain: 2 });
  const [first, second] = fleet.vms as [FleetVm, FleetVm];
  const headers = { 'idempotency-key': `${await prefixOf(first)}gone-1` };
  expect((await request(first, 'POST', '/deposits/gone', { headers })).statusCode).to.equal(200);
  await first.stop();
  await until('the other entry knows', () => second.entry.machine.members.length === 1);
  const res = await request(second, 'POST', '/deposits/gone', { headers });
  expect(res.headers['lovagesail-code']).to.equal('owner_gone');
  expect(runsOf(fleet, '/deposits/gone')).to.equal(1);
  await fleet.close();
});

it('waiting watches at the platform do not grow with the entry VMs of a failure domain', async () => {
  const watches: number[] = [];
  for (const vmsPerDomain of [1, 2, 5]) {
    const fleet = await fleetOf({ domains: ['a'], vmsPerDomain });
    await until('watchers settle', () => fleet.platform.waiting === Math.min(2, vmsPerDomain));
    await pause(1_500);
    watches.push(fleet.platform.waiting);
    await fleet.close();
  }
  expect(watches).to.deep.equal([1, 2, 2]);
});

it('a change accepted by an agent is in force everywhere although the platform goes down at once', async () => {
  const fleet = await fleetOf({ domains: ['a', 'b'] });
  const [first, second] = fleet.vms as [FleetVm, FleetVm];
  fleet.platform.put('lovagesail/settings/team/shop', {
    settings: { ...(fleet.serviceSettings as object), maxRequestBytes: 100 },
    history: [],
  });
  await until('one has it', async () => {
    const res = await request(first, 'POST', '/orders', { body: 'x'.repeat(200) });
    return res.statusCode === 413;
  });
  fleet.platform.faults.down = true;
  await until('the other has it', async () => {
    const res = await request(second, 'POST', '/orders', { body: 'x'.repeat(200) });
    return res.statusCode === 413;
  });
  await fleet.close();
});
