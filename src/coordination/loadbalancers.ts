/** Load balancing: selects the backend server for a request, mainly by expected response time. */
import { hashText } from '../state/index.js';
import type {
  BackendServerId,
  EntryVmId,
  FailureDomainId,
  RegionId,
  RoutePlan,
  ServiceName,
} from '../state/index.js';
import { CROSS_DOMAIN_MS_PER_BYTE, NetworkCosts } from './networkcosts.js';
import type { FleetView, KnownServer } from './fleetviews.js';
import { RouteEstimates } from './routetimes.js';
import { RegionShares } from './regionshares.js';
import type { RegionCapacity } from './regionshares.js';
import { indexByRegion, rankServers } from './serverindexes.js';
import type { RegionIndex } from './serverindexes.js';
import { ServerLoads } from './serverloads.js';
import type { ServerLoad } from './serverloads.js';
import { ServerNotices } from './servernotices.js';
import { ewma } from './slots.js';
import { WarmupLimiter } from './warmuplimiters.js';

/** Location of the entry VM and the limits on traffic shifts and cold servers. */
export interface LoadBalancerOptions {
  readonly self: EntryVmId;
  readonly home: FailureDomainId;
  readonly regions: ReadonlyMap<FailureDomainId, RegionId>;
  readonly maxShift: number;
  /** Factor by which the request rate of a cold backend server may exceed its warm-up rate. */
  readonly coldOverage: number;
}

/** A request that needs a backend server. */
export interface PlacementRequest {
  readonly route: RoutePlan;
  readonly service: ServiceName;
  /** Affinity key, shared by requests on the same object; undefined for none. */
  readonly key: string | undefined;
  /** Time since the request arrived, in milliseconds. */
  readonly waitedMs: number;
  /** Time until the request's deadline, in milliseconds. */
  readonly leftMs: number;
  /** Whether the request was sent before. A retry is shed only when it would miss its deadline. */
  readonly isRetry: boolean;
  /** Backend servers that the request was already sent to. */
  readonly tried: ReadonlySet<BackendServerId>;
  /** Whether servers in `tried` may be used when no others are available. */
  readonly mayReuse: boolean;
}

/** The selected backend server. */
export interface Placement {
  readonly server: KnownServer;
  readonly warm: boolean;
  /** Expected response time, in milliseconds. */
  readonly expectedMs: number;
  /** Time after which the response is overdue even from a server where the object is cold. */
  readonly hedgeDelayMs: number;
  /** Whether the request queues at the server. Its time is then not used for estimates. */
  readonly queued: boolean;
}

export type PlacementOutcome =
  | { readonly type: 'place'; readonly placement: Placement }
  /** All suitable servers are busy; a slot may become free soon. */
  | { readonly type: 'wait' }
  /** The request is shed: its expected wait or response time is too long. */
  | { readonly type: 'late'; readonly waitMs: number; readonly expectedMs: number }
  /** All suitable servers want no requests for some time, the first one for `waitMs`. */
  | { readonly type: 'heldOff'; readonly waitMs: number }
  | { readonly type: 'noServer' };

/**
 * Weight of the round trip to a region when region shares are computed. It is below 1 because a
 * longer round trip within the latency objective costs less than moving objects to cold servers.
 */
const ROUND_TRIP_WEIGHT = 0.4;

/** Cost of a server whose recent requests all failed, in milliseconds. */
const FAILURE_COST_MS = 3_000;

/** Multiple of the usual execution time after which a request is overdue. */
const HEDGE_DELAY_FACTOR = 1.7;

/** Cost advantage of a key's home server, in milliseconds, and the part of it that each further rank keeps. */
const HOME_SERVER_BONUS_MS = 30;
const RANK_BONUS_RATIO = 0.7;

/** Requests that may queue at a server for each of its slots, by urgency. */
const URGENT_QUEUE_PER_SLOT = 0.8;
const DEFAULT_QUEUE_PER_SLOT = 0.34;

/** Utilization of a region below which requests may spill over to cold servers. */
const MAX_SPILL_UTILIZATION = 0.6;

/** Wait after which a request counts as urgent, as a part of the latency objective. */
const URGENT_AFTER_OBJECTIVE_RATIO = 0.3;

/** Least permitted wait before a request is shed, as a part of the latency objective. */
const MIN_WAIT_OBJECTIVE_RATIO = 0.25;

/**
 * Maximum number of servers of a region that are compared for a request, without those that are cold:
 * enough to pass over busy ones, and independent of the number of servers.
 */
