/** One entry VM's view of the plan, the backend servers and the evacuated failure domains. */
import type {
  BackendServerId,
  BackendServerRecord,
  FailureDomainId,
  RouteTarget,
  RoutePlan,
  ServiceName,
  ServicePlan,
  SteeringPlan,
} from '../state/index.js';
import { ChangeLog } from './changelogs.js';

/** Kinds of replicated facts. Each kind has its own revision. */
export const FACT_KINDS = ['plan', 'servers', 'evacuations'] as const;
export type FactKind = (typeof FACT_KINDS)[number];

/** Revision of the known facts of each kind; 0 for none yet. */
export type Revisions = Readonly<Record<FactKind, number>>;

/** A backend server and the time until which it counts as cold. */
export interface KnownServer {
  readonly record: BackendServerRecord;
  readonly updatedMs: number;
  readonly coldUntilMs: number;
}

/** Facts that one entry VM sends to another: all, or the changes since given revisions. */
export interface FactSnapshot {
  readonly revisions: Revisions;
  readonly plan?: SteeringPlan | undefined;
  readonly servers: readonly BackendServerRecord[];
  /** Removed servers; undefined when `servers` is the complete list. */
  readonly gone?: readonly BackendServerId[] | undefined;
  readonly evacuations: readonly FailureDomainId[];
}

/** Changes made by merging a snapshot of another entry VM. */
export interface MergeResult {
  readonly kinds: readonly FactKind[];
  /** Backend servers that were removed. */
  readonly gone: readonly BackendServerId[];
  /** Whether the snapshot's plan was adopted. */
  readonly planChanged: boolean;
}

/** Smooth weighted round robin over the target services of a route. */
class WeightedRoundRobin {
  readonly #credit = new Map<ServiceName, number>();

  next(targets: readonly RouteTarget[]): ServiceName | undefined {
    const total = targets.reduce((sum, target) => sum + target.weight, 0);
    let selected: RouteTarget | undefined;
    let bestCredit = -Infinity;
    targets.forEach((target) => {
      const credit = (this.#credit.get(target.service) ?? 0) + target.weight;
      this.#credit.set(target.service, credit);
      if (target.weight > 0 && credit > bestCredit) {
        selected = target;
        bestCredit = credit;
      }
    });
    if (selected !== undefined) this.#credit.set(selected.service, bestCredit - total);
    return selected?.service;
  }
}

/** Time for which older records of a removed server are rejected. */
const TOMBSTONE_TTL_MS = 120_000;

interface Tombstone {
  readonly bornMs: number;
  readonly atMs: number;
}

export class FleetView {
  #plan: SteeringPlan | undefined;

  #routes = new Map<string, readonly RoutePlan[]>();

  #roundRobins = new Map<string, WeightedRoundRobin>();

  #services = new Map<ServiceName, ServicePlan>();

  readonly #servers = new Map<BackendServerId, KnownServer>();

  readonly #byService = new Map<ServiceName, Set<BackendServerId>>();

  /** Usable servers of each service since the last change of any server or evacuation. */
  readonly #usable = new Map<ServiceName, readonly KnownServer[]>();

  readonly #tombstones = new Map<BackendServerId, Tombstone>();

  readonly #removalDueMs = new Map<BackendServerId, number>();

  readonly #evacuated = new Set<FailureDomainId>();

  /** Time at which the last evacuation of a failure domain ended. */
  readonly #evacuationEndedMs = new Map<FailureDomainId, number>();

  readonly #revisions: Record<FactKind, number> = { plan: 0, servers: 0, evacuations: 0 };

  readonly #changes = new ChangeLog();

  /** Revision to publish for the servers once no removal is pending. */
  #pendingServersRevision = 0;

  get plan(): SteeringPlan | undefined {
    return this.#plan;
  }

  get revisions(): Revisions {
    return this.#revisions;
  }

  /** Whether a plan and a server list are known, so that callers can be served. */
  get initialized(): boolean {
    return this.#plan !== undefined && this.#revisions.servers > 0;
  }

