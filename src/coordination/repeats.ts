/** The budget of repeats that all entry VMs share, divided without messages between them. */
import type { ServiceName } from '../state/index.js';
import { WindowCount } from './budgets.js';

export interface RepeatBounds {
  /** Repeats allowed for each request. */
  readonly ratio: number;
  /** Repeats allowed besides, by all entry VMs in one window. */
  readonly burst: number;
  readonly windowMs: number;
}

/** Part of the bounds that is used: requests and repeats are counted in windows that differ. */
const BOUND_USED = 0.6;

interface Counts {
  readonly requests: WindowCount;
  readonly repeats: WindowCount;
}

export class RepeatBudget {
  #bounds: RepeatBounds;

  readonly #services = new Map<ServiceName, Counts>();

  constructor(bounds: RepeatBounds) {
    this.#bounds = bounds;
  }

  setBounds(bounds: RepeatBounds): void {
    this.#bounds = bounds;
  }

  /** Counts a caller's request. */
  requested(service: ServiceName, nowMs: number): void {
    this.#counts(service).requests.add(this.#bounds.windowMs, nowMs);
  }

  /**
   * Takes one repeat if the budget has it.
   *
   * @param entryVms - entry VMs that may be repeating work, this one included.
   */
  take(service: ServiceName, entryVms: number, nowMs: number): boolean {
    const { ratio, burst, windowMs } = this.#bounds;
    const { requests, repeats } = this.#counts(service);
    const allowed = ratio * requests.sum(windowMs, nowMs) + burst / Math.max(1, entryVms);
    if (repeats.sum(windowMs, nowMs) + 1 > allowed * BOUND_USED) return false;
    repeats.add(windowMs, nowMs);
    return true;
  }

  #counts(service: ServiceName): Counts {
    const counts = this.#services.get(service) ?? {
      requests: new WindowCount(),
      repeats: new WindowCount(),
    };
    this.#services.set(service, counts);
    return counts;
  }
}
