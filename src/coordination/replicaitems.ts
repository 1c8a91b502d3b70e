/** Replicated items other than settings: crash records, traffic splits and the platform's VM list. */
import * as z from 'zod';
import { BackendServerId, FailureDomainId, ReplicaKey, ServiceName } from '../state/index.js';
import type { Fingerprint, ReplicaItem } from '../state/index.js';
import type { SplitReport } from './entryevents.js';
import { CrashRecord } from './crashes.js';

const CRASH_PREFIX = 'crash:';
const SPLIT_PREFIX = 'split:';
const VM_PREFIX = 'vm:';

const SplitSchema = z.object({
  service: ServiceName,
  home: FailureDomainId,
  split: z.array(z.object({ domain: FailureDomainId, share: z.number().min(0).max(1) })),
});

/** The replica key of a crash record. */
export function crashKey(fingerprint: Fingerprint): ReplicaKey {
  return ReplicaKey.parse(`${CRASH_PREFIX}${fingerprint}`);
}

/** Parses a crash record; undefined for other or invalid items. */
export function parseCrashItem(item: ReplicaItem): CrashRecord | undefined {
  if (!item.key.startsWith(CRASH_PREFIX)) return undefined;
  const parsed = CrashRecord.safeParse(item.body);
  return parsed.success ? parsed.data : undefined;
}

/** Builds the replicated item of a traffic split. */
export function createSplitItem(report: SplitReport, wallMs: number): ReplicaItem {
  const key = ReplicaKey.parse(`${SPLIT_PREFIX}${report.service}|${report.home}`);
  return { key, version: Math.floor(wallMs), body: report };
}

/** Parses a traffic split; undefined for other or invalid items. */
export function parseSplitItem(item: ReplicaItem): SplitReport | undefined {
  if (!item.key.startsWith(SPLIT_PREFIX)) return undefined;
  const parsed = SplitSchema.safeParse(item.body);
  return parsed.success ? parsed.data : undefined;
}

/** State of a VM in the platform's list. */
export const VmState = z.object({ state: z.enum(['live', 'leaving']) });
export type VmState = z.infer<typeof VmState>;

/** A VM in the platform's list. */
export interface ListedVm {
  readonly id: BackendServerId;
  readonly leaving: boolean;
}

/** The replica key of a VM in the platform's list. */
export function vmKey(id: string): ReplicaKey {
  return ReplicaKey.parse(`${VM_PREFIX}${id}`);
}

/** Parses a listed VM; undefined for other or invalid items. */
export function parseVmItem(item: ReplicaItem): ListedVm | undefined {
  if (!item.key.startsWith(VM_PREFIX)) return undefined;
  const id = BackendServerId.safeParse(item.key.slice(VM_PREFIX.length));
  const body = VmState.safeParse(item.body);
  if (!id.success) return undefined;
  return { id: id.data, leaving: body.success && body.data.state === 'leaving' };
}
