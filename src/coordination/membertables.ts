/**
 * Membership by gossip of heartbeat counters.
 *
 * Each agent increments its own counter and sends the freshest counters it knows to a few others. An
 * agent requests a full record only for a new revision. A member whose counter does not advance
 * within the failure timeout is considered dead. The platform's list and the configured seeds only
 * provide the first contacts.
 */
import type { EntryVmId, FailureDomainId, MemberHeartbeat, MemberRecord } from '../state/index.js';
import { rendezvousTop } from './rendezvous.js';

/** Shortest time without a new heartbeat after which a member is considered dead. */
export const FAILURE_TIMEOUT_MS = 3_000;

/** Extra failure timeout per known member: in a larger fleet, gossip takes more rounds. */
const FAILURE_TIMEOUT_MS_PER_MEMBER = 50;

const MAX_FAILURE_TIMEOUT_MS = 12_000;

/** Time after which dead members are removed and evicted ones may return. */
const RETENTION_MS = 60_000;

/** Bounds the message size, whatever the size of the fleet. */
export const MAX_PULSES_PER_MESSAGE = 48;

/** Bounds the members kept per remote failure domain, whatever the size of the fleet. */
export const MAX_MEMBERS_PER_REMOTE_DOMAIN = 4;

interface KnownMember {
  readonly record: MemberRecord;
  readonly lastHeardMs: number;
}

export class MemberTable {
  readonly #failureTimeoutMs: number;

  readonly #known = new Map<EntryVmId, KnownMember>();

  /** Members of other failure domains over the limit, whose pulses are ignored. */
  #evicted = new Set<EntryVmId>();

  #evictedSinceMs = 0;

  #self: MemberRecord;

  constructor(self: MemberRecord, failureTimeoutMs = FAILURE_TIMEOUT_MS) {
    this.#self = self;
    this.#failureTimeoutMs = failureTimeoutMs;
  }

  get self(): MemberRecord {
    return this.#self;
  }

  /** Advances this agent's heartbeat and applies changes to its own record. */
  advanceHeartbeat(changes: Partial<MemberRecord>, wallMs: number): void {
    const heartbeat = Math.max(this.#self.heartbeat + 1, Math.floor(wallMs));
    const changed = { ...this.#self, ...changes };
    const revision = contentDiffers(this.#self, changed) ? heartbeat : this.#self.revision;
    this.#self = { ...changed, heartbeat, revision };
  }

  /** Applies a received pulse. @returns whether the full record must be requested. */
  applyPulse(pulse: MemberHeartbeat, nowMs: number): boolean {
    if (pulse.id === this.#self.id) {
      this.#supersede(pulse);
      return false;
    }
    const known = this.#known.get(pulse.id);
    if (known === undefined && this.#evicted.has(pulse.id)) return false;
    if (known === undefined || pulse.revision > known.record.revision) return true;
    if (pulse.revision < known.record.revision) return false;
    if (pulse.heartbeat <= known.record.heartbeat) return false;
    const record = { ...known.record, heartbeat: pulse.heartbeat };
    this.#known.set(pulse.id, { record, lastHeardMs: nowMs });
    return false;
  }

  /** Merges a full record. */
  merge(record: MemberRecord, nowMs: number): void {
    if (record.id === this.#self.id) {
      this.#supersede(record);
      return;
    }
    const known = this.#known.get(record.id);
    if (known !== undefined && known.record.heartbeat >= record.heartbeat) return;
    this.#known.set(record.id, { record, lastHeardMs: nowMs });
    if (record.failureDomain !== this.#self.failureDomain) this.#evict(record.failureDomain, nowMs);
  }

  /** Evicts live members of another failure domain over the limit, lowest rendezvous rank first. */
  #evict(domain: FailureDomainId, nowMs: number): void {
    const ids = [...this.#known.values()]
      .filter((known) => known.record.failureDomain === domain && this.#isLive(known, nowMs))
      .map((known) => known.record.id);
    if (ids.length <= MAX_MEMBERS_PER_REMOTE_DOMAIN) return;
    const keptIds = rendezvousTop(domain, ids, MAX_MEMBERS_PER_REMOTE_DOMAIN);
    ids
      .filter((id) => !keptIds.includes(id))
      .forEach((id) => {
        this.#known.delete(id);
        this.#evicted.add(id);
      });
  }

  /** The known records among the given ids. */
  records(ids: readonly EntryVmId[]): MemberRecord[] {
    return ids.flatMap((id) =>
      id === this.#self.id ? [this.#self] : (this.#known.get(id)?.record ?? []),
    );
  }

  /** All live members, this one first. */
  live(nowMs: number): readonly MemberRecord[] {
    const others = [...this.#known.values()].filter((known) => this.#isLive(known, nowMs));
    return [this.#self, ...others.map((known) => known.record)];
  }

  /** Members without a recent heartbeat: dead, or partitioned from this agent. */
  unresponsive(nowMs: number): readonly MemberRecord[] {
    return [...this.#known.values()]
      .filter((known) => !this.#isLive(known, nowMs))
      .map((known) => known.record);
  }

  /** The freshest pulses, this member's own first. */
  freshestPulses(nowMs: number): MemberHeartbeat[] {
    const others = [...this.#known.values()]
      .filter((known) => this.#isLive(known, nowMs))
      .sort((a, b) => b.lastHeardMs - a.lastHeardMs)
      .slice(0, MAX_PULSES_PER_MESSAGE - 1);
    return [this.#self, ...others.map((known) => known.record)].map(
      ({ id, heartbeat, revision }) => ({ id, heartbeat, revision }),
    );
  }

  /** Removes long-dead members, and periodically lets evicted ones return. */
  expire(nowMs: number): void {
    if (nowMs - this.#evictedSinceMs > RETENTION_MS) {
      this.#evicted = new Set();
      this.#evictedSinceMs = nowMs;
    }
    this.#known.forEach((known, id) => {
      if (nowMs - known.lastHeardMs > RETENTION_MS) this.#known.delete(id);
    });
  }

  /** Supersedes the record of an earlier process with this id, whose heartbeat may be ahead. */
  #supersede({ heartbeat }: MemberHeartbeat): void {
    if (heartbeat <= this.#self.heartbeat) return;
    this.#self = { ...this.#self, heartbeat: heartbeat + 1, revision: heartbeat + 1 };
  }

  #isLive(known: KnownMember, nowMs: number): boolean {
    const extraMs = FAILURE_TIMEOUT_MS_PER_MEMBER * this.#known.size;
    return (
      nowMs - known.lastHeardMs <=
      Math.min(MAX_FAILURE_TIMEOUT_MS, this.#failureTimeoutMs + extraMs)
    );
  }
}

function contentDiffers(a: MemberRecord, b: MemberRecord): boolean {
  return serializeContent(a) !== serializeContent(b);
}

/** Serializes a record without its counters, for comparison. */
function serializeContent(record: MemberRecord): string {
  return JSON.stringify({ ...record, heartbeat: 0, revision: 0 });
}
