/** Requests under way in an entry, and what follows from how a try of one failed. */
import { notRun, unknown } from '../state/index.js';
import type { EntryVmId, Failure, FailureDomainId, NotRunCode, RequestId } from '../state/index.js';
import type { Call, DispatchOrder, EntryEffect, ForwardResult } from './calls.js';
import type { Classification } from './ranks.js';
import type { Ticket } from './works.js';

/** Stages of a request in this entry. */
export type Stage = 'waiting' | 'dispatched' | 'forwarded';

/** A request under way in an entry. */
export interface CallState {
  readonly call: Call;
  readonly class: Classification;
  readonly home: FailureDomainId;
  readonly deadlineMs: number;
  /** The id whose record this request has, when it is owned here. */
  readonly ownedId: RequestId | undefined;
  /** Set when another entry VM chose this one to dispatch. */
  readonly order: DispatchOrder | undefined;
  stage: Stage;
  /** Whether the caller still waits. */
  open: boolean;
  excluded: EntryVmId[];
  /** An earlier try may have run. */
  mayHaveRun: boolean;
  target:
    | { readonly to: EntryVmId; readonly domain: FailureDomainId; readonly granted: boolean }
    | undefined;
}

/** Failures after which a request surely did not run and may do so elsewhere. */
const ELSEWHERE: ReadonlySet<string> = new Set<NotRunCode>([
  'no_entry_vm',
  'no_grant',
  'no_server',
  'overloaded',
  'queue_full',
  'unreachable',
  'wrong_incarnation',
]);

/** The effect that tells a request's sender of its failure. */
export function fail(ticket: Ticket, failure: Failure): EntryEffect {
  return { type: 'fail', ticket, failure };
}

/** What surely did not run may go elsewhere; what may have run only if it is idempotent. */
export function mayRouteAgain(
  failure: Failure,
  idempotent: boolean,
  spendRetry: () => boolean,
): boolean {
  if (failure.outcome === 'notRun') return ELSEWHERE.has(failure.code);
  return idempotent && failure.code === 'connection_lost' && spendRetry();
}

/** The failure of a request that was sent to the entry VM that dispatches. */
export function forwardFailure(result: Exclude<ForwardResult, { type: 'answered' }>): Failure {
  if (result.type === 'failed') return result.failure;
  if (result.type === 'unreachable') return notRun('unreachable');
  return unknown(result.type === 'truncated' && result.relayed ? 'truncated' : 'connection_lost');
}

/**
 * The failure of a request that was sent to the owner of its id. An owner that can't be reached may
 * have run an earlier sending of it.
 */
export function ownerFailure(result: Exclude<ForwardResult, { type: 'answered' }>): Failure {
  return result.type === 'unreachable' ? unknown('owner_gone') : forwardFailure(result);
}
