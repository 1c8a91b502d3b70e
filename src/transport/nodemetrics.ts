/** Metrics of an entry VM's program, in the Prometheus format. */
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client';

/** Bucket bounds of latencies, in seconds. */
const LATENCY_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

export class NodeMetrics {
  readonly registry = new Registry();

  readonly #requests = new Histogram({
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

  readonly #storeCalls = new Counter({
    name: 'lovagesail_store_calls_total',
    help: "Calls to the platform's store, by result",
    labelNames: ['result'] as const,
    registers: [this.registry],
  });

  /** @param inFlight - requests under way, read when the metrics are. */
  constructor(inFlight: () => number) {
    collectDefaultMetrics({ register: this.registry });
    const gauge: Gauge = new Gauge({
      name: 'lovagesail_requests_in_flight',
      help: 'Requests under way in this entry VM',
      registers: [this.registry],
      collect: () => gauge.set(inFlight()),
    });
  }

  ended(service: string, priority: number, outcome: string, tookMs: number): void {
    this.#requests.observe({ service, priority: String(priority), outcome }, tookMs / 1000);
  }

  lookup(): void {
    this.#lookups.inc();
  }

  storeCall(result: string): void {
    this.#storeCalls.inc({ result });
  }
}
