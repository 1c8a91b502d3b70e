/**
 * Request ids and who may start a request under one.
 *
 * An id is `<entry VM>.<incarnation>.<epoch>.<rest>`. The first three parts are the prefix that a
 * look-up hands out. Only the incarnation it names may start the request, so no store has to be
 * asked. As in RFC 3263 section 4.4, all repeats of one request reach one server in a deterministic
 * way; unlike section 4.3, a time-out never makes another server start non-idempotent work.
 */
import { z } from 'zod';
import { EntryVmId, Incarnation, RequestId } from '../state/index.js';
import type { Failure, MemberRecord } from '../state/index.js';
import { notRun, unknown } from '../state/index.js';

/** The parts of an id's prefix. */
export interface RequestIdPrefix {
  readonly entryVm: EntryVmId;
  readonly incarnation: Incarnation;
  readonly epoch: number;
}

const Prefix = z.object({
  entryVm: EntryVmId,
  incarnation: Incarnation,
  epoch: z.coerce.number().int().nonnegative(),
});

/** Writes the prefix that callers put before their own part of an id. */
export function formatPrefix(prefix: RequestIdPrefix): string {
  return `${prefix.entryVm}.${prefix.incarnation}.${prefix.epoch}.`;
}

/** Reads the prefix of an id, or undefined when it has none. */
export function parsePrefix(id: RequestId): RequestIdPrefix | undefined {
  const [entryVm, incarnation, epoch, ...rest] = id.split('.');
  if (rest.join('.') === '') return undefined;
  const parsed = Prefix.safeParse({ entryVm, incarnation, epoch });
  return parsed.success ? parsed.data : undefined;
}

export type OwnerDecision =
  | { readonly type: 'own'; readonly epoch: number }
  | { readonly type: 'forward'; readonly to: EntryVmId; readonly incarnation: Incarnation }
  | { readonly type: 'fail'; readonly failure: Failure };

/**
 * Decides who may start a non-idempotent request.
 *
 * @param members - entry VMs believed live.
 * @returns `fail` as `notRun` only for ids that no incarnation can ever have started.
 */
export function decideOwner(
  id: RequestId,
  self: { readonly id: EntryVmId; readonly incarnation: Incarnation },
  members: readonly MemberRecord[],
): OwnerDecision {
  const prefix = parsePrefix(id);
  if (prefix === undefined) return { type: 'fail', failure: notRun('unprefixed_id') };
  if (prefix.entryVm === self.id && prefix.incarnation === self.incarnation) {
    return { type: 'own', epoch: prefix.epoch };
  }
  const owner = members.find((member) => member.id === prefix.entryVm);
  if (owner === undefined || owner.incarnation !== prefix.incarnation) {
    return { type: 'fail', failure: unknown('owner_gone') };
  }
  return { type: 'forward', to: owner.id, incarnation: owner.incarnation };
}
