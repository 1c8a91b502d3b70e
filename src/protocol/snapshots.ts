/** Wire schema of fact snapshots between entry VMs: JSON over HTTP. */
import * as z from 'zod';
import type { FactSnapshot, Revisions } from '../coordination/index.js';
import { Endpoint } from '../state/index.js';
import type { BackendServerId, FailureDomainId, RegionId, ServiceName } from '../state/index.js';
import { brandedName } from './names.js';

const count = () => z.number().int().nonnegative();
const duration = () => z.number().nonnegative();

const RouteMessage = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  targets: z.array(
    z.object({ service: brandedName<ServiceName>(), weight: z.number().nonnegative() }),
  ),
  idempotent: z.boolean(),
  timeoutMs: duration(),
  objectiveMs: duration(),
  priority: z.number().int(),
  maxAttempts: z.number().int().positive(),
  affinity: z.boolean(),
  allowedRegions: z.array(brandedName<RegionId>()),
});

const PlanMessage = z.object({
  version: count(),
  routes: z.array(RouteMessage),
  services: z.array(
    z.object({
      name: brandedName<ServiceName>(),
      maxConnections: count(),
      coldStartMs: duration(),
      warmupPerS: z.number().nonnegative(),
    }),
  ),
  limits: z.object({
    maxHeaderBytes: count(),
    maxBodyBytes: count(),
    headerTimeoutMs: duration(),
    idleTimeoutMs: duration(),
  }),
});

const ServerMessage = z.object({
  id: brandedName<BackendServerId>(),
  service: brandedName<ServiceName>(),
  address: Endpoint,
  failureDomain: brandedName<FailureDomainId>(),
  slots: z.number().int().positive(),
  draining: z.boolean(),
  coldMs: duration(),
  bornMs: z.number().int(),
  sequence: z.number().int(),
});

export const RevisionsMessage = z.object({
  plan: count(),
  servers: count(),
  evacuations: count(),
});

export const SnapshotMessage = z.object({
  revisions: RevisionsMessage,
  plan: PlanMessage.optional(),
  servers: z.array(ServerMessage),
  gone: z.array(brandedName<BackendServerId>()).optional(),
  evacuations: z.array(brandedName<FailureDomainId>()),
}) satisfies z.ZodType<FactSnapshot>;

/** Encodes the revisions that an entry VM has as a query string. */
export function revisionsToQuery(revisions: Revisions): string {
  const query = new URLSearchParams();
  Object.entries(revisions).forEach(([kind, revision]) => query.set(kind, String(revision)));
  return query.toString();
}

/** Parses such a query; a missing or invalid revision becomes 0, which means unknown. */
export function queryToRevisions(query: URLSearchParams): Revisions {
  const readRevision = (kind: keyof Revisions): number => {
    const revision = Number(query.get(kind) ?? 0);
    return Number.isSafeInteger(revision) && revision >= 0 ? revision : 0;
  };
  return {
    plan: readRevision('plan'),
    servers: readRevision('servers'),
    evacuations: readRevision('evacuations'),
  };
}
