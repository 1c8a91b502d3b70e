/** Decides which requests a process may still accept and send while it shuts down. */

/** Time after SIGTERM in which callers are informed and move to other entry VMs. */
export const DRAIN_NOTICE_MS = 2_500;

/** Part of the grace period reserved for the last responses and the process's own exit. */
const EXIT_MARGIN_MS = 700;

export class Shutdown {
  #startedMs = Infinity;

  #endMs = Infinity;

  get stopping(): boolean {
    return this.#startedMs !== Infinity;
  }

  /** Time by which all requests must have ended; `Infinity` unless shutting down. */
  get endMs(): number {
    return this.#endMs;
  }

  /** @param graceMs - time from SIGTERM until the process is killed. */
  begin(graceMs: number, nowMs: number): void {
    this.#startedMs = nowMs;
    this.#endMs = nowMs + Math.max(0, graceMs - EXIT_MARGIN_MS);
  }

  /**
   * Whether to accept a request that may take until its deadline. Callers that were not informed yet
   * have no other entry VM to send it to.
   *
   * @param leftMs - time until the request's deadline.
   */
  mayAccept(leftMs: number, nowMs: number): boolean {
    return nowMs + leftMs <= this.#endMs || nowMs < this.#startedMs + DRAIN_NOTICE_MS;
  }

  /**
   * Whether to send an accepted request to a server.
   *
   * @param overdueAfterMs - time within which even a slow response is expected.
   * @param leftMs - time until the request's deadline.
   */
  mayStart(overdueAfterMs: number, leftMs: number, nowMs: number): boolean {
    return nowMs + Math.min(overdueAfterMs, leftMs) <= this.#endMs;
  }
}