const MAX_CANDIDATES = 20;

interface Candidate extends Placement {
  /** Whether the server is the key's home, has the object warm, or the request has no key. */
  readonly meetsAffinity: boolean;
  readonly cost: number;
  readonly waitMs: number;
  readonly occupancy: number;
}

export class LoadBalancer {
  readonly #options: LoadBalancerOptions;

  readonly #view: FleetView;

  /** Load, speed and health of each server. */
  readonly loads = new ServerLoads();

  /** What servers announced about themselves. */
  readonly notices = new ServerNotices();

  readonly #shares = new Map<ServiceName, RegionShares>();

  readonly #indexes = new WeakMap<readonly KnownServer[], RegionIndex>();

  readonly #estimates = new RouteEstimates();

  readonly #executionMs = new Map<ServiceName, number>();

  readonly #networkCosts: NetworkCosts;

  readonly #warmupLimiter: WarmupLimiter;

  #sharingEntryVms: readonly EntryVmId[];

  /** Live entry VMs of this one's failure domain, this one included. */
  #liveInDomain = 1;

  constructor(view: FleetView, options: LoadBalancerOptions) {
    this.#view = view;
    this.#options = options;
    this.#networkCosts = new NetworkCosts(options.home, options.regions);
    this.#warmupLimiter = new WarmupLimiter(options.self);
    this.#sharingEntryVms = [options.self];
  }

  /**
   * Sets the other entry VMs.
   *
   * @param sharing - those among which requests to cold servers are divided.
   * @param liveInDomain - number of those in this one's failure domain, this one included.
   */
  setEntryVms(sharing: readonly EntryVmId[], liveInDomain: number): void {
    this.#sharingEntryVms = sharing;
    this.#liveInDomain = liveInDomain;
  }

  load(server: BackendServerId): ServerLoad {
    return this.loads.get(server);
  }

  /** Records that a server has processed a request on an object. */
  markWarm(server: BackendServerId, route: RoutePlan, key: string, nowMs: number): void {
    this.load(server).markWarm(objectKey(route, key), nowMs);
  }

  removeServer(server: BackendServerId): void {
    this.loads.remove(server);
    this.#warmupLimiter.remove(server);
  }

  /** Updates the round-trip time to a failure domain from the time that a connect took. */
  recordConnectTime(domain: FailureDomainId, tookMs: number): void {
    this.#networkCosts.recordConnectTime(domain, tookMs);
  }

  /** Counts a request from a caller on an object. */
  recordArrival(route: RoutePlan, key: string, nowMs: number): void {
    this.#estimates.get(route).keys.add(key, nowMs);
  }

  /** Updates the estimates from a complete response. */
  recordResponse(
    route: RoutePlan,
    placement: Placement,
    tookMs: number,
    bytes: number,
    nowMs: number,
  ): void {
    const estimate = this.#estimates.get(route);
    estimate.bytes = ewma(estimate.bytes, bytes);
    const { record } = placement.server;
    const load = this.load(record.id);
    const executionMs = Math.max(1, tookMs - this.#networkCosts.roundTripMs(record.failureDomain));
    this.#executionMs.set(record.service, ewma(this.#executionMs.get(record.service), executionMs));
    if (placement.queued) return;
    const estimatedMs = placement.warm ? estimate.warmMs : estimate.coldMs;
    load.recordTimeRatio(executionMs / estimatedMs, nowMs);
    if (placement.warm) estimate.warmMs = ewma(estimate.warmMs, executionMs);
    else estimate.coldMs = ewma(estimate.coldMs, executionMs);
  }

  /** Updates the region shares of each service, and drops old notices. */
  tick(nowMs: number): void {
    this.notices.tick(nowMs);
    const services = new Set(this.#view.plan?.services.map((service) => service.name));
    this.#shares.forEach((shares, service) => {
      if (!services.has(service)) this.#shares.delete(service);
      else
        shares.update(
          this.#regionCapacities(service, nowMs),
          this.#meanExecutionMs(service),
          nowMs,
        );
    });
  }

