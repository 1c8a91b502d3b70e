/** The heartbeat as it travels between entry VMs, MessagePack in one datagram. */
import { z } from 'zod';
import { Endpoint, EntryVmId, FailureDomainId, Incarnation, RegionId } from '../state/index.js';

const revision = () => z.number().int().nonnegative();

export const HeartbeatMessage = z.object({
  peer: z.object({
    id: EntryVmId,
    failureDomain: FailureDomainId,
    region: RegionId,
    callerAddress: Endpoint,
    peerAddress: Endpoint,
  }),
  incarnation: Incarnation,
  ready: z.boolean(),
  stopping: z.boolean(),
  revisions: z.object({ plan: revision(), servers: revision(), evacuations: revision() }),
  near: z.array(EntryVmId).max(100),
});
export type HeartbeatMessage = z.infer<typeof HeartbeatMessage>;
