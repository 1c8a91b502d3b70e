/** Metrics of an entry VM, in the Prometheus format. */
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client';

/** Histogram buckets for latencies. */
const LATENCY_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

export class NodeMetrics {
  readonly registry = new Registry();

  readonly #requestDuration = new Histogram({
    name: 'lovagesail_request_duration_seconds',
    help: 'Time from arrival to the final answer, by service, priority and outcome',
    labelNames: ['service', 'priority', 'outcome'] as const,
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  readonly #lookups = new Counter({
    name: 'lovagesail_lookups_total',
    help: 'Look-ups answered',
    registers: [this.registry],
  });

  readonly #busy = new Gauge({
    name: 'lovagesail_processor_busy_ratio',
    help: 'Share of the processor time in use during the last half second',
    registers: [this.registry],
  });

  readonly #storeCalls = new Counter({
    name: 'lovagesail_store_calls_total',
    help: "Calls to the platform's store, by result",
    labelNames: ['result'] as const,
    registers: [this.registry],
  });

  readonly #retries = new Counter({
    name: 'lovagesail_retries_total',
    help: 'Retries weighed, by whether the retry budget allowed them',
    labelNames: ['allowed'] as const,
    registers: [this.registry],
  });

  readonly #serverCrashes = new Counter({
    name: 'lovagesail_server_crashes_total',
    help: 'Requests lost by backend servers that had crashed',
    registers: [this.registry],
  });

  readonly #serverNotices = new Counter({
    name: 'lovagesail_server_notices_total',
    help: 'Notices of backend servers, by kind: that they leave, or want no requests for some time',
    labelNames: ['kind'] as const,
    registers: [this.registry],
  });

  readonly #quarantined = new Gauge({
    name: 'lovagesail_quarantined_contents',
    help: 'Contents refused because they crash backend servers',
    registers: [this.registry],
  });

  readonly #planVersion = new Gauge({
    name: 'lovagesail_plan_version',
    help: 'Version of the plan in force',
    registers: [this.registry],
  });

  readonly #plans = new Counter({
    name: 'lovagesail_plans_total',
    help: "Plans taken, by where they came from: the platform's store or another entry VM",
    labelNames: ['source'] as const,
    registers: [this.registry],
  });

  readonly #catchUpDuration = new Histogram({
    name: 'lovagesail_facts_behind_seconds',
    help: 'Time from learning that another entry VM has newer facts to having them',
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  /** When the store last answered, monotonic, in milliseconds. */
  #storeAnsweredMs: number | undefined;

  /**
   * @param inFlight - returns the number of requests in flight; called at each scrape.
   * @param nowMs - returns the monotonic time in milliseconds.
   */
  constructor(inFlight: () => number, nowMs: () => number) {
    collectDefaultMetrics({ register: this.registry });
    const gauge: Gauge = new Gauge({
      name: 'lovagesail_requests_in_flight',
      help: 'Requests under way in this entry VM',
      registers: [this.registry],
      collect: () => gauge.set(inFlight()),
    });
    const age: Gauge = new Gauge({
      name: 'lovagesail_store_answer_age_seconds',
      help: "Time since the platform's store last answered this entry VM",
      registers: [this.registry],
      collect: () => {
        if (this.#storeAnsweredMs !== undefined) age.set((nowMs() - this.#storeAnsweredMs) / 1000);
      },
    });
  }

  observeRequest(service: string, priority: number, outcome: string, tookMs: number): void {
    this.#requestDuration.observe({ service, priority: String(priority), outcome }, tookMs / 1000);
  }

  lookup(): void {
    this.#lookups.inc();
  }

  /** @param ratio - between 0 and 1. */
  setBusyRatio(ratio: number): void {
    this.#busy.set(ratio);
  }

  retry(allowed: boolean): void {
    this.#retries.inc({ allowed: String(allowed) });
  }

  serverCrashed(): void {
    this.#serverCrashes.inc();
  }

  countServerNotice(kind: 'leaving' | 'hold_off'): void {
    this.#serverNotices.inc({ kind });
  }

  setQuarantined(count: number): void {
    this.#quarantined.set(count);
  }

  /** @param nowMs - monotonic time in milliseconds. */
  countStoreCall(result: string, nowMs: number): void {
    this.#storeCalls.inc({ result });
    if (result === 'done') this.#storeAnsweredMs = nowMs;
  }

  planInForce(version: number, source: 'store' | 'peer'): void {
    this.#planVersion.set(version);
    this.#plans.inc({ source });
  }

  observeCatchUp(behindMs: number): void {
    this.#catchUpDuration.observe(behindMs / 1000);
  }
}
