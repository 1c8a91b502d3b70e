/**
 * Headroom that an entry VM grants to senders in other failure domains.
 *
 * Only the receiver knows its slots, so only it decides how much others may send. The grants never
 * exceed its free slots in total, each expires on its own, and nothing is sent without a grant.
 */
import type { EntryVmId } from '../state/index.js';

/** Lease time of a grant. */
export const GRANT_TTL_MS = 2_000;

/** Share of the slots available to grants and local load together. */
const GRANTABLE_SHARE = 0.9;

/** Time for which the peak of local load is kept. */
const PEAK_WINDOW_MS = 2_000;

/** A receiver's capacity and local load. */
export interface Headroom {
  /** Slots currently open. */
  readonly slots: number;
  /** Running and queued requests that did not come by a grant. */
  readonly ownLoad: number;
}

interface Grant {
  slots: number;
  untilMs: number;
  inUse: number;
}

/** The receiver's side: grants given for one service in one failure domain. */
export class HeadroomLedger {
  readonly #grants = new Map<EntryVmId, Grant>();

  #peakOwnLoad = 0;

  #peakMeasuredMs = -Infinity;

  /** Slots granted to senders, or still used by them. */
  committedSlots(nowMs: number): number {
    return [...this.#grants.values()].reduce((sum, grant) => sum + committedTo(grant, nowMs), 0);
  }

  /** In-flight requests admitted by grants. */
  inUse(): number {
    return [...this.#grants.values()].reduce((sum, grant) => sum + grant.inUse, 0);
  }

  /** Records the local load, whose recent peak is kept free of grants. */
  observeOwnLoad(ownLoad: number, nowMs: number): void {
    if (ownLoad < this.#peakOwnLoad && nowMs - this.#peakMeasuredMs < PEAK_WINDOW_MS) return;
    this.#peakOwnLoad = ownLoad;
    this.#peakMeasuredMs = nowMs;
  }

  /** Grants up to `want` slots, replacing an earlier grant to the same sender. */
  grant(from: EntryVmId, want: number, headroom: Headroom, nowMs: number): number {
    this.observeOwnLoad(headroom.ownLoad, nowMs);
    const grant = this.#grants.get(from) ?? { slots: 0, untilMs: 0, inUse: 0 };
    const committedToOthers = this.committedSlots(nowMs) - committedTo(grant, nowMs);
    const free =
      Math.floor(headroom.slots * GRANTABLE_SHARE) - this.#peakOwnLoad - committedToOthers;
    grant.slots = Math.max(0, Math.min(want, free));
    grant.untilMs = nowMs + GRANT_TTL_MS;
    this.#grants.set(from, grant);
    return grant.slots;
  }

  /** Admits one request if the sender's grant has a free slot. */
  admit(from: EntryVmId, nowMs: number): boolean {
    const grant = this.#grants.get(from);
    if (grant === undefined || grant.untilMs <= nowMs || grant.inUse >= grant.slots) return false;
    grant.inUse += 1;
    return true;
  }

  release(from: EntryVmId): void {
    const grant = this.#grants.get(from);
    if (grant !== undefined) grant.inUse -= 1;
  }

  /** Removes senders with neither granted slots nor in-flight requests. */
  expire(nowMs: number): void {
    this.#grants.forEach((grant, from) => {
      if (committedTo(grant, nowMs) === 0) this.#grants.delete(from);
    });
  }
}

function committedTo(grant: Grant, nowMs: number): number {
  return grant.untilMs > nowMs ? Math.max(grant.slots, grant.inUse) : grant.inUse;
}

/** The sender's side: grants received for one service. */
export class ReceivedGrants {
  readonly #grants = new Map<EntryVmId, Grant>();

  /** Granted slots that are not in use. */
  freeSlots(to: EntryVmId, nowMs: number): number {
    const grant = this.#grants.get(to);
    if (grant === undefined || grant.untilMs <= nowMs) return 0;
    return grant.slots - grant.inUse;
  }

  inUse(to: EntryVmId): number {
    return this.#grants.get(to)?.inUse ?? 0;
  }

  /**
   * Stores a grant.
   *
   * @param requestedMs - when it was requested, so that it expires here no later than at the receiver.
   */
  receive(to: EntryVmId, slots: number, requestedMs: number): void {
    const grant = this.#grants.get(to) ?? { slots: 0, untilMs: 0, inUse: 0 };
    grant.slots = slots;
    grant.untilMs = requestedMs + GRANT_TTL_MS;
    this.#grants.set(to, grant);
  }

  acquire(to: EntryVmId, nowMs: number): boolean {
    if (this.freeSlots(to, nowMs) <= 0) return false;
    const grant = this.#grants.get(to);
    if (grant !== undefined) grant.inUse += 1;
    return true;
  }

  release(to: EntryVmId): void {
    const grant = this.#grants.get(to);
    if (grant !== undefined) grant.inUse = Math.max(0, grant.inUse - 1);
  }
}
