/**
 * Membership by gossip of heartbeat counters.
 *
 * Each agent raises its own counter and tells a few others the freshest counters it knows. A member
 * whose counter stands still for `failureMs` is believed dead. The platform's list and the
 * configured seeds only say whom to talk to first.
 */
import type { EntryVmId, MemberRecord } from '../state/index.js';

/** Time without a new heartbeat after which a member is believed dead, in milliseconds. */
export const FAILURE_MS = 3_000;

/** Time after which a dead member is forgotten, in milliseconds. */
const FORGET_MS = 60_000;

/** Records in one message, so that its size does not grow with the fleet. */
export const MAX_GOSSIP_RECORDS = 24;

interface Known {
  readonly record: MemberRecord;
  readonly heardMs: number;
}

export class MemberTable {
  readonly #failureMs: number;

  readonly #known = new Map<EntryVmId, Known>();

  #self: MemberRecord;

  constructor(self: MemberRecord, failureMs = FAILURE_MS) {
    this.#self = self;
    this.#failureMs = failureMs;
  }

  get self(): MemberRecord {
    return this.#self;
  }

  /** Changes what this agent says of itself, and raises its heartbeat. */
  beat(changes: Partial<MemberRecord>, wallMs: number): void {
    const heartbeat = Math.max(this.#self.heartbeat + 1, Math.floor(wallMs));
    this.#self = { ...this.#self, ...changes, heartbeat };
  }

  /** Takes in what another agent says. @returns whether a member appeared or changed. */
  merge(record: MemberRecord, nowMs: number): boolean {
    if (record.id === this.#self.id) return this.#outdo(record);
    const known = this.#known.get(record.id);
    if (known !== undefined && known.record.heartbeat >= record.heartbeat) return false;
    this.#known.set(record.id, { record, heardMs: nowMs });
    return known === undefined || !this.#isLive(known, nowMs) || differs(known.record, record);
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

  /** The freshest records, this member's own first. */
  freshest(nowMs: number): readonly MemberRecord[] {
    const others = [...this.#known.values()]
      .filter((known) => this.#isLive(known, nowMs))
      .sort((a, b) => b.heardMs - a.heardMs)
      .slice(0, MAX_GOSSIP_RECORDS - 1);
    return [this.#self, ...others.map((known) => known.record)];
  }

  /** Forgets members that have been dead for long. */
  expire(nowMs: number): void {
    this.#known.forEach((known, id) => {
      if (nowMs - known.heardMs > FORGET_MS) this.#known.delete(id);
    });
  }

  /** A predecessor's record under this id may carry a higher heartbeat than this one's clock. */
  #outdo(record: MemberRecord): boolean {
    if (record.incarnation === this.#self.incarnation) return false;
    if (record.heartbeat < this.#self.heartbeat) return false;
    this.#self = { ...this.#self, heartbeat: record.heartbeat + 1 };
    return true;
  }

  #isLive(known: Known, nowMs: number): boolean {
    return nowMs - known.heardMs <= this.#failureMs;
  }
}

function differs(a: MemberRecord, b: MemberRecord): boolean {
  return JSON.stringify({ ...a, heartbeat: 0 }) !== JSON.stringify({ ...b, heartbeat: 0 });
}
