/** Which entry VMs are live, from their heartbeats, and which of them a caller is told to use. */
import { hashText } from '../state/index.js';
import type {
  Endpoint,
  EntryVmId,
  FailureDomainId,
  Incarnation,
  RegionId,
} from '../state/index.js';
import { drawTakers } from './callershares.js';
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
  /** Share of its callers that it can take, 0 to 1. */
  readonly callerShare: number;
  readonly revisions: Revisions;
  /** Live entry VMs of the sender's region, for those of other regions. */
  readonly near: readonly EntryVmId[];
  /** Loads of backend servers, for those of the sender's failure domain. */
  readonly sightings: readonly LoadSighting[];
}

/** Where a caller is. */
export interface Place {
  readonly failureDomain: FailureDomainId;
  readonly region: RegionId;
}

/** What a caller is told. */
export interface CallerTargets {
  readonly addresses: readonly Endpoint[];
  /** Whether none of them is in the caller's failure domain. */
  readonly ledAway: boolean;
}

interface KnownPeer {
  record: PeerRecord;
  incarnation: Incarnation | undefined;
  ready: boolean;
  stopping: boolean;
  watching: boolean;
  callerShare: number;
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
        callerShare: 1,
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
    const { peer, near, sightings, ...told } = heartbeat;
    if (peer.id === this.#self.id) return false;
    this.list(peer);
    const known = this.#peers.get(peer.id);
    if (known === undefined) return false;
    const wasLive = isLive(known, nowMs);
    Object.assign(known, told, { heardMs: nowMs });
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
   * Where a caller is told to go: entry VMs of its failure domain, or others of its region while those
   * are overloaded; without any in its failure domain those of its region, else any.
   *
   * @param self - whether this entry VM takes work itself, and the share of its callers that it can take.
   * @param random - draws from 0 to 1.
   */
  addressesFor(
    { failureDomain, region }: Place,
    self: { readonly ready: boolean; readonly share: number },
    nowMs: number,
    random: () => number,
  ): CallerTargets {
    const ready = [...this.#peers.values()]
      .filter((peer) => takesWork(peer, nowMs))
      .map(({ record, callerShare }) => ({ record, share: callerShare }));
    if (self.ready) ready.push({ record: this.#self, share: self.share });
    const inRegion = ready.filter(({ record }) => record.region === region);
    const home = inRegion.filter(({ record }) => record.failureDomain === failureDomain);
    const others = inRegion.filter(({ record }) => record.failureDomain !== failureDomain);
    const choices = [home, inRegion, ready, [{ record: this.#self, share: self.share }]];
    const chosen = choices.find((choice) => choice.length > 0) ?? [];
    const drawn = drawTakers(chosen, chosen === home ? others : [], random);
    return {
      addresses: drawn.slice(0, MAX_ADDRESSES).map(({ record }) => record.callerAddress),
      ledAway: drawn.every(({ record }) => record.failureDomain !== failureDomain),
    };
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
