/** Failures of connections and processes, tested over real sockets. */
import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import type { BackendStandIn } from '../../../standins/backends.js';
import { RelayStandIn } from '../../../standins/relays.js';
import { startFleet, requestIdPrefixOf, request, waitUntil } from './fleets.js';
import type { FleetVm, TestFleet } from './fleets.js';

function serversOf(fleet: TestFleet): readonly BackendStandIn[] {
  return [...fleet.backends.values()].flat();
}

function countRuns(fleet: TestFleet, url: string): number {
  return serversOf(fleet)
    .flatMap((server) => server.runs)
    .filter((run) => run.url.startsWith(url)).length;
}

it('requests succeed after all open connections to backend servers stop responding', async () => {
  const fleet = await startFleet({ domains: ['a'], serversPerDomain: 2, backend: { slots: 6 } });
  const [vm] = fleet.vms as [FleetVm];
  for (let i = 0; i < 20; i += 1) await request(vm, 'GET', `/prices/warm${i}`);
  await Promise.all(Array.from({ length: 6 }, () => request(vm, 'GET', '/prices/warm?ms=30')));
  serversOf(fleet).forEach((server) => server.silenceConnections());
  const responses = await Promise.all(
    Array.from({ length: 6 }, (_, i) => request(vm, 'GET', `/prices/after${i}`)),
  );
  responses.forEach((res) => expect(res.statusCode).to.equal(200));
  await fleet.close();
});

/** Time limit for a settings change to take effect on all entry VMs. */
const MAX_PROPAGATION_MS = 18_000;

// Guards against a settings change that no agent receives because all watches wait on dead connections.
it('a settings change takes effect in time after the watches of all agents stop responding', async () => {
  const relays: RelayStandIn[] = [];
  const fleet = await startFleet({
    domains: ['a', 'b'],
    startProxy: async (platform) => {
      const relay = new RelayStandIn(new URL(platform).host);
      relays.push(relay);
      return `http://${await relay.start()}`;
    },
  });
  relays.forEach((relay) => relay.silenceConnections());
  const changedSettings = { ...fleet.serviceSettings, maxRequestBytes: 100 };
  fleet.platform.put('lovagesail/settings/team/shop', { settings: changedSettings, history: [] });
  const isLimitInForce = async (vm: FleetVm): Promise<boolean> =>
    (await request(vm, 'POST', '/orders', { body: 'x'.repeat(200) })).statusCode === 413;
  await Promise.all(
    fleet.vms.map((vm) =>
      waitUntil('the new limit is in force', () => isLimitInForce(vm), MAX_PROPAGATION_MS),
    ),
  );
  await fleet.close();
  relays.forEach((relay) => relay.stop());
});

it('a non-idempotent request is not sent over an idle connection', async () => {
  const fleet = await startFleet({ domains: ['a'] });
  const [vm] = fleet.vms as [FleetVm];
  await request(vm, 'POST', '/deposits/first', { body: 'x' });
  await pause(100);
  serversOf(fleet).forEach((server) => server.silenceConnections());
  const res = await request(vm, 'POST', '/deposits/second', { body: 'x' });
  expect(res.statusCode).to.equal(200);
  await fleet.close();
});

it('a non-idempotent request that crashes backend servers crashes only one, whichever entry VM receives it', async () => {
  const fleet = await startFleet({ domains: ['a', 'b'], serversPerDomain: 2 });
  const [first, second] = fleet.vms as [FleetVm, FleetVm];
  serversOf(fleet).forEach((server) => {
    server.faults.crashOn = 'poison';
  });
  const sendPoison = (vm: FleetVm) => request(vm, 'POST', '/deposits/x', { body: 'poison' });
  const firstResponse = await sendPoison(first);
  const secondResponse = await sendPoison(second);
  const thirdResponse = await sendPoison(first);
  expect(firstResponse.headers['lovagesail-outcome']).to.equal('unknown');
  expect(secondResponse.headers['lovagesail-code']).to.equal('quarantined');
  expect(thirdResponse.headers['lovagesail-code']).to.equal('quarantined');
  expect(serversOf(fleet).reduce((sum, server) => sum + server.crashes, 0)).to.equal(1);
  await fleet.close();
});

it('a request past its deadline is reported as unknown, and its backend server stays available', async () => {
  const fleet = await startFleet({ domains: ['a'] });
  const [vm] = fleet.vms as [FleetVm];
  const headers = { 'lovagesail-deadline-ms': '200' };
  const res = await request(vm, 'POST', '/deposits/late?ms=5000', { headers, body: 'x' });
  expect(res.headers['lovagesail-outcome']).to.equal('unknown');
  const after = await request(vm, 'GET', '/prices/after');
  expect(after.statusCode).to.equal(200);
  await fleet.close();
});

