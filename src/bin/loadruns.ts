/** Open-loop load generator: arrivals do not wait for responses. */
import got from 'got';
import http from 'node:http';
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Rank } from '../state/index.js';

/** Arrival rate and request form of one rank. */
export interface LoadClass {
  readonly rank: Rank;
  readonly perSecond: number;
  readonly method: 'GET' | 'POST';
  /** Path below the service's base URL. */
  readonly path: string;
}

/** Destination of requests: a name for the report and a base URL. */
export interface LoadTarget {
  readonly name: string;
  readonly base: string;
  /** Prefix of the request ids; undefined to send none. */
  readonly requestIdPrefix: string | undefined;
}

export interface LoadPlan {
  readonly classes: readonly LoadClass[];
  /** Each arrival is sent to every target. */
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

const US_PER_MS = 1_000;

const UINT32_RANGE = 2 ** 32;

interface Arrival {
  readonly atMs: number;
  readonly kind: LoadClass;
}

/** Draws Poisson arrivals of one class from a random source in (0, 1]. */
function drawArrivals(
  loadClass: LoadClass,
  seconds: number,
  random: () => number,
): readonly Arrival[] {
  const arrivals: Arrival[] = [];
  let atMs = 0;
  while (loadClass.perSecond > 0) {
    atMs += (-Math.log(random()) * 1_000) / loadClass.perSecond;
    if (atMs > seconds * 1_000) break;
    arrivals.push({ atMs, kind: loadClass });
  }
  return arrivals;
}

/** Draws all arrivals of a plan, ordered by time; deterministic for a given seed. */
export function drawAllArrivals(plan: LoadPlan): readonly Arrival[] {
  const source = xoroshiro128plus(plan.seed);

  const random = () => ((source.next() >>> 0) + 1) / UINT32_RANGE;
  return plan.classes
    .flatMap((loadClass) => drawArrivals(loadClass, plan.seconds, random))
    .sort((a, b) => a.atMs - b.atMs);
}

/** Sends a plan's requests and records latencies. */
export class LoadRun {
  readonly #plan: LoadPlan;

  readonly #histograms = new Map<string, Histogram>();

  readonly #agent = new http.Agent({ keepAlive: true });

  #sent = 0;

  #completed = 0;

  constructor(plan: LoadPlan) {
    this.#plan = plan;
  }

  /** Progress as one line of text. */
  get progress(): string {
    return `${this.#sent} sent, ${this.#completed} ended`;
  }

  /** Resolves when every request has ended. */
  async run(): Promise<readonly LoadRow[]> {
    const arrivals = drawAllArrivals(this.#plan);
    const startMs = performance.now();
    const pending: Promise<void>[] = [];
    await new Promise<void>((resolve) => {
      let next = 0;
      const sendDue = (): void => {
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
        setTimeout(sendDue, 1);
      };
      sendDue();
    });
    await Promise.all(pending);
    this.#agent.destroy();
    return this.#rows();
  }

  async #send(target: LoadTarget, { kind, atMs }: Arrival, startMs: number): Promise<void> {
    this.#sent += 1;
    const id = `${target.requestIdPrefix}load-${this.#plan.seed}-${this.#sent}`;
    const hasRequestId = kind.method === 'POST' && target.requestIdPrefix !== undefined;
    let outcome = 'error';
    try {
      const res = await got(`${target.base}${kind.path}`, {
        method: kind.method,
        agent: { http: this.#agent },
        retry: { limit: 0 },
        throwHttpErrors: false,
        timeout: { request: this.#plan.deadlineMs },
        responseType: 'buffer',
        headers: hasRequestId ? { 'idempotency-key': id } : {},
        ...(kind.method === 'POST' ? { body: id } : {}),
      });
      outcome = String(res.headers['lovagesail-outcome'] ?? res.statusCode);
    } catch {
      outcome = 'error';
    }
    this.#completed += 1;
    // Measured from the scheduled time to avoid coordinated omission: a late sender would hide a
    // slow system.
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
    histogram.recordValue(Math.max(1, Math.round(tookMs * US_PER_MS)));
  }

  #rows(): readonly LoadRow[] {
    return [...this.#histograms.entries()].map(([key, histogram]) => {
      const [target = '', rank = '', outcome = ''] = key.split('|');
      const percentileMs = (percent: number) => histogram.getValueAtPercentile(percent) / US_PER_MS;
      return {
        target,
        rank: rank as Rank,
        outcome,
        count: histogram.totalCount,
        p50Ms: percentileMs(50),
        p99Ms: percentileMs(99),
        p999Ms: percentileMs(99.9),
        maxMs: histogram.maxValue / US_PER_MS,
      };
    });
  }
}
