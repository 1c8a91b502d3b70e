/** Schemas of the configuration files that entry and agent processes read at startup. */
import * as z from 'zod';
import { Endpoint, EntryVmId, FailureDomainId } from '../state/index.js';

/** Configuration of an entry process. */
export const EntryConfig = z.strictObject({
  id: EntryVmId,
  failureDomain: FailureDomainId,
  /** Address for callers. */
  callerAddress: Endpoint,
  /** Address for other entry VMs. */
  peerAddress: Endpoint,
  /** Address of the local agent. */
  agentAddress: Endpoint,
  /** Time that a stopping entry keeps running to answer retries from its records, in milliseconds. */
  stopMs: z.int().min(0).max(600_000).default(15_000),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});
export type EntryConfig = z.infer<typeof EntryConfig>;

export const AgentConfig = z.strictObject({
  id: EntryVmId,
  failureDomain: FailureDomainId,
  callerAddress: Endpoint,
  peerAddress: Endpoint,
  agentAddress: Endpoint,
  /** Base URL of the platform's object API. */
  platform: z.url({ protocol: /^https?$/ }),
  /** Seed agents for the first gossip exchange. */
  seeds: z.array(Endpoint).default([]),
  /** Rate limit of calls to the platform, long-polling watches included. */
  platformCallsPerSecond: z.number().positive().max(100).default(2),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});
export type AgentConfig = z.infer<typeof AgentConfig>;
