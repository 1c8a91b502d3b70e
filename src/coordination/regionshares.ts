/**
 * Which part of one service's work, taken in one region, runs in each region. Moves in small steps
 * towards the regions where work ends soonest, so that what changes region within an interval stays
 * under its cap.
 */
import type { RegionId } from '../state/index.js';

/** A region that could run the work. */
export interface RegionRoom {
  readonly region: RegionId;
  /** Slots of usable backend servers. */
  readonly slots: number;
  /** Work over slots; over 1 when work waits. */
  readonly utilization: number;
  /** What it costs to run work there instead of at home, in milliseconds. */
  readonly distanceMs: number;
}

export interface RegionSharesOptions {
  /** The region that takes the work in. */
  readonly home: RegionId;
  /** The home region's expected part of all work, over which slots are divided at first. */
  readonly demand: number;
  /** Most of the work that may change region in one interval of two seconds. */
  readonly maxShift: number;
}

/** Time between two steps, in milliseconds; four make an interval. */
const STEP_MS = 500;
const STEPS_PER_INTERVAL = 4;

/** Part of the cap that is used: entry VMs that step at different times must stay under it. */
const CAP_USED = 0.7;

/** Utilization above which work is expected to wait. */
const BUSY_UTILIZATION = 0.65;

/** Time that work waits for each unit of utilization above that, over its own time. */
const WAIT_SLOPE = 4;

/** Difference in cost under which nothing moves, in milliseconds. */
const MIN_GAIN_MS = 80;

export class RegionShares {
  readonly #options: RegionSharesOptions;

  #shares = new Map<RegionId, number>();

  #steppedMs = -Infinity;

  constructor(options: RegionSharesOptions) {
    this.#options = options;
  }

  /** The present shares; they add up to 1 unless no region has room. */
  get shares(): ReadonlyMap<RegionId, number> {
    return this.#shares;
  }

  /**
   * Brings the shares up to date.
   *
   * @param rooms - every region with usable backend servers.
   * @param workMs - usual time of a run.
   */
  update(rooms: readonly RegionRoom[], workMs: number, nowMs: number): void {
    if (rooms.length === 0) return;
    this.#leaveClosed(rooms);
    if (this.#shares.size === 0) this.#shares = this.#initial(rooms);
    if (nowMs - this.#steppedMs < STEP_MS) return;
    this.#steppedMs = nowMs;
    this.#step(rooms, workMs);
  }

  /** Own slots first, then those that other regions can spare. */
  #initial(rooms: readonly RegionRoom[]): Map<RegionId, number> {
    const total = rooms.reduce((sum, room) => sum + room.slots, 0);
    const demand = total * this.#options.demand;
    const own = rooms.find((room) => room.region === this.#options.home);
    const kept = Math.min(1, (own?.slots ?? 0) / demand);
    const shares = new Map<RegionId, number>();
    if (own !== undefined) shares.set(own.region, kept);
    const others = rooms.filter((room) => room !== own);
    const spare = others.map((room) => ({ ...room, slots: Math.max(0, room.slots - demand) }));
    const some = spare.some((room) => room.slots > 0);
    spread(shares, 1 - kept, some ? spare : rooms);
    return shares;
  }

  /** Moves the shares of regions without room at once. */
  #leaveClosed(rooms: readonly RegionRoom[]): void {
    const open = new Set(rooms.map((room) => room.region));
    this.#shares.forEach((share, region) => {
      if (open.has(region)) return;
      this.#shares.delete(region);
      spread(this.#shares, share, rooms);
    });
  }

  /** Moves one step from where work ends latest to where it ends soonest. */
  #step(rooms: readonly RegionRoom[], workMs: number): void {
    const costs = rooms.map((room) => ({ region: room.region, cost: costOf(room, workMs) }));
    const held = costs.filter(({ region }) => (this.#shares.get(region) ?? 0) > 0);
    const [first] = costs;
    if (first === undefined || held.length === 0) return;
    const best = costs.reduce((a, b) => (b.cost < a.cost ? b : a), first);
    const worst = held.reduce((a, b) => (b.cost > a.cost ? b : a));
    if (worst.cost - best.cost < MIN_GAIN_MS) return;
    const step = (this.#options.maxShift * CAP_USED) / STEPS_PER_INTERVAL;
    const before = this.#shares.get(worst.region) ?? 0;
    const moved = Math.min(step, before);
    this.#shares.set(worst.region, before - moved);
    this.#shares.set(best.region, (this.#shares.get(best.region) ?? 0) + moved);
  }
}

function costOf(room: RegionRoom, workMs: number): number {
  const busy = Math.max(0, room.utilization - BUSY_UTILIZATION);
  return room.distanceMs + busy * WAIT_SLOPE * workMs;
}

/** Adds a share to those of regions, in proportion to their slots. */
function spread(shares: Map<RegionId, number>, share: number, rooms: readonly RegionRoom[]): void {
  const slots = rooms.reduce((sum, room) => sum + room.slots, 0);
  if (slots === 0) return;
  rooms.forEach((room) => {
    shares.set(room.region, (shares.get(room.region) ?? 0) + (share * room.slots) / slots);
  });
}
