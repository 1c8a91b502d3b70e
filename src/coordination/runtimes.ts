/** Moving averages of run times by rank, in milliseconds. */
import type { Rank } from '../state/index.js';
import { ewma } from './slots.js';

/** Deviations above the mean at which a run counts as slow. */
const SLOW_DEVIATIONS = 4;

interface Average {
  mean: number | undefined;
  deviation: number | undefined;
}

export class RunTimes {
  readonly #averages: Readonly<Record<Rank, Average>> = {
    urgent: { mean: undefined, deviation: undefined },
    interactive: { mean: undefined, deviation: undefined },
    bulk: { mean: undefined, deviation: undefined },
  };

  /** The average run time, or undefined before the first run. */
  mean(rank: Rank): number | undefined {
    return this.#averages[rank].mean;
  }

  /** The age at which a run of this rank is slow; infinite before the first run. */
  slow(rank: Rank): number {
    const { mean, deviation } = this.#averages[rank];
    return mean === undefined ? Infinity : mean + SLOW_DEVIATIONS * (deviation ?? mean);
  }

  /** Counts a run. @returns its time over the average before it. */
  record(rank: Rank, tookMs: number): number {
    const average = this.#averages[rank];
    const before = Math.max(average.mean ?? tookMs, Number.EPSILON);
    average.mean = ewma(average.mean, tookMs);
    average.deviation = ewma(average.deviation, Math.abs(tookMs - before));
    return tookMs / before;
  }
}
