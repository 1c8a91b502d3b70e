/** Membership records that agents exchange by gossip. */
import * as z from 'zod';
import { BackendServerId, Endpoint, EntryVmId, FailureDomainId, Incarnation } from './ids.js';

/** Life-cycle phase of an entry VM. */
export const MemberPhase = z.enum(['starting', 'serving', 'stopping']);
export type MemberPhase = z.infer<typeof MemberPhase>;

/** Latest self-reported state of an entry VM. */
export const MemberRecord = z.object({
  id: EntryVmId,
  failureDomain: FailureDomainId,
  /** Increases with each heartbeat; a replacement starts above its predecessor's known value. */
  heartbeat: z.number().int().nonnegative(),
  /** Heartbeat counter at which any other field of this record last changed. */
  revision: z.number().int().nonnegative(),
  incarnation: Incarnation,
  phase: MemberPhase,
  /** Current epoch of the entry's request ids. */
  epoch: z.number().int().nonnegative(),
  callerAddress: Endpoint,
  peerAddress: Endpoint,
  agentAddress: Endpoint,
  /** Backend servers that it dispatches to or still has in-flight requests on. */
  dispatching: z.array(BackendServerId),
});
export type MemberRecord = z.infer<typeof MemberRecord>;

/** The frequently changing fields of a record, gossiped on their own. */
export const MemberHeartbeat = MemberRecord.pick({ id: true, heartbeat: true, revision: true });
export type MemberHeartbeat = z.infer<typeof MemberHeartbeat>;