it('a backend server that reports draining gets no new requests after 3 s', async () => {
  const fleet = await startFleet({ domains: ['a'], serversPerDomain: 2 });
  const [vm] = fleet.vms as [FleetVm];
  const [drainingServer] = serversOf(fleet) as [BackendStandIn];
  drainingServer.faults.draining = true;
  await pause(3_000);
  const runsBefore = drainingServer.runs.length;
  const responses = await Promise.all(
    Array.from({ length: 12 }, (_, i) => request(vm, 'GET', `/prices/d${i}`)),
  );
  responses.forEach((res) => expect(res.statusCode).to.equal(200));
  expect(drainingServer.runs.length).to.equal(runsBefore);
  await fleet.close();
});

it('a backend server that the platform lists as leaving gets no new requests after 3 s', async () => {
  const fleet = await startFleet({ domains: ['a'], serversPerDomain: 2 });
  const [vm] = fleet.vms as [FleetVm];
  const [drainingServer] = serversOf(fleet) as [BackendStandIn];
  fleet.platform.put('vms/server-a-0', { state: 'leaving' });
  await pause(3_000);
  const runsBefore = drainingServer.runs.length;
  await Promise.all(Array.from({ length: 12 }, (_, i) => request(vm, 'GET', `/prices/d${i}`)));
  expect(drainingServer.runs.length).to.equal(runsBefore);
  await fleet.close();
});

it('a graceful shutdown of an entry VM interrupts no request in flight', async () => {
  const fleet = await startFleet({ domains: ['a'], vmsPerDomain: 2, serversPerDomain: 2 });
  const [first] = fleet.vms as [FleetVm];
  const headers = { 'idempotency-key': `${await requestIdPrefixOf(first)}stop-1` };
  const slowRequest = request(first, 'POST', '/deposits/slow?ms=800', { headers, body: 'x' });
  await pause(100);
  const stopped = first.stop();
  const resentRequest = request(first, 'POST', '/deposits/slow?ms=800', { headers, body: 'x' });
  expect((await slowRequest).statusCode).to.equal(200);
  expect((await resentRequest).body).to.equal((await slowRequest).body);
  expect(countRuns(fleet, '/deposits/slow')).to.equal(1);
  await stopped;
  await fleet.close();
});

it('a request resent after its owner has stopped is reported as owner_gone and does not run again', async () => {
  const fleet = await startFleet({ domains: ['a'], vmsPerDomain: 2, serversPerDomain: 2 });
  const [first, second] = fleet.vms as [FleetVm, FleetVm];
  const headers = { 'idempotency-key': `${await requestIdPrefixOf(first)}gone-1` };
  expect((await request(first, 'POST', '/deposits/gone', { headers })).statusCode).to.equal(200);
  await first.stop();
  await waitUntil(
    'the other entry VM has removed the stopped one',
    () => second.entry.machine.members.length === 1,
  );
  const res = await request(second, 'POST', '/deposits/gone', { headers });
  expect(res.headers['lovagesail-code']).to.equal('owner_gone');
  expect(countRuns(fleet, '/deposits/gone')).to.equal(1);
  await fleet.close();
});

it('a failure domain has at most two open watches at the platform, however many entry VMs it has', async () => {
  const watchCounts: number[] = [];
  for (const vmsPerDomain of [1, 2, 5]) {
    const fleet = await startFleet({ domains: ['a'], vmsPerDomain });
    await waitUntil(
      'the expected number of watches is open',
      () => fleet.platform.waiting === Math.min(2, vmsPerDomain),
    );
    await pause(1_500);
    watchCounts.push(fleet.platform.waiting);
    await fleet.close();
  }
  expect(watchCounts).to.deep.equal([1, 2, 2]);
});

it('a settings change in force on one entry VM reaches the others when the platform then goes down', async () => {
  const fleet = await startFleet({ domains: ['a', 'b'] });
  const [first, second] = fleet.vms as [FleetVm, FleetVm];
  fleet.platform.put('lovagesail/settings/team/shop', {
    settings: { ...(fleet.serviceSettings as object), maxRequestBytes: 100 },
    history: [],
  });
  await waitUntil('the new limit is in force on the first entry VM', async () => {
    const res = await request(first, 'POST', '/orders', { body: 'x'.repeat(200) });
    return res.statusCode === 413;
  });
  fleet.platform.faults.down = true;
  await waitUntil('the new limit is in force on the second entry VM', async () => {
    const res = await request(second, 'POST', '/orders', { body: 'x'.repeat(200) });
    return res.statusCode === 413;
  });
  await fleet.close();
});
