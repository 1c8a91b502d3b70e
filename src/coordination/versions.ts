/** Versions of the replicated items that one holder has taken in: they only go up. */
import type { ReplicaItem, ReplicaKey } from '../state/index.js';

export class ItemVersions {
  readonly #versions = new Map<ReplicaKey, number>();

  /** Notes an item's version. @returns whether it is above the one held. */
  advance(item: ReplicaItem): boolean {
    if (item.version <= (this.#versions.get(item.key) ?? 0)) return false;
    this.#versions.set(item.key, item.version);
    return true;
  }

  /** A version for a change made here: the wall time, or just above the one held. */
  next(key: ReplicaKey, wallMs: number): number {
    const version = Math.max(Math.floor(wallMs), (this.#versions.get(key) ?? 0) + 1);
    this.#versions.set(key, version);
    return version;
  }
}
