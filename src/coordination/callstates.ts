/** State of in-flight requests on an entry VM, and how failed attempts are classified. */
import { notRunFailure, unknownFailure } from '../state/index.js';
import type { EntryVmId, Failure, FailureDomainId, NotRunCode, RequestId } from '../state/index.js';
import type { Call, DispatchOrder, EntryEffect, ForwardResult } from './entryevents.js';
import type { RequestClass } from './ranks.js';
import type { Ticket } from './dispatchrequests.js';

/** Where an in-flight request is handled. */
export type CallStage = 'waiting' | 'dispatched' | 'forwarded';

/** An in-flight request on this entry VM. */
export interface CallState {
  readonly call: Call;
  readonly classification: RequestClass;
  readonly home: FailureDomainId;
  readonly deadlineMs: number;
  /** Set when this incarnation owns the request's id and keeps its record. */
  readonly ownedId: RequestId | undefined;
  /** Set when another entry VM routed the request here for dispatch. */
  readonly order: DispatchOrder | undefined;
  stage: CallStage;
  /** Whether the caller still waits for a response. */
  callerWaiting: boolean;
  /** Entry VMs that already failed to run this request. */
  excluded: EntryVmId[];
  /** Whether an earlier attempt may have run. */
  mayHaveRun: boolean;
  target:
    | { readonly to: EntryVmId; readonly domain: FailureDomainId; readonly granted: boolean }
    | undefined;
}

/** Codes of requests that did not run and may be sent to another entry VM. */
const REROUTABLE_CODES: ReadonlySet<string> = new Set<NotRunCode>([
  'no_entry_vm',
  'no_grant',
  'no_server',
  'overloaded',
  'queue_full',
  'unreachable',
  'wrong_incarnation',
]);

/** Builds the effect that reports a failure to the request's sender. */
export function failEffect(ticket: Ticket, failure: Failure): EntryEffect {
  return { type: 'fail', ticket, failure };
}

/**
 * Whether a failed request may be sent to another entry VM. A request that may have run must be
 * idempotent and within the retry budget.
 */
export function mayReroute(
  failure: Failure,
  idempotent: boolean,
  spendRetry: () => boolean,
): boolean {
  if (failure.outcome === 'notRun') return REROUTABLE_CODES.has(failure.code);
  return idempotent && failure.code === 'connection_lost' && spendRetry();
}

/** The failure of a request forwarded to another entry VM for dispatch. */
export function forwardFailure(result: Exclude<ForwardResult, { type: 'answered' }>): Failure {
  if (result.type === 'failed') return result.failure;
  if (result.type === 'unreachable') return notRunFailure('unreachable');
  return unknownFailure(
    result.type === 'truncated' && result.relayed ? 'truncated' : 'connection_lost',
  );
}

/**
 * The failure of a request forwarded to the owner of its id. An unreachable owner may have run an
 * earlier attempt, so the outcome is unknown.
 */
export function ownerFailure(result: Exclude<ForwardResult, { type: 'answered' }>): Failure {
  return result.type === 'unreachable' ? unknownFailure('owner_gone') : forwardFailure(result);
}
