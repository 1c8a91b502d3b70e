/** What one entry VM believes of the plan, the backend servers and evacuated failure domains. */
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

/** The kinds of fact that are replicated, each with a revision of its own. */
export const FACT_KINDS = ['plan', 'servers', 'evacuations'] as const;
export type FactKind = (typeof FACT_KINDS)[number];

/** How recent the facts of each kind are; 0 for none yet. */
export type Revisions = Readonly<Record<FactKind, number>>;

/** A backend server and what is known of its warmth. */
export interface KnownServer {
  readonly record: BackendServerRecord;
  readonly learntMs: number;
  readonly coldUntilMs: number;
}

/** Facts as one entry VM hands them to another: all of them, or what changed since some revisions. */
export interface FactSnapshot {
  readonly revisions: Revisions;
  readonly plan?: SteeringPlan | undefined;
  readonly servers: readonly BackendServerRecord[];
  /** Servers that are gone; undefined when `servers` is the whole list. */
  readonly gone?: readonly BackendServerId[] | undefined;
  readonly evacuations: readonly FailureDomainId[];
}

/** What a snapshot of another entry VM has changed. */
export interface Merged {
  readonly kinds: readonly FactKind[];
  /** Backend servers that are gone. */
  readonly gone: readonly BackendServerId[];
  /** Whether the snapshot's plan is now in force. */
  readonly planTaken: boolean;
}

/** A choice of service for each request of a route, in proportion to the weights. */
class WeightedTurns {
  readonly #credit = new Map<ServiceName, number>();

  next(targets: readonly RouteTarget[]): ServiceName | undefined {
    const total = targets.reduce((sum, target) => sum + target.weight, 0);
    let best: RouteTarget | undefined;
    let bestCredit = -Infinity;
    targets.forEach((target) => {
      const credit = (this.#credit.get(target.service) ?? 0) + target.weight;
      this.#credit.set(target.service, credit);
      if (target.weight > 0 && credit > bestCredit) {
        best = target;
        bestCredit = credit;
      }
    });
    if (best !== undefined) this.#credit.set(best.service, bestCredit - total);
    return best?.service;
  }
}

/** Age after which an incarnation that was seen to end no longer counts, in milliseconds. */
const TOMBSTONE_MS = 120_000;

interface Tombstone {
  readonly bornMs: number;
  readonly atMs: number;
}

export class FleetView {
  #plan: SteeringPlan | undefined;

  #routes = new Map<string, readonly RoutePlan[]>();

  #turns = new Map<string, WeightedTurns>();

  #services = new Map<ServiceName, ServicePlan>();

  readonly #servers = new Map<BackendServerId, KnownServer>();

  readonly #byService = new Map<ServiceName, Set<BackendServerId>>();

  readonly #tombstones = new Map<BackendServerId, Tombstone>();

  readonly #goneAtMs = new Map<BackendServerId, number>();

  readonly #evacuated = new Set<FailureDomainId>();

  /** When the last evacuation of a failure domain ended. */
  readonly #refilledMs = new Map<FailureDomainId, number>();

  readonly #revisions: Record<FactKind, number> = { plan: 0, servers: 0, evacuations: 0 };

  readonly #changes = new ChangeLog();

  /** The servers' revision once no removal is pending. */
  #heldRevision = 0;

  get plan(): SteeringPlan | undefined {
    return this.#plan;
  }

  get revisions(): Revisions {
    return this.#revisions;
  }

