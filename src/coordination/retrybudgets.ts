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

  /** Time before which no part of the burst is used. */
  #burstFromMs = -Infinity;

  constructor(limits: RetryLimits) {
    this.#limits = limits;
  }

  setLimits(limits: RetryLimits): void {
    this.#limits = limits;
  }

  /**
   * Withholds the burst for one window, in which an earlier process of this entry VM may have used it.
   *
   * @param nowMs - when this process started.
   */
  withholdBurst(nowMs: number): void {
    this.#burstFromMs = nowMs + this.#limits.windowMs;
  }

  /** Ends `withholdBurst`, as there was no earlier process. */
  releaseBurst(): void {
    this.#burstFromMs = -Infinity;
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
    const burstShare = nowMs < this.#burstFromMs ? 0 : burst / Math.max(1, entryVms);
    const allowed = ratio * requests.sum(windowMs, nowMs) + burstShare;
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
