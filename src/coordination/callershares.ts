/**
 * How look-ups lead callers away from entry VMs whose processor is short. Each entry VM tells others
 * the share of its callers that it can take; callers keep an answer for a while, so shares fall in
 * steps that leave time to see the effect of the one before, and rise slowly.
 */

/** Share of the processor in use from which callers are led away. */
const OVERLOADED_BUSY = 0.9;

/** Share of the processor in use below which callers are taken again. */
const RELAXED_BUSY = 0.75;

/** Time between two steps, in milliseconds: half of the time for which callers keep an answer. */
const STEP_MS = 1_000;

/** Part of its callers that an overloaded entry VM keeps in a step. */
const KEPT = 0.5;

/** Share that a relaxed entry VM takes more in a step: it takes all again within ten seconds. */
const RAISE = 0.1;

/** Least share, so that an entry VM sees by its callers when it can take more. */
const MIN_SHARE = 0.1;

/** The share of its callers that this entry VM can take. */
export class CallerShare {
  #share = 1;

  #steppedMs = -Infinity;

  get share(): number {
    return this.#share;
  }

  /**
   * Takes in a measurement.
   *
   * @param busy - share of the processor in use, 0 to 1.
   * @returns whether the share changed.
   */
  measured(busy: number, nowMs: number): boolean {
    if (nowMs - this.#steppedMs < STEP_MS) return false;
    const before = this.#share;
    if (busy >= OVERLOADED_BUSY) this.#share = Math.max(MIN_SHARE, before * KEPT);
    else if (busy < RELAXED_BUSY) this.#share = Math.min(1, before + RAISE);
    if (this.#share === before) return false;
    this.#steppedMs = nowMs;
    return true;
  }
}

/** An entry VM that takes callers. */
export interface Taker {
  readonly share: number;
}

/**
 * Draws the entry VMs that one caller is told: those of its home, or the others by as much as these can
 * take more. Among the drawn ones each is named as often as its share allows.
 *
 * @param random - draws from 0 to 1.
 */
export function drawTakers<T extends Taker>(
  home: readonly T[],
  others: readonly T[],
  random: () => number,
): readonly T[] {
  const homeShare = meanShare(home);
  const othersShare = meanShare(others);
  const stays = othersShare <= homeShare || random() * othersShare < homeShare;
  const drawn = stays ? home : others;
  const most = Math.max(...drawn.map((taker) => taker.share));
  return drawn.filter(({ share }) => share === most || random() * most < share);
}

function meanShare(takers: readonly Taker[]): number {
  return takers.reduce((sum, { share }) => sum + share, 0) / Math.max(1, takers.length);
}
