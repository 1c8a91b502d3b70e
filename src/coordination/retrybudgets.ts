/** Retry budget that all entry VMs share and divide without messages between them. */
import type { ServiceName } from '../state/index.js';
import { SlidingWindowCounter } from './budgets.js';

export interface RetryLimits {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Additional retries allowed to all entry VMs together in one window. */
  readonly burst: number;
  readonly windowMs: number;
}

/** Part of the limits that is used, since requests and retries fall into different windows. */
const LIMIT_USAGE_RATIO = 0.6;

interface ServiceCounters {
  readonly requests: SlidingWindowCounter;
  readonly retries: SlidingWindowCounter;
}

export class RetryBudget {
  #limits: RetryLimits;

  readonly #counters = new Map<ServiceName, ServiceCounters>();

  constructor(limits: RetryLimits) {
    this.#limits = limits;
  }

  setLimits(limits: RetryLimits): void {
    this.#limits = limits;
  }

  /** Counts a request from a caller. */
  recordRequest(service: ServiceName, nowMs: number): void {
    this.#countersOf(service).requests.add(this.#limits.windowMs, nowMs);
  }

  /**
   * Takes one retry if the budget allows it.
   *
   * @param entryVms - entry VMs that may be retrying requests, this one included; `Infinity` for no share of
   *   the burst.
   */
  trySpend(service: ServiceName, entryVms: number, nowMs: number): boolean {
    const { ratio, burst, windowMs } = this.#limits;
    const { requests, retries } = this.#countersOf(service);
    const allowed = ratio * requests.sum(windowMs, nowMs) + burst / Math.max(1, entryVms);
    if (retries.sum(windowMs, nowMs) + 1 > allowed * LIMIT_USAGE_RATIO) return false;
    retries.add(windowMs, nowMs);
    return true;
  }

  #countersOf(service: ServiceName): ServiceCounters {
    const counters = this.#counters.get(service) ?? {
      requests: new SlidingWindowCounter(),
      retries: new SlidingWindowCounter(),
    };
    this.#counters.set(service, counters);
    return counters;
  }
}
