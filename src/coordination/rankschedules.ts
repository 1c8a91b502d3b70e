/** Schedules ranks: floors first, then the most urgent rank that is under its ceiling. */
import { RANKS } from '../state/index.js';
import type { Rank, ServiceSettings } from '../state/index.js';

/** Requests of one rank at a dispatcher. */
export interface RankLoad {
  readonly queued: number;
  readonly slotsInUse: number;
}

export type RankLoads = Readonly<Record<Rank, RankLoad>>;

/** Slots guaranteed to a rank with queued requests. The urgent rank needs no guarantee. */
export function floorSlots(service: ServiceSettings, rank: Rank, slots: number): number {
  return rank === 'urgent' ? 0 : Math.ceil(slots * service.floors[rank]);
}

/** Whether a rank may start one more run. The lower ranks also share a combined ceiling. */
export function isUnderCeiling(
  service: ServiceSettings,
  rank: Rank,
  loads: RankLoads,
  slots: number,
): boolean {
  if (rank === 'urgent') return true;
  const { ceilings } = service;
  const maxSlots = (share: number) => Math.max(1, Math.floor(slots * share));
  const lowerInUse = loads.interactive.slotsInUse + loads.bulk.slotsInUse;
  if (lowerInUse >= Math.max(maxSlots(ceilings.interactive), maxSlots(ceilings.bulk))) return false;
  return rank === 'interactive' || loads.bulk.slotsInUse < maxSlots(ceilings.bulk);
}

/** The rank that gets the next free slot; undefined if none may start a run. */
export function nextRankToRun(
  service: ServiceSettings,
  loads: RankLoads,
  slots: number,
): Rank | undefined {
  const queuedRanks = RANKS.filter((rank) => loads[rank].queued > 0);
  const belowFloor = queuedRanks.find(
    (rank) => rank !== 'urgent' && loads[rank].slotsInUse < floorSlots(service, rank, slots),
  );
  return belowFloor ?? queuedRanks.find((rank) => isUnderCeiling(service, rank, loads, slots));
}
