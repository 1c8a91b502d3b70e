/** Open-loop load: arrivals do not wait for answers. */
import got from 'got';
import http from 'node:http';
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Rank } from '../state/index.js';

/** Requests of one rank. */
export interface LoadClass {
  readonly rank: Rank;
  readonly perSecond: number;
  readonly method: 'GET' | 'POST';
  /** Path after the service's name. */
  readonly path: string;
}

/** Where requests of a kind go, as a name for the report and a base URL. */
export interface LoadTarget {
  readonly name: string;
  readonly base: string;
  /** What request ids sent there begin with; undefined to send none. */
  readonly requestIdPrefix: string | undefined;
}

export interface LoadPlan {
  readonly classes: readonly LoadClass[];
  /** Each arrival goes to all of them, in turn. */
  readonly targets: readonly LoadTarget[];
  readonly seconds: number;
  readonly seed: number;
  readonly deadlineMs: number;
}

/** Latencies of one target, rank and outcome, in milliseconds. */
export interface LoadRow {
  readonly target: string;
  readonly rank: Rank;
  readonly outcome: string;
  readonly count: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly maxMs: number;
}

const MICROS_PER_MS = 1_000;

const UINT32 = 2 ** 32;

interface Arrival {
  readonly atMs: number;
  readonly kind: LoadClass;
}

/** Poisson arrivals of one class, from a random source in (0, 1]. */
function arrivalsOf(kind: LoadClass, seconds: number, random: () => number): readonly Arrival[] {
  const arrivals: Arrival[] = [];
  let atMs = 0;
  while (kind.perSecond > 0) {
    atMs += (-Math.log(random()) * 1_000) / kind.perSecond;
    if (atMs > seconds * 1_000) break;
    arrivals.push({ atMs, kind });
  }
  return arrivals;
}

/** All arrivals of a plan, by time; the same seed gives the same ones. */
export function plannedArrivals(plan: LoadPlan): readonly Arrival[] {
  const source = xoroshiro128plus(plan.seed);

  const random = () => ((source.next() >>> 0) + 1) / UINT32;
  return plan.classes
    .flatMap((kind) => arrivalsOf(kind, plan.seconds, random))
    .sort((a, b) => a.atMs - b.atMs);
}

/** Sends a plan's requests and gathers latencies. */
export class LoadRun {
  readonly #plan: LoadPlan;

  readonly #histograms = new Map<string, Histogram>();

  readonly #agent = new http.Agent({ keepAlive: true });

  #sent = 0;

  #ended = 0;

  constructor(plan: LoadPlan) {
    this.#plan = plan;
  }

  /** One line on how far it is. */
  get progress(): string {
    return `${this.#sent} sent, ${this.#ended} ended`;
  }

  /** Resolves when every request has ended. */
  async run(): Promise<readonly LoadRow[]> {
    const arrivals = plannedArrivals(this.#plan);
    const startMs = performance.now();
    const pending: Promise<void>[] = [];
    await new Promise<void>((resolve) => {
      let next = 0;
      const pump = (): void => {
        const elapsedMs = performance.now() - startMs;
        for (;;) {
          const arrival = arrivals[next];
          if (arrival === undefined) {
            resolve();
            return;
          }
          if (arrival.atMs > elapsedMs) break;
          next += 1;
          this.#plan.targets.forEach((target) =>
            pending.push(this.#send(target, arrival, startMs)),
          );
        }
        setTimeout(pump, 1);
      };
      pump();
    });
    await Promise.all(pending);
    this.#agent.destroy();
    return this.#rows();
  }

  async #send(target: LoadTarget, { kind, atMs }: Arrival, startMs: number): Promise<void> {
    this.#sent += 1;
    const id = `${target.requestIdPrefix}load-${this.#plan.seed}-${this.#sent}`;
    const keyed = kind.method === 'POST' && target.requestIdPrefix !== undefined;
    let outcome = 'error';
    try {
      const res = await got(`${target.base}${kind.path}`, {
        method: kind.method,
        agent: { http: this.#agent },
        retry: { limit: 0 },
        throwHttpErrors: false,
        timeout: { request: this.#plan.deadlineMs },
        responseType: 'buffer',
        headers: keyed ? { 'idempotency-key': id } : {},
        ...(kind.method === 'POST' ? { body: id } : {}),
      });
      outcome = String(res.headers['lovagesail-outcome'] ?? res.statusCode);
    } catch {
      outcome = 'error';
    }
    this.#ended += 1;
    // From the time it was due, so that a late sender does not hide a slow system.
    const tookMs = performance.now() - startMs - atMs;
    this.#record(`${target.name}|${kind.rank}|${outcome}`, tookMs);
  }

  #record(key: string, tookMs: number): void {
    let histogram = this.#histograms.get(key);
    if (histogram === undefined) {
      histogram = build({
        highestTrackableValue: 3_600_000_000,
        numberOfSignificantValueDigits: 3,
      });
      this.#histograms.set(key, histogram);
    }
    histogram.recordValue(Math.max(1, Math.round(tookMs * MICROS_PER_MS)));
  }

  #rows(): readonly LoadRow[] {
    return [...this.#histograms.entries()].map(([key, histogram]) => {
      const [target = '', rank = '', outcome = ''] = key.split('|');
      const at = (percent: number) => histogram.getValueAtPercentile(percent) / MICROS_PER_MS;
      return {
        target,
        rank: rank as Rank,
        outcome,
        count: histogram.totalCount,
        p50Ms: at(50),
        p99Ms: at(99),
        p999Ms: at(99.9),
        maxMs: histogram.maxValue / MICROS_PER_MS,
      };
    });
  }
}
