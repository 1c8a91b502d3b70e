/** Schemas of the settings that operators write. Checks across objects are in `checks.ts`. */
import { z } from 'zod';
import {
  BackendServerId,
  Endpoint,
  FailureDomainId,
  RegionId,
  ServiceName,
  SettingsPath,
  TeamName,
} from './ids.js';

/** Ranks of work, most urgent first. */
export const RANKS = ['urgent', 'interactive', 'bulk'] as const;
export const Rank = z.enum(RANKS);
export type Rank = z.infer<typeof Rank>;

const share = () => z.number().min(0).max(1);
const METHODS = ['GET', 'HEAD', 'OPTIONS', 'POST', 'PUT', 'PATCH', 'DELETE'] as const;

/** Gives the requests that match a rank. The first rule that matches counts. */
export const RankRule = z.strictObject({
  methods: z.array(z.enum(METHODS)).min(1),
  /** `*` stands for one segment; a last `**` for any rest. */
  path: z.string().startsWith('/'),
  rank: Rank,
  idempotent: z.boolean(),
});
export type RankRule = z.infer<typeof RankRule>;

export const BackendServerSettings = z.strictObject({
  id: BackendServerId,
  failureDomain: FailureDomainId,
  address: Endpoint,
  /** Requests that it runs at once. */
  slots: z.int().min(1).max(1024),
  /** Connections that it accepts. */
  connections: z.int().min(1).max(65_535).default(360),
  /** Set by an operator who is about to take it away. */
  leaving: z.boolean().default(false),
});
export type BackendServerSettings = z.infer<typeof BackendServerSettings>;

/** Part of the work of callers at home in one failure domain that another serves by plan. */
export const PlannedShift = z.strictObject({
  from: FailureDomainId,
  to: FailureDomainId,
  share: share(),
});
export type PlannedShift = z.infer<typeof PlannedShift>;

export const ServiceSettings = z.strictObject({
  kind: z.literal('service'),
  name: ServiceName,
  rules: z.array(RankRule).max(200).default([]),
  backendServers: z.array(BackendServerSettings).max(2000),
  /** Time a caller waits that states no deadline, in milliseconds. */
  deadlineMs: z.int().min(1).max(600_000).default(10_000),
  maxRequestBytes: z.int().min(0).max(1_073_741_824).default(1_048_576),
  /** Least share of the slots for waiting work of a rank, whatever the others ask. */
  floors: z
    .strictObject({ interactive: share(), bulk: share() })
    .default({ interactive: 0.1, bulk: 0.05 }),
  /** Most slots that a rank may hold at once, as a share. */
  ceilings: z
    .strictObject({ interactive: share(), bulk: share() })
    .default({ interactive: 0.85, bulk: 0.5 }),
  /** Requests that may wait for each slot. */
  queuePerSlot: z.int().min(1).max(1000).default(20),
  /** Repeats allowed for each first run of idempotent work. */
  retryShare: share().default(0.1),
  shift: z
    .strictObject({
      /** Most of the service's traffic that may move to other failure domains in one interval. */
      maxShare: share(),
      intervalMs: z.int().min(100).max(3_600_000),
      planned: z.array(PlannedShift).max(1000).default([]),
    })
    .default({ maxShare: 0.1, intervalMs: 10_000, planned: [] }),
  /** How long content that crashed backend servers is refused, in milliseconds. */
  quarantineMs: z.int().min(1000).max(86_400_000).default(600_000),
  /** Time over which a new backend server's slots open, in milliseconds. */
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
  /** Capacity each way, in megabits per second. */
  mbitPerS: z.number().positive(),
  /** Latency one way, in milliseconds. */
  oneWayMs: z.number().min(0),
});
export type LinkSettings = z.infer<typeof LinkSettings>;

/** SHA-256 of an operator's key. */
const keyHash = () => z.string().regex(/^[0-9a-f]{64}$/, '64 hexadecimal digits');

export const TeamSettings = z.strictObject({
  name: TeamName,
  subtree: SettingsPath,
  /** SHA-256 of the team's key, in hexadecimal digits. */
  keyHash: keyHash(),
});
export type TeamSettings = z.infer<typeof TeamSettings>;

/** Gives callers in a block of addresses a home failure domain. */
export const ClientBlockSettings = z.strictObject({
  block: z.string().refine((text) => text.includes('/'), 'an address, a slash and a length'),
  failureDomain: FailureDomainId,
});
export type ClientBlockSettings = z.infer<typeof ClientBlockSettings>;

export const FleetSettings = z.strictObject({
  kind: z.literal('fleet'),
  /** Opens these settings. Without one, whoever reaches an agent may write them. */
  adminKeyHash: keyHash().optional(),
  regions: z.array(RegionSettings).min(1).max(100),
  links: z.array(LinkSettings).max(5000).default([]),
  teams: z.array(TeamSettings).max(1000).default([]),
  clientBlocks: z.array(ClientBlockSettings).max(5000).default([]),
  /** Time for which callers may keep a look-up's answer, in seconds. */
  lookupTtlS: z.int().min(1).max(300).default(30),
});
export type FleetSettings = z.infer<typeof FleetSettings>;

export const Settings = z.discriminatedUnion('kind', [FleetSettings, ServiceSettings]);
export type Settings = z.infer<typeof Settings>;
