/** What operators want and which backend servers there are, in the project's own terms. */
import type { BackendServerId, Endpoint, FailureDomainId, RegionId, ServiceName } from './ids.js';

/** A part of a route's traffic. Weights are relative. */
export interface RouteTarget {
  readonly service: ServiceName;
  readonly weight: number;
}

/** Where requests of one host and path prefix go, and how they are treated. */
export interface RoutePlan {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly targets: readonly RouteTarget[];
  readonly idempotent: boolean;
  /** Longest time a request may be kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective, in milliseconds. */
  readonly objectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Most backend servers that one request may be sent to. */
  readonly maxAttempts: number;
  /** Whether a backend server that knows a request's object works faster. */
  readonly affinity: boolean;
  /** Regions that may serve it; empty for all. */
  readonly allowedRegions: readonly RegionId[];
}

export interface ServicePlan {
  readonly name: ServiceName;
  /** Connections that one backend server accepts from everybody. */
  readonly maxConnections: number;
  /** Time for which a started backend server stays cold, in milliseconds. */
  readonly coldStartMs: number;
  /** Requests a second that a cold backend server tolerates. */
  readonly warmupPerS: number;
}

/** Bounds on what callers may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of what operators want, whole. */
export interface SteeringPlan {
  /** Rises with each change. */
  readonly version: number;
  readonly routes: readonly RoutePlan[];
  readonly services: readonly ServicePlan[];
  readonly limits: CallerLimits;
}

/** A backend server as it last described itself. */
export interface BackendServerRecord {
  readonly id: BackendServerId;
  readonly service: ServiceName;
  readonly address: Endpoint;
  readonly failureDomain: FailureDomainId;
  /** Requests that it runs at once. */
  readonly slots: number;
  readonly draining: boolean;
  /** Time that it stays cold, counted from when the record was written, in milliseconds. */
  readonly coldMs: number;
  /** Wall time of its start in milliseconds since 1970; 0 if it does not say. Names the incarnation. */
  readonly bornMs: number;
  /** Rises with each record of one incarnation. */
  readonly sequence: number;
}
