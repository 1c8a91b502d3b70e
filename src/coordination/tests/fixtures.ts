/** Test fixtures: routes, plans, backend servers and placers. */
import type {
  BackendServerId,
  BackendServerRecord,
  Endpoint,
  EntryVmId,
  FailureDomainId,
  RegionId,
  RoutePlan,
  ServiceName,
  SteeringPlan,
} from '../../state/index.js';
import { FleetView } from '../fleetviews.js';
import { LoadBalancer } from '../loadbalancers.js';
import type { PlacementRequest } from '../loadbalancers.js';

export const SERVICE = 'orders' as ServiceName;

export const REGIONS = new Map([
  ['a1', 'a'],
  ['a2', 'a'],
  ['b1', 'b'],
  ['b2', 'b'],
]) as ReadonlyMap<string, string> as ReadonlyMap<FailureDomainId, RegionId>;

export function routeOf(change: Partial<RoutePlan> = {}): RoutePlan {
  return {
    name: 'prices',
    host: 'shop.example',
    pathPrefix: '/prices/',
    targets: [{ service: SERVICE, weight: 1 }],
    idempotent: true,
    timeoutMs: 2_500,
    objectiveMs: 500,
    priority: 0,
    maxAttempts: 2,
    affinity: true,
    allowedRegions: [],
    ...change,
  };
}

export function planOf(version: number, routes: readonly RoutePlan[] = [routeOf()]): SteeringPlan {
  return {
    version,
    routes,
    services: [{ name: SERVICE, maxConnections: 100, coldStartMs: 3_000, warmupPerS: 2 }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 100_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

export function serverOf(
  id: string,
  domain: string,
  change: Partial<BackendServerRecord> = {},
): BackendServerRecord {
  return {
    id: id as BackendServerId,
    service: SERVICE,
    address: '127.0.0.1:1' as Endpoint,
    failureDomain: domain as FailureDomainId,
    slots: 3,
    draining: false,
    coldMs: 0,
    bornMs: 1_000,
    sequence: 1,
    ...change,
  };
}

/** Creates a fleet view with a plan and the given servers. */
export function viewOf(servers: readonly BackendServerRecord[], plan = planOf(1)): FleetView {
  const view = new FleetView();
  view.setPlan(plan);
  servers.forEach((server) => view.putServer(server, 0));
  view.advanceRevision('servers', 1);
  return view;
}

export function placerOf(view: FleetView, home = 'a1'): LoadBalancer {
  return new LoadBalancer(view, {
    self: 'vm-1' as EntryVmId,
    home: home as FailureDomainId,
    regions: REGIONS,
    maxShift: 0.15,
    coldOverage: 1.5,
  });
}

export function placeOf(key: string, change: Partial<PlacementRequest> = {}): PlacementRequest {
  return {
    route: routeOf(),
    service: SERVICE,
    key,
    waitedMs: 0,
    leftMs: 2_500,
    isRetry: false,
    tried: new Set(),
    mayReuse: true,
    ...change,
  };
}
