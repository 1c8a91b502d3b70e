/** The whole path on real sockets. */
import { expect } from 'chai';
import got from 'got';
import { BackendStandIn } from '../../../standins/backends.js';
import { fleetOf, prefixOf, request, until } from './fleets.js';
import type { FleetVm } from './fleets.js';

it('carries a request and its whole answer', async () => {
  const fleet = await fleetOf({ domains: ['a'] });
  const [vm] = fleet.vms as [FleetVm];
  const small = await request(vm, 'POST', '/deposits/7?x=1', { body: 'forty shillings' });
  expect(small.body).to.match(/^POST \/deposits\/7\?x=1 forty shillings\.+$/);
  expect(small.headers['lovagesail-outcome']).to.equal('answered');
  const large = await request(vm, 'GET', '/guides/liner?bytes=3000000');
  expect(large.body).to.have.length(3_000_000);
  await fleet.close();
});

it('passes a change of settings to every entry without a restart', async () => {
  const fleet = await fleetOf({ domains: ['a', 'b'] });
  const [first, second] = fleet.vms as [FleetVm, FleetVm];
  expect((await request(second, 'POST', '/orders', { body: 'x'.repeat(200) })).statusCode).to.equal(
    200,
  );
  const changed = { ...fleet.serviceSettings, maxRequestBytes: 100 };
  fleet.platform.put('lovagesail/settings/team/shop', { settings: changed, history: [] });
  for (const vm of [first, second]) {
    await until('the new limit is in force', async () => {
      const res = await request(vm, 'POST', '/orders', { body: 'x'.repeat(200) });
      return res.statusCode === 413;
    });
  }
  await fleet.close();
});

it('runs a resent deposit once through any entry', async () => {
  const fleet = await fleetOf({ domains: ['a', 'b'] });
  const [first, second] = fleet.vms as [FleetVm, FleetVm];
  const headers = { 'idempotency-key': `${await prefixOf(first)}deposit-1` };
  const options = { body: 'forty shillings', headers };
  const answers = await Promise.all([
    request(first, 'POST', '/deposits/1?ms=50', options),
    request(second, 'POST', '/deposits/1?ms=50', options),
    request(first, 'POST', '/deposits/1?ms=50', options),
  ]);
  const late = await request(second, 'POST', '/deposits/1?ms=50', options);
  const bodies = new Set([...answers, late].map((each) => each.body));
  expect([...bodies], [...bodies].join('\n')).to.have.length(1);
  const runs = [...fleet.backends.values()].flat().flatMap((server) => server.runs);
  expect(runs.filter((run) => run.url.startsWith('/deposits/1'))).to.have.length(1);
  await fleet.close();
});

it('refuses a deposit whose key has no prefix, as not run', async () => {
  const fleet = await fleetOf({ domains: ['a'] });
  const [vm] = fleet.vms as [FleetVm];
  const res = await request(vm, 'POST', '/deposits/2', { headers: { 'idempotency-key': 'mine' } });
  expect(res.statusCode).to.equal(428);
  expect(res.headers['lovagesail-outcome']).to.equal('not-run');
  const runs = [...fleet.backends.values()].flat().flatMap((server) => server.runs);
  expect(runs.filter((run) => run.url.startsWith('/deposits'))).to.have.length(0);
  await fleet.close();
});

it('never passes a truncated answer off as whole', async () => {
  const fleet = await fleetOf({ domains: ['a'] });
  const [vm] = fleet.vms as [FleetVm];
  const [server] = [...fleet.backends.values()].flat() as [BackendStandIn];
  server.faults.truncate = true;
  const small = await request(vm, 'GET', '/prices/cut');
  expect(small.headers['lovagesail-outcome']).to.equal('unknown');
  const large = await request(vm, 'GET', '/guides/cut?bytes=3000000').catch((err) => err.code);
  expect(large).to.equal('ECONNRESET');
  await fleet.close();
});

it('says unknown when the connection is lost after dispatch, and does not run it again', async () => {
  const fleet = await fleetOf({ domains: ['a'], serversPerDomain: 2 });
  const [vm] = fleet.vms as [FleetVm];
  const servers = [...fleet.backends.values()].flat();
  servers.forEach((server) => {
    server.faults.loseAnswer = true;
  });
  const headers = { 'idempotency-key': `${await prefixOf(vm)}deposit-3` };
  const first = await request(vm, 'POST', '/deposits/3', { headers });
  const second = await request(vm, 'POST', '/deposits/3', { headers });
  expect(first.headers['lovagesail-outcome']).to.equal('unknown');
  expect(second.headers['lovagesail-outcome']).to.equal('unknown');
  const runs = servers.flatMap((server) => server.runs);
  expect(runs.filter((run) => run.url === '/deposits/3')).to.have.length(1);
  await fleet.close();
});

it('serves on when the platform and its own agent are gone', async () => {
  const fleet = await fleetOf({ domains: ['a'] });
  const [vm] = fleet.vms as [FleetVm];
  fleet.platform.faults.down = true;
  vm.agent.stop();
  const res = await request(vm, 'GET', '/prices/still');
  expect(res.statusCode).to.equal(200);
  await fleet.close();
});

it('answers liveness, readiness and metrics', async () => {
  const fleet = await fleetOf({ domains: ['a'] });
  const [vm] = fleet.vms as [FleetVm];
  await request(vm, 'GET', '/prices/counted');
  expect((await got(`http://${vm.callers}/livez`)).statusCode).to.equal(200);
  expect((await got(`http://${vm.callers}/readyz`)).statusCode).to.equal(200);
  const metrics = await got(`http://${vm.callers}/metrics`).text();
  expect(metrics).to.match(
    /lovagesail_request_duration_seconds_count\{service="shop",rank="interactive",outcome="answered"\} [1-9]/,
  );
  await fleet.close();
});
