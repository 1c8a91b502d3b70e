/** Limits the rate at which all entry VMs together send requests to cold backend servers. */
import type { BackendServerId, EntryVmId } from '../state/index.js';
import { TokenBucket } from './budgets.js';
import { rendezvousTop } from './rendezvous.js';

/** Number of entry VMs that may send to the same cold backend server. */
const SENDERS_PER_SERVER = 2;

/** Part of the tolerated rate that is used, since entry VMs may disagree on the senders. */
const RATE_USAGE_RATIO = 0.75;

const BURST_REQUESTS = 1;

export class WarmupLimiter {
  readonly #self: EntryVmId;

  readonly #buckets = new Map<BackendServerId, TokenBucket>();

  constructor(self: EntryVmId) {
    this.#self = self;
  }

  /**
   * Takes one token for a request to a cold backend server. @returns whether it may be sent now.
   *
   * @param ratePerS - requests per second that the server tolerates in total.
   * @param live - live entry VMs.
   */
  tryTake(
    server: BackendServerId,
    ratePerS: number,
    live: readonly EntryVmId[],
    nowMs: number,
  ): boolean {
    if (!rendezvousTop(server, live, SENDERS_PER_SERVER).includes(this.#self)) return false;
    const bucket =
      this.#buckets.get(server) ??
      new TokenBucket((ratePerS * RATE_USAGE_RATIO) / SENDERS_PER_SERVER, BURST_REQUESTS, nowMs);
    this.#buckets.set(server, bucket);
    return bucket.tryTake(1, nowMs);
  }

  /** Removes the state of a backend server that is warm or removed. */
  remove(server: BackendServerId): void {
    this.#buckets.delete(server);
  }
}
