/** Objects that operators and backend servers write to the store of the users' platform, for tests. */

const LIMITS = {
  ResourceKind: 'Limits',
  Metadata: {},
  Spec: {
    MaxHeaderBytes: 16_384,
    MaxBodyBytes: 100_000,
    HeaderTimeoutS: 3,
    IdleTimeoutS: 15,
  },
};

/** A route from host `shop.example` to the service `orders`. */
export function route(prefix: string, type: string, timeoutS: number): unknown {
  return {
    ResourceKind: 'Routes',
    Metadata: { Name: prefix },
    Spec: {
      Host: 'shop.example',
      PathPrefix: prefix,
      RouteType: type,
      TimeoutS: timeoutS,
      TargetLatencyS: 0.5,
      Priority: 0,
      Service: 'orders',
      MaxAttempts: 2,
      SessionAffinity: true,
      AllowedRegions: [],
    },
  };
}

/** A configuration with the routes `/prices/` and `/deposits/`, and any extra resources. */
export function configOf(version: number, extraResources: readonly unknown[] = []): unknown {
  return {
    Version: version.toString(16).padStart(8, '0'),
    Resources: [
      route('/prices/', 'idempotent', 2.5),
      route('/deposits/', 'non_idempotent', 2.5),
      {
        ResourceKind: 'Services',
        Metadata: { Name: 'orders' },
        Spec: { HealthCheck: '/h', MaxConnections: 360, ColdStartS: 0.2, WarmupPerS: 100 },
      },
      LIMITS,
      ...extraResources,
    ],
  };
}

/** The record of a backend server of the service `orders`, with some fields overridden. */
export function entryOf(
  address: string,
  overrides: Readonly<Record<string, unknown>> = {},
): unknown {
  return {
    Service: 'orders',
    Address: address,
    Zone: 'a1',
    Capacity: 3,
    State: 'ready',
    ColdRemainingS: 0,
    Sequence: 1,
    born: 1_771_085_769_493,
    ...overrides,
  };
}
