/** Limits the bytes sent over inter-region links to this entry VM's share of the link capacity. */
import type { Rank, RegionId } from '../state/index.js';
import { TokenBucket } from './budgets.js';
import { ewma } from './slots.js';

const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT = 1_000_000;

/** Time over which unused capacity accumulates. */
const BURST_S = 0.25;

/** Assumed response size before the first response of a rank. */
const DEFAULT_RESPONSE_BYTES = 16_384;

interface LinkBudget {
  bucket: TokenBucket;
  bytesPerS: number;
}

/** Bandwidth budgets of the links that start in this entry VM's region. */
export class LinkBudgets {
  readonly #links = new Map<RegionId, LinkBudget>();

  readonly #responseBytes: Partial<Record<Rank, number>> = {};

  /**
   * Sets the capacity of a link.
   *
   * @param senders - entry VMs that share the link; each gets an equal share.
   */
  configure(to: RegionId, mbitPerS: number, senders: number, nowMs: number): void {
    const bytesPerS = (mbitPerS * BITS_PER_MEGABIT) / BITS_PER_BYTE / Math.max(1, senders);
    if (this.#links.get(to)?.bytesPerS === bytesPerS) return;
    this.#links.set(to, {
      bytesPerS,
      bucket: new TokenBucket(bytesPerS, bytesPerS * BURST_S, nowMs),
    });
  }

  /** Whether a response of this rank fits now. A region without a configured link is unlimited. */
  hasCapacity(to: RegionId, rank: Rank, nowMs: number): boolean {
    const link = this.#links.get(to);
    return link === undefined || link.bucket.available(nowMs) >= this.expectedResponseBytes(rank);
  }

  /** Charges sent bytes to a link. */
  charge(to: RegionId, bytes: number, nowMs: number): void {
    this.#links.get(to)?.bucket.charge(bytes, nowMs);
  }

  /** Updates the expected response size of a rank. */
  recordResponseSize(rank: Rank, bytes: number): void {
    this.#responseBytes[rank] = ewma(this.#responseBytes[rank], bytes);
  }

  expectedResponseBytes(rank: Rank): number {
    return this.#responseBytes[rank] ?? DEFAULT_RESPONSE_BYTES;
  }
}
