/** How often a route's objects come again, which tells how often a server would know them. */

/** Time over which objects are counted, in milliseconds: about what servers remember. */
const WINDOW_MS = 20_000;

/** Requests after which the share of the present window is used. */
const ENOUGH = 30;

/** Most objects that are counted in one window. */
const MAX_KEYS = 1_000;

export class KeyCount {
  #keys = new Set<string>();

  #requests = 0;

  #sinceMs = -Infinity;

  #newShare = 1;

  /** Counts a request on an object. */
  add(key: string, nowMs: number): void {
    if (nowMs - this.#sinceMs > WINDOW_MS) {
      this.#sinceMs = nowMs;
      this.#requests = 0;
      this.#keys = new Set();
    }
    this.#requests += 1;
    if (this.#keys.size < MAX_KEYS) this.#keys.add(key);
    if (this.#requests >= ENOUGH) this.#newShare = this.#keys.size / this.#requests;
  }

  /** Share of requests whose object had not come before; 1 until enough were seen. */
  get newShare(): number {
    return this.#newShare;
  }
}
