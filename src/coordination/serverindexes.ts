/**
 * Servers of a region, ranked for a key by rendezvous hashing. All entry VMs rank alike, so an object's
 * requests that its home server can't take meet at the same few other servers, which then have it warm.
 */
import { hashText } from '../state/index.js';
import type { FailureDomainId, RegionId } from '../state/index.js';
import type { KnownServer } from './fleetviews.js';

interface IndexedServer {
  readonly server: KnownServer;
  readonly hash: number;
}

/** Servers by region, in no order. */
export type RegionIndex = ReadonlyMap<RegionId, readonly IndexedServer[]>;

/** Multipliers and shifts of the 32-bit finalizer of MurmurHash3. */
const FIRST_MULTIPLIER = 0x85ebca6b;
const SECOND_MULTIPLIER = 0xc2b2ae35;
const OUTER_SHIFT = 16;
const INNER_SHIFT = 13;

/** Mixes the hash of a key with that of a candidate, without hashing their texts again. */
function mixHashes(keyHash: number, candidateHash: number): number {
  let mixed = keyHash ^ Math.imul(candidateHash, FIRST_MULTIPLIER);
  mixed = Math.imul(mixed ^ (mixed >>> OUTER_SHIFT), FIRST_MULTIPLIER);
  mixed = Math.imul(mixed ^ (mixed >>> INNER_SHIFT), SECOND_MULTIPLIER);
  return (mixed ^ (mixed >>> OUTER_SHIFT)) >>> 0;
}

/** Groups servers by region, with the hash of each id. Servers of unknown failure domains are left out. */
export function indexByRegion(
  servers: readonly KnownServer[],
  regions: ReadonlyMap<FailureDomainId, RegionId>,
): RegionIndex {
  const index = new Map<RegionId, IndexedServer[]>();
  servers.forEach((server) => {
    const region = regions.get(server.record.failureDomain);
    if (region === undefined) return;
    const indexed = { server, hash: hashText(server.record.id) };
    const inRegion = index.get(region);
    if (inRegion === undefined) index.set(region, [indexed]);
    else inRegion.push(indexed);
  });
  return index;
}

/** Ranks servers for a key, the best first. */
export function rankServers(
  key: string,
  servers: readonly IndexedServer[],
  isEligible: (server: KnownServer) => boolean,
): readonly KnownServer[] {
  const keyHash = hashText(key);
  return servers
    .filter(({ server }) => isEligible(server))
    .map(({ server, hash }) => ({ server, score: mixHashes(keyHash, hash) }))
    .sort((a, b) => b.score - a.score || (a.server.record.id < b.server.record.id ? -1 : 1))
    .map(({ server }) => server);
}