  /** Whether enough is known to serve callers. */
  get informed(): boolean {
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

  evacuated(domain: FailureDomainId): boolean {
    return this.#evacuated.has(domain);
  }

  /**
   * Records how far the facts of a kind are known. While removals are pending, the servers' revision
   * stays behind: what others took from here would keep those servers for good.
   */
  advance(kind: FactKind, revision: number): void {
    if (kind === 'servers' && this.#goneAtMs.size > 0) {
      this.#heldRevision = Math.max(this.#heldRevision, revision);
      if (this.#revisions.servers > 0) return;
    }
    this.#revisions[kind] = Math.max(this.#revisions[kind], revision);
    if (kind === 'servers') this.#changes.publish(this.#revisions.servers);
  }

  /** Takes a plan unless a newer one is in force. */
  setPlan(plan: SteeringPlan): boolean {
    if (this.#plan !== undefined && plan.version <= this.#plan.version) return false;
    this.#plan = plan;
    this.#services = new Map(plan.services.map((service) => [service.name, service]));
    this.#routes = new Map();
    const turns = new Map<string, WeightedTurns>();
    [...plan.routes]
      .sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
      .forEach((route) => {
        this.#routes.set(route.host, [...(this.#routes.get(route.host) ?? []), route]);
        turns.set(route.name, this.#turns.get(route.name) ?? new WeightedTurns());
      });
    this.#turns = turns;
    return true;
  }

  /** The route with the longest prefix of the path, among those of the host. */
  route(host: string, path: string): RoutePlan | undefined {
    return this.#routes.get(host)?.find((route) => path.startsWith(route.pathPrefix));
  }

  /** The service for the route's next request. */
  nextService(route: RoutePlan): ServiceName | undefined {
    if (route.targets.length === 1) return route.targets[0]?.service;
    return this.#turns.get(route.name)?.next(route.targets);
  }

  /**
   * Takes in a backend server's record. Records of an incarnation that was replaced, or that are
   * older than the one known, change nothing.
   */
  putServer(record: BackendServerRecord, nowMs: number): boolean {
    const known = this.#servers.get(record.id);
    const tombstone = this.#tombstones.get(record.id);
    if (tombstone !== undefined && record.bornMs < tombstone.bornMs) return false;
    if (known !== undefined && isOlder(record, known.record)) return false;
    this.#goneAtMs.delete(record.id);
    this.#unlist(record.id);
    const reborn = known !== undefined && known.record.bornMs !== record.bornMs;
    const coldMs = reborn ? Math.max(record.coldMs, this.#coldStart(record)) : record.coldMs;
    const coldUntilMs = Math.max(reborn ? 0 : (known?.coldUntilMs ?? 0), nowMs + coldMs);
    this.#servers.set(record.id, { record, learntMs: nowMs, coldUntilMs });
    this.#changes.note(record.id);
    const ids = this.#byService.get(record.service) ?? new Set();
    this.#byService.set(record.service, ids.add(record.id));
    return true;
  }

  /** Treats a backend server as cold for its whole start time from now on. */
  markCold(id: BackendServerId, nowMs: number): void {
    const known = this.#servers.get(id);
    if (known === undefined) return;
    const coldUntilMs = Math.max(known.coldUntilMs, nowMs + this.#coldStart(known.record));
    this.#servers.set(id, { ...known, coldUntilMs });
  }

  /** Removes a backend server, at once or at a later time unless it is listed again by then. */
  removeServer(id: BackendServerId, nowMs: number, atMs: number = nowMs): boolean {
    const known = this.#servers.get(id);
    if (known === undefined) {
      // Others that take the changes from here may know it.
      this.#changes.note(id);
      this.#bury(id, 0, nowMs);
      return false;
    }
    if (atMs > nowMs) {
      this.#goneAtMs.set(id, atMs);
      return false;
    }
    this.#goneAtMs.delete(id);
    this.#unlist(id);
    this.#servers.delete(id);
    this.#changes.note(id);
    this.#bury(id, known.record.bornMs, nowMs);
    return true;
  }

  /** Takes a complete list: what it lacks is gone at `goneAtMs`. */
  replaceServers(records: readonly BackendServerRecord[], nowMs: number, goneAtMs: number): void {
    const listed = new Set(records.map((record) => record.id));
    this.#changes.noteList();
    records.forEach((record) => this.putServer(record, nowMs));
    [...this.#servers.keys()]
      .filter((id) => !listed.has(id))
      .forEach((id) => this.removeServer(id, nowMs, goneAtMs));
  }

  /** Starts or ends the evacuation of a failure domain. */
  setEvacuated(domain: FailureDomainId, evacuated: boolean, nowMs: number): boolean {
    if (this.#evacuated.has(domain) === evacuated) return false;
    if (evacuated) this.#evacuated.add(domain);
    else {
      this.#evacuated.delete(domain);
      this.#refilledMs.set(domain, nowMs);
    }
    return true;
  }

  /** Takes a complete list. @returns the failure domains for which it changes something. */
  replaceEvacuations(
    domains: readonly FailureDomainId[],
    nowMs: number,
  ): readonly FailureDomainId[] {
    const listed = new Set(domains);
    return [...new Set([...this.#evacuated, ...listed])].filter((domain) =>
      this.setEvacuated(domain, listed.has(domain), nowMs),
    );
  }

  /** Backend servers of a service to which new work may be sent. */
  usable(service: ServiceName): readonly KnownServer[] {
    const ids = this.#byService.get(service);
    if (ids === undefined) return [];
    const usable: KnownServer[] = [];
    ids.forEach((id) => {
      const server = this.#servers.get(id);
      if (server !== undefined && this.#mayUse(server.record)) usable.push(server);
    });
    return usable;
  }

  /** Whether new work may be sent to a backend server. */
  mayUse(id: BackendServerId): boolean {
    const server = this.#servers.get(id);
    return server !== undefined && this.#mayUse(server.record);
  }

  /** Whether a backend server may be cold; one of a failure domain that was just refilled may be. */
  isCold(server: KnownServer, nowMs: number): boolean {
    if (nowMs < server.coldUntilMs) return true;
    const refilledMs = this.#refilledMs.get(server.record.failureDomain);
    return refilledMs !== undefined && nowMs < refilledMs + this.#coldStart(server.record);
  }

  /** Lets removals and tombstones fall due. */
  tick(nowMs: number): readonly BackendServerId[] {
    const due = [...this.#goneAtMs].filter(([, atMs]) => atMs <= nowMs).map(([id]) => id);
    due.forEach((id) => this.removeServer(id, nowMs));
    if (this.#goneAtMs.size === 0) this.advance('servers', this.#heldRevision);
    this.#tombstones.forEach(({ atMs }, id) => {
      if (nowMs - atMs <= TOMBSTONE_MS) return;
      this.#tombstones.delete(id);
      if (!this.#servers.has(id)) this.#changes.forget(id);
    });
    return due;
  }

  /**
   * Facts for another entry VM.
   *
   * @param known - the revisions of the facts that it has; undefined for none.
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

  /** Takes those facts of another entry VM that are newer. */
  merge(snapshot: FactSnapshot, nowMs: number): Merged {
    const before = [...this.#servers.keys()];
    const newer = FACT_KINDS.filter((kind) => snapshot.revisions[kind] > this.#revisions[kind]);
    const planTaken =
      newer.includes('plan') && snapshot.plan !== undefined && this.setPlan(snapshot.plan);
    if (newer.includes('servers')) this.#mergeServers(snapshot, nowMs);
    if (newer.includes('evacuations')) this.replaceEvacuations(snapshot.evacuations, nowMs);
    newer.forEach((kind) => this.advance(kind, snapshot.revisions[kind]));
    return { kinds: newer, gone: before.filter((id) => !this.#servers.has(id)), planTaken };
  }

  #bury(id: BackendServerId, bornMs: number, nowMs: number): void {
    const known = this.#tombstones.get(id)?.bornMs ?? 0;
    this.#tombstones.set(id, { bornMs: Math.max(known, bornMs), atMs: nowMs });
  }

  #mergeServers({ servers, gone }: FactSnapshot, nowMs: number): void {
    if (gone === undefined) this.replaceServers(servers, nowMs, nowMs);
    else {
      servers.forEach((record) => this.putServer(record, nowMs));
      gone.forEach((id) => this.removeServer(id, nowMs));
    }
  }

  #mayUse(record: BackendServerRecord): boolean {
    return !record.draining && !this.#evacuated.has(record.failureDomain);
  }

  #coldStart(record: BackendServerRecord): number {
    return this.#services.get(record.service)?.coldStartMs ?? 0;
  }

  #unlist(id: BackendServerId): void {
    const known = this.#servers.get(id);
    if (known !== undefined) this.#byService.get(known.record.service)?.delete(id);
  }
}

function isOlder(record: BackendServerRecord, known: BackendServerRecord): boolean {
  if (record.bornMs !== known.bornMs) return record.bornMs < known.bornMs;
  return record.sequence < known.sequence;
}
