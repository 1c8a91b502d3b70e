/** Wire schema of the heartbeat between entry VMs: MessagePack in one UDP datagram. */
import { z } from 'zod';
import { MAX_SIGHTINGS } from '../coordination/index.js';
import { Endpoint, EntryVmId, FailureDomainId, Incarnation, RegionId } from '../state/index.js';
import type { BackendServerId } from '../state/index.js';
import { brandedName } from './names.js';

/** Maximum number of live entry VMs of the sender's region that a heartbeat lists. */
export const MAX_NEAR_PEERS = 100;

const SightingMessage = z.object({
  server: brandedName<BackendServerId>(),
  work: z.number().int().nonnegative(),
  ageMs: z.number().int().nonnegative(),
});

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
  watching: z.boolean(),
  revisions: z.object({ plan: revision(), servers: revision(), evacuations: revision() }),
  near: z.array(EntryVmId).max(MAX_NEAR_PEERS),
  sightings: z.array(SightingMessage).max(MAX_SIGHTINGS),
});
export type HeartbeatMessage = z.infer<typeof HeartbeatMessage>;
