/**
 * Routes the requests of one service: to a failure domain by the capped split, then to an entry VM
 * that dispatches there. Work that leaves its home domain needs a grant of the receiver.
 */
import type {
  EntryVmId,
  FailureDomainId,
  NotRunCode,
  Rank,
  ServiceSettings,
  SettingsView,
} from '../state/index.js';
import { ShareBudget } from './budgets.js';
import { GrantBook } from './grants.js';
import { byDistance } from './places.js';
import type { DispatcherIndex } from './places.js';
import { TrafficShifter } from './shifts.js';
import type { DomainShare } from './shifts.js';

/** Where a request goes. */
export type Route =
  | {
      readonly type: 'dispatch';
      readonly to: EntryVmId;
      readonly domain: FailureDomainId;
      readonly granted: boolean;
    }
  | { readonly type: 'none'; readonly code: NotRunCode };

/** What a router has to know of the world at a decision. */
export interface RouterContext {
  readonly service: ServiceSettings;
  readonly view: SettingsView;
  readonly index: DispatcherIndex;
  /** Whether an answer of this rank fits on the link towards the domain. */
  readonly linkHasRoom: (domain: FailureDomainId, rank: Rank) => boolean;
  readonly nowMs: number;
}

/** A request for headroom, to be sent to another entry VM. */
export interface GrantAsk {
  readonly to: EntryVmId;
  readonly domain: FailureDomainId;
  readonly want: number;
}

interface Home {
  readonly shifter: TrafficShifter;
  /** Share that overflows by this entry VM's own judgement. */
  spill: number;
  requests: number;
  refused: number;
  quietSinceMs: number;
}

interface KnownLoad {
  readonly load: number;
  outstanding: number;
}

/** Domains asked for headroom at once. */
const MAX_SPILL_DOMAINS = 4;

/** Slots asked for on top of twice those in use. */
const LEAST_WANT = 4;

const SPILL_STEP_UP = 0.05;
const SPILL_STEP_DOWN = 0.02;

/** Time without a refusal after which spill goes down, in milliseconds. */
const SPILL_QUIET_MS = 5_000;

/** Share of refused requests at which a home counts as full. */
const SPILL_REFUSED_SHARE = 0.02;

/** What a hop to another entry VM counts in a comparison of loads. */
const HOP_LOAD = 0.2;

const RETRY_BURST = 10;

export class Router {
  readonly #self: EntryVmId;

  readonly #random: () => number;

  readonly #homes = new Map<FailureDomainId, Home>();

  readonly #loads = new Map<EntryVmId, KnownLoad>();

  readonly #adopted = new Map<FailureDomainId, readonly DomainShare[]>();

  /** Grants held from others. */
  readonly grants = new GrantBook();

  /** Retries of idempotent work that may have run. */
  readonly retries = new ShareBudget(RETRY_BURST);

  /** @param random - uniform in [0, 1). */
  constructor(self: EntryVmId, random: () => number) {
    this.#self = self;
    this.#random = random;
  }

  /** Takes the split that another entry VM has in force, for homes without traffic here. */
  adopt(home: FailureDomainId, split: readonly DomainShare[]): void {
    this.#adopted.set(home, split);
    const known = this.#homes.get(home);
    if (known !== undefined && known.requests === 0 && known.spill === 0) this.#homes.delete(home);
  }

