/** Budgets: a token bucket over time, a share of what goes through, a count over a window. */

/** Fills with time, up to a bound. Times are monotonic milliseconds. */
export class TokenBucket {
  readonly #perSecond: number;

  readonly #burst: number;

  #tokens: number;

  #atMs: number;

  constructor(perSecond: number, burst: number, nowMs: number) {
    this.#perSecond = perSecond;
    this.#burst = burst;
    this.#tokens = burst;
    this.#atMs = nowMs;
  }

  /** Takes tokens if there are enough. */
  take(count: number, nowMs: number): boolean {
    this.#fill(nowMs);
    if (this.#tokens < count) return false;
    this.#tokens -= count;
    return true;
  }

  /** Takes tokens even if that leaves a debt. */
  charge(count: number, nowMs: number): void {
    this.#fill(nowMs);
    this.#tokens -= count;
  }

  /** Tokens there are; negative is a debt. */
  available(nowMs: number): number {
    this.#fill(nowMs);
    return this.#tokens;
  }

  #fill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#atMs);
    this.#tokens = Math.min(this.#burst, this.#tokens + (elapsedMs * this.#perSecond) / 1000);
    this.#atMs = Math.max(this.#atMs, nowMs);
  }
}

/** Allows extra work as a share of first work, such as retries or hedges. */
export class ShareBudget {
  readonly #burst: number;

  #credit: number;

  constructor(burst: number) {
    this.#burst = burst;
    this.#credit = burst;
  }

  /** Counts one piece of first work. */
  earn(share: number): void {
    this.#credit = Math.min(this.#burst, this.#credit + share);
  }

  /** Takes one piece of extra work if the share allows it. */
  spend(): boolean {
    if (this.#credit < 1) return false;
    this.#credit -= 1;
    return true;
  }
}

/** Parts of a window that are counted and forgotten as one. */
const WINDOW_PARTS = 10;

interface WindowPart {
  readonly index: number;
  count: number;
}

/** Counts events over a sliding window. */
export class WindowCount {
  #parts: WindowPart[] = [];

  add(windowMs: number, nowMs: number): void {
    const index = partOf(windowMs, nowMs);
    const last = this.#parts.at(-1);
    if (last?.index === index) last.count += 1;
    else this.#parts.push({ index, count: 1 });
  }

  /** Events of the last window, and of up to one part of it more. */
  sum(windowMs: number, nowMs: number): number {
    const oldest = partOf(windowMs, nowMs) - WINDOW_PARTS;
    this.#parts = this.#parts.filter((part) => part.index >= oldest);
    return this.#parts.reduce((sum, part) => sum + part.count, 0);
  }
}

function partOf(windowMs: number, nowMs: number): number {
  return Math.floor(nowMs / (windowMs / WINDOW_PARTS));
}
