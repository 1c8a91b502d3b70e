/** Wire schema of the heartbeat between entry VMs: MessagePack in one UDP datagram. */
import * as z from 'zod';
import {
  MAX_CRASHES_KEPT,
  MAX_CRASH_REPORTS,
  MAX_LEAVING_SERVERS,
  MAX_SIGHTINGS,
} from '../coordination/index.js';
import {
  Endpoint,
  EntryVmId,
  FailureDomainId,
  Fingerprint,
  Incarnation,
  RegionId,
} from '../state/index.js';
import type { BackendServerId } from '../state/index.js';
import { brandedName } from './names.js';
import { RevisionsMessage, SnapshotMessage } from './snapshots.js';

/** Maximum number of live entry VMs of the sender's region that a heartbeat lists. */
export const MAX_NEAR_PEERS = 100;

const SightingMessage = z.object({
  server: brandedName<BackendServerId>(),
  work: z.number().int().nonnegative(),
  ageMs: z.number().int().nonnegative(),
});

/** Maximum length of a server process's identifier: a server id, a separator and a base-36 time. */
const MAX_PROCESS_CHARS = 80;

const processes = () => z.array(z.string().min(1).max(MAX_PROCESS_CHARS)).max(MAX_CRASHES_KEPT);

const CrashReportMessage = z.object({
  fingerprint: Fingerprint,
  crashes: processes(),
  disproved: processes(),
  ageMs: z.number().int().nonnegative(),
});

const LeavingServerMessage = z.object({
  id: brandedName<BackendServerId>(),
  bornMs: z.number().int(),
});

const FactChangesMessage = z.object({ since: RevisionsMessage, snapshot: SnapshotMessage });

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
  revisions: RevisionsMessage,
  near: z.array(EntryVmId).max(MAX_NEAR_PEERS),
  sightings: z.array(SightingMessage).max(MAX_SIGHTINGS),
  /** Absent without changes, and from entry VMs of earlier versions. */
  changes: FactChangesMessage.optional(),
  /** Absent from entry VMs of earlier versions. */
  crashReports: z.array(CrashReportMessage).max(MAX_CRASH_REPORTS).default([]),
  /** The same. */
  leaving: z.array(LeavingServerMessage).max(MAX_LEAVING_SERVERS).default([]),
});
export type HeartbeatMessage = z.infer<typeof HeartbeatMessage>;