  /** Splits in force here that are not simply the nearest domain. */
  splits(): readonly { readonly home: FailureDomainId; readonly split: readonly DomainShare[] }[] {
    return [...this.#homes.entries()].map(([home, { shifter }]) => ({
      home,
      split: shifter.split,
    }));
  }

  /** Counts a request of a home once, before its first route. */
  arrived(home: FailureDomainId, ctx: RouterContext): void {
    const state = this.#home(home, ctx);
    state.requests += 1;
    state.shifter.count(this.#nearest(home, ctx), ctx.service.shift, ctx.nowMs);
    this.retries.earn(ctx.service.retryShare);
  }

  /** Notes that a home could not take a request. */
  refused(home: FailureDomainId, ctx: RouterContext): void {
    this.#home(home, ctx).refused += 1;
  }

  /**
   * Chooses where a request goes. A granted route holds its grant until `release`.
   *
   * @param excluded - entry VMs that refused this request.
   */
  route(
    home: FailureDomainId,
    rank: Rank,
    excluded: readonly EntryVmId[],
    ctx: RouterContext,
  ): Route {
    const { shifter } = this.#home(home, ctx);
    const nearest = this.#nearest(home, ctx);
    const served = ctx.index.at(ctx.service.name, nearest).length > 0;
    const domain = shifter.pick(nearest, rank, served ? 'bulk' : 'urgent');
    if (domain === nearest) return this.#routeHome(nearest, excluded, ctx);
    const away = this.#routeAway(domain, rank, excluded, ctx);
    if (away !== undefined) return away;
    if (!served || !shifter.mayReturn(ctx.service.shift, ctx.nowMs)) {
      return { type: 'none', code: 'no_grant' };
    }
    return this.#routeHome(nearest, excluded, ctx);
  }

  sent(to: EntryVmId): void {
    this.#load(to).outstanding += 1;
  }

  /** Ends a route. @param load - work over slots, as the receiver told it. */
  release(to: EntryVmId, granted: boolean, load: number | undefined): void {
    const known = this.#load(to);
    const outstanding = Math.max(0, known.outstanding - 1);
    this.#loads.set(to, { load: load ?? known.load, outstanding });
    if (granted) this.grants.giveBack(to);
  }

  /** Moves all splits a step. @returns headroom to ask for. */
  tick(ctx: RouterContext): readonly GrantAsk[] {
    return [...this.#homes.entries()].flatMap(([home, state]) => {
      const nearest = this.#nearest(home, ctx);
      const served = ctx.index.at(ctx.service.name, nearest).length > 0;
      this.#adjustSpill(state, served, ctx.nowMs);
      const target = this.#target(home, nearest, state, served, ctx);
      state.shifter.step(target, ctx.service.shift, ctx.nowMs);
      return this.#asks(home, nearest, state, served, ctx);
    });
  }

  #adjustSpill(state: Home, served: boolean, nowMs: number): void {
    const full = state.refused > state.requests * SPILL_REFUSED_SHARE;
    if (full && served) {
      state.spill = Math.min(1, state.spill + SPILL_STEP_UP);
      state.quietSinceMs = nowMs;
    } else if (nowMs - state.quietSinceMs > SPILL_QUIET_MS) {
      state.spill = Math.max(0, state.spill - SPILL_STEP_DOWN);
    }
    state.requests = 0;
    state.refused = 0;
  }

  /** The split wanted now: by plan, then what home can't take, where there is headroom. */
  #target(
    home: FailureDomainId,
    nearest: FailureDomainId,
    state: Home,
    served: boolean,
    ctx: RouterContext,
  ): readonly DomainShare[] {
    const planned = ctx.service.shift.planned.filter((each) => each.from === home);
    const shares = new Map<FailureDomainId, number>();
    planned.forEach((each) => shares.set(each.to, (shares.get(each.to) ?? 0) + each.share));
    const plannedSum = [...shares.values()].reduce((sum, share) => sum + share, 0);
    const kept = 1 - plannedSum;
    const overflow = served ? kept * state.spill : kept;
    const receivers = this.#receivers(home, nearest, ctx).map((domain) => ({
      domain,
      slots: this.#grantedSlots(domain, ctx),
    }));
    const granted = receivers.reduce((sum, each) => sum + each.slots, 0);
    const moved = granted === 0 ? 0 : overflow;
    receivers.forEach(({ domain, slots }) => {
      if (moved > 0) shares.set(domain, (shares.get(domain) ?? 0) + (moved * slots) / granted);
    });
    shares.set(nearest, (shares.get(nearest) ?? 0) + kept - moved);
    return [...shares.entries()].map(([domain, share]) => ({ domain, share }));
  }

  /** Other domains that could take work, the nearest first. */
  #receivers(
    home: FailureDomainId,
    nearest: FailureDomainId,
    ctx: RouterContext,
  ): readonly FailureDomainId[] {
    const domains = configuredDomains(ctx.service).filter((domain) => domain !== nearest);
    const served = domains.filter((domain) => ctx.index.at(ctx.service.name, domain).length > 0);
    return byDistance(ctx.view, home, served).slice(0, MAX_SPILL_DOMAINS);
  }

  #grantedSlots(domain: FailureDomainId, ctx: RouterContext): number {
    return ctx.index
      .at(ctx.service.name, domain)
      .reduce((sum, to) => sum + this.grants.free(to, ctx.nowMs) + this.grants.inUse(to), 0);
  }

  #asks(
    home: FailureDomainId,
    nearest: FailureDomainId,
    state: Home,
    served: boolean,
    ctx: RouterContext,
  ): readonly GrantAsk[] {
    const planned = ctx.service.shift.planned
      .filter((each) => each.from === home)
      .map((each) => each.to);
    const spilling = !served || state.spill > 0;
    const overflow = spilling ? this.#receivers(home, nearest, ctx) : [];
    const current = state.shifter.split.map((each) => each.domain);
    const domains = new Set([...planned, ...overflow, ...current]);
    domains.delete(nearest);
    return [...domains].flatMap((domain) =>
      ctx.index.at(ctx.service.name, domain).map((to) => ({
        to,
        domain,
        want: LEAST_WANT + 2 * this.grants.inUse(to),
      })),
    );
  }

  #routeHome(domain: FailureDomainId, excluded: readonly EntryVmId[], ctx: RouterContext): Route {
    const all = ctx.index.at(ctx.service.name, domain);
    const candidates = all.filter((id) => !excluded.includes(id));
    const to = this.#leastLoaded(candidates);
    if (to !== undefined) return { type: 'dispatch', to, domain, granted: false };
    return { type: 'none', code: all.length > 0 ? 'overloaded' : 'shift_capped' };
  }

  #routeAway(
    domain: FailureDomainId,
    rank: Rank,
    excluded: readonly EntryVmId[],
    ctx: RouterContext,
  ): Route | undefined {
    if (!ctx.linkHasRoom(domain, rank)) return undefined;
    const to = this.#leastLoaded(
      ctx.index
        .at(ctx.service.name, domain)
        .filter((id) => !excluded.includes(id) && this.grants.free(id, ctx.nowMs) > 0),
    );
    if (to === undefined || !this.grants.take(to, ctx.nowMs)) return undefined;
    return { type: 'dispatch', to, domain, granted: true };
  }

  /** The better of two entry VMs drawn at random, this one without a hop. */
  #leastLoaded(candidates: readonly EntryVmId[]): EntryVmId | undefined {
    const first = candidates[Math.floor(this.#random() * candidates.length)];
    const second = candidates[Math.floor(this.#random() * candidates.length)];
    const drawn = [this.#self, first, second].filter(
      (id): id is EntryVmId => id !== undefined && candidates.includes(id),
    );
    return drawn.reduce<EntryVmId | undefined>(
      (best, id) => (best === undefined || this.#cost(id) < this.#cost(best) ? id : best),
      undefined,
    );
  }

  #cost(id: EntryVmId): number {
    const { load, outstanding } = this.#load(id);
    return load + outstanding * HOP_LOAD + (id === this.#self ? 0 : HOP_LOAD);
  }

  #load(id: EntryVmId): KnownLoad {
    let known = this.#loads.get(id);
    if (known === undefined) {
      known = { load: 0, outstanding: 0 };
      this.#loads.set(id, known);
    }
    return known;
  }

  /** The domain that serves a home when nothing is moved: itself, or the nearest with servers. */
  #nearest(home: FailureDomainId, ctx: RouterContext): FailureDomainId {
    return byDistance(ctx.view, home, configuredDomains(ctx.service))[0] ?? home;
  }

  #home(home: FailureDomainId, ctx: RouterContext): Home {
    const known = this.#homes.get(home);
    if (known !== undefined) return known;
    const start = this.#adopted.get(home) ?? [{ domain: this.#nearest(home, ctx), share: 1 }];
    const created: Home = {
      shifter: new TrafficShifter(start),
      spill: 0,
      requests: 0,
      refused: 0,
      quietSinceMs: ctx.nowMs,
    };
    this.#homes.set(home, created);
    return created;
  }
}

/** Failure domains in which the settings give a service backend servers. */
export function configuredDomains(service: ServiceSettings): readonly FailureDomainId[] {
  return [...new Set(service.backendServers.map((server) => server.failureDomain))];
}
