/** Deduplicates forwarded requests, so that a duplicated message does not run one twice. */

/** Shortest time for which a sending id is kept. */
const RETENTION_MS = 120_000;

/** Two generations of received sending ids; the older is dropped every `RETENTION_MS`. */
export class SendingDeduplicator {
  #current = new Set<string>();

  #previous = new Set<string>();

  #rotatedMs: number;

  constructor(nowMs: number) {
    this.#rotatedMs = nowMs;
  }

  /** Records a sending id. @returns whether it is new. */
  addIfNew(sendingId: string, nowMs: number): boolean {
    if (nowMs - this.#rotatedMs >= RETENTION_MS) {
      this.#previous = this.#current;
      this.#current = new Set();
      this.#rotatedMs = nowMs;
    }
    if (this.#current.has(sendingId) || this.#previous.has(sendingId)) return false;
    this.#current.add(sendingId);
    return true;
  }
}