  get servers(): readonly KnownServer[] {
    return [...this.#servers.values()];
  }

  server(id: BackendServerId): KnownServer | undefined {
    return this.#servers.get(id);
  }

  service(name: ServiceName): ServicePlan | undefined {
    return this.#services.get(name);
  }

  isEvacuated(domain: FailureDomainId): boolean {
    return this.#evacuated.has(domain);
  }

  /**
   * Advances the revision of a kind. While removals are pending, the servers' revision stays back:
   * peers that fetched the new revision from here would keep the removed servers forever.
   */
  advanceRevision(kind: FactKind, revision: number): void {
    if (kind === 'servers' && this.#removalDueMs.size > 0) {
      this.#pendingServersRevision = Math.max(this.#pendingServersRevision, revision);
      if (this.#revisions.servers > 0) return;
    }
    this.#revisions[kind] = Math.max(this.#revisions[kind], revision);
    if (kind === 'servers') this.#changes.publish(this.#revisions.servers);
  }

  /** Adopts a plan if it is newer than the present one. */
  setPlan(plan: SteeringPlan): boolean {
    if (this.#plan !== undefined && plan.version <= this.#plan.version) return false;
    this.#plan = plan;
    this.#services = new Map(plan.services.map((service) => [service.name, service]));
    this.#routes = new Map();
    const roundRobins = new Map<string, WeightedRoundRobin>();
    [...plan.routes]
      .sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
      .forEach((route) => {
        this.#routes.set(route.host, [...(this.#routes.get(route.host) ?? []), route]);
        roundRobins.set(route.name, this.#roundRobins.get(route.name) ?? new WeightedRoundRobin());
      });
    this.#roundRobins = roundRobins;
    return true;
  }

  /** The host's route with the longest matching path prefix. */
  route(host: string, path: string): RoutePlan | undefined {
    return this.#routes.get(host)?.find((route) => path.startsWith(route.pathPrefix));
  }

  /** Selects the service for the route's next request. */
  nextService(route: RoutePlan): ServiceName | undefined {
    if (route.targets.length === 1) return route.targets[0]?.service;
    return this.#roundRobins.get(route.name)?.next(route.targets);
  }

  /**
   * Adds or updates a backend server. Ignores records of a replaced incarnation and records older
   * than the known one.
   */
  putServer(record: BackendServerRecord, nowMs: number): boolean {
    const known = this.#servers.get(record.id);
    const tombstone = this.#tombstones.get(record.id);
    if (tombstone !== undefined && record.bornMs < tombstone.bornMs) return false;
    if (known !== undefined && isOlder(record, known.record)) return false;
    this.#removalDueMs.delete(record.id);
    this.#removeFromIndex(record.id);
    const restarted = known !== undefined && known.record.bornMs !== record.bornMs;
    const coldMs = restarted ? Math.max(record.coldMs, this.#coldStartMs(record)) : record.coldMs;
    const coldUntilMs = Math.max(restarted ? 0 : (known?.coldUntilMs ?? 0), nowMs + coldMs);
    this.#servers.set(record.id, { record, updatedMs: nowMs, coldUntilMs });
    this.#usable.clear();
    this.#changes.recordChange(record.id);
    const ids = this.#byService.get(record.service) ?? new Set();
    this.#byService.set(record.service, ids.add(record.id));
    return true;
  }

  /** Marks a backend server as cold for its full cold-start time from now. */
  markCold(id: BackendServerId, nowMs: number): void {
    const known = this.#servers.get(id);
    if (known === undefined) return;
    const coldUntilMs = Math.max(known.coldUntilMs, nowMs + this.#coldStartMs(known.record));
    this.#servers.set(id, { ...known, coldUntilMs });
    this.#usable.clear();
  }

  /** Removes a backend server, now or at `removeAtMs` unless it is listed again before. */
  removeServer(id: BackendServerId, nowMs: number, removeAtMs: number = nowMs): boolean {
    const known = this.#servers.get(id);
    if (known === undefined) {
      // Peers that fetch changes from here may still have this server.
      this.#changes.recordChange(id);
      this.#addTombstone(id, 0, nowMs);
      return false;
    }
    if (removeAtMs > nowMs) {
      this.#removalDueMs.set(id, removeAtMs);
      return false;
    }
    this.#removalDueMs.delete(id);
    this.#removeFromIndex(id);
    this.#servers.delete(id);
    this.#usable.clear();
    this.#changes.recordChange(id);
    this.#addTombstone(id, known.record.bornMs, nowMs);
    return true;
  }

  /** Applies a complete list. Servers that are not on it are removed at `removeAtMs`. */
  replaceServers(records: readonly BackendServerRecord[], nowMs: number, removeAtMs: number): void {
    const listed = new Set(records.map((record) => record.id));
    this.#changes.recordFullList();
    records.forEach((record) => this.putServer(record, nowMs));
    [...this.#servers.keys()]
      .filter((id) => !listed.has(id))
      .forEach((id) => this.removeServer(id, nowMs, removeAtMs));
  }

  /** Starts or ends the evacuation of a failure domain. */
  setEvacuated(domain: FailureDomainId, evacuated: boolean, nowMs: number): boolean {
    if (this.#evacuated.has(domain) === evacuated) return false;
    this.#usable.clear();
    if (evacuated) this.#evacuated.add(domain);
    else {
      this.#evacuated.delete(domain);
      this.#evacuationEndedMs.set(domain, nowMs);
    }
    return true;
  }

  /** Applies a complete list. @returns the failure domains whose state changed. */
  replaceEvacuations(
    domains: readonly FailureDomainId[],
    nowMs: number,
  ): readonly FailureDomainId[] {
    const listed = new Set(domains);
    return [...new Set([...this.#evacuated, ...listed])].filter((domain) =>
      this.setEvacuated(domain, listed.has(domain), nowMs),
    );
  }

  /** Backend servers of a service that accept new requests; the same array until one of them changes. */
  usableServers(service: ServiceName): readonly KnownServer[] {
    const known = this.#usable.get(service);
    if (known !== undefined) return known;
    const usable: KnownServer[] = [];
    this.#byService.get(service)?.forEach((id) => {
      const server = this.#servers.get(id);
      if (server !== undefined && this.#isUsable(server.record)) usable.push(server);
    });
    this.#usable.set(service, usable);
    return usable;
  }

  /** Whether a backend server accepts new requests. */
  isUsable(id: BackendServerId): boolean {
    const server = this.#servers.get(id);
    return server !== undefined && this.#isUsable(server.record);
  }

  /** Whether a backend server may be cold, also because the evacuation of its domain just ended. */
  isCold(server: KnownServer, nowMs: number): boolean {
    if (nowMs < server.coldUntilMs) return true;
    const evacuationEndedMs = this.#evacuationEndedMs.get(server.record.failureDomain);
    return (
      evacuationEndedMs !== undefined &&
      nowMs < evacuationEndedMs + this.#coldStartMs(server.record)
    );
  }

  /** Applies due removals and deletes expired tombstones. @returns the removed servers. */
  tick(nowMs: number): readonly BackendServerId[] {
    const due = [...this.#removalDueMs].filter(([, dueMs]) => dueMs <= nowMs).map(([id]) => id);
    due.forEach((id) => this.removeServer(id, nowMs));
    if (this.#removalDueMs.size === 0)
      this.advanceRevision('servers', this.#pendingServersRevision);
    this.#tombstones.forEach(({ atMs: createdMs }, id) => {
      if (nowMs - createdMs <= TOMBSTONE_TTL_MS) return;
      this.#tombstones.delete(id);
      if (!this.#servers.has(id)) this.#changes.remove(id);
    });
    return due;
  }

  /**
   * Snapshot of the facts for another entry VM.
   *
   * @param known - the revisions that it already has; undefined for none.
   */
  snapshot(known?: Revisions): FactSnapshot {
    const changed = known && this.#changes.since(known.servers);
    const ids = changed ?? [...this.#servers.keys()];
    return {
      revisions: { ...this.#revisions },
      plan: known === undefined || this.#revisions.plan > known.plan ? this.#plan : undefined,
      servers: ids.flatMap((id) => this.#servers.get(id)?.record ?? []),
      gone: changed?.filter((id) => !this.#servers.has(id)),
      evacuations: [...this.#evacuated],
    };
  }

  /** Whether this view has all facts up to the given revisions, so that later changes complete it. */
  includes(revisions: Revisions): boolean {
    return FACT_KINDS.every((kind) => this.#revisions[kind] >= revisions[kind]);
  }

  /** Adopts those facts of another entry VM that are newer. */
  merge(snapshot: FactSnapshot, nowMs: number): MergeResult {
    const idsBefore = [...this.#servers.keys()];
    const newerKinds = FACT_KINDS.filter(
      (kind) => snapshot.revisions[kind] > this.#revisions[kind],
    );
    const adoptedPlan =
      newerKinds.includes('plan') && snapshot.plan !== undefined && this.setPlan(snapshot.plan);
    if (newerKinds.includes('servers')) this.#mergeServers(snapshot, nowMs);
    if (newerKinds.includes('evacuations')) this.replaceEvacuations(snapshot.evacuations, nowMs);
    newerKinds.forEach((kind) => this.advanceRevision(kind, snapshot.revisions[kind]));
    return {
      kinds: newerKinds,
      gone: idsBefore.filter((id) => !this.#servers.has(id)),
      planChanged: adoptedPlan,
    };
  }

  #addTombstone(id: BackendServerId, bornMs: number, nowMs: number): void {
    const knownBornMs = this.#tombstones.get(id)?.bornMs ?? 0;
    this.#tombstones.set(id, { bornMs: Math.max(knownBornMs, bornMs), atMs: nowMs });
  }

  #mergeServers({ servers, gone }: FactSnapshot, nowMs: number): void {
    if (gone === undefined) this.replaceServers(servers, nowMs, nowMs);
    else {
      servers.forEach((record) => this.putServer(record, nowMs));
      gone.forEach((id) => this.removeServer(id, nowMs));
    }
  }

  #isUsable(record: BackendServerRecord): boolean {
    return !record.draining && !this.#evacuated.has(record.failureDomain);
  }

  #coldStartMs(record: BackendServerRecord): number {
    return this.#services.get(record.service)?.coldStartMs ?? 0;
  }

  #removeFromIndex(id: BackendServerId): void {
    const known = this.#servers.get(id);
    if (known !== undefined) this.#byService.get(known.record.service)?.delete(id);
  }
}

function isOlder(record: BackendServerRecord, known: BackendServerRecord): boolean {
  if (record.bornMs !== known.bornMs) return record.bornMs < known.bornMs;
  return record.sequence < known.sequence;
}
