/**
 * Routing state of an entry VM: settings, members, claims on backend servers, and the router,
 * dispatchers and headroom ledgers of each service.
 */
import { SettingsView } from '../state/index.js';
import type {
  BackendServerId,
  EntryVmId,
  FailureDomainId,
  Fingerprint,
  MemberRecord,
  ReplicaItem,
  ServiceName,
  ServiceSettings,
} from '../state/index.js';
import type { EntryEffect, SplitReport } from './entryevents.js';
import { ServerClaims } from './serverclaims.js';
import type { LeavingServers } from './serverclaims.js';
import type { CrashVerdict } from './crashes.js';
import { Dispatcher } from './dispatchers.js';
import type { ClaimedServer, DispatchEffect } from './dispatchrequests.js';
import { HeadroomLedger } from './grants.js';
import { parseSplitItem, parseVmItem } from './replicaitems.js';
import { LinkBudgets } from './linkbudgets.js';
import { DispatcherIndex, dispatcherKey } from './dispatcherindexes.js';
import { Router } from './routers.js';
import type { RouterContext } from './routers.js';
import { ItemVersions } from './itemversions.js';

/** Time for which no requests are routed to an entry VM that could not be reached. */
const UNREACHABLE_MS = 2_000;

/** Properties of the entry VM that owns the state. */
export interface RoutingStateOptions {
  readonly id: EntryVmId;
  readonly failureDomain: FailureDomainId;
  readonly random: () => number;
  readonly crashVerdict: (fingerprint: Fingerprint) => CrashVerdict;
  readonly settleMs?: number | undefined;
}

export class RoutingState {
  readonly view = new SettingsView();

  readonly links = new LinkBudgets();

  readonly #options: RoutingStateOptions;

  readonly #itemVersions = new ItemVersions();

  readonly #claims: ServerClaims;

  /** Dispatchers by service and failure domain, see `dispatcherKey`. */
  readonly #dispatchers = new Map<string, Dispatcher>();

  readonly #ledgers = new Map<string, HeadroomLedger>();

  readonly #routers = new Map<ServiceName, Router>();

  /** Servers that reported themselves as leaving. */
  readonly #reportedLeaving = new Set<BackendServerId>();

  /** Servers that the platform lists as leaving. */
  readonly #listedLeaving = new Set<BackendServerId>();

  /** Time until which each entry VM that could not be reached is excluded from routing. */
  readonly #unreachableUntilMs = new Map<EntryVmId, number>();