  place(request: PlacementRequest, nowMs: number): PlacementOutcome {
    const candidates = this.#candidates(request, nowMs);
    if (candidates.length === 0) return this.#noCandidate(request, nowMs);
    const byCost = [...candidates].sort((x, y) => x.cost - y.cost);
    const maySpill = hasSpareCapacity(candidates);
    const timely = byCost.filter(
      (candidate) => (maySpill || candidate.meetsAffinity) && !this.#shouldShed(request, candidate),
    );
    const [best] = byCost;
    if (best === undefined) return { type: 'noServer' };
    if (timely.length === 0) {
      return { type: 'late', waitMs: best.waitMs, expectedMs: best.expectedMs };
    }
    const queuePerSlot = this.#queueAllowance(request);
    const selected = timely.find(
      (candidate) =>
        candidate.occupancy < candidate.server.record.slots * (1 + queuePerSlot) &&
        this.#isProbationAllowed(candidate, nowMs) &&
        this.#isWarmupAllowed(candidate, nowMs),
    );
    return selected === undefined ? { type: 'wait' } : { type: 'place', placement: selected };
  }

  /** Requests that may queue at a server for each of its slots when this request is added. */
  #queueAllowance({ route, service, waitedMs }: PlacementRequest): number {
    if (waitedMs > route.objectiveMs * URGENT_AFTER_OBJECTIVE_RATIO) return URGENT_QUEUE_PER_SLOT;
    const mostUrgent = Math.min(
      ...(this.#view.plan?.routes ?? [])
        .filter((other) => other.targets.some((target) => target.service === service))
        .map((other) => other.priority),
    );
    return route.priority <= mostUrgent ? URGENT_QUEUE_PER_SLOT : DEFAULT_QUEUE_PER_SLOT;
  }

