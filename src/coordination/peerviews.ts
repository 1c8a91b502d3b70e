/** Liveness of the entry VMs by their heartbeats, and the addresses that callers receive. */
import { hashText } from '../state/index.js';
import type {
  Endpoint,
  EntryVmId,
  FailureDomainId,
  Incarnation,
  RegionId,
} from '../state/index.js';
import type { CrashReport } from './crashquarantines.js';
import { FACT_KINDS } from './fleetviews.js';
import type { FactSnapshot, Revisions } from './fleetviews.js';
import type { LoadSighting } from './loadsightings.js';
import type { LeavingServer } from './servernotices.js';

/** Addresses of an entry VM. Each one writes its record to the platform's store once. */
export interface PeerRecord {
  readonly id: EntryVmId;
  readonly failureDomain: FailureDomainId;
  readonly region: RegionId;
  readonly callerAddress: Endpoint;
  /** Address for heartbeats and for requests for facts. */
  readonly peerAddress: Endpoint;
}

/** Changes for entry VMs that have all facts up to the revisions `since`. */
export interface FactChanges {
  readonly since: Revisions;
  readonly snapshot: FactSnapshot;
}

/** State that an entry VM sends to the others several times a second. */
export interface Heartbeat {
  readonly peer: PeerRecord;
  readonly incarnation: Incarnation;
  readonly ready: boolean;
  readonly stopping: boolean;
  /** Whether it watches the platform's store and receives responses. */
  readonly watching: boolean;
  readonly revisions: Revisions;
  /** Live entry VMs of the sender's region, sent to other regions; of its failure domain, sent within its region. */
  readonly near: readonly EntryVmId[];
  /** Loads of backend servers, sent within the sender's failure domain. */
  readonly sightings: readonly LoadSighting[];
  /** Facts that the sender has just received from the store, sent within its region. */
  readonly changes?: FactChanges | undefined;
  /** Content that crashed backend servers, sent to a few recipients. */
  readonly crashReports: readonly CrashReport[];
  /** Backend servers that announced in responses to the sender that they leave. */
  readonly leaving: readonly LeavingServer[];
}

interface KnownPeer {
  record: PeerRecord;
  incarnation: Incarnation | undefined;
  ready: boolean;
  stopping: boolean;
  watching: boolean;
  lastHeartbeatMs: number;
  /** Time of the last failure to fetch newer facts from it. */
  lastFetchFailureMs: number;
  revisions: Revisions | undefined;
}

/** Time without a heartbeat after which an entry VM counts as dead. */
const HEARTBEAT_TIMEOUT_MS = 2_500;

/**
 * Age at which the word of a peer of the region counts for others of its failure domain. Without it, one that
 * has died would be reported from domain to domain and then from region to region for as long each time.
 */
const REPORTED_AGE_MS = 1_500;

/** Time before facts are fetched again from an entry VM after a failure. */
const FETCH_RETRY_DELAY_MS = 1_000;

/** Entry VMs of a region that watch the platform's store on behalf of the others. */
const WATCHERS_PER_REGION = 2;

/** Limit on the entry VMs that try to watch while those before them receive no responses. */
const MAX_WATCHERS_PER_REGION = 6;

/** Maximum number of addresses returned to a caller. */
const MAX_ADDRESSES = 64;

export class PeerView {
  readonly #self: PeerRecord;

  readonly #peers = new Map<EntryVmId, KnownPeer>();

  #listed = false;

  /** When others have had time to be heard. */
  readonly #settledMs: number;

  /** @param startedMs - when this entry VM started, monotonic. */
  constructor(self: PeerRecord, startedMs = -Infinity) {
    this.#self = self;
    this.#settledMs = startedMs + HEARTBEAT_TIMEOUT_MS;
  }

