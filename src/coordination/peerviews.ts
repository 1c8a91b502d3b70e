/** Which entry VMs are live, from their heartbeats, and which of them a caller is told to use. */
import { hashText } from '../state/index.js';
import type {
  Endpoint,
  EntryVmId,
  FailureDomainId,
  Incarnation,
  RegionId,
} from '../state/index.js';
import { FACT_KINDS } from './fleetviews.js';
import type { Revisions } from './fleetviews.js';
import type { LoadSighting } from './sightings.js';

/** Where an entry VM is reached. It writes this once to the platform's store. */
export interface PeerRecord {
  readonly id: EntryVmId;
  readonly failureDomain: FailureDomainId;
  readonly region: RegionId;
  readonly callerAddress: Endpoint;
  /** Where it takes heartbeats and hands out its facts. */
  readonly peerAddress: Endpoint;
}

/** What an entry VM tells others of itself, several times a second. */
export interface Heartbeat {
  readonly peer: PeerRecord;
  readonly incarnation: Incarnation;
  readonly ready: boolean;
  readonly stopping: boolean;
  /** Whether it watches the platform's store and gets answers. */
  readonly watching: boolean;
  readonly revisions: Revisions;
  /** Live entry VMs of the sender's region, for those of other regions. */
  readonly near: readonly EntryVmId[];
  /** Loads of backend servers, for those of the sender's failure domain. */
  readonly sightings: readonly LoadSighting[];
}

interface KnownPeer {
  record: PeerRecord;
  incarnation: Incarnation | undefined;
  ready: boolean;
  stopping: boolean;
  watching: boolean;
  heardMs: number;
  /** When it last failed to hand over facts that it said to have. */
  failedMs: number;
  revisions: Revisions | undefined;
}

/** Silence after which an entry VM counts as dead, in milliseconds. */
const SILENT_MS = 2_500;

/** Time for which an entry VM that did not hand over its facts is not asked again, in milliseconds. */
const FAILED_MS = 1_000;

/** Entry VMs of a failure domain that watch the platform's store for the others. */
const WATCHERS = 2;

/** Entry VMs of a failure domain that try to, while others before them get no answers. */
const MOST_WATCHERS = 4;

/** Most addresses that a caller is told. */
const MAX_ADDRESSES = 64;

export class PeerView {
  readonly #self: PeerRecord;

  readonly #peers = new Map<EntryVmId, KnownPeer>();

  constructor(self: PeerRecord) {
    this.#self = self;
  }

  /** All entry VMs known but this one. */
  get records(): readonly PeerRecord[] {
    return [...this.#peers.values()].map((peer) => peer.record);
  }

  /** Takes in where an entry VM is, without a word on whether it lives. */
  list(record: PeerRecord): void {
    if (record.id === this.#self.id) return;
    const known = this.#peers.get(record.id);
    if (known === undefined) {
      this.#peers.set(record.id, {
        record,
        incarnation: undefined,
        ready: false,
        stopping: false,
        watching: false,
        heardMs: -Infinity,
        failedMs: -Infinity,
        revisions: undefined,
      });
    } else known.record = record;
  }

  remove(id: EntryVmId): void {
    this.#peers.delete(id);
  }

