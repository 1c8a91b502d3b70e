/**
 * Routes the requests of one service: first to a failure domain by the rate-limited traffic split,
 * then to an entry VM that dispatches there. A request that leaves its home domain needs a grant
 * from the receiving entry VM.
 */
import type {
  EntryVmId,
  FailureDomainId,
  NotRunCode,
  Rank,
  ServiceSettings,
  SettingsView,
} from '../state/index.js';
import { RatioBudget } from './budgets.js';
import { ReceivedGrants } from './grants.js';
import { sortByLatency } from './dispatcherindexes.js';
import type { DispatcherIndex } from './dispatcherindexes.js';
import { TrafficShifter } from './shifts.js';
import type { DomainShare } from './shifts.js';

/** The routing decision for one request. */
export type Route =
  | {
      readonly type: 'dispatch';
      readonly to: EntryVmId;
      readonly domain: FailureDomainId;
      readonly granted: boolean;
    }
  | { readonly type: 'none'; readonly code: NotRunCode };

/** Inputs of a routing decision. */
export interface RouterContext {
  readonly service: ServiceSettings;
  readonly view: SettingsView;
  readonly dispatcherIndex: DispatcherIndex;
  /** Whether the link to the domain has capacity for a response of this rank. */
  readonly linkHasCapacity: (domain: FailureDomainId, rank: Rank) => boolean;
  readonly nowMs: number;
}

/** A request to another entry VM to grant headroom. */
export interface HeadroomRequest {
  readonly to: EntryVmId;
  readonly domain: FailureDomainId;
  readonly want: number;
}

/** Routing state of the callers of one home domain. */
interface HomeState {
  readonly shifter: TrafficShifter;
  /** Share of requests that this entry VM sends to other domains because the home is full. */
  spilloverShare: number;
  requests: number;
  refused: number;
  notFullSinceMs: number;
}

interface EntryVmLoad {
  readonly load: number;
  outstanding: number;
}

/** Most domains that a home spills over to at once. */
const MAX_SPILLOVER_DOMAINS = 4;

/** Slots requested in addition to twice those in use. */
const SPARE_GRANT_SLOTS = 4;

const SPILLOVER_STEP_UP = 0.05;
const SPILLOVER_STEP_DOWN = 0.02;

/** Time after which the spillover share of a home that is no longer full decreases. */
const SPILLOVER_HOLD_MS = 5_000;

/** Share of refused requests above which a home counts as full. */
const FULL_REFUSED_SHARE = 0.02;

/** Load added to a remote entry VM for the hop, and to each entry VM per outstanding request. */
const HOP_LOAD = 0.2;

const RETRY_BURST = 10;

export class Router {
  readonly #self: EntryVmId;

  readonly #random: () => number;

  readonly #homeStates = new Map<FailureDomainId, HomeState>();

  readonly #entryVmLoads = new Map<EntryVmId, EntryVmLoad>();

  readonly #adoptedSplits = new Map<FailureDomainId, readonly DomainShare[]>();

  /** Grants received from other entry VMs. */
  readonly grants = new ReceivedGrants();

  /** Limits retries of idempotent requests that may have run. */
  readonly retryBudget = new RatioBudget(RETRY_BURST);

  /** @param random - uniform in [0, 1). */
  constructor(self: EntryVmId, random: () => number) {
    this.#self = self;
    this.#random = random;
  }

  /** Adopts the split of another entry VM for a home that has no traffic here. */
  adoptSplit(home: FailureDomainId, split: readonly DomainShare[]): void {
    this.#adoptedSplits.set(home, split);
    const state = this.#homeStates.get(home);
    if (state !== undefined && state.requests === 0 && state.spilloverShare === 0)
      this.#homeStates.delete(home);
  }

