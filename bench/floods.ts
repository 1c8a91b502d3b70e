/**
 * Overloads one failure domain with requests of each rank at ten times its capacity and compares
 * lovagesail with a baseline: ten entries, each with one FIFO queue and power-of-two-choices balancing on
 * stale load reports. Both use the same simulated clock and the same arrivals.
 */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { RANKS } from '../src/state/index.js';
import type { Rank } from '../src/state/index.js';
import { Simulation, randomFrom } from '../src/coordination/tests/simulations.js';

const SERVER_COUNT = 5;
const SLOTS = 3;
const ENTRY_COUNT = 10;
const DURATION_S = 20;
const DEADLINE_MS = 2_000;
const REPORT_INTERVAL_MS = 500;
const SERVER_QUEUE_LENGTH = 2;
const ENTRY_QUEUE_LENGTH = 300;
const STEP_MS = 1;
const SEED = 1;
const RUN_MS: Readonly<Record<Rank, number>> = { urgent: 20, interactive: 20, bulk: 200 };

type RequestRates = Readonly<Record<Rank, number>>;

interface Arrival {
  readonly atMs: number;
  readonly rank: Rank;
}

interface Outcome {
  readonly rank: Rank;
  readonly tookMs: number | undefined;
}

function arrivalsOf(rates: RequestRates): readonly Arrival[] {
  const random = randomFrom(SEED);
  return RANKS.flatMap((rank) =>
    Array.from({ length: rates[rank] * DURATION_S }, () => ({
      atMs: random() * DURATION_S * 1_000,
      rank,
    })),
  ).sort((a, b) => a.atMs - b.atMs);
}

function runLovagesail(arrivals: readonly Arrival[]): readonly Outcome[] {
  const world = new Simulation({
    seed: SEED,
    serversPerDomain: SERVER_COUNT,
    slots: SLOTS,
    runMs: RUN_MS,
  });
  const [vm] = world.vms;
  if (vm === undefined) return [];
  const requests = arrivals.map(({ rank }) => world.createRequest({ rank, idempotent: true }));
  arrivals.forEach(({ atMs }, i) => {
    world.schedule(atMs, () => {
      const request = requests[i];
      if (request === undefined) return;
      request.sentMs = world.nowMs;
      world.send(vm, request, { caller: `c${i % 50}` });
    });
  });
  world.advance((DURATION_S + 3) * 1_000);
  return requests.map(({ rank, outcomes: outcomes, tookMs }) => ({
    rank,
    tookMs: outcomes[0] === 'answered' ? tookMs : undefined,
  }));
}

interface QueuedRequest extends Arrival {
  readonly order: number;
}

/** One FIFO queue per entry; each entry sends to the less loaded of two random servers by the last load report. */
class Baseline {
  readonly #queues: QueuedRequest[][] = Array.from({ length: ENTRY_COUNT }, () => []);

  readonly #serverQueues: QueuedRequest[][] = Array.from({ length: SERVER_COUNT }, () => []);