  /** Takes in a heartbeat. True when the entry VM was not live before. */
  heard(heartbeat: Heartbeat, nowMs: number): boolean {
    const { peer, incarnation, ready, stopping, watching, revisions, near } = heartbeat;
    if (peer.id === this.#self.id) return false;
    this.list(peer);
    const known = this.#peers.get(peer.id);
    if (known === undefined) return false;
    const wasLive = isLive(known, nowMs);
    Object.assign(known, {
      incarnation,
      ready,
      stopping,
      watching,
      revisions,
      heardMs: nowMs,
    });
    if (peer.region !== this.#self.region) this.#vouched(near, nowMs);
    return !wasLive;
  }

  /** Takes the word of one that hears them for entry VMs of another region. */
  #vouched(ids: readonly EntryVmId[], nowMs: number): void {
    ids.forEach((id) => {
      const known = this.#peers.get(id);
      if (known === undefined || known.record.region === this.#self.region) return;
      Object.assign(known, { heardMs: nowMs, ready: true, stopping: false });
    });
  }

  /** Live entry VMs, this one included. */
  live(nowMs: number): readonly EntryVmId[] {
    const others = [...this.#peers.values()].filter((peer) => isLive(peer, nowMs));
    return [this.#self.id, ...others.map((peer) => peer.record.id)];
  }

  /** Number of live entry VMs in this one's failure domain, this one included. */
  sharers(nowMs: number): number {
    const others = [...this.#peers.values()].filter(
      (peer) => isLive(peer, nowMs) && peer.record.failureDomain === this.#self.failureDomain,
    );
    return others.length + 1;
  }

  /** Live and ready entry VMs of this one's region, for heartbeats to other regions. */
  near(nowMs: number, selfReady: boolean): readonly EntryVmId[] {
    const others = [...this.#peers.values()].filter(
      (peer) => takesWork(peer, nowMs) && peer.record.region === this.#self.region,
    );
    return [...(selfReady ? [this.#self.id] : []), ...others.map((peer) => peer.record.id)];
  }

  /**
   * Whether this entry VM is to watch the platform's store itself. Others of its failure domain take
   * the facts from those that do.
   */
  isWatcher(nowMs: number): boolean {
    const self = watchRank(this.#self.id);
    const before = [...this.#peers.values()].filter(
      (peer) =>
        isLive(peer, nowMs) &&
        !peer.stopping &&
        peer.record.failureDomain === this.#self.failureDomain &&
        watchRank(peer.record.id) < self,
    );
    const working = before.filter((peer) => peer.watching).length;
    return working < WATCHERS && before.length < MOST_WATCHERS;
  }

  /** Notes that an entry VM did not hand over its facts. */
  failed(id: EntryVmId, nowMs: number): void {
    const known = this.#peers.get(id);
    if (known !== undefined) known.failedMs = nowMs;
  }

  /** The nearest live entry VM with newer facts that has not just failed to hand them over. */
  ahead(mine: Revisions, nowMs: number): PeerRecord | undefined {
    const peers = [...this.#peers.values()].filter(
      (peer) =>
        isLive(peer, nowMs) &&
        nowMs - peer.failedMs >= FAILED_MS &&
        FACT_KINDS.some((kind) => (peer.revisions?.[kind] ?? 0) > mine[kind]),
    );
    const { failureDomain, region } = this.#self;
    const nearest =
      peers.find((peer) => peer.record.failureDomain === failureDomain) ??
      peers.find((peer) => peer.record.region === region) ??
      peers[0];
    return nearest?.record;
  }

  /**
   * Addresses for a caller: entry VMs of its failure domain, else of its region, else any.
   *
   * @param selfReady - whether this entry VM takes work itself.
   */
  addressesFor(
    domain: FailureDomainId,
    region: RegionId,
    selfReady: boolean,
    nowMs: number,
  ): readonly Endpoint[] {
    const ready = [...this.#peers.values()]
      .filter((peer) => takesWork(peer, nowMs))
      .map((peer) => peer.record);
    if (selfReady) ready.push(this.#self);
    const choices = [
      ready.filter((peer) => peer.failureDomain === domain),
      ready.filter((peer) => peer.region === region),
      ready,
      [this.#self],
    ];
    const chosen = choices.find((choice) => choice.length > 0) ?? [];
    return chosen.slice(0, MAX_ADDRESSES).map((peer) => peer.callerAddress);
  }
}

/** The order in which entry VMs are to watch: the same everywhere, and spread over the VMs. */
function watchRank(id: EntryVmId): string {
  return `${String(hashText(id)).padStart(10, '0')} ${id}`;
}

function isLive(peer: KnownPeer, nowMs: number): boolean {
  return nowMs - peer.heardMs < SILENT_MS;
}

function takesWork(peer: KnownPeer, nowMs: number): boolean {
  return isLive(peer, nowMs) && peer.ready && !peer.stopping;
}
