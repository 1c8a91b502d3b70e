/** Whose turn it is at a free slot: floors first, then the most urgent rank under its ceiling. */
import { RANKS } from '../state/index.js';
import type { Rank, ServiceSettings } from '../state/index.js';

/** Requests of one rank at a dispatcher. */
export interface RankLoad {
  readonly queued: number;
  /** Slots in use. */
  readonly inUse: number;
}

export type RankLoads = Readonly<Record<Rank, RankLoad>>;

/** Slots that a rank gets while it has work waiting. The urgent rank needs none. */
export function floorSlots(service: ServiceSettings, rank: Rank, slots: number): number {
  return rank === 'urgent' ? 0 : Math.ceil(slots * service.floors[rank]);
}

/** Whether a rank stays under its ceiling with one more run. Lower ranks count together as well. */
export function underCeiling(
  service: ServiceSettings,
  rank: Rank,
  loads: RankLoads,
  slots: number,
): boolean {
  if (rank === 'urgent') return true;
  const { ceilings } = service;
  const most = (share: number) => Math.max(1, Math.floor(slots * share));
  const lowerUse = loads.interactive.inUse + loads.bulk.inUse;
  if (lowerUse >= Math.max(most(ceilings.interactive), most(ceilings.bulk))) return false;
  return rank === 'interactive' || loads.bulk.inUse < most(ceilings.bulk);
}

/** The rank whose turn it is, or undefined when none may start. */
export function nextRank(
  service: ServiceSettings,
  loads: RankLoads,
  slots: number,
): Rank | undefined {
  const waiting = RANKS.filter((rank) => loads[rank].queued > 0);
  const owed = waiting.find(
    (rank) => rank !== 'urgent' && loads[rank].inUse < floorSlots(service, rank, slots),
  );
  return owed ?? waiting.find((rank) => underCeiling(service, rank, loads, slots));
}
