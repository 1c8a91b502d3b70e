/** Overload of one failure domain at ten times its capacity: ranks, floors, fairness and slots. */
import { expect } from 'chai';
import { RANKS } from '../../state/index.js';
import type { Rank } from '../../state/index.js';
import { Simulation } from './simulations.js';
import type { SimulatedRequest } from './simulations.js';

const RUN_MS: Record<Rank, number> = { urgent: 20, interactive: 20, bulk: 200 };
const SERVERS = 5;
const SLOTS = 3;
const SECONDS = 20;

interface FloodResult {
  readonly requests: readonly SimulatedRequest[];
  readonly simulation: Simulation;
}

/** Sends requests of each rank at a fixed rate per second for `SECONDS`. */
function runFlood(rates: Partial<Record<Rank, number>>, seed = 1): FloodResult {
  const simulation = new Simulation({
    seed,
    serversPerDomain: SERVERS,
    slots: SLOTS,
    runMs: RUN_MS,
  });
  const [vm] = simulation.vms;
  const requests: SimulatedRequest[] = [];
  RANKS.forEach((rank) => {
    const perSecond = rates[rank] ?? 0;
    for (let i = 0; i < perSecond * SECONDS; i += 1) {
      simulation.schedule((i * 1000) / perSecond + simulation.random() * 5, () => {
        if (vm === undefined) return;
        const request = simulation.createRequest({ rank, idempotent: true });
        requests.push(request);
        simulation.send(vm, request, { caller: `c${i % 50}` });
      });
    }
  });
  simulation.advance(SECONDS * 1000 + 3000);
  return { requests, simulation };
}

function answeredRequests(result: FloodResult, rank: Rank): readonly SimulatedRequest[] {
  return result.requests.filter(
    (request) => request.rank === rank && request.outcomes[0] === 'answered',
  );
}

function p99LatencyMs(result: FloodResult, rank: Rank): number {
  const timesMs = answeredRequests(result, rank)
    .map((request) => request.tookMs ?? Infinity)
    .sort((a, b) => a - b);
  return timesMs[Math.floor(timesMs.length * 0.99)] ?? Infinity;
}

/** Requests per second that the slots can run: the simulation takes 22 ms for a run of 20 ms. */
const SHORT_REQUESTS_PER_S = (SERVERS * SLOTS * 1000) / (RUN_MS.urgent + 2);

it('a flood of bulk requests does not raise the p99 latency of urgent ones by more than 20%', () => {
  const calm = runFlood({ urgent: 60, interactive: 60, bulk: 5 });
  const flooded = runFlood({ urgent: 60, interactive: 60, bulk: 750 });
  expect(p99LatencyMs(flooded, 'urgent') / p99LatencyMs(calm, 'urgent')).to.be.at.most(1.2);
  expect(answeredRequests(flooded, 'urgent')).to.have.length(60 * SECONDS);
});

it('a flood of interactive requests causes no refusal of urgent ones', () => {
  const flooded = runFlood({ urgent: 60, interactive: 6800, bulk: 5 });
  expect(answeredRequests(flooded, 'urgent')).to.have.length(60 * SECONDS);
});

it('a flood of urgent requests preserves goodput and the minimum shares of other ranks', () => {
  const flooded = runFlood({ urgent: 6800, interactive: 100, bulk: 20 });
  const floorRatePerS = (share: number, runMs: number) =>
    (Math.ceil(SERVERS * SLOTS * share) * 1000) / (runMs + 2);
  const bulkPerS = answeredRequests(flooded, 'bulk').length / SECONDS;
  const interactivePerS = answeredRequests(flooded, 'interactive').length / SECONDS;
  const urgentPerS = answeredRequests(flooded, 'urgent').length / SECONDS;
  expect(bulkPerS).to.be.at.least(Math.min(20, floorRatePerS(0.05, RUN_MS.bulk)) * 0.9);
  expect(interactivePerS).to.be.at.least(
    Math.min(100, floorRatePerS(0.1, RUN_MS.interactive)) * 0.9,
  );
  const slotTimeMs = urgentPerS * 22 + interactivePerS * 22 + bulkPerS * 202;
  expect(slotTimeMs / (SERVERS * SLOTS * 1000)).to.be.at.least(0.95);
  expect(urgentPerS).to.be.below(SHORT_REQUESTS_PER_S);
});

it('one caller that floods does not starve another caller', () => {
  const simulation = new Simulation({ serversPerDomain: SERVERS, slots: SLOTS, runMs: RUN_MS });
  const [vm] = simulation.vms;
  const quiet: SimulatedRequest[] = [];
  for (let i = 0; i < 40_000; i += 1) {
    simulation.schedule(i / 4, () => {
      if (vm !== undefined)
        simulation.send(vm, simulation.createRequest({ idempotent: true }), { caller: 'loud' });
    });
  }
  for (let i = 0; i < 100; i += 1) {
    simulation.schedule(1000 + i * 90, () => {
      const request = simulation.createRequest({ idempotent: true });
      quiet.push(request);
      if (vm !== undefined) simulation.send(vm, request, { caller: 'quiet' });
    });
  }
  simulation.advance(14_000);
  expect(quiet.filter((request) => request.outcomes[0] === 'answered')).to.have.length(100);
});

it('no server gets more requests than its slots during a flood', () => {
  const { simulation } = runFlood({ urgent: 3000, interactive: 3000, bulk: 300 });
  simulation.servers.forEach((server) => {
    expect(server.peakInFlight).to.be.at.most(SLOTS);
    expect(server.refused).to.equal(0);
  });
});