  readonly #leavingServers: LeavingServers = {
    has: (id) => this.#reportedLeaving.has(id) || this.#listedLeaving.has(id),
  };

  #members: readonly MemberRecord[] = [];

  #dispatcherIndex = new DispatcherIndex([], []);

  constructor(options: RoutingStateOptions) {
    this.#options = options;
    this.#claims = new ServerClaims(options.id, (domain) => this.view.region(domain), {
      ...(options.settleMs === undefined ? {} : { settleMs: options.settleMs }),
    });
  }

  get members(): readonly MemberRecord[] {
    return this.#members;
  }

  member(id: EntryVmId): MemberRecord | undefined {
    return this.#members.find((member) => member.id === id);
  }

  router(service: ServiceName): Router {
    let router = this.#routers.get(service);
    if (router === undefined) {
      router = new Router(this.#options.id, this.#options.random);
      this.#routers.set(service, router);
    }
    return router;
  }

  dispatcher(service: ServiceName, domain: FailureDomainId): Dispatcher | undefined {
    return this.#dispatchers.get(dispatcherKey(service, domain));
  }

  ledger(service: ServiceName, domain: FailureDomainId): HeadroomLedger {
    const key = dispatcherKey(service, domain);
    const ledger = this.#ledgers.get(key) ?? new HeadroomLedger();
    this.#ledgers.set(key, ledger);
    return ledger;
  }

  /** Inputs of a routing decision; undefined for a service that is not in the settings. */
  routerContext(name: ServiceName, nowMs: number): RouterContext | undefined {
    const service = this.view.service(name);
    if (service === undefined) return undefined;
    const ownRegion = this.view.region(this.#options.failureDomain);
    return {
      service,
      view: this.view,
      dispatcherIndex: this.#dispatcherIndex,
      nowMs,
      linkHasCapacity: (domain, rank) => {
        const region = this.view.region(domain);
        return (
          region === undefined ||
          region === ownRegion ||
          this.links.hasCapacity(region, rank, nowMs)
        );
      },
    };
  }

  /** Servers that are claimed here, or still run requests dispatched from here. */
  dispatching(): readonly BackendServerId[] {
    const busy = [...this.#dispatchers.values()].flatMap((dispatcher) => [
      ...dispatcher.busyServers(),
    ]);
    return [...new Set([...this.#claims.claimed, ...busy])];
  }

  /** Requests over slots for a service in a domain; senders compare this load. */
  loadOf(service: ServiceName, domain: FailureDomainId, nowMs: number): number | undefined {
    const dispatcher = this.dispatcher(service, domain);
    if (dispatcher === undefined) return undefined;
    return (dispatcher.running + dispatcher.waiting) / Math.max(1, dispatcher.slots(nowMs));
  }

  splits(): readonly SplitReport[] {
    return [...this.#routers.entries()].flatMap(([service, router]) =>
      router.splits().map((split) => ({ service, ...split })),
    );
  }

  /**
   * Applies a replicated item: settings, a traffic split or a listed VM.
   *
   * @returns whether claims and dispatchers must be reconfigured.
   */
  applyItem(item: ReplicaItem): boolean {
    if (!this.#itemVersions.advance(item)) return false;
    const report = parseSplitItem(item);
    if (report !== undefined) {
      this.router(report.service).adoptSplit(report.home, report.split);
      return false;
    }
    const vm = parseVmItem(item);
    if (vm === undefined) return this.view.apply(item);
    setMembership(this.#listedLeaving, vm.id, vm.leaving);
    return true;
  }

  setMembers(members: readonly MemberRecord[]): void {
    this.#members = members;
  }

  /** Records whether a backend server reported itself as leaving. */
  setServerLeaving(server: BackendServerId, leaving: boolean): void {
    setMembership(this.#reportedLeaving, server, leaving);
  }

  /** Stops routing to an entry VM for `UNREACHABLE_MS`. */
  markUnreachable(id: EntryVmId, nowMs: number): void {
    this.#unreachableUntilMs.set(id, nowMs + UNREACHABLE_MS);
    this.#rebuildDispatcherIndex(nowMs);
  }

  /** Restarts the settling delay of all claims: other entry VMs may have claimed them in a pause. */
  restartSettling(nowMs: number): readonly DispatchEffect[] {
    this.#claims.restartSettling(nowMs);
    return this.configure(nowMs);
  }

  /** Recomputes claims and passes them to the dispatchers. */
  configure(nowMs: number): readonly DispatchEffect[] {
    const { services } = this.view;
    const configured = new Set(
      services.flatMap((service) => service.backendServers.map((server) => server.id)),
    );
    this.#claims.retain(configured);
    this.#configureLinks(nowMs);
    const effects = services.flatMap((service) => this.#configureService(service, nowMs));
    this.#rebuildDispatcherIndex(nowMs);
    return [...effects, ...this.#removeIdleDispatchers(nowMs)];
  }

  /** Fails expired requests, hedges or probes slow runs, and fills open slots in all dispatchers. */
  tick(nowMs: number): readonly DispatchEffect[] {
    return [...this.#dispatchers.values()].flatMap((dispatcher) => [...dispatcher.tick(nowMs)]);
  }

  /** Moves the traffic splits one step and requests headroom from other entry VMs. */
  rebalance(nowMs: number): readonly EntryEffect[] {
    this.#ledgers.forEach((ledger) => ledger.expire(nowMs));
    return [...this.#routers.entries()].flatMap(([service, router]): EntryEffect[] => {
      const ctx = this.routerContext(service, nowMs);
      if (ctx === undefined) return [];
      return router.tick(ctx).flatMap((request): EntryEffect[] => {
        const to = this.member(request.to);
        return to === undefined ? [] : [{ type: 'askGrant', service, ...request, to }];
      });
    });
  }

  /** Grants headroom for one service in one domain. */
  grant(
    from: EntryVmId,
    service: ServiceName,
    domain: FailureDomainId,
    wantedSlots: number,
    nowMs: number,
  ): number {
    const dispatcher = this.dispatcher(service, domain);
    if (dispatcher === undefined) return 0;
    const ledger = this.ledger(service, domain);
    const ownLoad = dispatcher.running + dispatcher.waiting - ledger.inUse();
    const headroom = { slots: dispatcher.slots(nowMs), ownLoad: Math.max(0, ownLoad) };
    return ledger.grant(from, wantedSlots, headroom, nowMs);
  }

  #configureService(service: ServiceSettings, nowMs: number): readonly DispatchEffect[] {
    const claimed = this.#claims.update(service, this.#members, this.#leavingServers, nowMs);
    const byDomain = new Map<FailureDomainId, ClaimedServer[]>();
    claimed.forEach((server) => {
      const domain = server.settings.failureDomain;
      byDomain.set(domain, [...(byDomain.get(domain) ?? []), server]);
    });
    byDomain.forEach((_, domain) => {
      const key = dispatcherKey(service.name, domain);
      if (this.#dispatchers.has(key)) return;
      this.#dispatchers.set(key, new Dispatcher(service, this.#options.crashVerdict));
    });
    return this.#dispatchersOf(service.name).flatMap(({ domain, dispatcher }) => [
      ...dispatcher.configure(service, byDomain.get(domain) ?? [], nowMs),
    ]);
  }

  #dispatchersOf(service: ServiceName) {
    const prefix = dispatcherKey(service, '' as FailureDomainId);
    return [...this.#dispatchers.entries()]
      .filter(([key]) => key.startsWith(prefix))
      .map(([key, dispatcher]) => ({
        domain: key.slice(prefix.length) as FailureDomainId,
        dispatcher,
      }));
  }

  /** Releases the servers of removed services and deletes idle dispatchers. */
  #removeIdleDispatchers(nowMs: number): readonly DispatchEffect[] {
    return [...this.#dispatchers.entries()].flatMap(([key, dispatcher]) => {
      const name = key.slice(0, key.indexOf('|')) as ServiceName;
      const effects = this.view.service(name) === undefined ? dispatcher.release(nowMs) : [];
      if (dispatcher.isIdle) this.#dispatchers.delete(key);
      return [...effects];
    });
  }

  #configureLinks(nowMs: number): void {
    const ownRegion = this.view.region(this.#options.failureDomain);
    const senders = this.#members.filter(
      (member) => this.view.region(member.failureDomain) === ownRegion,
    );
    this.view.fleet?.links.forEach((link) => {
      if (ownRegion === undefined || !link.between.includes(ownRegion)) return;
      const to = link.between.find((region) => region !== ownRegion);
      if (to !== undefined) this.links.configure(to, link.mbitPerS, senders.length, nowMs);
    });
  }

  #rebuildDispatcherIndex(nowMs: number): void {
    const usable = this.#members
      .filter((member) => (this.#unreachableUntilMs.get(member.id) ?? 0) <= nowMs)
      .map((member) =>
        member.id === this.#options.id
          ? { ...member, dispatching: [...this.dispatching()] }
          : member,
      );
    this.#dispatcherIndex = new DispatcherIndex(this.view.services, usable);
  }
}

function setMembership<Id>(set: Set<Id>, id: Id, isMember: boolean): void {
  if (isMember) set.add(id);
  else set.delete(id);
}
