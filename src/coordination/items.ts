/**
 * Replicated items other than settings: suspicions of crashes, splits in force, and the platform's
 * list of VMs.
 */
import { z } from 'zod';
import { BackendServerId, FailureDomainId, ReplicaKey, ServiceName } from '../state/index.js';
import type { Fingerprint, ReplicaItem } from '../state/index.js';
import type { SplitReport } from './calls.js';
import { CrashRecord } from './crashes.js';

const CRASH_PREFIX = 'crash:';
const SPLIT_PREFIX = 'split:';
const VM_PREFIX = 'vm:';

const SplitBody = z.object({
  service: ServiceName,
  home: FailureDomainId,
  split: z.array(z.object({ domain: FailureDomainId, share: z.number().min(0).max(1) })),
});

/** The replica key under which a suspicion travels. */
export function crashKey(fingerprint: Fingerprint): ReplicaKey {
  return ReplicaKey.parse(`${CRASH_PREFIX}${fingerprint}`);
}

/** The suspicion in an item, or undefined for other kinds. */
export function crashOfItem(item: ReplicaItem): CrashRecord | undefined {
  if (!item.key.startsWith(CRASH_PREFIX)) return undefined;
  const parsed = CrashRecord.safeParse(item.body);
  return parsed.success ? parsed.data : undefined;
}

/** The item under which a split travels. */
export function splitItem(report: SplitReport, wallMs: number): ReplicaItem {
  const key = ReplicaKey.parse(`${SPLIT_PREFIX}${report.service}|${report.home}`);
  return { key, version: Math.floor(wallMs), body: report };
}

/** The split in an item, or undefined for other kinds. */
export function splitOfItem(item: ReplicaItem): SplitReport | undefined {
  if (!item.key.startsWith(SPLIT_PREFIX)) return undefined;
  const parsed = SplitBody.safeParse(item.body);
  return parsed.success ? parsed.data : undefined;
}

/** What the platform's list says of a VM. */
export const VmState = z.object({ state: z.enum(['live', 'leaving']) });
export type VmState = z.infer<typeof VmState>;

/** A VM of the platform's list, and whether it is leaving. */
export interface ListedVm {
  readonly id: BackendServerId;
  readonly leaving: boolean;
}

/** The replica key of a VM in the platform's list. */
export function vmKey(id: string): ReplicaKey {
  return ReplicaKey.parse(`${VM_PREFIX}${id}`);
}

/** The listed VM in an item, or undefined for other kinds. */
export function vmOfItem(item: ReplicaItem): ListedVm | undefined {
  if (!item.key.startsWith(VM_PREFIX)) return undefined;
  const id = BackendServerId.safeParse(item.key.slice(VM_PREFIX.length));
  const body = VmState.safeParse(item.body);
  if (!id.success) return undefined;
  return { id: id.data, leaving: body.success && body.data.state === 'leaving' };
}
