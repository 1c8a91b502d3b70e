/** Schemas of the settings that operators write. `settingschecks.ts` validates across objects. */
import * as z from 'zod';
import {
  BackendServerId,
  Endpoint,
  FailureDomainId,
  RegionId,
  ServiceName,
  SettingsPath,
  TeamName,
} from './ids.js';

/** Ranks of requests, most urgent first. */
export const RANKS = ['urgent', 'interactive', 'bulk'] as const;
export const Rank = z.enum(RANKS);
export type Rank = z.infer<typeof Rank>;

const shareSchema = () => z.number().min(0).max(1);
const METHODS = ['GET', 'HEAD', 'OPTIONS', 'POST', 'PUT', 'PATCH', 'DELETE'] as const;

/** Assigns a rank to matching requests. The first matching rule applies. */
export const RankRule = z.strictObject({
  methods: z.array(z.enum(METHODS)).min(1),
  /** `*` matches one segment; a trailing `**` matches the rest of the path. */
  path: z.string().startsWith('/'),
  rank: Rank,
  idempotent: z.boolean(),
});
export type RankRule = z.infer<typeof RankRule>;

export const BackendServerSettings = z.strictObject({
  id: BackendServerId,
  failureDomain: FailureDomainId,
  address: Endpoint,
  /** Maximum number of concurrent requests. */
  slots: z.int().min(1).max(1024),
  /** Maximum number of connections that it accepts. */
  connections: z.int().min(1).max(65_535).default(360),
  /** Set by an operator to drain the server before it is removed. */
  leaving: z.boolean().default(false),
});
export type BackendServerSettings = z.infer<typeof BackendServerSettings>;

/** Planned shift of a share of the requests of one home failure domain to another one. */
export const PlannedShift = z.strictObject({
  from: FailureDomainId,
  to: FailureDomainId,
  share: shareSchema(),
});
export type PlannedShift = z.infer<typeof PlannedShift>;

export const ServiceSettings = z.strictObject({
  kind: z.literal('service'),
  name: ServiceName,
  rules: z.array(RankRule).max(200).default([]),
  backendServers: z.array(BackendServerSettings).max(2000),
  /** Deadline for callers that state none, in milliseconds. */
  deadlineMs: z.int().min(1).max(600_000).default(10_000),
  maxRequestBytes: z.int().min(0).max(1_073_741_824).default(1_048_576),
  /** Minimum share of the slots for a rank with queued requests, whatever the demand of others. */
  floors: z
    .strictObject({ interactive: shareSchema(), bulk: shareSchema() })
    .default({ interactive: 0.1, bulk: 0.05 }),
  /** Maximum share of the slots that a rank may occupy. */
  ceilings: z
    .strictObject({ interactive: shareSchema(), bulk: shareSchema() })
    .default({ interactive: 0.85, bulk: 0.5 }),
  /** Maximum number of queued requests per slot. */
  queuePerSlot: z.int().min(1).max(1000).default(20),
  /** Retry budget: retries allowed for each first attempt of an idempotent request. */
  retryShare: shareSchema().default(0.1),
  shift: z
    .strictObject({
      /** Maximum share of traffic that may move to other failure domains in one interval. */
      maxShare: shareSchema(),
      intervalMs: z.int().min(100).max(3_600_000),
      planned: z.array(PlannedShift).max(1000).default([]),
    })
    .default({ maxShare: 0.1, intervalMs: 10_000, planned: [] }),
  /** Time for which content that crashed backend servers is rejected, in milliseconds. */
  quarantineMs: z.int().min(1000).max(86_400_000).default(600_000),
  /** Slow start: time over which a new backend server's slots are opened, in milliseconds. */
  rampMs: z.int().min(0).max(600_000).default(5_000),
});
export type ServiceSettings = z.infer<typeof ServiceSettings>;

export const RegionSettings = z.strictObject({
  id: RegionId,
  failureDomains: z.array(FailureDomainId).min(1).max(100),
});
export type RegionSettings = z.infer<typeof RegionSettings>;

export const LinkSettings = z.strictObject({
  between: z.array(RegionId).length(2),
  /** Capacity in each direction, in megabits per second. */
  mbitPerS: z.number().positive(),
  /** One-way latency, in milliseconds. */
  oneWayMs: z.number().min(0),
});
export type LinkSettings = z.infer<typeof LinkSettings>;

/** SHA-256 of an operator's key. */
const keyHashSchema = () => z.string().regex(/^[0-9a-f]{64}$/, '64 hexadecimal digits');

export const TeamSettings = z.strictObject({
  name: TeamName,
  subtree: SettingsPath,
  /** SHA-256 of the team's key, in hexadecimal digits. */
  keyHash: keyHashSchema(),
});
export type TeamSettings = z.infer<typeof TeamSettings>;

/** Assigns a home failure domain to the callers in a block of addresses. */
export const ClientBlockSettings = z.strictObject({
  block: z.string().refine((text) => text.includes('/'), 'an address, a slash and a length'),
  failureDomain: FailureDomainId,
});
export type ClientBlockSettings = z.infer<typeof ClientBlockSettings>;

export const FleetSettings = z.strictObject({
  kind: z.literal('fleet'),
  /** Authorizes writes to these settings. If absent, any client of an agent may write them. */
  adminKeyHash: keyHashSchema().optional(),
  regions: z.array(RegionSettings).min(1).max(100),
  links: z.array(LinkSettings).max(5000).default([]),
  teams: z.array(TeamSettings).max(1000).default([]),
  clientBlocks: z.array(ClientBlockSettings).max(5000).default([]),
  /** TTL of lookup answers at callers, in seconds. */
  lookupTtlS: z.int().min(1).max(300).default(30),
});
export type FleetSettings = z.infer<typeof FleetSettings>;

export const Settings = z.discriminatedUnion('kind', [FleetSettings, ServiceSettings]);
export type Settings = z.infer<typeof Settings>;
