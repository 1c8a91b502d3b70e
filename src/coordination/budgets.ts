/** Rate limits and budgets: token bucket, ratio budget and sliding-window counter. */

/** Token bucket that refills over time up to its burst size. Times are monotonic milliseconds. */
export class TokenBucket {
  readonly #tokensPerSecond: number;

  readonly #burst: number;

  #tokens: number;

  #refilledMs: number;

  constructor(tokensPerSecond: number, burst: number, nowMs: number) {
    this.#tokensPerSecond = tokensPerSecond;
    this.#burst = burst;
    this.#tokens = burst;
    this.#refilledMs = nowMs;
  }

  /** Takes tokens if enough are available. @returns whether it took them. */
  tryTake(count: number, nowMs: number): boolean {
    this.#refill(nowMs);
    if (this.#tokens < count) return false;
    this.#tokens -= count;
    return true;
  }

  /** Takes tokens even if the balance becomes negative. */
  charge(count: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#tokens -= count;
  }

  /** Token balance; negative after an overdraft. */
  available(nowMs: number): number {
    this.#refill(nowMs);
    return this.#tokens;
  }

  #refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#refilledMs);
    this.#tokens = Math.min(this.#burst, this.#tokens + (elapsedMs * this.#tokensPerSecond) / 1000);
    this.#refilledMs = Math.max(this.#refilledMs, nowMs);
  }
}

/** Limits extra requests, such as retries or hedges, to a ratio of the original requests. */
export class RatioBudget {
  readonly #burst: number;

  #tokens: number;

  constructor(burst: number) {
    this.#burst = burst;
    this.#tokens = burst;
  }

  /** Adds the ratio for one original request. */
  earn(ratio: number): void {
    this.#tokens = Math.min(this.#burst, this.#tokens + ratio);
  }

  /** Takes one extra request if the budget allows it. @returns whether it does. */
  trySpend(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}

/** Buckets of a window. Each is counted and expires as a whole. */
const WINDOW_BUCKETS = 10;

interface WindowBucket {
  readonly index: number;
  count: number;
}

/** Counts events over a sliding window. */
export class SlidingWindowCounter {
  #buckets: WindowBucket[] = [];

  add(windowMs: number, nowMs: number): void {
    const index = bucketIndex(windowMs, nowMs);
    const last = this.#buckets.at(-1);
    if (last?.index === index) last.count += 1;
    else this.#buckets.push({ index, count: 1 });
  }

  /** Number of events in the last window and up to one bucket before it. */
  sum(windowMs: number, nowMs: number): number {
    const oldest = bucketIndex(windowMs, nowMs) - WINDOW_BUCKETS;
    this.#buckets = this.#buckets.filter((bucket) => bucket.index >= oldest);
    return this.#buckets.reduce((sum, bucket) => sum + bucket.count, 0);
  }
}

function bucketIndex(windowMs: number, nowMs: number): number {
  return Math.floor(nowMs / (windowMs / WINDOW_BUCKETS));
}
