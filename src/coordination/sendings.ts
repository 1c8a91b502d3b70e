/** Remembers which sendings of requests arrived, so that a duplicated message runs nothing twice. */

/** Time for which a sending is remembered at least, in milliseconds. */
const REMEMBER_MS = 120_000;

/** Two generations of sending ids; the older goes when the newer is full of time. */
export class SendingLog {
  #recent = new Set<string>();

  #older = new Set<string>();

  #turnedMs: number;

  constructor(nowMs: number) {
    this.#turnedMs = nowMs;
  }

  /** True the first time a sending arrives. */
  first(sendingId: string, nowMs: number): boolean {
    if (nowMs - this.#turnedMs >= REMEMBER_MS) {
      this.#older = this.#recent;
      this.#recent = new Set();
      this.#turnedMs = nowMs;
    }
    if (this.#recent.has(sendingId) || this.#older.has(sendingId)) return false;
    this.#recent.add(sendingId);
    return true;
  }
}
