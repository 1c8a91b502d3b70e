/** Request failures as reported to the caller. */
import * as z from 'zod';

/** Why a request was not run; it is safe to retry. */
export const NotRunCode = z.enum([
  'bad_request',
  'content_mismatch',
  'crash_suspect',
  'cancelled',
  'deadline',
  'future_epoch',
  'held_off',
  'link_full',
  'no_entry_vm',
  'no_grant',
  'no_server',
  'no_settings',
  'overloaded',
  'quarantined',
  'queue_full',
  'records_full',
  'shift_capped',
  'stopping',
  'too_large',
  'unknown_service',
  'unprefixed_id',
  'unreachable',
  'wrong_incarnation',
]);
export type NotRunCode = z.infer<typeof NotRunCode>;

/** Why it is unknown whether a request ran. */
export const UnknownCode = z.enum([
  'answer_gone',
  'backend_crashed',
  'closed_epoch',
  'connection_lost',
  'deadline',
  'overloaded',
  'owner_gone',
  'truncated',
]);
export type UnknownCode = z.infer<typeof UnknownCode>;

/** Outcome of a request that got no response. */
export const Failure = z.discriminatedUnion('outcome', [
  z.object({ outcome: z.literal('notRun'), code: NotRunCode }),
  z.object({ outcome: z.literal('unknown'), code: UnknownCode }),
]);
export type Failure = z.infer<typeof Failure>;

/** Creates the failure of a request that did not run. */
export function notRunFailure(code: NotRunCode): Failure {
  return { outcome: 'notRun', code };
}

/** Creates the failure of a request that may have run. */
export function unknownFailure(code: UnknownCode): Failure {
  return { outcome: 'unknown', code };
}

/** Converts a failure to `unknown`, for requests of which an earlier attempt may have run. */
export function toUnknownFailure(failure: Failure): Failure {
  if (failure.outcome === 'unknown') return failure;
  return unknownFailure(failure.code === 'deadline' ? 'deadline' : 'connection_lost');
}