  readonly #running: { endMs: number; readonly work: QueuedRequest }[][] = Array.from(
    { length: SERVER_COUNT },
    () => [],
  );

  readonly #random = randomFrom(SEED);

  #loadReports: number[] = new Array<number>(SERVER_COUNT).fill(0);

  readonly outcomes: Outcome[] = [];

  arrive(request: QueuedRequest): void {
    const queue = this.#queues[request.order % ENTRY_COUNT];
    if (queue === undefined || queue.length >= ENTRY_QUEUE_LENGTH)
      this.#finishRequest(request, undefined);
    else queue.push(request);
  }

  step(nowMs: number): void {
    if (nowMs % REPORT_INTERVAL_MS === 0) {
      this.#loadReports = this.#serverQueues.map((queue, i) => queue.length + this.#slotsInUse(i));
    }
    this.#completeRuns(nowMs);
    this.#queues.forEach((queue) => this.#dispatchNext(queue, nowMs));
  }

  #slotsInUse(server: number): number {
    return this.#running[server]?.length ?? 0;
  }

  /** Dispatches at most one request per entry and step; a rejected request returns to the head of the queue. */
  #dispatchNext(queue: QueuedRequest[], nowMs: number): void {
    const request = queue.shift();
    if (request === undefined) return;
    if (nowMs - request.atMs > DEADLINE_MS) {
      this.#finishRequest(request, undefined);
      return;
    }
    const [a, b] = [0, 0].map(() => Math.floor(this.#random() * SERVER_COUNT)) as [number, number];
    const server = (this.#loadReports[a] ?? 0) <= (this.#loadReports[b] ?? 0) ? a : b;
    if (this.#slotsInUse(server) < SLOTS) {
      this.#running[server]?.push({ endMs: nowMs + RUN_MS[request.rank] + 2, work: request });
    } else if ((this.#serverQueues[server]?.length ?? 0) < SERVER_QUEUE_LENGTH) {
      this.#serverQueues[server]?.push(request);
    } else {
      queue.unshift(request);
    }
  }

  #completeRuns(nowMs: number): void {
    this.#running.forEach((runs, server) => {
      const done = runs.filter((run) => run.endMs <= nowMs);
      done.forEach((run) => {
        runs.splice(runs.indexOf(run), 1);
        this.#finishRequest(run.work, nowMs - run.work.atMs);
        const next = this.#serverQueues[server]?.shift();
        if (next !== undefined) runs.push({ endMs: nowMs + RUN_MS[next.rank] + 2, work: next });
      });
    });
  }

  #finishRequest(request: QueuedRequest, tookMs: number | undefined): void {
    const isLate = tookMs !== undefined && tookMs > DEADLINE_MS;
    this.outcomes.push({ rank: request.rank, tookMs: isLate ? undefined : tookMs });
  }
}

function runBaseline(arrivals: readonly Arrival[]): readonly Outcome[] {
  const baseline = new Baseline();
  let next = 0;
  for (let nowMs = 0; nowMs < (DURATION_S + 3) * 1_000; nowMs += STEP_MS) {
    for (;;) {
      const arrival = arrivals[next];
      if (arrival === undefined || arrival.atMs > nowMs) break;
      baseline.arrive({ ...arrival, order: next });
      next += 1;
    }
    baseline.step(nowMs);
  }
  return baseline.outcomes;
}

function printOutcomes(name: string, outcomes: readonly Outcome[]): void {
  const usefulSlotMs = outcomes.reduce(
    (sum, outcome) => sum + (outcome.tookMs === undefined ? 0 : RUN_MS[outcome.rank] + 2),
    0,
  );
  const goodput = usefulSlotMs / (SERVER_COUNT * SLOTS * DURATION_S * 1_000);
  const ranks = RANKS.map((rank) => {
    const histogram: Histogram = build();
    const ofRank = outcomes.filter((outcome) => outcome.rank === rank);
    const answered = ofRank.filter((outcome) => outcome.tookMs !== undefined);
    answered.forEach((outcome) => histogram.recordValue(Math.round(outcome.tookMs ?? 0)));
    const p99 = answered.length === 0 ? '-' : histogram.getValueAtPercentile(99);
    return `${rank} ${((100 * answered.length) / Math.max(1, ofRank.length)).toFixed(0)}% p99 ${p99} ms`;
  });
  process.stdout.write(
    `  ${name.padEnd(11)} slots spent on timely responses ${(100 * goodput).toFixed(0)}%, ${ranks.join(', ')}\n`,
  );
}

const SCENARIOS: readonly { readonly name: string; readonly rates: RequestRates }[] = [
  { name: 'no flood', rates: { urgent: 60, interactive: 60, bulk: 5 } },
  { name: 'flood of bulk work', rates: { urgent: 60, interactive: 60, bulk: 750 } },
  { name: 'flood of interactive work', rates: { urgent: 60, interactive: 6_800, bulk: 5 } },
  { name: 'flood of urgent work', rates: { urgent: 6_800, interactive: 100, bulk: 20 } },
];

SCENARIOS.forEach(({ name, rates }) => {
  const arrivals = arrivalsOf(rates);
  process.stdout.write(
    `\n${name}: ${RANKS.map((rank) => `${rank} ${rates[rank]}/s`).join(', ')}\n`,
  );
  printOutcomes('lovagesail', runLovagesail(arrivals));
  printOutcomes('baseline', runBaseline(arrivals));
});
