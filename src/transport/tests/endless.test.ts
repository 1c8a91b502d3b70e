/** Endless responses from backend servers, a store and other entry VMs. */
import http from 'node:http';
import { expect } from 'chai';
import { BackendStandIn } from '../../../standins/backends.js';
import { trackPeakMemory } from '../../../standins/memorypeaks.js';
import { EndlessResponseStandIn } from '../../../standins/endlessresponses.js';
import type { EntryEvent } from '../../coordination/index.js';
import { Endpoint, FailureDomainId, ServiceName, SettingsPath } from '../../state/index.js';
import type { EntryVmId, MemberRecord } from '../../state/index.js';
import { BackendPool } from '../backendpools.js';
import { systemClock } from '../clocks.js';
import { GrantClient } from '../grantclients.js';
import { PlatformClient } from '../platformclients.js';
import { startFleet, request, waitUntil } from './fleets.js';
import type { FleetVm } from './fleets.js';

/** Deadline of the callers, and the time after it by which their requests must end. */
const DEADLINE_MS = 1_000;
const DEADLINE_TOLERANCE_MS = 500;

/** Maximum memory for responses and health checks: well below the 350 MB of a small VM. */
const MAX_MEMORY_BYTES = 150_000_000;

interface RequestOutcome {
  readonly status: number | undefined;
  /** Whether the response looked complete. */
  readonly whole: boolean;
  readonly tookMs: number;
}

/** Sends a request and discards the response as fast as it arrives. */
function sendAndMeasure(
  vm: FleetVm,
  method: 'GET' | 'POST',
  path: string,
): Promise<RequestOutcome> {
  const startedMs = performance.now();
  return new Promise((resolve) => {
    const finish = (status: number | undefined, whole: boolean): void =>
      resolve({ status, whole, tookMs: performance.now() - startedMs });
    const req = http.request(
      `http://${vm.callerAddress}/v1/call/shop${path}`,
      { method, agent: false, headers: { 'lovagesail-deadline-ms': String(DEADLINE_MS) } },
      (res) => {
        res.resume();
        res.once('error', () => finish(res.statusCode, false));
        res.once('end', () => finish(res.statusCode, true));
      },
    );
    req.once('error', () => finish(undefined, false));
    req.end(method === 'POST' ? 'x' : undefined);
  });
}

// Guards against an endless response that occupies a caller, a connection or a health check forever.
it('requests end by their deadline and never look complete when backend servers send endless responses', async () => {
  for (const kind of ['head', 'body'] as const) {
    const fleet = await startFleet({ domains: ['a'], serversPerDomain: 2 });
    const [vm] = fleet.vms as [FleetVm];
    const servers = [...fleet.backends.values()].flat();
    const peakBytes = trackPeakMemory();
    const setFault = (endlessResponse: typeof kind | undefined): void =>
      servers.forEach((server: BackendStandIn) =>
        Object.assign(server.faults, { endlessResponse }),
      );
    setFault(kind);
    const outcomes = await Promise.all([
      ...Array.from({ length: 6 }, (_, i) => sendAndMeasure(vm, 'GET', `/prices/${i}`)),
      ...Array.from({ length: 6 }, (_, i) => sendAndMeasure(vm, 'POST', `/deposits/${i}`)),
    ]);
    outcomes.forEach((outcome) => {
      expect(outcome.tookMs, kind).to.be.below(DEADLINE_MS + DEADLINE_TOLERANCE_MS);
      expect(
        outcome.status === 200 && outcome.whole,
        `${kind}: endless response treated as complete`,
      ).to.equal(false);
    });
    setFault(undefined);
    await waitUntil(
      'a request succeeds after the fault is removed',
      async () => (await request(vm, 'GET', '/prices/8')).ok,
    );
    expect(peakBytes(), kind).to.be.below(MAX_MEMORY_BYTES);
    await fleet.close();
  }
});

/** Maximum bytes on the connection of a health check: more than its buffers hold. */
const MAX_PROBE_BYTES = 16_000_000;

// Guards against health checks that read endless responses into memory until they time out.
it('a health check fails and closes its connection when the response never ends', async () => {
  const server = new BackendStandIn();
  const pool = new BackendPool(Endpoint.parse(await server.listen()), systemClock);
  for (const endless of ['head', 'body'] as const) {
    server.faults.endlessResponse = endless;
    expect(await pool.health(), endless).to.equal('unreachable');
    await waitUntil('the connection is closed', () => server.openConnections === 0);
    expect(server.endlessBytesSent, endless).to.be.below(MAX_PROBE_BYTES);
  }
  server.close();
});

// Guards against an agent that runs out of memory while its store sends an endless response.
it('an agent aborts endless responses from its store', async () => {
  const store = new EndlessResponseStandIn();
  const client = new PlatformClient(`http://${await store.start()}`, 50, systemClock);
  const path = SettingsPath.parse('fleet');
  const peakBytes = trackPeakMemory();
  const readResult = await client.read(path);
  const writeResult = await client.write(path, {}, 0);
  expect(peakBytes()).to.be.below(MAX_MEMORY_BYTES);
  expect([readResult.unwrapErr(), writeResult.unwrapErr()]).to.deep.equal(['store_down', 'lost']);
  store.stop();
});

// Guards against the same fault in an entry VM that requests headroom from another one.
it('an endless response to a headroom request grants no slots', async () => {
  const entry = new EndlessResponseStandIn();
  const client = new GrantClient('vm-1' as EntryVmId, systemClock);
  const events: EntryEvent[] = [];
  const peer = { id: 'vm-2', peerAddress: await entry.start() } as MemberRecord;
  const service = ServiceName.parse('shop');
  const domain = FailureDomainId.parse('a');
  const peakBytes = trackPeakMemory();
  await client.requestGrant({ type: 'askGrant', to: peer, service, domain, want: 1 }, (event) => {
    events.push(event);
  });
  expect(peakBytes()).to.be.below(MAX_MEMORY_BYTES);
  expect(events).to.have.length(1);
  expect(events[0]).to.include({ type: 'grantReceived', slots: 0 });
  entry.stop();
});
