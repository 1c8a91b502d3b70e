/** Internal model of the operators' configuration and of backend servers. */
import type { BackendServerId, Endpoint, FailureDomainId, RegionId, ServiceName } from './ids.js';

/** Destination of a share of a route's traffic. Weights are relative. */
export interface RouteTarget {
  readonly service: ServiceName;
  readonly weight: number;
}

/** Routing and handling of the requests for one host and path prefix. */
export interface RoutePlan {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly targets: readonly RouteTarget[];
  readonly idempotent: boolean;
  /** Maximum time that a request may wait, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective, in milliseconds. */
  readonly objectiveMs: number;
  /** Lower is more urgent; 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of backend servers that one request may be sent to. */
  readonly maxAttempts: number;
  /** Whether a backend server that has already handled a request's object is faster. */
  readonly affinity: boolean;
  /** Regions that may serve the route; empty for all. */
  readonly allowedRegions: readonly RegionId[];
}

export interface ServicePlan {
  readonly name: ServiceName;
  /** Connections that one backend server accepts in total, from all entry VMs. */
  readonly maxConnections: number;
  /** Time that a backend server stays cold after its start, in milliseconds. */
  readonly coldStartMs: number;
  /** Requests per second that a cold backend server tolerates. */
  readonly warmupPerS: number;
}

/** Limits on callers' requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One complete version of the operators' configuration. */
export interface SteeringPlan {
  /** Increases with each change. */
  readonly version: number;
  readonly routes: readonly RoutePlan[];
  readonly services: readonly ServicePlan[];
  readonly limits: CallerLimits;
}

/** Latest self-reported state of a backend server. */
export interface BackendServerRecord {
  readonly id: BackendServerId;
  readonly service: ServiceName;
  readonly address: Endpoint;
  readonly failureDomain: FailureDomainId;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  readonly draining: boolean;
  /** Remaining cold time when the record was written, in milliseconds. */
  readonly coldMs: number;
  /** Start time in milliseconds since the Unix epoch, 0 if unknown. Identifies the incarnation. */
  readonly bornMs: number;
  /** Increases with each record of one incarnation. */
  readonly sequence: number;
}
