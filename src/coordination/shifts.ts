/**
 * Splits the requests of callers in one home domain over the domains that serve them, and never
 * shifts more than the configured share in any interval.
 *
 * Each entry VM limits its own split, which also limits the combined split of any set of them. The
 * distance between two splits is half the sum of their absolute differences: the share of requests
 * that changes domain.
 */
import type { FailureDomainId, Rank } from '../state/index.js';
import { SlidingWindowCounter } from './budgets.js';

/** The share of requests that goes to one failure domain. */
export interface DomainShare {
  readonly domain: FailureDomainId;
  readonly share: number;
}

/** Limit on the share of requests shifted within an interval. */
export interface ShiftCap {
  readonly maxShare: number;
  readonly intervalMs: number;
}

interface ShiftStep {
  readonly atMs: number;
  readonly shiftedShare: number;
}

/** Shares up to this size are neither shifted nor kept in a split. */
const MIN_SHARE = 1e-9;

/** Most request credits that a remote domain accumulates. */
const MAX_REQUEST_CREDIT = 3;

const RANK_ORDER: Readonly<Record<Rank, number>> = { urgent: 0, interactive: 1, bulk: 2 };

/** The share of a domain in a split; 0 if the split does not contain it. */
export function shareOfDomain(split: readonly DomainShare[], domain: FailureDomainId): number {
  return split.find((entry) => entry.domain === domain)?.share ?? 0;
}

/** The share of requests that two splits send to different domains. */
export function splitDistance(a: readonly DomainShare[], b: readonly DomainShare[]): number {
  const domains = new Set([...a, ...b].map((entry) => entry.domain));
  const sum = [...domains].reduce(
    (total, domain) => total + Math.abs(shareOfDomain(a, domain) - shareOfDomain(b, domain)),
    0,
  );
  return sum / 2;
}

export class TrafficShifter {
  #split: readonly DomainShare[];

  #steps: ShiftStep[] = [];

  /** Request credits of each remote domain. Sending a request there spends one. */
  readonly #credits = new Map<FailureDomainId, number>();

  readonly #requests = new SlidingWindowCounter();

  readonly #returnedRequests = new SlidingWindowCounter();

  /** @param initialSplit - the split adopted from another entry VM, or everything at home. */
  constructor(initialSplit: readonly DomainShare[]) {
    this.#split = initialSplit;
  }

  get split(): readonly DomainShare[] {
    return this.#split;
  }

  /** Shifts towards a target as far as the cap allows. @returns the shifted share. */
  shiftTowards(target: readonly DomainShare[], cap: ShiftCap, nowMs: number): number {
    const alreadyShifted = this.#shiftedShare(cap, nowMs) + this.#returnedShare(cap, nowMs);
    const remaining = splitDistance(this.#split, target);
    const shiftedShare = Math.min(remaining, cap.maxShare - alreadyShifted);
    if (shiftedShare <= MIN_SHARE) return 0;
    const fraction = shiftedShare / remaining;
    const domains = new Set([...this.#split, ...target].map((entry) => entry.domain));
    this.#split = [...domains]
      .map((domain) => {
        const from = shareOfDomain(this.#split, domain);
        return { domain, share: from + (shareOfDomain(target, domain) - from) * fraction };
      })
      .filter((entry) => entry.share > MIN_SHARE);
    this.#steps.push({ atMs: nowMs, shiftedShare });
    return shiftedShare;
  }

  /** Counts a request. Must be called once per request, before `pickDomain`. */
  count(home: FailureDomainId, cap: ShiftCap, nowMs: number): void {
    this.#requests.add(cap.intervalMs, nowMs);
    this.#remoteShares(home).forEach((remote) => {
      const credit = (this.#credits.get(remote.domain) ?? 0) + remote.share;
      this.#credits.set(remote.domain, Math.min(MAX_REQUEST_CREDIT, credit));
    });
  }

  /**
   * Whether a request may return home because its remote domain has no room for it. A return also
   * shifts traffic, so it is counted against the cap.
   */
  tryReturnHome(cap: ShiftCap, nowMs: number): boolean {
    const allowedShare = cap.maxShare - this.#shiftedShare(cap, nowMs);
    const requests = this.#requests.sum(cap.intervalMs, nowMs);
    const returns = this.#returnedRequests.sum(cap.intervalMs, nowMs);
    if (returns + 1 > allowedShare * requests) return false;
    this.#returnedRequests.add(cap.intervalMs, nowMs);
    return true;
  }

  #shiftedShare(cap: ShiftCap, nowMs: number): number {
    this.#steps = this.#steps.filter((step) => step.atMs > nowMs - cap.intervalMs);
    return this.#steps.reduce((sum, step) => sum + step.shiftedShare, 0);
  }

  #returnedShare(cap: ShiftCap, nowMs: number): number {
    const requests = this.#requests.sum(cap.intervalMs, nowMs);
    return requests === 0 ? 0 : this.#returnedRequests.sum(cap.intervalMs, nowMs) / requests;
  }

  /**
   * Picks the domain of a request. Over many requests each domain gets its share.
   *
   * @param first - the rank that is sent to remote domains first: `urgent` if home cannot serve,
   *   `bulk` if home is only full.
   */
  pickDomain(home: FailureDomainId, rank: Rank, first: 'urgent' | 'bulk'): FailureDomainId {
    const order = first === 'urgent' ? RANK_ORDER[rank] : 2 - RANK_ORDER[rank];
    const chosen = this.#remoteShares(home).find(
      (remote) => (this.#credits.get(remote.domain) ?? 0) >= 1 + order,
    );
    if (chosen === undefined) return home;
    this.#credits.set(chosen.domain, (this.#credits.get(chosen.domain) ?? 0) - 1);
    return chosen.domain;
  }

  #remoteShares(home: FailureDomainId): readonly DomainShare[] {
    return this.#split.filter((entry) => entry.domain !== home);
  }
}
