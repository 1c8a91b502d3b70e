/**
 * Shares of one service's requests, received in one region, that run in each region. The shares
 * move in small steps to the region with the lowest cost, so that the traffic shifted within an
 * interval stays under its cap.
 */
import type { RegionId } from '../state/index.js';

/** Capacity and cost of a region that can run the requests. */
export interface RegionCapacity {
  readonly region: RegionId;
  /** Total slots of the usable backend servers. */
  readonly slots: number;
  /** Requests per slot; above 1 when requests queue. */
  readonly utilization: number;
  /** Extra cost of running a request there instead of in the home region, in milliseconds. */
  readonly extraCostMs: number;
}

export interface RegionSharesOptions {
  /** The region that receives the requests. */
  readonly home: RegionId;
  /** The home region's expected part of all requests, used to divide the slots initially. */
  readonly demand: number;
  /** Maximum part of the requests that may change region in one interval of two seconds. */
  readonly maxShift: number;
}

/** Time between two steps; four steps make an interval. */
const STEP_MS = 500;
const STEPS_PER_INTERVAL = 4;

/** Part of the cap that is used, so that entry VMs that step at different times stay under it. */
const CAP_USAGE_RATIO = 0.7;

/** Utilization above which requests are expected to queue. */
const BUSY_UTILIZATION = 0.65;

/** Expected wait, as a multiple of the execution time, per unit of utilization above that. */
const WAIT_PER_UTILIZATION = 4;

/** Cost difference below which no share moves. */
const MIN_COST_GAIN_MS = 80;

export class RegionShares {
  readonly #options: RegionSharesOptions;

  #shares = new Map<RegionId, number>();

  #lastStepMs = -Infinity;

  constructor(options: RegionSharesOptions) {
    this.#options = options;
  }

  /** Current shares. They add up to 1 unless no region has capacity. */
  get shares(): ReadonlyMap<RegionId, number> {
    return this.#shares;
  }

  /**
   * Updates the shares.
   *
   * @param capacities - all regions with usable backend servers.
   * @param executionMs - mean execution time of a request.
   */
  update(capacities: readonly RegionCapacity[], executionMs: number, nowMs: number): void {
    if (capacities.length === 0) return;
    this.#redistributeClosed(capacities);
    if (this.#shares.size === 0) this.#shares = this.#initialShares(capacities);
    if (nowMs - this.#lastStepMs < STEP_MS) return;
    this.#lastStepMs = nowMs;
    this.#step(capacities, executionMs);
  }

  /** Initial shares: the home region's slots first, then the spare slots of other regions. */
  #initialShares(capacities: readonly RegionCapacity[]): Map<RegionId, number> {
    const totalSlots = capacities.reduce((sum, capacity) => sum + capacity.slots, 0);
    const demandSlots = totalSlots * this.#options.demand;
    const home = capacities.find((capacity) => capacity.region === this.#options.home);
    const homeShare = Math.min(1, (home?.slots ?? 0) / demandSlots);
    const shares = new Map<RegionId, number>();
    if (home !== undefined) shares.set(home.region, homeShare);
    const others = capacities.filter((capacity) => capacity !== home);
    const spare = others.map((capacity) => ({
      ...capacity,
      slots: Math.max(0, capacity.slots - demandSlots),
    }));
    const hasSpare = spare.some((capacity) => capacity.slots > 0);
    distribute(shares, 1 - homeShare, hasSpare ? spare : capacities);
    return shares;
  }

  /** Immediately moves the shares of regions without usable servers. */
  #redistributeClosed(capacities: readonly RegionCapacity[]): void {
    const open = new Set(capacities.map((capacity) => capacity.region));
    this.#shares.forEach((share, region) => {
      if (open.has(region)) return;
      this.#shares.delete(region);
      distribute(this.#shares, share, capacities);
    });
  }

  /** Moves one step from the region with the highest cost to the one with the lowest. */
  #step(capacities: readonly RegionCapacity[], executionMs: number): void {
    const costs = capacities.map((capacity) => ({
      region: capacity.region,
      cost: costOf(capacity, executionMs),
    }));
    const withShare = costs.filter(({ region }) => (this.#shares.get(region) ?? 0) > 0);
    const [first] = costs;
    if (first === undefined || withShare.length === 0) return;
    const best = costs.reduce((a, b) => (b.cost < a.cost ? b : a), first);
    const worst = withShare.reduce((a, b) => (b.cost > a.cost ? b : a));
    if (worst.cost - best.cost < MIN_COST_GAIN_MS) return;
    const maxStep = (this.#options.maxShift * CAP_USAGE_RATIO) / STEPS_PER_INTERVAL;
    const previousShare = this.#shares.get(worst.region) ?? 0;
    const movedShare = Math.min(maxStep, previousShare);
    this.#shares.set(worst.region, previousShare - movedShare);
    this.#shares.set(best.region, (this.#shares.get(best.region) ?? 0) + movedShare);
  }
}

function costOf(capacity: RegionCapacity, executionMs: number): number {
  const excessUtilization = Math.max(0, capacity.utilization - BUSY_UTILIZATION);
  return capacity.extraCostMs + excessUtilization * WAIT_PER_UTILIZATION * executionMs;
}

/** Distributes a share over regions in proportion to their slots. */
function distribute(
  shares: Map<RegionId, number>,
  share: number,
  capacities: readonly RegionCapacity[],
): void {
  const slots = capacities.reduce((sum, capacity) => sum + capacity.slots, 0);
  if (slots === 0) return;
  capacities.forEach((capacity) => {
    shares.set(
      capacity.region,
      (shares.get(capacity.region) ?? 0) + (share * capacity.slots) / slots,
    );
  });
}
