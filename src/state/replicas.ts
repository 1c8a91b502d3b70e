/** Versioned items replicated to every agent. Versions only increase. */
import * as z from 'zod';
import { hashText } from './hashes.js';

/** Key of a replicated item, such as `settings:fleet`. */
export const ReplicaKey = z.string().max(300).brand<'ReplicaKey'>();
export type ReplicaKey = z.infer<typeof ReplicaKey>;

/** One item at one version. */
export const ReplicaItem = z.object({
  key: ReplicaKey,
  version: z.number().int().nonnegative(),
  /** JSON value; null is a tombstone. */
  body: z.unknown(),
});
export type ReplicaItem = z.infer<typeof ReplicaItem>;

/** A key and the version held by a replica. */
export const ReplicaVersion = ReplicaItem.omit({ body: true });
export type ReplicaVersion = z.infer<typeof ReplicaVersion>;

/** Number of buckets in a digest. Replicas compare bucket hashes before they compare versions. */
export const DIGEST_BUCKETS = 64;

function versionHash(key: ReplicaKey, version: number): number {
  return hashText(`${key}@${version}`);
}

/** Replica of the item table, with a digest that each merge updates incrementally. */
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

  /** Stores the item if its version is higher than the one held. @returns whether it was stored. */
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

  /** Returns one hash for each bucket. */
  digest(): readonly number[] {
    return [...this.#digest];
  }

  /** Lists the versions in the buckets whose hash differs from the remote replica's. */
  versionsInDifferingBuckets(remoteDigest: readonly number[]): readonly ReplicaVersion[] {
    return this.#digest.flatMap((hash, bucket) =>
      hash === remoteDigest[bucket]
        ? []
        : [...(this.#keysByBucket[bucket] ?? [])].map((key) => ({
            key,
            version: this.version(key),
          })),
    );
  }

  /** Lists items in differing buckets that the remote replica lacks or holds at a lower version. */
  itemsNewerThan(
    remoteVersions: readonly ReplicaVersion[],
    remoteDigest: readonly number[],
  ): readonly ReplicaItem[] {
    const versionByKey = new Map(remoteVersions.map((remote) => [remote.key, remote.version]));
    return this.versionsInDifferingBuckets(remoteDigest)
      .filter((local) => local.version > (versionByKey.get(local.key) ?? 0))
      .flatMap((local) => this.#items.get(local.key) ?? []);
  }
}
