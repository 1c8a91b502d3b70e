/**
 * Splits the work of callers at home in one failure domain over the domains that serve it, and
 * never moves more than the configured share in any interval.
 *
 * Each entry VM limits its own split, so the split of any sum of them is limited as well. The
 * distance between two splits is half the sum of the differences, which is the share of requests
 * that changes place.
 */
import type { FailureDomainId, Rank } from '../state/index.js';
import { WindowCount } from './budgets.js';

/** The share of one failure domain. */
export interface DomainShare {
  readonly domain: FailureDomainId;
  readonly share: number;
}

/** The cap on movement. */
export interface ShiftCap {
  readonly maxShare: number;
  readonly intervalMs: number;
}

interface Step {
  readonly atMs: number;
  readonly moved: number;
}

/** Movement below this share is not made. */
const EPSILON = 1e-9;

/** Credit for moved requests that may be saved up. */
const MAX_CREDIT = 3;

const RANK_ORDER: Readonly<Record<Rank, number>> = { urgent: 0, interactive: 1, bulk: 2 };

/** The share of a domain in a split; 0 when it is not in it. */
export function shareOf(split: readonly DomainShare[], domain: FailureDomainId): number {
  return split.find((each) => each.domain === domain)?.share ?? 0;
}

/** The share of requests that two splits send to different domains. */
export function distance(a: readonly DomainShare[], b: readonly DomainShare[]): number {
  const domains = new Set([...a, ...b].map((each) => each.domain));
  const sum = [...domains].reduce(
    (total, domain) => total + Math.abs(shareOf(a, domain) - shareOf(b, domain)),
    0,
  );
  return sum / 2;
}

export class TrafficShifter {
  #split: readonly DomainShare[];

  #steps: Step[] = [];

  /** Requests owed to each domain other than the largest. */
  readonly #credits = new Map<FailureDomainId, number>();

  readonly #requests = new WindowCount();

  readonly #returns = new WindowCount();

  /** @param start - the split to begin with: the one in force elsewhere, or all at home. */
  constructor(start: readonly DomainShare[]) {
    this.#split = start;
  }

  get split(): readonly DomainShare[] {
    return this.#split;
  }

  /** Moves towards a target as far as the cap allows. @returns the share moved. */
  step(target: readonly DomainShare[], cap: ShiftCap, nowMs: number): number {
    const spent = this.#spent(cap, nowMs) + this.#returnedShare(cap, nowMs);
    const wanted = distance(this.#split, target);
    const moved = Math.min(wanted, cap.maxShare - spent);
    if (moved <= EPSILON) return 0;
    const part = moved / wanted;
    const domains = new Set([...this.#split, ...target].map((each) => each.domain));
    this.#split = [...domains]
      .map((domain) => {
        const from = shareOf(this.#split, domain);
        return { domain, share: from + (shareOf(target, domain) - from) * part };
      })
      .filter((each) => each.share > EPSILON);
    this.#steps.push({ atMs: nowMs, moved });
    return moved;
  }

  /** Counts a request. To be called once for each, before `pick`. */
  count(home: FailureDomainId, cap: ShiftCap, nowMs: number): void {
    this.#requests.add(cap.intervalMs, nowMs);
    this.#moved(home).forEach((each) => {
      const credit = (this.#credits.get(each.domain) ?? 0) + each.share;
      this.#credits.set(each.domain, Math.min(MAX_CREDIT, credit));
    });
  }

  /**
   * Says whether a request whose place elsewhere has no room may go home instead. That is a
   * movement too, so it counts against the cap.
   */
  mayReturn(cap: ShiftCap, nowMs: number): boolean {
    const allowed = cap.maxShare - this.#spent(cap, nowMs);
    const requests = this.#requests.sum(cap.intervalMs, nowMs);
    const returns = this.#returns.sum(cap.intervalMs, nowMs);
    if (returns + 1 > allowed * requests) return false;
    this.#returns.add(cap.intervalMs, nowMs);
    return true;
  }

  #spent(cap: ShiftCap, nowMs: number): number {
    this.#steps = this.#steps.filter((step) => step.atMs > nowMs - cap.intervalMs);
    return this.#steps.reduce((sum, step) => sum + step.moved, 0);
  }

  #returnedShare(cap: ShiftCap, nowMs: number): number {
    const requests = this.#requests.sum(cap.intervalMs, nowMs);
    return requests === 0 ? 0 : this.#returns.sum(cap.intervalMs, nowMs) / requests;
  }

  /**
   * Picks the domain of one request. Over many requests each domain gets its share.
   *
   * @param first - which end of the ranks takes the moved places first: the most urgent when home
   *   can't serve, the least urgent when home is only full.
   */
  pick(home: FailureDomainId, rank: Rank, first: 'urgent' | 'bulk'): FailureDomainId {
    const order = first === 'urgent' ? RANK_ORDER[rank] : 2 - RANK_ORDER[rank];
    const chosen = this.#moved(home).find(
      (each) => (this.#credits.get(each.domain) ?? 0) >= 1 + order,
    );
    if (chosen === undefined) return home;
    this.#credits.set(chosen.domain, (this.#credits.get(chosen.domain) ?? 0) - 1);
    return chosen.domain;
  }

  #moved(home: FailureDomainId): readonly DomainShare[] {
    return this.#split.filter((each) => each.domain !== home);
  }
}
