/** Highest version of each replicated item that one component has applied. */
import type { ReplicaItem, ReplicaKey } from '../state/index.js';

export class ItemVersions {
  readonly #versions = new Map<ReplicaKey, number>();

  /** Records an item's version. @returns whether it is newer than the recorded one. */
  advance(item: ReplicaItem): boolean {
    if (item.version <= (this.#versions.get(item.key) ?? 0)) return false;
    this.#versions.set(item.key, item.version);
    return true;
  }

  /** Allocates a version for a local change: the wall time, or one above the recorded version. */
  next(key: ReplicaKey, wallMs: number): number {
    const version = Math.max(Math.floor(wallMs), (this.#versions.get(key) ?? 0) + 1);
    this.#versions.set(key, version);
    return version;
  }
}
