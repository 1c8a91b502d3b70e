/**
 * What an entry knows of the fleet and what it holds in it: settings, members, claims on backend
 * servers, and for each service its router, dispatchers and headroom ledgers.
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
import type { EntryEffect, SplitReport } from './calls.js';
import { ServerClaims } from './claims.js';
import type { LeavingSigns } from './claims.js';
import type { CrashVerdict } from './crashes.js';
import { Dispatcher } from './dispatchers.js';
import type { ClaimedServer, DispatchEffect } from './works.js';
import { HeadroomLedger } from './grants.js';
import { splitOfItem, vmOfItem } from './items.js';
import { LinkBudgets } from './links.js';
import { DispatcherIndex, keyOf } from './places.js';
import { Router } from './routers.js';
import type { RouterContext } from './routers.js';
import { ItemVersions } from './versions.js';

/** Time for which an entry VM that could not be reached is not used, in milliseconds. */
const SUSPECT_MS = 2_000;

/** What a placement needs from the entry it belongs to. */
export interface PlacementSelf {
  readonly id: EntryVmId;
  readonly failureDomain: FailureDomainId;
  readonly random: () => number;
  readonly verdict: (fingerprint: Fingerprint) => CrashVerdict;
  readonly settleMs?: number | undefined;
}

export class Placement {
  readonly view = new SettingsView();

  readonly links = new LinkBudgets();

  readonly #self: PlacementSelf;

  readonly #versions = new ItemVersions();

  readonly #claims: ServerClaims;

  /** By service and failure domain. */
  readonly #dispatchers = new Map<string, Dispatcher>();

  readonly #ledgers = new Map<string, HeadroomLedger>();

  readonly #routers = new Map<ServiceName, Router>();

  /** Servers that are leaving by their own word, and by the platform's list. */
  readonly #leavingByWord = new Set<BackendServerId>();

  readonly #leavingByList = new Set<BackendServerId>();

  /** Until when entry VMs that could not be reached are not used. */
  readonly #suspects = new Map<EntryVmId, number>();

