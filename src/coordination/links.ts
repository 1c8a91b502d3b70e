/** Keeps the bytes sent over links between regions under this entry VM's part of their capacity. */
import type { Rank, RegionId } from '../state/index.js';
import { TokenBucket } from './budgets.js';
import { ewma } from './slots.js';

const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT = 1_000_000;

/** Time over which unused capacity is saved up, in seconds. */
const BURST_S = 0.25;

/** Size assumed of an answer before one was seen, in bytes. */
const FIRST_ANSWER_BYTES = 16_384;

interface Link {
  bucket: TokenBucket;
  bytesPerS: number;
}

/** Budgets of the links that start in this entry VM's region. */
export class LinkBudgets {
  readonly #links = new Map<RegionId, Link>();

  readonly #answerBytes: Partial<Record<Rank, number>> = {};

  /**
   * Sets a link's capacity.
   *
   * @param senders - entry VMs that share the link; each gets an equal part.
   */
  configure(to: RegionId, mbitPerS: number, senders: number, nowMs: number): void {
    const bytesPerS = (mbitPerS * BITS_PER_MEGABIT) / BITS_PER_BYTE / Math.max(1, senders);
    if (this.#links.get(to)?.bytesPerS === bytesPerS) return;
    this.#links.set(to, {
      bytesPerS,
      bucket: new TokenBucket(bytesPerS, bytesPerS * BURST_S, nowMs),
    });
  }

  /** Whether an answer of this rank fits now. A region without a known link has no limit. */
  hasRoom(to: RegionId, rank: Rank, nowMs: number): boolean {
    const link = this.#links.get(to);
    return link === undefined || link.bucket.available(nowMs) >= this.expected(rank);
  }

  /** Counts bytes that were sent. */
  charge(to: RegionId, bytes: number, nowMs: number): void {
    this.#links.get(to)?.bucket.charge(bytes, nowMs);
  }

  /** Learns the size of an answer. */
  learn(rank: Rank, bytes: number): void {
    this.#answerBytes[rank] = ewma(this.#answerBytes[rank], bytes);
  }

  /** Bytes expected of an answer. */
  expected(rank: Rank): number {
    return this.#answerBytes[rank] ?? FIRST_ANSWER_BYTES;
  }
}
