/** Requests as a dispatcher sees them, how their runs end, and what follows from that alone. */
import { notRun, unknown } from '../state/index.js';
import type {
  BackendServerId,
  BackendServerSettings,
  CallerId,
  Failure,
  Fingerprint,
  Rank,
} from '../state/index.js';
import type { ServerPhase } from './slots.js';

/** Names a request inside one entry process. */
export type Ticket = string & { readonly Ticket: unique symbol };

/** Names one run of a request on a backend server. */
export type RunId = string & { readonly RunId: unique symbol };

/** A request that may be queued and run. */
export interface Work {
  readonly ticket: Ticket;
  readonly caller: CallerId;
  readonly rank: Rank;
  readonly idempotent: boolean;
  readonly fingerprint: Fingerprint;
  /** Whether the body is kept whole, so that the request can be sent again. */
  readonly replayable: boolean;
  /** Monotonic, in milliseconds. */
  readonly deadlineMs: number;
}

/** How a run on a backend server ended. */
export type RunResult =
  | { readonly type: 'answered' }
  /** Refused before running, in the backend server's protocol. */
  | { readonly type: 'refused'; readonly retryAfterMs: number }
  /** No connection, so no byte was sent. */
  | { readonly type: 'unreachable' }
  /** The connection was lost after bytes were sent. */
  | { readonly type: 'lost'; readonly crashed: boolean }
  /** No progress on this connection while the server answers on others. */
  | { readonly type: 'silent' }
  /** The answer ended early; part of it may have reached the caller. */
  | { readonly type: 'truncated'; readonly relayed: boolean }
  /** Stopped from here. */
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

/** A server that this entry VM has a claim on. */
export interface ClaimedServer {
  readonly settings: BackendServerSettings;
  readonly phase: ServerPhase;
}

/** Time after which a stopped run has freed its slot on the server, in milliseconds. */
const STOP_SETTLE_MS = 20;

/** Whether the server may have run a request whose run ended so. */
export function mayHaveRun(result: RunResult): boolean {
  return result.type !== 'refused' && result.type !== 'unreachable';
}

/** When the slot of an ended run is sure to be free on the server. */
export function heldUntil(result: RunResult, deadlineMs: number, nowMs: number): number {
  if (result.type === 'stopped') return nowMs + STOP_SETTLE_MS;
  if (result.type === 'silent') return deadlineMs;
  if (result.type === 'lost' && !result.crashed) return deadlineMs;
  return nowMs;
}

/** The failure of a request whose run ended so. @param mayStop - it was stopped for its caller. */
export function failureOf(result: RunResult, mayStop: boolean): Failure {
  switch (result.type) {
    case 'refused':
      return notRun('overloaded');
    case 'unreachable':
      return notRun('unreachable');
    case 'truncated':
      return unknown(result.relayed ? 'truncated' : 'connection_lost');
    case 'lost':
      return unknown(result.crashed ? 'backend_crashed' : 'connection_lost');
    case 'stopped':
      return unknown(mayStop ? 'connection_lost' : 'deadline');
    default:
      return unknown('connection_lost');
  }
}
