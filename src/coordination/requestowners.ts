/**
 * Request ids and their owners.
 *
 * An id is `<entry VM>.<incarnation>.<epoch>.<rest>`. Its first three parts are the prefix from a
 * lookup. Only the incarnation in the prefix may start the request, so no shared store is needed.
 * As in RFC 3263 section 4.4, all retries of a request deterministically reach the same server.
 * Unlike section 4.3, a timeout never makes another server start a non-idempotent request.
 */
import * as z from 'zod';
import { EntryVmId, Incarnation, RequestId } from '../state/index.js';
import type { Failure, MemberRecord } from '../state/index.js';
import { notRunFailure, unknownFailure } from '../state/index.js';

/** The prefix of a request id. */
export interface RequestIdPrefix {
  readonly entryVm: EntryVmId;
  readonly incarnation: Incarnation;
  readonly epoch: number;
}

const PrefixSchema = z.object({
  entryVm: EntryVmId,
  incarnation: Incarnation,
  epoch: z.coerce.number().int().nonnegative(),
});

/** Formats the prefix that callers put before their own part of an id. */
export function formatRequestIdPrefix(prefix: RequestIdPrefix): string {
  return `${prefix.entryVm}.${prefix.incarnation}.${prefix.epoch}.`;
}

/** Parses the prefix of an id; undefined if the id has none. */
export function parseRequestIdPrefix(id: RequestId): RequestIdPrefix | undefined {
  const [entryVm, incarnation, epoch, ...callerPart] = id.split('.');
  if (callerPart.join('.') === '') return undefined;
  const parsed = PrefixSchema.safeParse({ entryVm, incarnation, epoch });
  return parsed.success ? parsed.data : undefined;
}

export type OwnerDecision =
  | { readonly type: 'own'; readonly epoch: number }
  | { readonly type: 'forward'; readonly to: EntryVmId; readonly incarnation: Incarnation }
  | { readonly type: 'fail'; readonly failure: Failure };

/**
 * Decides which entry VM may start a non-idempotent request.
 *
 * @param members - entry VMs considered live.
 * @returns a `notRun` failure only for ids that no incarnation can have started.
 */
export function decideOwner(
  id: RequestId,
  self: { readonly id: EntryVmId; readonly incarnation: Incarnation },
  members: readonly MemberRecord[],
): OwnerDecision {
  const prefix = parseRequestIdPrefix(id);
  if (prefix === undefined) return { type: 'fail', failure: notRunFailure('unprefixed_id') };
  if (prefix.entryVm === self.id && prefix.incarnation === self.incarnation) {
    return { type: 'own', epoch: prefix.epoch };
  }
  const owner = members.find((member) => member.id === prefix.entryVm);
  if (owner === undefined || owner.incarnation !== prefix.incarnation) {
    return { type: 'fail', failure: unknownFailure('owner_gone') };
  }
  return { type: 'forward', to: owner.id, incarnation: owner.incarnation };
}
