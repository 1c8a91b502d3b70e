/** Bounds what cold backend servers are sent by all entry VMs together. */
import type { BackendServerId, EntryVmId } from '../state/index.js';
import { TokenBucket } from './budgets.js';
import { rendezvousTop } from './rendezvous.js';

/** Entry VMs that may send to one cold backend server. */
const SENDERS = 2;

/** Part of the tolerated rate that is used, since entry VMs may disagree on who sends. */
const RATE_USED = 0.75;

const BURST = 1;

export class Warmups {
  readonly #self: EntryVmId;

  readonly #buckets = new Map<BackendServerId, TokenBucket>();

  constructor(self: EntryVmId) {
    this.#self = self;
  }

  /**
   * Whether one request may go to a cold backend server now. Takes the permission.
   *
   * @param ratePerS - requests a second that the server tolerates from everybody.
   * @param live - entry VMs that are live.
   */
  take(
    server: BackendServerId,
    ratePerS: number,
    live: readonly EntryVmId[],
    nowMs: number,
  ): boolean {
    if (!rendezvousTop(server, live, SENDERS).includes(this.#self)) return false;
    const bucket =
      this.#buckets.get(server) ?? new TokenBucket((ratePerS * RATE_USED) / SENDERS, BURST, nowMs);
    this.#buckets.set(server, bucket);
    return bucket.take(1, nowMs);
  }

  /** Forgets a backend server that is warm or gone. */
  forget(server: BackendServerId): void {
    this.#buckets.delete(server);
  }
}
