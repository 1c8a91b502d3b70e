/** Backend servers, a store and other entry VMs that send bytes without end. */
import http from 'node:http';
import { expect } from 'chai';
import { BackendStandIn } from '../../../standins/backends.js';
import { peakOf } from '../../../standins/memories.js';
import { PouringStandIn } from '../../../standins/pours.js';
import type { EntryEvent } from '../../coordination/index.js';
import { Endpoint, FailureDomainId, ServiceName, SettingsPath } from '../../state/index.js';
import type { EntryVmId, MemberRecord } from '../../state/index.js';
import { BackendPool } from '../backends.js';
import { systemClock } from '../clocks.js';
import { GrantClient } from '../headroom.js';
import { PlatformClient } from '../platforms.js';
import { fleetOf, request, until } from './fleets.js';
import type { FleetVm } from './fleets.js';

/** Deadline of the callers, and the time after it in which they must have an end, in milliseconds. */
const DEADLINE_MS = 1_000;
const LATE_MS = 500;

/** Most memory that answers and probes may take, in bytes: well below the 350 MB of a small VM. */
const MOST_BYTES = 150_000_000;

interface End {
  readonly status: number | undefined;
  /** Whether the answer looked complete. */
  readonly whole: boolean;
  readonly tookMs: number;
}

/** Sends a request and drops what comes, as a caller that reads fast. */
function outcomeOf(vm: FleetVm, method: 'GET' | 'POST', path: string): Promise<End> {
  const startedMs = performance.now();
  return new Promise((resolve) => {
    const end = (status: number | undefined, whole: boolean): void =>
      resolve({ status, whole, tookMs: performance.now() - startedMs });
    const req = http.request(
      `http://${vm.callers}/v1/call/shop${path}`,
      { method, agent: false, headers: { 'lovagesail-deadline-ms': String(DEADLINE_MS) } },
      (res) => {
        res.resume();
        res.once('error', () => end(res.statusCode, false));
        res.once('end', () => end(res.statusCode, true));
      },
    );
    req.once('error', () => end(undefined, false));
    req.end(method === 'POST' ? 'x' : undefined);
  });
}

// Guards against an answer without end that keeps a caller, a connection or a probe busy for good.
it('a caller of an entry is answered in time and truly when servers send bytes without end', async () => {
  for (const kind of ['head', 'body'] as const) {
    const fleet = await fleetOf({ domains: ['a'], serversPerDomain: 2 });
    const [vm] = fleet.vms as [FleetVm];
    const servers = [...fleet.backends.values()].flat();
    const peak = peakOf();
    const set = (endless: typeof kind | undefined): void =>
      servers.forEach((server: BackendStandIn) => Object.assign(server.faults, { endless }));
    set(kind);
    const ends = await Promise.all([
      ...Array.from({ length: 6 }, (_, i) => outcomeOf(vm, 'GET', `/prices/${i}`)),
      ...Array.from({ length: 6 }, (_, i) => outcomeOf(vm, 'POST', `/deposits/${i}`)),
    ]);
    ends.forEach((end) => {
      expect(end.tookMs, kind).to.be.below(DEADLINE_MS + LATE_MS);
      expect(end.status === 200 && end.whole, `${kind}: taken for an answer`).to.equal(false);
    });
    set(undefined);
    await until('it serves again', async () => (await request(vm, 'GET', '/prices/8')).ok);
    expect(peak(), kind).to.be.below(MOST_BYTES);
    await fleet.close();
  }
});

/** Most that a probe's connection may carry, in bytes: more than its buffers hold. */
const MOST_PROBED_BYTES = 16_000_000;

// Guards against probes that read answers without end into memory until their time is up.
it('a probe that is answered without end is given up', async () => {
  const server = new BackendStandIn();
  const pool = new BackendPool(Endpoint.parse(await server.listen()), systemClock);
  for (const endless of ['head', 'body'] as const) {
    server.faults.endless = endless;
    expect(await pool.health(), endless).to.equal('unreachable');
    await until('the connection is closed', () => server.open === 0);
    expect(server.poured, endless).to.be.below(MOST_PROBED_BYTES);
  }
  server.close();
});

// Guards against an agent that runs out of memory while its store sends bytes without end.
it("answers without end of an agent's store are given up", async () => {
  const store = new PouringStandIn();
  const client = new PlatformClient(`http://${await store.start()}`, 50, systemClock);
  const path = SettingsPath.parse('fleet');
  const peak = peakOf();
  const read = await client.read(path);
  const written = await client.write(path, {}, 0);
  expect(peak()).to.be.below(MOST_BYTES);
  expect([read.unwrapErr(), written.unwrapErr()]).to.deep.equal(['store_down', 'lost']);
  store.stop();
});

// The same for an entry that asks another one for headroom.
it('an answer without end to a question for headroom grants nothing', async () => {
  const entry = new PouringStandIn();
  const client = new GrantClient('vm-1' as EntryVmId, systemClock);
  const events: EntryEvent[] = [];
  const to = { id: 'vm-2', peerAddress: await entry.start() } as MemberRecord;
  const service = ServiceName.parse('shop');
  const domain = FailureDomainId.parse('a');
  const peak = peakOf();
  await client.ask({ type: 'askGrant', to, service, domain, want: 1 }, (event) => {
    events.push(event);
  });
  expect(peak()).to.be.below(MOST_BYTES);
  expect(events).to.have.length(1);
  expect(events[0]).to.include({ type: 'grantReceived', slots: 0 });
  entry.stop();
});