  /** The current splits of the homes known here. */
  splits(): readonly { readonly home: FailureDomainId; readonly split: readonly DomainShare[] }[] {
    return [...this.#homeStates.entries()].map(([home, { shifter }]) => ({
      home,
      split: shifter.split,
    }));
  }

  /** Counts a request. Called once per request, before its first route. */
  recordArrival(home: FailureDomainId, ctx: RouterContext): void {
    const state = this.#homeState(home, ctx);
    state.requests += 1;
    state.shifter.count(this.#nearestDomain(home, ctx), ctx.service.shift, ctx.nowMs);
    this.retryBudget.earn(ctx.service.retryShare);
  }

  /** Counts a request that the home could not serve. */
  recordRefusal(home: FailureDomainId, ctx: RouterContext): void {
    this.#homeState(home, ctx).refused += 1;
  }

  /**
   * Chooses the route of a request. A granted route holds its grant until `release`.
   *
   * @param excluded - entry VMs that refused this request.
   */
  route(
    home: FailureDomainId,
    rank: Rank,
    excluded: readonly EntryVmId[],
    ctx: RouterContext,
  ): Route {
    const { shifter } = this.#homeState(home, ctx);
    const nearest = this.#nearestDomain(home, ctx);
    const hasDispatchers = ctx.dispatcherIndex.entryVmsFor(ctx.service.name, nearest).length > 0;
    const domain = shifter.pickDomain(nearest, rank, hasDispatchers ? 'bulk' : 'urgent');
    if (domain === nearest) return this.#routeToNearest(nearest, excluded, ctx);
    const remoteRoute = this.#routeToRemote(domain, rank, excluded, ctx);
    if (remoteRoute !== undefined) return remoteRoute;
    if (!hasDispatchers || !shifter.tryReturnHome(ctx.service.shift, ctx.nowMs)) {
      return { type: 'none', code: 'no_grant' };
    }
    return this.#routeToNearest(nearest, excluded, ctx);
  }

  recordDispatch(to: EntryVmId): void {
    this.#entryVmLoad(to).outstanding += 1;
  }

  /** Ends a route. @param load - requests over slots, as reported by the receiver. */
  release(to: EntryVmId, granted: boolean, load: number | undefined): void {
    const previous = this.#entryVmLoad(to);
    const outstanding = Math.max(0, previous.outstanding - 1);
    this.#entryVmLoads.set(to, { load: load ?? previous.load, outstanding });
    if (granted) this.grants.release(to);
  }

  /** Moves every split one step towards its target. @returns requests for headroom. */
  tick(ctx: RouterContext): readonly HeadroomRequest[] {
    return [...this.#homeStates.entries()].flatMap(([home, state]) => {
      const nearest = this.#nearestDomain(home, ctx);
      const hasDispatchers = ctx.dispatcherIndex.entryVmsFor(ctx.service.name, nearest).length > 0;
      this.#adjustSpillover(state, hasDispatchers, ctx.nowMs);
      const target = this.#targetSplit(home, nearest, state, hasDispatchers, ctx);
      state.shifter.shiftTowards(target, ctx.service.shift, ctx.nowMs);
      return this.#headroomRequests(home, nearest, state, hasDispatchers, ctx);
    });
  }

  #adjustSpillover(state: HomeState, hasDispatchers: boolean, nowMs: number): void {
    const isFull = state.refused > state.requests * FULL_REFUSED_SHARE;
    if (isFull && hasDispatchers) {
      state.spilloverShare = Math.min(1, state.spilloverShare + SPILLOVER_STEP_UP);
      state.notFullSinceMs = nowMs;
    } else if (nowMs - state.notFullSinceMs > SPILLOVER_HOLD_MS) {
      state.spilloverShare = Math.max(0, state.spilloverShare - SPILLOVER_STEP_DOWN);
    }
    state.requests = 0;
    state.refused = 0;
  }

  /** The desired split: planned shifts, then spillover to domains that granted headroom. */
  #targetSplit(
    home: FailureDomainId,
    nearest: FailureDomainId,
    state: HomeState,
    hasDispatchers: boolean,
    ctx: RouterContext,
  ): readonly DomainShare[] {
    const planned = ctx.service.shift.planned.filter((shift) => shift.from === home);
    const shares = new Map<FailureDomainId, number>();
    planned.forEach((shift) => shares.set(shift.to, (shares.get(shift.to) ?? 0) + shift.share));
    const plannedSum = [...shares.values()].reduce((sum, share) => sum + share, 0);
    const unplanned = 1 - plannedSum;
    const spillover = hasDispatchers ? unplanned * state.spilloverShare : unplanned;
    const receivers = this.#spilloverDomains(home, nearest, ctx).map((domain) => ({
      domain,
      slots: this.#grantedSlots(domain, ctx),
    }));
    const grantedSlots = receivers.reduce((sum, receiver) => sum + receiver.slots, 0);
    const moved = grantedSlots === 0 ? 0 : spillover;
    receivers.forEach(({ domain, slots }) => {
      if (moved > 0) shares.set(domain, (shares.get(domain) ?? 0) + (moved * slots) / grantedSlots);
    });
    shares.set(nearest, (shares.get(nearest) ?? 0) + unplanned - moved);
    return [...shares.entries()].map(([domain, share]) => ({ domain, share }));
  }

  /** Other domains with a dispatcher, nearest first. */
  #spilloverDomains(
    home: FailureDomainId,
    nearest: FailureDomainId,
    ctx: RouterContext,
  ): readonly FailureDomainId[] {
    const domains = configuredDomains(ctx.service).filter((domain) => domain !== nearest);
    const servedDomains = domains.filter(
      (domain) => ctx.dispatcherIndex.entryVmsFor(ctx.service.name, domain).length > 0,
    );
    return sortByLatency(ctx.view, home, servedDomains).slice(0, MAX_SPILLOVER_DOMAINS);
  }

  #grantedSlots(domain: FailureDomainId, ctx: RouterContext): number {
    return ctx.dispatcherIndex
      .entryVmsFor(ctx.service.name, domain)
      .reduce((sum, to) => sum + this.grants.freeSlots(to, ctx.nowMs) + this.grants.inUse(to), 0);
  }

  #headroomRequests(
    home: FailureDomainId,
    nearest: FailureDomainId,
    state: HomeState,
    hasDispatchers: boolean,
    ctx: RouterContext,
  ): readonly HeadroomRequest[] {
    const planned = ctx.service.shift.planned
      .filter((shift) => shift.from === home)
      .map((shift) => shift.to);
    const isSpilling = !hasDispatchers || state.spilloverShare > 0;
    const spillover = isSpilling ? this.#spilloverDomains(home, nearest, ctx) : [];
    const current = state.shifter.split.map((entry) => entry.domain);
    const domains = new Set([...planned, ...spillover, ...current]);
    domains.delete(nearest);
    return [...domains].flatMap((domain) =>
      ctx.dispatcherIndex.entryVmsFor(ctx.service.name, domain).map((to) => ({
        to,
        domain,
        want: SPARE_GRANT_SLOTS + 2 * this.grants.inUse(to),
      })),
    );
  }

  #routeToNearest(
    domain: FailureDomainId,
    excluded: readonly EntryVmId[],
    ctx: RouterContext,
  ): Route {
    const dispatchers = ctx.dispatcherIndex.entryVmsFor(ctx.service.name, domain);
    const candidates = dispatchers.filter((id) => !excluded.includes(id));
    const to = this.#leastLoaded(candidates);
    if (to !== undefined) return { type: 'dispatch', to, domain, granted: false };
    return { type: 'none', code: dispatchers.length > 0 ? 'overloaded' : 'shift_capped' };
  }

  #routeToRemote(
    domain: FailureDomainId,
    rank: Rank,
    excluded: readonly EntryVmId[],
    ctx: RouterContext,
  ): Route | undefined {
    if (!ctx.linkHasCapacity(domain, rank)) return undefined;
    const to = this.#leastLoaded(
      ctx.dispatcherIndex
        .entryVmsFor(ctx.service.name, domain)
        .filter((id) => !excluded.includes(id) && this.grants.freeSlots(id, ctx.nowMs) > 0),
    );
    if (to === undefined || !this.grants.acquire(to, ctx.nowMs)) return undefined;
    return { type: 'dispatch', to, domain, granted: true };
  }

  /** Picks the least loaded of two random candidates and this entry VM, which needs no hop. */
  #leastLoaded(candidates: readonly EntryVmId[]): EntryVmId | undefined {
    const first = candidates[Math.floor(this.#random() * candidates.length)];
    const second = candidates[Math.floor(this.#random() * candidates.length)];
    const drawn = [this.#self, first, second].filter(
      (id): id is EntryVmId => id !== undefined && candidates.includes(id),
    );
    return drawn.reduce<EntryVmId | undefined>(
      (best, id) => (best === undefined || this.#loadCost(id) < this.#loadCost(best) ? id : best),
      undefined,
    );
  }

  #loadCost(id: EntryVmId): number {
    const { load, outstanding } = this.#entryVmLoad(id);
    return load + outstanding * HOP_LOAD + (id === this.#self ? 0 : HOP_LOAD);
  }

  #entryVmLoad(id: EntryVmId): EntryVmLoad {
    let entryVmLoad = this.#entryVmLoads.get(id);
    if (entryVmLoad === undefined) {
      entryVmLoad = { load: 0, outstanding: 0 };
      this.#entryVmLoads.set(id, entryVmLoad);
    }
    return entryVmLoad;
  }

  /** The domain that serves a home without any shift: the home, or the nearest with servers. */
  #nearestDomain(home: FailureDomainId, ctx: RouterContext): FailureDomainId {
    return sortByLatency(ctx.view, home, configuredDomains(ctx.service))[0] ?? home;
  }

  #homeState(home: FailureDomainId, ctx: RouterContext): HomeState {
    const existing = this.#homeStates.get(home);
    if (existing !== undefined) return existing;
    const initialSplit = this.#adoptedSplits.get(home) ?? [
      { domain: this.#nearestDomain(home, ctx), share: 1 },
    ];
    const created: HomeState = {
      shifter: new TrafficShifter(initialSplit),
      spilloverShare: 0,
      requests: 0,
      refused: 0,
      notFullSinceMs: ctx.nowMs,
    };
    this.#homeStates.set(home, created);
    return created;
  }
}

/** Failure domains in which the service has backend servers in the settings. */
export function configuredDomains(service: ServiceSettings): readonly FailureDomainId[] {
  return [...new Set(service.backendServers.map((server) => server.failureDomain))];
}
