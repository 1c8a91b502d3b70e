/** What runs of each route usually take, and how large their answers are. */
import type { RoutePlan } from '../state/index.js';
import { KeyCount } from './keycounts.js';

/** Work expected of a run before any was seen, over the route's latency objective. */
const FIRST_COLD = 1.6;
const FIRST_WARM = 0.5;

/** Usual figures of one route; times in milliseconds. */
export interface RunTime {
  /** Time of a run at a server that knows the object, and at one that does not. */
  warmMs: number;
  coldMs: number;
  /** Size of an answer. */
  bytes: number;
  readonly keys: KeyCount;
}

export class RouteTimes {
  readonly #times = new Map<string, RunTime>();

  /** The figures of a route; before any run, guesses from its latency objective. */
  of(route: RoutePlan): RunTime {
    const known = this.#times.get(route.name);
    if (known !== undefined) return known;
    const usualMs = Math.min(route.objectiveMs, route.timeoutMs / 2);
    const time = {
      warmMs: usualMs * FIRST_WARM,
      coldMs: usualMs * FIRST_COLD,
      bytes: 0,
      keys: new KeyCount(),
    };
    this.#times.set(route.name, time);
    return time;
  }

  /** Mean size of the answers of those routes that have been used. */
  meanBytes(routes: readonly RoutePlan[]): number {
    const sizes = routes.flatMap((route) => this.#times.get(route.name)?.bytes ?? []);
    return sizes.length === 0 ? 0 : sizes.reduce((sum, size) => sum + size, 0) / sizes.length;
  }
}
