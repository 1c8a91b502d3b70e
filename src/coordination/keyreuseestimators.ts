/** Estimates how often requests of a route repeat an object, which a server then has warm. */

/** Counting window, about as long as servers keep objects warm. */
const WINDOW_MS = 20_000;

/** Minimum time over which a rate is computed, because some requests arrive in bursts. */
const MIN_RATE_SPAN_MS = 3_000;

/** Minimum number of requests in a window to estimate the number of objects from it. */
const MIN_WINDOW_REQUESTS = 30;

/** Number of objects assumed before the first estimate, about what two servers keep warm. */
const DEFAULT_OBJECT_COUNT = 60;

/** Bisection steps in the search for the number of objects. */
const BISECTION_STEPS = 24;

export class KeyReuseEstimator {
  #keys = new Set<string>();

  #requests = 0;

  #windowStartMs = -Infinity;

  /** Request rate over the last complete window. */
  #requestsPerMs: number | undefined;

  /** Estimated number of objects that requests are drawn from. */
  #objectCount = DEFAULT_OBJECT_COUNT;

  /** Counts a request on an object. */
  add(key: string, nowMs: number): void {
    if (nowMs - this.#windowStartMs > WINDOW_MS) this.#startWindow(nowMs);
    this.#requests += 1;
    this.#keys.add(key);
  }

  /**
   * Share of requests whose object was not requested in the preceding window.
   *
   * @param entryVms - entry VMs, this one included, that receive the same load and share the
   *   servers' warm objects.
   */
  newKeyRatio(entryVms: number, nowMs: number): number {
    const expectedRequests = this.#currentRequestsPerMs(nowMs) * WINDOW_MS * entryVms;
    if (expectedRequests <= 1) return 1;
    return expectedDistinct(expectedRequests, this.#objectCount) / expectedRequests;
  }

  #startWindow(nowMs: number): void {
    if (this.#requests > 0) {
      this.#requestsPerMs = this.#requests / Math.max(WINDOW_MS, nowMs - this.#windowStartMs);
    }
    if (this.#requests >= MIN_WINDOW_REQUESTS)
      this.#objectCount = estimateObjectCount(this.#keys.size, this.#requests);
    this.#windowStartMs = nowMs;
    this.#requests = 0;
    this.#keys = new Set();
  }

  #currentRequestsPerMs(nowMs: number): number {
    const spanMs = nowMs - this.#windowStartMs;
    if (spanMs < MIN_RATE_SPAN_MS && this.#requestsPerMs !== undefined) return this.#requestsPerMs;
    return this.#requests / Math.max(MIN_RATE_SPAN_MS, spanMs);
  }
}

/** Expected number of distinct objects among requests drawn uniformly from all objects. */
function expectedDistinct(requests: number, objectCount: number): number {
  return objectCount * (1 - Math.exp(-requests / objectCount));
}

/** Number of objects for which the expected distinct count matches the observed one. */
function estimateObjectCount(distinct: number, requests: number): number {
  let low = distinct;
  let high = requests * requests;
  for (let i = 0; i < BISECTION_STEPS; i += 1) {
    const middle = (low + high) / 2;
    if (expectedDistinct(requests, middle) < distinct) low = middle;
    else high = middle;
  }
  return high;
}