  /** Records of all known entry VMs except this one. */
  get records(): readonly PeerRecord[] {
    return [...this.#peers.values()].map((peer) => peer.record);
  }

  /**
   * Number of entry VMs that may be running, this one included, among which shared budgets are divided;
   * `Infinity` until the store has listed them, since heartbeats alone may show only a few.
   */
  get sharingBudgets(): number {
    return this.#listed ? this.#peers.size + 1 : Infinity;
  }

  /** Adds the store's list of entry VMs. */
  addList(records: readonly PeerRecord[]): void {
    this.#listed = true;
    records.forEach((record) => this.addRecord(record));
  }

  /** Adds or updates the record of an entry VM. Does not affect its liveness. */
  addRecord(record: PeerRecord): void {
    if (record.id === this.#self.id) return;
    const known = this.#peers.get(record.id);
    if (known === undefined) {
      this.#peers.set(record.id, {
        record,
        incarnation: undefined,
        ready: false,
        stopping: false,
        watching: false,
        lastHeartbeatMs: -Infinity,
        lastFetchFailureMs: -Infinity,
        revisions: undefined,
      });
    } else known.record = record;
  }

  remove(id: EntryVmId): void {
    this.#peers.delete(id);
  }

  /** Records a heartbeat. @returns whether the entry VM was not live before. */
  recordHeartbeat(heartbeat: Heartbeat, nowMs: number): boolean {
    const { peer, incarnation, ready, stopping, watching, revisions, near } = heartbeat;
    if (peer.id === this.#self.id) return false;
    this.addRecord(peer);
    const known = this.#peers.get(peer.id);
    if (known === undefined) return false;
    const wasLive = isLive(known, nowMs);
    Object.assign(known, {
      incarnation,
      ready,
      stopping,
      watching,
      revisions,
      lastHeartbeatMs: nowMs,
    });
    const ageMs = peer.region === this.#self.region ? REPORTED_AGE_MS : 0;
    this.#recordReported(near, nowMs - ageMs, nowMs);
    return !wasLive;
  }

  /**
   * Records entry VMs of another failure domain as live because a peer there reports them. One that
   * announced itself that it stops stays so until it has been silent.
   */
  #recordReported(ids: readonly EntryVmId[], heardMs: number, nowMs: number): void {
    ids.forEach((id) => {
      const known = this.#peers.get(id);
      if (known === undefined || known.record.failureDomain === this.#self.failureDomain) return;
      if (known.stopping && isLive(known, nowMs)) return;
      if (heardMs <= known.lastHeartbeatMs) return;
      Object.assign(known, { lastHeartbeatMs: heardMs, ready: true, stopping: false });
    });
  }

  /** Live entry VMs, this one included. */
  live(nowMs: number): readonly EntryVmId[] {
    const others = [...this.#peers.values()].filter((peer) => isLive(peer, nowMs));
    return [this.#self.id, ...others.map((peer) => peer.record.id)];
  }

  /**
   * Entry VMs among which work is divided by name, this one included. An entry VM that has just started has not
   * heard the others yet: until it would have, all that the store lists count, and without a list nobody, so that
   * entry VMs that start together do not each take the work of all.
   */
  sharing(nowMs: number): readonly EntryVmId[] {
    if (nowMs >= this.#settledMs) return this.live(nowMs);
    return this.#listed ? [this.#self.id, ...this.#peers.keys()] : [];
  }

  /** Counts the live entry VMs of this one's failure domain, this one included. */
  countLiveInDomain(nowMs: number): number {
    const others = [...this.#peers.values()].filter(
      (peer) => isLive(peer, nowMs) && peer.record.failureDomain === this.#self.failureDomain,
    );
    return others.length + 1;
  }

  /** Live and ready entry VMs of this region, for heartbeats to other regions. */
  readyInRegion(nowMs: number, selfReady: boolean): readonly EntryVmId[] {
    return this.#readyWhere(nowMs, selfReady, (peer) => peer.region === this.#self.region);
  }

  /** Live and ready entry VMs of this failure domain, for heartbeats to others of the region. */
  readyInDomain(nowMs: number, selfReady: boolean): readonly EntryVmId[] {
    const { failureDomain } = this.#self;
    return this.#readyWhere(nowMs, selfReady, (peer) => peer.failureDomain === failureDomain);
  }

  #readyWhere(
    nowMs: number,
    selfReady: boolean,
    isIncluded: (peer: PeerRecord) => boolean,
  ): readonly EntryVmId[] {
    const others = [...this.#peers.values()].filter(
      (peer) => acceptsRequests(peer, nowMs) && isIncluded(peer.record),
    );
    return [...(selfReady ? [this.#self.id] : []), ...others.map((peer) => peer.record.id)];
  }

  /**
   * Whether this entry VM should watch the platform's store itself. The other entry VMs of the region get
   * the facts from its watchers, which are in different failure domains as far as possible.
   */
  shouldWatch(nowMs: number): boolean {
    const inRegion = [...this.#peers.values()].filter(
      (peer) => isLive(peer, nowMs) && !peer.stopping && peer.record.region === this.#self.region,
    );
    const watching = new Set(
      inRegion.filter((peer) => peer.watching).map((peer) => peer.record.id),
    );
    const order = orderWatchers([this.#self, ...inRegion.map((peer) => peer.record)]);
    const before = order.slice(0, order.indexOf(this.#self.id));
    const watchingBefore = before.filter((id) => watching.has(id)).length;
    return watchingBefore < WATCHERS_PER_REGION && before.length < MAX_WATCHERS_PER_REGION;
  }

  /** Records that fetching facts from an entry VM failed. */
  recordFetchFailure(id: EntryVmId, nowMs: number): void {
    const known = this.#peers.get(id);
    if (known !== undefined) known.lastFetchFailureMs = nowMs;
  }

  /** Nearest live entry VM with newer facts, except those with a recent fetch failure. */
  findNewer(ownRevisions: Revisions, nowMs: number): PeerRecord | undefined {
    const candidates = [...this.#peers.values()].filter(
      (peer) =>
        isLive(peer, nowMs) &&
        nowMs - peer.lastFetchFailureMs >= FETCH_RETRY_DELAY_MS &&
        FACT_KINDS.some((kind) => (peer.revisions?.[kind] ?? 0) > ownRevisions[kind]),
    );
    const { failureDomain, region } = this.#self;
    const nearest =
      candidates.find((peer) => peer.record.failureDomain === failureDomain) ??
      candidates.find((peer) => peer.record.region === region) ??
      candidates[0];
    return nearest?.record;
  }

  /**
   * Addresses for a caller: ready entry VMs of its failure domain, else of its region, else of any.
   *
   * @param selfReady - whether this entry VM accepts requests itself.
   */
  addressesFor(
    domain: FailureDomainId,
    region: RegionId,
    selfReady: boolean,
    nowMs: number,
  ): readonly Endpoint[] {
    const ready = [...this.#peers.values()]
      .filter((peer) => acceptsRequests(peer, nowMs))
      .map((peer) => peer.record);
    if (selfReady) ready.push(this.#self);
    const candidateLists = [
      ready.filter((peer) => peer.failureDomain === domain),
      ready.filter((peer) => peer.region === region),
      ready,
      [this.#self],
    ];
    const selected = candidateLists.find((candidates) => candidates.length > 0) ?? [];
    return selected.slice(0, MAX_ADDRESSES).map((peer) => peer.callerAddress);
  }
}

/**
 * Order in which entry VMs are to watch, the same on all of them: by hash, the first of each failure domain
 * before the second of any.
 */
function orderWatchers(records: readonly PeerRecord[]): readonly EntryVmId[] {
  const domains = new Map<FailureDomainId, { id: EntryVmId; hash: number }[]>();
  records.forEach(({ id, failureDomain }) => {
    const inDomain = domains.get(failureDomain) ?? [];
    inDomain.push({ id, hash: hashText(id) });
    domains.set(failureDomain, inDomain);
  });
  const byHash = (a: { id: string; hash: number }, b: { id: string; hash: number }): number =>
    a.hash - b.hash || (a.id < b.id ? -1 : 1);
  const ranked = [...domains.values()].flatMap((inDomain) =>
    inDomain.sort(byHash).map((candidate, rank) => ({ ...candidate, rank })),
  );
  return ranked.sort((a, b) => a.rank - b.rank || byHash(a, b)).map(({ id }) => id);
}

function isLive(peer: KnownPeer, nowMs: number): boolean {
  return nowMs - peer.lastHeartbeatMs < HEARTBEAT_TIMEOUT_MS;
}

function acceptsRequests(peer: KnownPeer, nowMs: number): boolean {
  return isLive(peer, nowMs) && peer.ready && !peer.stopping;
}