  readonly #signs: LeavingSigns = {
    has: (id) => this.#leavingByWord.has(id) || this.#leavingByList.has(id),
  };

  #members: readonly MemberRecord[] = [];

  #index = new DispatcherIndex([], []);

  constructor(self: PlacementSelf) {
    this.#self = self;
    this.#claims = new ServerClaims(self.id, (domain) => this.view.region(domain), {
      ...(self.settleMs === undefined ? {} : { settleMs: self.settleMs }),
    });
  }

  get members(): readonly MemberRecord[] {
    return this.#members;
  }

  member(id: EntryVmId): MemberRecord | undefined {
    return this.#members.find((each) => each.id === id);
  }

  router(service: ServiceName): Router {
    let router = this.#routers.get(service);
    if (router === undefined) {
      router = new Router(this.#self.id, this.#self.random);
      this.#routers.set(service, router);
    }
    return router;
  }

  dispatcher(service: ServiceName, domain: FailureDomainId): Dispatcher | undefined {
    return this.#dispatchers.get(keyOf(service, domain));
  }

  ledger(service: ServiceName, domain: FailureDomainId): HeadroomLedger {
    const key = keyOf(service, domain);
    const ledger = this.#ledgers.get(key) ?? new HeadroomLedger();
    this.#ledgers.set(key, ledger);
    return ledger;
  }

  /** What a router decides by; undefined for a service that is not in the settings. */
  context(name: ServiceName, nowMs: number): RouterContext | undefined {
    const service = this.view.service(name);
    if (service === undefined) return undefined;
    const here = this.view.region(this.#self.failureDomain);
    return {
      service,
      view: this.view,
      index: this.#index,
      nowMs,
      linkHasRoom: (domain, rank) => {
        const region = this.view.region(domain);
        return region === undefined || region === here || this.links.hasRoom(region, rank, nowMs);
      },
    };
  }

  /** Servers claimed, or still with work from here. */
  dispatching(): readonly BackendServerId[] {
    const busy = [...this.#dispatchers.values()].flatMap((each) => [...each.busyServers()]);
    return [...new Set([...this.#claims.claimed, ...busy])];
  }

  /** Work over slots for a service in a domain, as senders compare it. */
  loadOf(service: ServiceName, domain: FailureDomainId, nowMs: number): number | undefined {
    const dispatcher = this.dispatcher(service, domain);
    if (dispatcher === undefined) return undefined;
    return (dispatcher.running + dispatcher.waiting) / Math.max(1, dispatcher.slots(nowMs));
  }

  splits(): readonly SplitReport[] {
    return [...this.#routers.entries()].flatMap(([service, router]) =>
      router.splits().map((each) => ({ service, ...each })),
    );
  }

  /** Takes in an item of settings or a split. @returns whether placement may have changed. */
  learn(item: ReplicaItem): boolean {
    if (!this.#versions.advance(item)) return false;
    const report = splitOfItem(item);
    if (report !== undefined) {
      this.router(report.service).adopt(report.home, report.split);
      return false;
    }
    const vm = vmOfItem(item);
    if (vm === undefined) return this.view.apply(item);
    setHas(this.#leavingByList, vm.id, vm.leaving);
    return true;
  }

  setMembers(members: readonly MemberRecord[]): void {
    this.#members = members;
  }

  /** A backend server said by itself whether it is leaving. */
  setLeaving(server: BackendServerId, leaving: boolean): void {
    setHas(this.#leavingByWord, server, leaving);
  }

  /** Stops routing to an entry VM for a while. */
  suspect(id: EntryVmId, nowMs: number): void {
    this.#suspects.set(id, nowMs + SUSPECT_MS);
    this.#rebuildIndex(nowMs);
  }

  /** After a pause others may have taken over what was claimed here. */
  resettle(nowMs: number): readonly DispatchEffect[] {
    this.#claims.resettle(nowMs);
    return this.configure(nowMs);
  }

  /** Works out claims anew and hands them to the dispatchers. */
  configure(nowMs: number): readonly DispatchEffect[] {
    const { services } = this.view;
    const known = new Set(
      services.flatMap((service) => service.backendServers.map((server) => server.id)),
    );
    this.#claims.retain(known);
    this.#configureLinks(nowMs);
    const effects = services.flatMap((service) => this.#configureService(service, nowMs));
    this.#rebuildIndex(nowMs);
    return [...effects, ...this.#retireDispatchers(nowMs)];
  }

  /** Fails what waited too long and fills slots. */
  tick(nowMs: number): readonly DispatchEffect[] {
    return [...this.#dispatchers.values()].flatMap((dispatcher) => [...dispatcher.tick(nowMs)]);
  }

  /** Moves splits a step and asks for headroom. */
  control(nowMs: number): readonly EntryEffect[] {
    this.#ledgers.forEach((ledger) => ledger.expire(nowMs));
    return [...this.#routers.entries()].flatMap(([service, router]): EntryEffect[] => {
      const ctx = this.context(service, nowMs);
      if (ctx === undefined) return [];
      return router.tick(ctx).flatMap((ask): EntryEffect[] => {
        const to = this.member(ask.to);
        return to === undefined ? [] : [{ type: 'askGrant', service, ...ask, to }];
      });
    });
  }

  /** Grants headroom for one service in one domain. */
  grant(
    from: EntryVmId,
    service: ServiceName,
    domain: FailureDomainId,
    want: number,
    nowMs: number,
  ): number {
    const dispatcher = this.dispatcher(service, domain);
    if (dispatcher === undefined) return 0;
    const ledger = this.ledger(service, domain);
    const ownLoad = dispatcher.running + dispatcher.waiting - ledger.inUse();
    const headroom = { slots: dispatcher.slots(nowMs), ownLoad: Math.max(0, ownLoad) };
    return ledger.grant(from, want, headroom, nowMs);
  }

  #configureService(service: ServiceSettings, nowMs: number): readonly DispatchEffect[] {
    const claimed = this.#claims.update(service, this.#members, this.#signs, nowMs);
    const byDomain = new Map<FailureDomainId, ClaimedServer[]>();
    claimed.forEach((each) => {
      const domain = each.settings.failureDomain;
      byDomain.set(domain, [...(byDomain.get(domain) ?? []), each]);
    });
    byDomain.forEach((_, domain) => {
      const key = keyOf(service.name, domain);
      if (this.#dispatchers.has(key)) return;
      this.#dispatchers.set(key, new Dispatcher(service, this.#self.verdict));
    });
    return this.#dispatchersOf(service.name).flatMap(({ domain, dispatcher }) => [
      ...dispatcher.configure(service, byDomain.get(domain) ?? [], nowMs),
    ]);
  }

  #dispatchersOf(service: ServiceName) {
    const prefix = keyOf(service, '' as FailureDomainId);
    return [...this.#dispatchers.entries()]
      .filter(([key]) => key.startsWith(prefix))
      .map(([key, dispatcher]) => ({
        domain: key.slice(prefix.length) as FailureDomainId,
        dispatcher,
      }));
  }

  /** Releases the servers of services that are gone, and dispatchers without work. */
  #retireDispatchers(nowMs: number): readonly DispatchEffect[] {
    return [...this.#dispatchers.entries()].flatMap(([key, dispatcher]) => {
      const name = key.slice(0, key.indexOf('|')) as ServiceName;
      const effects = this.view.service(name) === undefined ? dispatcher.release(nowMs) : [];
      if (dispatcher.idle) this.#dispatchers.delete(key);
      return [...effects];
    });
  }

  #configureLinks(nowMs: number): void {
    const here = this.view.region(this.#self.failureDomain);
    const senders = this.#members.filter((each) => this.view.region(each.failureDomain) === here);
    this.view.fleet?.links.forEach((link) => {
      if (here === undefined || !link.between.includes(here)) return;
      const to = link.between.find((region) => region !== here);
      if (to !== undefined) this.links.configure(to, link.mbitPerS, senders.length, nowMs);
    });
  }

  #rebuildIndex(nowMs: number): void {
    const usable = this.#members
      .filter((each) => (this.#suspects.get(each.id) ?? 0) <= nowMs)
      .map((each) =>
        each.id === this.#self.id ? { ...each, dispatching: [...this.dispatching()] } : each,
      );
    this.#index = new DispatcherIndex(this.view.services, usable);
  }
}

function setHas<Id>(set: Set<Id>, id: Id, wanted: boolean): void {
  if (wanted) set.add(id);
  else set.delete(id);
}
