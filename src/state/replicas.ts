/** Versioned items that every agent holds a copy of. A version only ever goes up. */
import { z } from 'zod';
import { hashText } from './hashes.js';

/** Names a replicated item, such as `settings:fleet`. */
export const ReplicaKey = z.string().max(300).brand<'ReplicaKey'>();
export type ReplicaKey = z.infer<typeof ReplicaKey>;

/** One item at one version. */
export const ReplicaItem = z.object({
  key: ReplicaKey,
  version: z.number().int().nonnegative(),
  /** JSON; null stands for a deleted item, a tombstone. */
  body: z.unknown(),
});
export type ReplicaItem = z.infer<typeof ReplicaItem>;

/** A key and the version held of it. */
export const ReplicaVersion = ReplicaItem.omit({ body: true });
export type ReplicaVersion = z.infer<typeof ReplicaVersion>;

/** Buckets of a digest. Two copies compare these before they compare versions. */
export const DIGEST_BUCKETS = 64;

function versionHash(key: ReplicaKey, version: number): number {
  return hashText(`${key}@${version}`);
}

/** A replicated table with a digest that is kept up to date by each merge. */
export class ReplicaTable {
  readonly #items = new Map<ReplicaKey, ReplicaItem>();

  readonly #keysByBucket: Set<ReplicaKey>[] = Array.from(
    { length: DIGEST_BUCKETS },
    () => new Set<ReplicaKey>(),
  );

  readonly #digest: number[] = new Array<number>(DIGEST_BUCKETS).fill(0);

  get size(): number {
    return this.#items.size;
  }

  get(key: ReplicaKey): ReplicaItem | undefined {
    return this.#items.get(key);
  }

  version(key: ReplicaKey): number {
    return this.#items.get(key)?.version ?? 0;
  }

  items(): readonly ReplicaItem[] {
    return [...this.#items.values()];
  }

  /** Takes an item in if its version is above the one held. @returns whether it was. */
  merge(item: ReplicaItem): boolean {
    const held = this.#items.get(item.key);
    if (held !== undefined && held.version >= item.version) return false;
    const bucket = hashText(item.key) % DIGEST_BUCKETS;
    const before = held === undefined ? 0 : versionHash(held.key, held.version);
    const after = versionHash(item.key, item.version);
    this.#digest[bucket] = ((this.#digest[bucket] ?? 0) ^ before ^ after) >>> 0;
    this.#keysByBucket[bucket]?.add(item.key);
    this.#items.set(item.key, item);
    return true;
  }

  /** One hash for each bucket. */
  digest(): readonly number[] {
    return [...this.#digest];
  }

  /** Versions held in the buckets whose hash differs from the other copy's. */
  versionsWhereDiffers(other: readonly number[]): readonly ReplicaVersion[] {
    return this.#digest.flatMap((hash, bucket) =>
      hash === other[bucket]
        ? []
        : [...(this.#keysByBucket[bucket] ?? [])].map((key) => ({
            key,
            version: this.version(key),
          })),
    );
  }

  /** Items that the other copy lacks or holds at a lower version, out of the differing buckets. */
  newerThan(
    theirs: readonly ReplicaVersion[],
    theirDigest: readonly number[],
  ): readonly ReplicaItem[] {
    const versions = new Map(theirs.map((each) => [each.key, each.version]));
    return this.versionsWhereDiffers(theirDigest)
      .filter((each) => each.version > (versions.get(each.key) ?? 0))
      .flatMap((each) => this.#items.get(each.key) ?? []);
  }
}
