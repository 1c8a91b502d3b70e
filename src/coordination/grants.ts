/**
 * Headroom that a receiving entry VM grants to senders in other failure domains.
 *
 * Only the receiver knows its slots, so only it says how much others may send. All grants together
 * never exceed its free slots, each lapses by itself, and without a grant nothing is sent.
 */
import type { EntryVmId } from '../state/index.js';

/** Time for which a grant holds, in milliseconds. */
export const GRANT_TTL_MS = 2_000;

/** Share of the slots that may be promised to others and used here together. */
const GRANTABLE_SHARE = 0.9;

/** Time over which the peak of own use is kept, in milliseconds. */
const PEAK_MS = 2_000;

/** What a receiver has to know of itself to grant. */
export interface Headroom {
  /** Slots open now. */
  readonly slots: number;
  /** Requests of its own domain that run or wait. */
  readonly ownLoad: number;
}

interface Grant {
  slots: number;
  untilMs: number;
  inUse: number;
}

/** The receiver's side, for one service. */
export class HeadroomLedger {
  readonly #grants = new Map<EntryVmId, Grant>();

  #peak = 0;

  #peakAtMs = -Infinity;

  /** Slots promised to others, or still used by them. */
  promised(nowMs: number): number {
    return [...this.#grants.values()].reduce((sum, grant) => sum + held(grant, nowMs), 0);
  }

  /** Requests of other domains that are here now. */
  inUse(): number {
    return [...this.#grants.values()].reduce((sum, grant) => sum + grant.inUse, 0);
  }

  /** Notes the load of the own domain, whose recent peak is kept free. */
  observe(ownLoad: number, nowMs: number): void {
    if (ownLoad < this.#peak && nowMs - this.#peakAtMs < PEAK_MS) return;
    this.#peak = ownLoad;
    this.#peakAtMs = nowMs;
  }

  /** Grants up to `want` slots. It replaces an earlier grant to the same sender. */
  grant(from: EntryVmId, want: number, headroom: Headroom, nowMs: number): number {
    this.observe(headroom.ownLoad, nowMs);
    const grant = this.#grants.get(from) ?? { slots: 0, untilMs: 0, inUse: 0 };
    const others = this.promised(nowMs) - held(grant, nowMs);
    const free = Math.floor(headroom.slots * GRANTABLE_SHARE) - this.#peak - others;
    grant.slots = Math.max(0, Math.min(want, free));
    grant.untilMs = nowMs + GRANT_TTL_MS;
    this.#grants.set(from, grant);
    return grant.slots;
  }

  /** Takes one request of a sender in if its grant has room. */
  enter(from: EntryVmId, nowMs: number): boolean {
    const grant = this.#grants.get(from);
    if (grant === undefined || grant.untilMs <= nowMs || grant.inUse >= grant.slots) return false;
    grant.inUse += 1;
    return true;
  }

  leave(from: EntryVmId): void {
    const grant = this.#grants.get(from);
    if (grant !== undefined) grant.inUse -= 1;
  }

  /** Forgets senders with neither a live grant nor work here. */
  expire(nowMs: number): void {
    this.#grants.forEach((grant, from) => {
      if (held(grant, nowMs) === 0) this.#grants.delete(from);
    });
  }
}

function held(grant: Grant, nowMs: number): number {
  return grant.untilMs > nowMs ? Math.max(grant.slots, grant.inUse) : grant.inUse;
}

/** The sender's side: grants received, for one service. */
export class GrantBook {
  readonly #grants = new Map<EntryVmId, Grant>();

  /** Slots free to use at a receiver. */
  free(to: EntryVmId, nowMs: number): number {
    const grant = this.#grants.get(to);
    if (grant === undefined || grant.untilMs <= nowMs) return 0;
    return grant.slots - grant.inUse;
  }

  inUse(to: EntryVmId): number {
    return this.#grants.get(to)?.inUse ?? 0;
  }

  /**
   * Takes a grant in.
   *
   * @param askedMs - when it was asked for: it lapses here no later than at the receiver.
   */
  receive(to: EntryVmId, slots: number, askedMs: number): void {
    const grant = this.#grants.get(to) ?? { slots: 0, untilMs: 0, inUse: 0 };
    grant.slots = slots;
    grant.untilMs = askedMs + GRANT_TTL_MS;
    this.#grants.set(to, grant);
  }

  take(to: EntryVmId, nowMs: number): boolean {
    if (this.free(to, nowMs) <= 0) return false;
    const grant = this.#grants.get(to);
    if (grant !== undefined) grant.inUse += 1;
    return true;
  }

  giveBack(to: EntryVmId): void {
    const grant = this.#grants.get(to);
    if (grant !== undefined) grant.inUse = Math.max(0, grant.inUse - 1);
  }
}
