/**
 * Membership by gossip of heartbeat counters.
 *
 * Each agent raises its own counter and tells a few others the freshest counters it knows. The rest
 * of a record is asked for only when its revision is new. A member whose counter stands still for `failureMs` is believed dead. The platform's list and the
 * configured seeds only say whom to talk to first.
 */
import type { EntryVmId, FailureDomainId, MemberPulse, MemberRecord } from '../state/index.js';
import { rendezvousTop } from './rendezvous.js';

/** Least time without a new heartbeat after which a member is believed dead, in milliseconds. */
export const FAILURE_MS = 3_000;

/** What each known member adds to that time, since news then takes more rounds, in milliseconds. */
const FAILURE_MS_PER_MEMBER = 50;

const MAX_FAILURE_MS = 12_000;

/** Time after which a dead member is forgotten, in milliseconds. */
const FORGET_MS = 60_000;

/** Pulses in one message, so that its size does not grow with the fleet. */
export const MAX_PULSES = 48;

/** Members kept of each other failure domain, so that a table does not grow with the fleet. */
export const MAX_REMOTE_MEMBERS = 4;

interface Known {
  readonly record: MemberRecord;
  readonly heardMs: number;
}

export class MemberTable {
  readonly #failureMs: number;

  readonly #known = new Map<EntryVmId, Known>();

  /** Members of other failure domains that are not kept; tried again after a while. */
  #passedOver = new Set<EntryVmId>();

  #passedOverSinceMs = 0;

  #self: MemberRecord;

  constructor(self: MemberRecord, failureMs = FAILURE_MS) {
    this.#self = self;
    this.#failureMs = failureMs;
  }

  get self(): MemberRecord {
    return this.#self;
  }

  /** Raises this agent's heartbeat, and takes changes of what it says of itself. */
  beat(changes: Partial<MemberRecord>, wallMs: number): void {
    const heartbeat = Math.max(this.#self.heartbeat + 1, Math.floor(wallMs));
    const changed = { ...this.#self, ...changes };
    const revision = differs(this.#self, changed) ? heartbeat : this.#self.revision;
    this.#self = { ...changed, heartbeat, revision };
  }

  /** Takes in a pulse. @returns whether the record behind it has to be asked for. */
  pulse(pulse: MemberPulse, nowMs: number): boolean {
    if (pulse.id === this.#self.id) {
      this.#outdo(pulse);
      return false;
    }
    const known = this.#known.get(pulse.id);
    if (known === undefined && this.#passedOver.has(pulse.id)) return false;
    if (known === undefined || pulse.revision > known.record.revision) return true;
    if (pulse.revision < known.record.revision) return false;
    if (pulse.heartbeat <= known.record.heartbeat) return false;
    const record = { ...known.record, heartbeat: pulse.heartbeat };
    this.#known.set(pulse.id, { record, heardMs: nowMs });
    return false;
  }

  /** Takes in a whole record. */
  merge(record: MemberRecord, nowMs: number): void {
    if (record.id === this.#self.id) {
      this.#outdo(record);
      return;
    }
    const known = this.#known.get(record.id);
    if (known !== undefined && known.record.heartbeat >= record.heartbeat) return;
    this.#known.set(record.id, { record, heardMs: nowMs });
    if (record.failureDomain !== this.#self.failureDomain) this.#trim(record.failureDomain, nowMs);
  }

  /** Passes over members of another failure domain beyond the first few by rendezvous order. */
  #trim(domain: FailureDomainId, nowMs: number): void {
    const ids = [...this.#known.values()]
      .filter((known) => known.record.failureDomain === domain && this.#isLive(known, nowMs))
      .map((known) => known.record.id);
    if (ids.length <= MAX_REMOTE_MEMBERS) return;
    const kept = rendezvousTop(domain, ids, MAX_REMOTE_MEMBERS);
    ids
      .filter((id) => !kept.includes(id))
      .forEach((id) => {
        this.#known.delete(id);
        this.#passedOver.add(id);
      });
  }

  /** Records that another agent asked for. */
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

  /** Members not heard of lately: they may be dead, or cut off. */
  lost(nowMs: number): readonly MemberRecord[] {
    return [...this.#known.values()]
      .filter((known) => !this.#isLive(known, nowMs))
      .map((known) => known.record);
  }

  /** The freshest pulses, this member's own first. */
  freshest(nowMs: number): MemberPulse[] {
    const others = [...this.#known.values()]
      .filter((known) => this.#isLive(known, nowMs))
      .sort((a, b) => b.heardMs - a.heardMs)
      .slice(0, MAX_PULSES - 1);
    return [this.#self, ...others.map((known) => known.record)].map(
      ({ id, heartbeat, revision }) => ({ id, heartbeat, revision }),
    );
  }

  /** Forgets members that have been dead for long, and whom it passed over. */
  expire(nowMs: number): void {
    if (nowMs - this.#passedOverSinceMs > FORGET_MS) {
      this.#passedOver = new Set();
      this.#passedOverSinceMs = nowMs;
    }
    this.#known.forEach((known, id) => {
      if (nowMs - known.heardMs > FORGET_MS) this.#known.delete(id);
    });
  }

  /** A predecessor's record under this id may carry a higher heartbeat than this one's clock. */
  #outdo({ heartbeat }: MemberPulse): void {
    if (heartbeat <= this.#self.heartbeat) return;
    this.#self = { ...this.#self, heartbeat: heartbeat + 1, revision: heartbeat + 1 };
  }

  #isLive(known: Known, nowMs: number): boolean {
    const perMember = FAILURE_MS_PER_MEMBER * this.#known.size;
    return nowMs - known.heardMs <= Math.min(MAX_FAILURE_MS, this.#failureMs + perMember);
  }
}

function differs(a: MemberRecord, b: MemberRecord): boolean {
  return contentOf(a) !== contentOf(b);
}

/** All of a record but its counters, as a text to compare. */
function contentOf(record: MemberRecord): string {
  return JSON.stringify({ ...record, heartbeat: 0, revision: 0 });
}
