/** What entry VMs tell each other about themselves. */
import { z } from 'zod';
import { BackendServerId, Endpoint, EntryVmId, FailureDomainId, Incarnation } from './ids.js';

/** How far an entry VM is through its life. */
export const MemberPhase = z.enum(['starting', 'serving', 'stopping']);
export type MemberPhase = z.infer<typeof MemberPhase>;

/** One entry VM, as it last described itself. */
export const MemberRecord = z.object({
  id: EntryVmId,
  failureDomain: FailureDomainId,
  /** Rises with each heartbeat; a replacement starts above what it hears of its predecessor. */
  heartbeat: z.number().int().nonnegative(),
  /** The heartbeat at which anything else in this record last changed. */
  revision: z.number().int().nonnegative(),
  /** The incarnation of the entry process. */
  incarnation: Incarnation,
  phase: MemberPhase,
  /** The current epoch of the entry's request ids. */
  epoch: z.number().int().nonnegative(),
  callerAddress: Endpoint,
  peerAddress: Endpoint,
  agentAddress: Endpoint,
  /** Backend servers that it dispatches to, or still has work on. */
  dispatching: z.array(BackendServerId),
});
export type MemberRecord = z.infer<typeof MemberRecord>;

/** The part of a record that changes all the time, as it is told from agent to agent. */
export const MemberPulse = MemberRecord.pick({ id: true, heartbeat: true, revision: true });
export type MemberPulse = z.infer<typeof MemberPulse>;
