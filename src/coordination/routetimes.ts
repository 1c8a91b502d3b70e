/** Estimated execution times and response sizes of each route. */
import type { RoutePlan } from '../state/index.js';
import { KeyReuseEstimator } from './keyreuseestimators.js';

/** Initial execution times as a ratio of the usual time, which follows the latency objective. */
const INITIAL_COLD_RATIO = 1.6;
const INITIAL_WARM_RATIO = 0.5;

/** Estimates for one route. */
export interface RouteEstimate {
  /** Execution time at a server where the object is warm, and at one where it is cold. */
  warmMs: number;
  coldMs: number;
  /** Response size. */
  bytes: number;
  readonly keys: KeyReuseEstimator;
}

export class RouteEstimates {
  readonly #estimates = new Map<string, RouteEstimate>();

  /** Estimates for a route; before any request, initial values from its latency objective. */
  get(route: RoutePlan): RouteEstimate {
    const existing = this.#estimates.get(route.name);
    if (existing !== undefined) return existing;
    const usualMs = Math.min(route.objectiveMs, route.timeoutMs / 2);
    const estimate = {
      warmMs: usualMs * INITIAL_WARM_RATIO,
      coldMs: usualMs * INITIAL_COLD_RATIO,
      bytes: 0,
      keys: new KeyReuseEstimator(),
    };
    this.#estimates.set(route.name, estimate);
    return estimate;
  }

  /** Mean response size over those routes that have received requests. */
  meanBytes(routes: readonly RoutePlan[]): number {
    const sizes = routes.flatMap((route) => this.#estimates.get(route.name)?.bytes ?? []);
    return sizes.length === 0 ? 0 : sizes.reduce((sum, size) => sum + size, 0) / sizes.length;
  }
}
