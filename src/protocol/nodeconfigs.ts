/** The settings file of an entry VM that runs at a platform. */
import { z } from 'zod';
import { Endpoint, EntryVmId, FailureDomainId, RegionId } from '../state/index.js';

const seconds = () =>
  z
    .number()
    .min(0)
    .transform((value) => value * 1000);

/** Bounds that the platform's operators state, in seconds; milliseconds once read. */
export const PlatformBounds = z.object({
  /** Time from SIGTERM to SIGKILL. */
  graceS: seconds().default(6_000),
  /** Repeats for each request, and besides, in a window. */
  retryRatio: z.number().min(0).default(0.1),
  retryBurst: z.number().min(0).default(0),
  retryWindowS: seconds().default(10_000),
  /** Times the tolerated rate that a cold backend server bears. */
  coldOverage: z.number().min(0).default(1),
  /** Most of a region's work that may change region within two seconds. */
  maxShift: z.number().min(0).max(1).default(0.1),
  /** Longest time for which callers keep a look-up. */
  lookupTtlS: seconds().default(5_000),
});
export type PlatformBounds = z.infer<typeof PlatformBounds>;

export const NodeConfig = z.object({
  id: EntryVmId,
  failureDomain: FailureDomainId,
  region: RegionId,
  /** The region of each failure domain. */
  regions: z.record(FailureDomainId, RegionId),
  /** Where callers connect, ask, and where the platform checks. */
  callerAddress: Endpoint,
  lookupAddress: Endpoint,
  readyAddress: Endpoint,
  /** Where other entry VMs reach this one, over TCP and UDP. */
  peerAddress: Endpoint,
  metricsAddress: Endpoint,
  /** Entry VMs to greet before the store has named any. */
  seeds: z.array(Endpoint).default([]),
  platform: z.object({ address: Endpoint }),
  bounds: PlatformBounds,
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});
export type NodeConfig = z.infer<typeof NodeConfig>;
