/**
 * A flood of each rank at ten times the capacity of one failure domain, side by side with the simple
 * way: ten entries, each with one FIFO queue, power of two choices on load reports that lag. Both
 * under one clock, with the same arrivals.
 */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { RANKS } from '../src/state/index.js';
import type { Rank } from '../src/state/index.js';
import { World, randomFrom } from '../src/coordination/tests/worlds.js';

const SERVERS = 5;
const SLOTS = 3;
const ENTRIES = 10;
const SECONDS = 20;
const DEADLINE_MS = 2_000;
const REPORT_LAG_MS = 500;
const SERVER_QUEUE = 2;
const ENTRY_QUEUE = 300;
const STEP_MS = 1;
const SEED = 1;
const RUN_MS: Readonly<Record<Rank, number>> = { urgent: 20, interactive: 20, bulk: 200 };

type Rates = Readonly<Record<Rank, number>>;

interface Arrival {
  readonly atMs: number;
  readonly rank: Rank;
}

interface Outcome {
  readonly rank: Rank;
  readonly tookMs: number | undefined;
}

function arrivalsOf(rates: Rates): readonly Arrival[] {
  const random = randomFrom(SEED);
  return RANKS.flatMap((rank) =>
    Array.from({ length: rates[rank] * SECONDS }, () => ({
      atMs: random() * SECONDS * 1_000,
      rank,
    })),
  ).sort((a, b) => a.atMs - b.atMs);
}

function runLovagesail(arrivals: readonly Arrival[]): readonly Outcome[] {
  const world = new World({ seed: SEED, serversPerDomain: SERVERS, slots: SLOTS, runMs: RUN_MS });
  const [vm] = world.vms;
  if (vm === undefined) return [];
  const asked = arrivals.map(({ rank }) => world.ask({ rank, idempotent: true }));
  arrivals.forEach(({ atMs }, i) => {
    world.at(atMs, () => {
      const each = asked[i];
      if (each === undefined) return;
      each.sentMs = world.nowMs;
      world.send(vm, each, { caller: `c${i % 50}` });
    });
  });
  world.advance((SECONDS + 3) * 1_000);
  return asked.map(({ rank, told, tookMs }) => ({
    rank,
    tookMs: told[0] === 'answered' ? tookMs : undefined,
  }));
}

interface Waiting extends Arrival {
  readonly order: number;
}

/** One FIFO queue an entry; each sends to the less loaded of two servers by an old report. */
class SimpleWay {
  readonly #queues: Waiting[][] = Array.from({ length: ENTRIES }, () => []);

  readonly #servers: Waiting[][] = Array.from({ length: SERVERS }, () => []);

  readonly #running: { endMs: number; readonly work: Waiting }[][] = Array.from(
    { length: SERVERS },
    () => [],
  );

  readonly #random = randomFrom(SEED);

  #reports: number[] = new Array<number>(SERVERS).fill(0);

  readonly outcomes: Outcome[] = [];

  arrive(work: Waiting): void {
    const queue = this.#queues[work.order % ENTRIES];
    if (queue === undefined || queue.length >= ENTRY_QUEUE) this.#end(work, undefined);
    else queue.push(work);
  }

  step(nowMs: number): void {
    if (nowMs % REPORT_LAG_MS === 0) {
      this.#reports = this.#servers.map((queue, i) => queue.length + this.#inUse(i));
    }
    this.#finish(nowMs);
    this.#queues.forEach((queue) => this.#drain(queue, nowMs));
  }

  #inUse(server: number): number {
    return this.#running[server]?.length ?? 0;
  }

  /** Each entry sends on one request in a step, and again what was refused. */
  #drain(queue: Waiting[], nowMs: number): void {
    const work = queue.shift();
    if (work === undefined) return;
    if (nowMs - work.atMs > DEADLINE_MS) {
      this.#end(work, undefined);
      return;
    }
    const [a, b] = [0, 0].map(() => Math.floor(this.#random() * SERVERS)) as [number, number];
    const server = (this.#reports[a] ?? 0) <= (this.#reports[b] ?? 0) ? a : b;
    if (this.#inUse(server) < SLOTS) {
      this.#running[server]?.push({ endMs: nowMs + RUN_MS[work.rank] + 2, work });
    } else if ((this.#servers[server]?.length ?? 0) < SERVER_QUEUE) {
      this.#servers[server]?.push(work);
    } else {
      queue.unshift(work);
    }
  }

  #finish(nowMs: number): void {
    this.#running.forEach((runs, server) => {
      const done = runs.filter((run) => run.endMs <= nowMs);
      done.forEach((run) => {
        runs.splice(runs.indexOf(run), 1);
        this.#end(run.work, nowMs - run.work.atMs);
        const next = this.#servers[server]?.shift();
        if (next !== undefined) runs.push({ endMs: nowMs + RUN_MS[next.rank] + 2, work: next });
      });
    });
  }

  #end(work: Waiting, tookMs: number | undefined): void {
    const late = tookMs !== undefined && tookMs > DEADLINE_MS;
    this.outcomes.push({ rank: work.rank, tookMs: late ? undefined : tookMs });
  }
}

function runSimple(arrivals: readonly Arrival[]): readonly Outcome[] {
  const way = new SimpleWay();
  let next = 0;
  for (let nowMs = 0; nowMs < (SECONDS + 3) * 1_000; nowMs += STEP_MS) {
    for (;;) {
      const arrival = arrivals[next];
      if (arrival === undefined || arrival.atMs > nowMs) break;
      way.arrive({ ...arrival, order: next });
      next += 1;
    }
    way.step(nowMs);
  }
  return way.outcomes;
}

function report(name: string, outcomes: readonly Outcome[]): void {
  const slotTime = outcomes.reduce(
    (sum, each) => sum + (each.tookMs === undefined ? 0 : RUN_MS[each.rank] + 2),
    0,
  );
  const goodput = slotTime / (SERVERS * SLOTS * SECONDS * 1_000);
  const ranks = RANKS.map((rank) => {
    const histogram: Histogram = build();
    const mine = outcomes.filter((each) => each.rank === rank);
    const answered = mine.filter((each) => each.tookMs !== undefined);
    answered.forEach((each) => histogram.recordValue(Math.round(each.tookMs ?? 0)));
    const p99 = answered.length === 0 ? '-' : histogram.getValueAtPercentile(99);
    return `${rank} ${((100 * answered.length) / Math.max(1, mine.length)).toFixed(0)}% p99 ${p99} ms`;
  });
  process.stdout.write(
    `  ${name.padEnd(11)} slots used well ${(100 * goodput).toFixed(0)}%, ${ranks.join(', ')}\n`,
  );
}

const FLOODS: readonly { readonly name: string; readonly rates: Rates }[] = [
  { name: 'no flood', rates: { urgent: 60, interactive: 60, bulk: 5 } },
  { name: 'flood of documents', rates: { urgent: 60, interactive: 60, bulk: 750 } },
  { name: 'flood of price checks', rates: { urgent: 60, interactive: 6_800, bulk: 5 } },
  { name: 'flood of urgent work', rates: { urgent: 6_800, interactive: 100, bulk: 20 } },
];

FLOODS.forEach(({ name, rates }) => {
  const arrivals = arrivalsOf(rates);
  process.stdout.write(
    `\n${name}: ${RANKS.map((rank) => `${rank} ${rates[rank]}/s`).join(', ')}\n`,
  );
  report('lovagesail', runLovagesail(arrivals));
  report('simple way', runSimple(arrivals));
});
