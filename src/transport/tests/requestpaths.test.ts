/** The request path from caller to backend server, tested over real sockets. */
import { expect } from 'chai';
import got from 'got';
import { BackendStandIn } from '../../../standins/backends.js';
import { startFleet, requestIdPrefixOf, request, waitUntil } from './fleets.js';
import type { FleetVm } from './fleets.js';

it('an entry VM forwards a request and returns its complete response', async () => {
  const fleet = await startFleet({ domains: ['a'] });
  const [vm] = fleet.vms as [FleetVm];
  const smallResponse = await request(vm, 'POST', '/deposits/7?x=1', { body: 'forty shillings' });
  expect(smallResponse.body).to.match(/^POST \/deposits\/7\?x=1 forty shillings\.+$/);
  expect(smallResponse.headers['lovagesail-outcome']).to.equal('answered');
  const largeResponse = await request(vm, 'GET', '/guides/liner?bytes=3000000');
  expect(largeResponse.body).to.have.length(3_000_000);
  await fleet.close();
});

it('a settings change takes effect on every entry VM without a restart', async () => {
  const fleet = await startFleet({ domains: ['a', 'b'] });
  const [first, second] = fleet.vms as [FleetVm, FleetVm];
  expect((await request(second, 'POST', '/orders', { body: 'x'.repeat(200) })).statusCode).to.equal(
    200,
  );
  const changedSettings = { ...fleet.serviceSettings, maxRequestBytes: 100 };
  fleet.platform.put('lovagesail/settings/team/shop', { settings: changedSettings, history: [] });
  for (const vm of [first, second]) {
    await waitUntil('the new limit is in force', async () => {
      const res = await request(vm, 'POST', '/orders', { body: 'x'.repeat(200) });
      return res.statusCode === 413;
    });
  }
  await fleet.close();
});

it('a non-idempotent request that is resent through several entry VMs runs once', async () => {
  const fleet = await startFleet({ domains: ['a', 'b'] });
  const [first, second] = fleet.vms as [FleetVm, FleetVm];
  const headers = { 'idempotency-key': `${await requestIdPrefixOf(first)}deposit-1` };
  const options = { body: 'forty shillings', headers };
  const responses = await Promise.all([
    request(first, 'POST', '/deposits/1?ms=50', options),
    request(second, 'POST', '/deposits/1?ms=50', options),
    request(first, 'POST', '/deposits/1?ms=50', options),
  ]);
  const lateResponse = await request(second, 'POST', '/deposits/1?ms=50', options);
  const bodies = new Set([...responses, lateResponse].map((res) => res.body));
  expect([...bodies], [...bodies].join('\n')).to.have.length(1);
  const runs = [...fleet.backends.values()].flat().flatMap((server) => server.runs);
  expect(runs.filter((run) => run.url.startsWith('/deposits/1'))).to.have.length(1);
  await fleet.close();
});

it('a non-idempotent request whose idempotency key has no prefix is rejected as not run', async () => {
  const fleet = await startFleet({ domains: ['a'] });
  const [vm] = fleet.vms as [FleetVm];
  const res = await request(vm, 'POST', '/deposits/2', { headers: { 'idempotency-key': 'mine' } });
  expect(res.statusCode).to.equal(428);
  expect(res.headers['lovagesail-outcome']).to.equal('not-run');
  const runs = [...fleet.backends.values()].flat().flatMap((server) => server.runs);
  expect(runs.filter((run) => run.url.startsWith('/deposits'))).to.have.length(0);
  await fleet.close();
});

it('a truncated response is never delivered as complete', async () => {
  const fleet = await startFleet({ domains: ['a'] });
  const [vm] = fleet.vms as [FleetVm];
  const [server] = [...fleet.backends.values()].flat() as [BackendStandIn];
  server.faults.truncateResponse = true;
  const smallResponse = await request(vm, 'GET', '/prices/cut');
  expect(smallResponse.headers['lovagesail-outcome']).to.equal('unknown');
  const largeResult = await request(vm, 'GET', '/guides/cut?bytes=3000000').catch(
    (err) => err.code,
  );
  expect(largeResult).to.equal('ECONNRESET');
  await fleet.close();
});

it('a request whose connection is lost after dispatch is reported as unknown and does not run again', async () => {
  const fleet = await startFleet({ domains: ['a'], serversPerDomain: 2 });
  const [vm] = fleet.vms as [FleetVm];
  const servers = [...fleet.backends.values()].flat();
  servers.forEach((server) => {
    server.faults.dropResponse = true;
  });
  const headers = { 'idempotency-key': `${await requestIdPrefixOf(vm)}deposit-3` };
  const first = await request(vm, 'POST', '/deposits/3', { headers });
  const second = await request(vm, 'POST', '/deposits/3', { headers });
  expect(first.headers['lovagesail-outcome']).to.equal('unknown');
  expect(second.headers['lovagesail-outcome']).to.equal('unknown');
  const runs = servers.flatMap((server) => server.runs);
  expect(runs.filter((run) => run.url === '/deposits/3')).to.have.length(1);
  await fleet.close();
});

it('an entry VM continues to serve requests when the platform and its agent are down', async () => {
  const fleet = await startFleet({ domains: ['a'] });
  const [vm] = fleet.vms as [FleetVm];
  fleet.platform.faults.down = true;
  vm.agent.stop();
  const res = await request(vm, 'GET', '/prices/still');
  expect(res.statusCode).to.equal(200);
  await fleet.close();
});

it('an entry VM serves liveness, readiness and metrics', async () => {
  const fleet = await startFleet({ domains: ['a'] });
  const [vm] = fleet.vms as [FleetVm];
  await request(vm, 'GET', '/prices/counted');
  expect((await got(`http://${vm.callerAddress}/livez`)).statusCode).to.equal(200);
  expect((await got(`http://${vm.callerAddress}/readyz`)).statusCode).to.equal(200);
  const metrics = await got(`http://${vm.callerAddress}/metrics`).text();
  expect(metrics).to.match(
    /lovagesail_request_duration_seconds_count\{service="shop",rank="interactive",outcome="answered"\} [1-9]/,
  );
  await fleet.close();
});
