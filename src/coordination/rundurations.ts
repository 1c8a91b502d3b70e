/** Moving averages of run durations by rank. */
import type { Rank } from '../state/index.js';
import { ewma } from './slots.js';

/** Mean deviations above the mean at which a run counts as slow. */
const SLOW_DEVIATIONS = 4;

interface DurationStats {
  meanMs: number | undefined;
  deviationMs: number | undefined;
}

export class RunDurations {
  readonly #stats: Readonly<Record<Rank, DurationStats>> = {
    urgent: { meanMs: undefined, deviationMs: undefined },
    interactive: { meanMs: undefined, deviationMs: undefined },
    bulk: { meanMs: undefined, deviationMs: undefined },
  };

  /** The mean run duration; undefined before the first run. */
  meanMs(rank: Rank): number | undefined {
    return this.#stats[rank].meanMs;
  }

  /** The age from which a run of this rank counts as slow; infinite before the first run. */
  slowAfterMs(rank: Rank): number {
    const { meanMs, deviationMs } = this.#stats[rank];
    return meanMs === undefined ? Infinity : meanMs + SLOW_DEVIATIONS * (deviationMs ?? meanMs);
  }

  /** Records a run. @returns its duration relative to the previous mean. */
  record(rank: Rank, durationMs: number): number {
    const stats = this.#stats[rank];
    const previousMeanMs = Math.max(stats.meanMs ?? durationMs, Number.EPSILON);
    stats.meanMs = ewma(stats.meanMs, durationMs);
    stats.deviationMs = ewma(stats.deviationMs, Math.abs(durationMs - previousMeanMs));
    return durationMs / previousMeanMs;
  }
}
