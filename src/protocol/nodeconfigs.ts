/** Schema of the configuration file of an entry VM that runs on a platform. */
import * as z from 'zod';
import { Endpoint, EntryVmId, FailureDomainId, RegionId } from '../state/index.js';

const secondsAsMs = () =>
  z
    .number()
    .min(0)
    .transform((value) => value * 1000);

/** Limits set by the platform's operators. Durations are seconds, parsed to milliseconds. */
export const PlatformBounds = z.object({
  /** Time from SIGTERM to SIGKILL. */
  graceS: secondsAsMs().default(6_000),
  /** Retry budget: retries per request, plus a fixed number of retries per window. */
  retryRatio: z.number().min(0).default(0.1),
  retryBurst: z.number().min(0).default(0),
  retryWindowS: secondsAsMs().default(10_000),
  /** Factor by which a cold backend server may exceed its tolerated request rate. */
  coldOverage: z.number().min(0).default(1),
  /** Maximum share of a region's requests that may move to other regions within two seconds. */
  maxShift: z.number().min(0).max(1).default(0.1),
  /** Maximum time for which callers cache a lookup answer. */
  lookupTtlS: secondsAsMs().default(5_000),
});
export type PlatformBounds = z.infer<typeof PlatformBounds>;

export const NodeConfig = z.object({
  id: EntryVmId,
  failureDomain: FailureDomainId,
  region: RegionId,
  /** Region of each failure domain. */
  regions: z.record(FailureDomainId, RegionId),
  /** Listen addresses for callers' requests, for lookups and for the platform's health checks. */
  callerAddress: Endpoint,
  lookupAddress: Endpoint,
  readyAddress: Endpoint,
  /** Address for other entry VMs, over TCP and UDP. */
  peerAddress: Endpoint,
  metricsAddress: Endpoint,
  /** Entry VMs to contact before the store has listed any. */
  seeds: z.array(Endpoint).default([]),
  platform: z.object({ address: Endpoint }),
  bounds: PlatformBounds,
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});
export type NodeConfig = z.infer<typeof NodeConfig>;