  /** Whether to shed a request whose wait would make other requests miss their objective too. */
  #shouldShed(
    { route, waitedMs, leftMs, isRetry: retry }: PlacementRequest,
    candidate: Candidate,
  ): boolean {
    if (retry) return candidate.expectedMs > leftMs;
    if (candidate.waitMs <= 0 && waitedMs <= 0) return false;
    if (candidate.expectedMs > leftMs) return true;
    const { warmMs } = this.#estimates.get(route);
    const maxWaitMs = Math.max(
      route.objectiveMs * MIN_WAIT_OBJECTIVE_RATIO,
      route.objectiveMs - warmMs,
    );
    return waitedMs + candidate.waitMs > maxWaitMs;
  }

  /** Whether the server takes this request in addition to those in flight after a hold-off. */
  #isProbationAllowed({ server: { record } }: Candidate, nowMs: number): boolean {
    return !this.notices.isOnProbation(record, nowMs) || this.load(record.id).inFlight === 0;
  }

  #isWarmupAllowed(candidate: Candidate, nowMs: number): boolean {
    const { server } = candidate;
    if (!this.#view.isCold(server, nowMs)) return true;
    const warmupPerS = this.#view.service(server.record.service)?.warmupPerS ?? 1;
    return this.#warmupLimiter.tryTake(
      server.record.id,
      warmupPerS * this.#options.coldOverage,
      this.#sharingEntryVms,
      nowMs,
    );
  }

  #candidates(request: PlacementRequest, nowMs: number): readonly Candidate[] {
    const { service, tried, mayReuse } = request;
    const index = this.#regionIndex(service);
    const isAvailable = (server: KnownServer): boolean =>
      this.#isReachable(request, server, nowMs) &&
      this.notices.holdOffMs(server.record, nowMs) === 0;
    const isUntried = (server: KnownServer): boolean =>
      !tried.has(server.record.id) && isAvailable(server);
    const untriedRegion = this.#selectRegion(request, index, isUntried, nowMs);
    if (untriedRegion !== undefined)
      return this.#candidatesIn(untriedRegion, request, isUntried, nowMs);
    const region = mayReuse ? this.#selectRegion(request, index, isAvailable, nowMs) : undefined;
    return region === undefined ? [] : this.#candidatesIn(region, request, isAvailable, nowMs);
  }

  #candidatesIn(
    region: RegionId,
    request: PlacementRequest,
    isEligible: (server: KnownServer) => boolean,
    nowMs: number,
  ): readonly Candidate[] {
    const { route, key, service } = request;
    const servers = this.#regionIndex(service).get(region) ?? [];
    const ranked = rankServers(objectKey(route, key ?? String(nowMs)), servers, isEligible);
    const inDomain = this.#usesDomainAffinity(route, nowMs)
      ? ranked.filter(({ record }) => record.failureDomain === this.#options.home)
      : [];
    const homeServer = key === undefined ? undefined : (inDomain[0] ?? ranked[0]);
    const shortlist = new Set([
      ...this.#shorten(inDomain, MAX_CANDIDATES / 2, nowMs),
      ...this.#shorten(ranked, MAX_CANDIDATES, nowMs),
    ]);
    const ranks = new Map(ranked.map((server, rank) => [server, rank]));
    return [...shortlist].map((server) => {
      const rank = server === homeServer ? 0 : (ranks.get(server) ?? 0) + 1;
      return this.#candidate(request, server, key === undefined ? Infinity : rank, nowMs);
    });
  }

  /** The first `count` servers that are not cold, and the cold ones between them. */
  #shorten(ranked: readonly KnownServer[], count: number, nowMs: number): readonly KnownServer[] {
    if (ranked.length <= count) return ranked;
    let left = count;
    const end = ranked.findIndex((server) => {
      if (!this.#view.isCold(server, nowMs)) left -= 1;
      return left < 0;
    });
    return end < 0 ? ranked : ranked.slice(0, end);
  }

  /** Usable servers of a service by region. */
  #regionIndex(service: ServiceName): RegionIndex {
    const servers = this.#view.usableServers(service);
    const known = this.#indexes.get(servers);
    if (known !== undefined) return known;
    const index = indexByRegion(servers, this.#options.regions);
    this.#indexes.set(servers, index);
    return index;
  }

  /** Whether the route may use a server that is not known to leave or to be unreachable. */
  #isReachable({ route }: PlacementRequest, { record }: KnownServer, nowMs: number): boolean {
    const region = this.#regionOf(record.failureDomain);
    const isRegionAllowed =
      route.allowedRegions.length === 0 ||
      (region !== undefined && route.allowedRegions.includes(region));
    return (
      isRegionAllowed && !this.notices.isLeaving(record) && !this.load(record.id).isEjected(nowMs)
    );
  }

  #noCandidate(request: PlacementRequest, nowMs: number): PlacementOutcome {
    const holdOffsMs = this.#view
      .usableServers(request.service)
      .filter((server) => this.#isReachable(request, server, nowMs))
      .map(({ record }) => this.notices.holdOffMs(record, nowMs))
      .filter((holdOffMs) => holdOffMs > 0);
    if (holdOffsMs.length === 0) return { type: 'noServer' };
    return { type: 'heldOff', waitMs: Math.min(...holdOffsMs) };
  }

  /** Selects the region for an object by weighted rendezvous hashing. */
  #selectRegion(
    { route, key, service }: PlacementRequest,
    index: RegionIndex,
    isEligible: (server: KnownServer) => boolean,
    nowMs: number,
  ): RegionId | undefined {
    const { shares } = this.#sharesOf(service, nowMs);
    let best: RegionId | undefined;
    let bestScore = -Infinity;
    index.forEach((servers, region) => {
      if (!servers.some(({ server }) => isEligible(server))) return;
      const text = `${objectKey(route, key ?? String(nowMs))}|${region}`;
      const score = weightedScore(text, Math.max(MIN_REGION_WEIGHT, shares.get(region) ?? 0));
      if (score <= bestScore) return;
      best = region;
      bestScore = score;
    });
    return best;
  }

  /**
   * Whether an object has a home server in each failure domain rather than one in the region. This
   * pays when sending responses between domains costs more than the object's cold requests in each.
   */
  #usesDomainAffinity(route: RoutePlan, nowMs: number): boolean {
    const { bytes, warmMs, coldMs, keys } = this.#estimates.get(route);
    const coldRatio = keys.newKeyRatio(this.#liveInDomain, nowMs);
    return bytes * CROSS_DOMAIN_MS_PER_BYTE > (coldMs - warmMs) * coldRatio;
  }

  #regionOf(domain: FailureDomainId): RegionId | undefined {
    return this.#options.regions.get(domain);
  }

  #candidate(
    request: PlacementRequest,
    server: KnownServer,
    rank: number,
    nowMs: number,
  ): Candidate {
    const isHome = rank === 0;
    const { record } = server;
    const load = this.load(record.id);
    const estimate = this.#estimates.get(request.route);
    const warm =
      request.key !== undefined &&
      (load.isWarm(objectKey(request.route, request.key), nowMs) ||
        (isHome && !this.#view.isCold(server, nowMs)));
    const occupancy = load.occupancy(nowMs);
    const speedFactor = load.speedFactor(nowMs);
    const queueLength = Math.max(0, occupancy + 1 - record.slots);
    const waitMs =
      (queueLength / record.slots) * this.#meanExecutionMs(record.service) * speedFactor;
    const executionMs = (warm ? estimate.warmMs : estimate.coldMs) * speedFactor;
    const expectedMs = this.#networkCosts.roundTripMs(record.failureDomain) + waitMs + executionMs;
    const overdueAfterMs =
      this.#networkCosts.roundTripMs(record.failureDomain) +
      waitMs +
      Math.max(executionMs, estimate.coldMs) * HEDGE_DELAY_FACTOR;
    const transferMs = this.#networkCosts.msPerByte(record.failureDomain) * estimate.bytes;
    const cost =
      expectedMs +
      transferMs +
      load.failureRate(nowMs) * FAILURE_COST_MS -
      HOME_SERVER_BONUS_MS * RANK_BONUS_RATIO ** rank;
    const meetsAffinity = warm || isHome || request.key === undefined;
    return {
      server,
      warm,
      meetsAffinity,
      expectedMs,
      hedgeDelayMs: overdueAfterMs,
      queued: queueLength > 0,
      cost,
      waitMs,
      occupancy,
    };
  }

  #sharesOf(service: ServiceName, nowMs: number): RegionShares {
    const existing = this.#shares.get(service);
    if (existing !== undefined) return existing;
    const { home, regions, maxShift } = this.#options;
    const homeRegion = this.#regionOf(home) ?? ('' as RegionId);
    const domainsInRegion = [...regions.values()].filter((region) => region === homeRegion).length;
    const demand = domainsInRegion / regions.size;
    const shares = new RegionShares({ home: homeRegion, demand, maxShift });
    shares.update(this.#regionCapacities(service, nowMs), this.#meanExecutionMs(service), nowMs);
    this.#shares.set(service, shares);
    return shares;
  }

  #regionCapacities(service: ServiceName, nowMs: number): readonly RegionCapacity[] {
    const capacities = new Map<RegionId, { slots: number; work: number; costMs: number }>();
    const meanBytes = this.#meanResponseBytes(service);
    this.#view.usableServers(service).forEach(({ record }) => {
      const load = this.load(record.id);
      const region = this.#regionOf(record.failureDomain);
      const isAvailable =
        !load.isEjected(nowMs) &&
        !this.notices.isLeaving(record) &&
        this.notices.holdOffMs(record, nowMs) === 0;
      if (region === undefined || !isAvailable) return;
      const costMs =
        this.#networkCosts.roundTripMs(record.failureDomain) * ROUND_TRIP_WEIGHT +
        this.#networkCosts.msPerByte(record.failureDomain) * meanBytes;
      const capacity = capacities.get(region) ?? { slots: 0, work: 0, costMs };
      capacity.slots += record.slots;
      capacity.work += load.occupancy(nowMs);
      capacity.costMs = Math.min(capacity.costMs, costMs);
      capacities.set(region, capacity);
    });
    return [...capacities].map(([region, { slots, work, costMs }]) => ({
      region,
      slots,
      utilization: work / slots,
      extraCostMs: costMs,
    }));
  }

  /** Mean response size of the service's routes, in bytes. */
  #meanResponseBytes(service: ServiceName): number {
    const routes = (this.#view.plan?.routes ?? []).filter((route) =>
      route.targets.some((target) => target.service === service),
    );
    return this.#estimates.meanBytes(routes);
  }

  #meanExecutionMs(service: ServiceName): number {
    return this.#executionMs.get(service) ?? DEFAULT_EXECUTION_MS;
  }
}

/** Execution time assumed before any was measured, in milliseconds. */
const DEFAULT_EXECUTION_MS = 400;

const HASH_RANGE = 2 ** 32;
const MIN_UNIT_HASH = 1e-9;

/** Weight of a region without a share, so that it is still used when it is the only one left. */
const MIN_REGION_WEIGHT = 1e-6;

/** Whether requests may run on cold servers, where they occupy a slot several times as long. */
function hasSpareCapacity(candidates: readonly Candidate[]): boolean {
  const slots = candidates.reduce((sum, candidate) => sum + candidate.server.record.slots, 0);
  const occupancy = candidates.reduce((sum, candidate) => sum + candidate.occupancy, 0);
  return occupancy < slots * MAX_SPILL_UTILIZATION;
}

/** Key of an object within its route, for hashing and for warm-key lookups. */
function objectKey(route: RoutePlan, key: string): string {
  return `${route.name}|${key}`;
}

function weightedScore(text: string, weight: number): number {
  const unitHash = Math.max(MIN_UNIT_HASH, (hashText(text) + 0.5) / HASH_RANGE);
  return -weight / Math.log(unitHash);
}
