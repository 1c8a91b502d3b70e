/** Backend servers that send bytes without end. */
import http from 'node:http';
import { expect } from 'chai';
import { BackendStandIn } from '../../../standins/backends.js';
import { peakOf } from '../../../standins/memories.js';
import { Endpoint } from '../../state/index.js';
import { BackendPool } from '../backends.js';
import { systemClock } from '../clocks.js';
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
