/** Settings of one process, read from its own file when it starts. */
import { z } from 'zod';
import { Endpoint, EntryVmId, FailureDomainId } from '../state/index.js';

/** Where a process learns who and where it is. */
export const EntryConfig = z.strictObject({
  id: EntryVmId,
  failureDomain: FailureDomainId,
  /** Where callers reach the entry. */
  callerAddress: Endpoint,
  /** Where other entry VMs reach it. */
  peerAddress: Endpoint,
  /** Where its agent listens. */
  agentAddress: Endpoint,
  /** Time a stopping entry stays to answer for its records, in milliseconds. */
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
  /** The platform's object API. */
  platform: z.url({ protocol: /^https?$/ }),
  /** Agents to talk to first. */
  seeds: z.array(Endpoint).default([]),
  /** Most calls to the platform, waiting watches included, in a second. */
  platformCallsPerSecond: z.number().positive().max(100).default(2),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});
export type AgentConfig = z.infer<typeof AgentConfig>;
