/** Metrics of an entry, in the Prometheus format. */
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client';

/** Bucket bounds of latencies, in seconds. */
const LATENCY_BUCKETS_S = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

export class EntryMetrics {
  readonly registry = new Registry();

  readonly #requests = new Histogram({
    name: 'lovagesail_request_duration_seconds',
    help: 'Time from arrival to the end of the answer, by service, rank and outcome',
    labelNames: ['service', 'rank', 'outcome'] as const,
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  readonly #failures = new Counter({
    name: 'lovagesail_request_failures_total',
    help: 'Requests that ended without an answer, by service and code',
    labelNames: ['service', 'code'] as const,
    registers: [this.registry],
  });

  readonly #lookups = new Counter({
    name: 'lovagesail_lookups_total',
    help: 'Look-ups answered, by service and result',
    labelNames: ['service', 'result'] as const,
    registers: [this.registry],
  });

  /** @param inFlight - returns the number of requests in flight; called on each scrape. */
  constructor(inFlight: () => number) {
    collectDefaultMetrics({ register: this.registry });
    const gauge: Gauge = new Gauge({
      name: 'lovagesail_requests_in_flight',
      help: 'Requests under way in this entry',
      registers: [this.registry],
      collect: () => gauge.set(inFlight()),
    });
  }

  requestEnded(service: string, rank: string, outcome: string, tookMs: number): void {
    this.#requests.observe({ service, rank, outcome }, tookMs / 1000);
  }

  requestFailed(service: string, code: string): void {
    this.#failures.inc({ service, code });
  }

  lookup(service: string, result: 'answered' | 'no_entry_vm' | 'unknown_service'): void {
    this.#lookups.inc({ service, result });
  }
}
