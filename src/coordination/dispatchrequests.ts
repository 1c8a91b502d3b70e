/** Requests handed to a dispatcher, its effects, and the results of runs on backend servers. */
import { notRunFailure, unknownFailure } from '../state/index.js';
import type {
  BackendServerId,
  BackendServerSettings,
  CallerId,
  Failure,
  Fingerprint,
  Rank,
} from '../state/index.js';
import type { ServerPhase } from './slots.js';

/** Identifies a request within one entry process. */
export type Ticket = string & { readonly Ticket: unique symbol };

/** Identifies one run of a request on a backend server. */
export type RunId = string & { readonly RunId: unique symbol };

/** A request that can be queued and run. */
export interface DispatchRequest {
  readonly ticket: Ticket;
  readonly caller: CallerId;
  readonly rank: Rank;
  readonly idempotent: boolean;
  readonly fingerprint: Fingerprint;
  /** Whether the whole body is buffered, so that the request can be resent. */
  readonly replayable: boolean;
  /** Monotonic time. */
  readonly deadlineMs: number;
}

/** How a run on a backend server ended. */
export type RunResult =
  | { readonly type: 'answered' }
  /** The backend server reported, in its protocol, that it refused the request before running it. */
  | { readonly type: 'refused'; readonly retryAfterMs: number }
  /** The connection could not be established, so no byte was sent. */
  | { readonly type: 'unreachable' }
  /** The connection was lost after bytes were sent. */
  | { readonly type: 'lost'; readonly crashed: boolean }
  /** This connection made no progress while the server responded on others. */
  | { readonly type: 'silent' }
  /** The response ended early; part of it may have reached the caller. */
  | { readonly type: 'truncated'; readonly relayed: boolean }
  /** This entry VM stopped the run. */
  | { readonly type: 'stopped' };

export type DispatchEffect =
  | {
      readonly type: 'run';
      readonly ticket: Ticket;
      readonly runId: RunId;
      readonly server: BackendServerId;
    }
  | { readonly type: 'stopRun'; readonly runId: RunId }
  | { readonly type: 'probe'; readonly runId: RunId; readonly server: BackendServerId }
  | { readonly type: 'fail'; readonly ticket: Ticket; readonly failure: Failure };

/** A backend server that this entry VM has claimed. */
export interface ClaimedServer {
  readonly settings: BackendServerSettings;
  readonly phase: ServerPhase;
}

/** Time that the server needs to free the slot of a stopped run. */
const STOP_GRACE_MS = 20;

/** Whether the server may have run the request, given the result. */
export function mayHaveExecuted(result: RunResult): boolean {
  return result.type !== 'refused' && result.type !== 'unreachable';
}

/** Time by which the slot of an ended run is certainly free on the server. */
export function slotHeldUntilMs(result: RunResult, deadlineMs: number, nowMs: number): number {
  if (result.type === 'stopped') return nowMs + STOP_GRACE_MS;
  if (result.type === 'silent') return deadlineMs;
  if (result.type === 'lost' && !result.crashed) return deadlineMs;
  return nowMs;
}

/**
 * The failure of a request whose last run ended with this result.
 *
 * @param stoppedForCaller - whether the run was stopped because the caller cancelled the request.
 */
export function failureOfRun(result: RunResult, stoppedForCaller: boolean): Failure {
  switch (result.type) {
    case 'refused':
      return notRunFailure('overloaded');
    case 'unreachable':
      return notRunFailure('unreachable');
    case 'truncated':
      return unknownFailure(result.relayed ? 'truncated' : 'connection_lost');
    case 'lost':
      return unknownFailure(result.crashed ? 'backend_crashed' : 'connection_lost');
    case 'stopped':
      return unknownFailure(stoppedForCaller ? 'connection_lost' : 'deadline');
    default:
      return unknownFailure('connection_lost');
  }
}
