/** Events and effects of the entry VM's state machine. */
import type {
  BackendServerId,
  CallerId,
  EntryVmId,
  Failure,
  FailureDomainId,
  Fingerprint,
  Incarnation,
  KeptAnswer,
  MemberRecord,
  Rank,
  ReplicaItem,
  RequestId,
  ServiceName,
} from '../state/index.js';
import type { RunId, RunResult, Ticket } from './dispatchrequests.js';
import type { DomainShare } from './shifts.js';

/** A received request, without its body. */
export interface Call {
  readonly ticket: Ticket;
  readonly service: ServiceName;
  readonly method: string;
  /** Path after the service's name, without the query. */
  readonly path: string;
  readonly caller: CallerId;
  readonly requestId: RequestId | undefined;
  readonly fingerprint: Fingerprint;
  /** Time until the deadline, in milliseconds; undefined selects the service's default. */
  readonly leftMs: number | undefined;
  readonly home: FailureDomainId | undefined;
  /** Whether the whole body is buffered, so that the request can be retried. */
  readonly replayable: boolean;
}

/** Routing decision and classification passed to the entry VM that dispatches the request. */
export interface DispatchOrder {
  readonly from: EntryVmId;
  /** Identifies this forwarding attempt; a duplicate is not run. */
  readonly sendingId: string;
  /** Incarnation the sender routed to; a restarted receiver rejects the request. */
  readonly incarnation: Incarnation;
  readonly domain: FailureDomainId;
  readonly rank: Rank;
  readonly idempotent: boolean;
  readonly granted: boolean;
}

/** Result of forwarding a request to another entry VM. */
export type ForwardResult =
  | { readonly type: 'answered'; readonly answer: KeptAnswer | undefined }
  | { readonly type: 'failed'; readonly failure: Failure }
  /** The connection failed, so no byte was sent. */
  | { readonly type: 'unreachable' }
  | { readonly type: 'lost' }
  | { readonly type: 'truncated'; readonly relayed: boolean };

export type EntryEvent =
  | { readonly type: 'call'; readonly call: Call; readonly fromPeer: boolean }
  | { readonly type: 'dispatch'; readonly call: Call; readonly order: DispatchOrder }
  | { readonly type: 'runBegun'; readonly runId: RunId }
  | {
      readonly type: 'runFinished';
      readonly runId: RunId;
      readonly ticket: Ticket;
      readonly result: RunResult;
      readonly answer?: KeptAnswer | undefined;
    }
  | {
      readonly type: 'forwardFinished';
      readonly ticket: Ticket;
      readonly result: ForwardResult;
      /** Running and queued requests per slot at the receiver, if reported. */
      readonly load?: number | undefined;
      /** Response size. */
      readonly bytes?: number | undefined;
    }
  | { readonly type: 'cancelled'; readonly ticket: Ticket }
  | {
      readonly type: 'grantAsked';
      readonly askId: string;
      readonly from: EntryVmId;
      readonly service: ServiceName;
      readonly domain: FailureDomainId;
      readonly want: number;
    }
  | {
      readonly type: 'grantReceived';
      readonly to: EntryVmId;
      readonly service: ServiceName;
      readonly slots: number;
      readonly requestedMs: number;
    }
  | { readonly type: 'item'; readonly item: ReplicaItem }
  | { readonly type: 'members'; readonly members: readonly MemberRecord[] }
  | {
      /** A backend server reported whether it is draining. */
      readonly type: 'serverSign';
      readonly server: BackendServerId;
      readonly leaving: boolean;
    }
  | { readonly type: 'probed'; readonly runId: RunId; readonly alive: boolean }
  | { readonly type: 'stop' }
  | { readonly type: 'tick' };

export type EntryEffect =
  | {
      readonly type: 'run';
      readonly ticket: Ticket;
      readonly runId: RunId;
      readonly service: ServiceName;
      readonly server: BackendServerId;
      readonly idempotent: boolean;
      readonly leftMs: number;
      /** Whether to keep the whole response, so that duplicates of the request can be answered. */
      readonly keepResponse: boolean;
    }
  /** Checks on a new connection whether the server responds. */
  | {
      readonly type: 'probe';
      readonly runId: RunId;
      readonly service: ServiceName;
      readonly server: BackendServerId;
    }
  | { readonly type: 'stopRun'; readonly runId: RunId }
  /** Passes this run's response to the caller. */
  | { readonly type: 'relay'; readonly runId: RunId }
  | {
      readonly type: 'forward';
      readonly ticket: Ticket;
      readonly to: MemberRecord;
      /** Undefined when the request goes to the owner of its id. */
      readonly order: DispatchOrder | undefined;
      readonly leftMs: number;
      /** Whether to keep the whole response, so that duplicates of the request can be answered. */
      readonly keepResponse: boolean;
    }
  | { readonly type: 'stopForward'; readonly ticket: Ticket }
  | { readonly type: 'fail'; readonly ticket: Ticket; readonly failure: Failure }
  | { readonly type: 'replay'; readonly ticket: Ticket; readonly answer: KeptAnswer }
  | {
      readonly type: 'askGrant';
      readonly to: MemberRecord;
      readonly service: ServiceName;
      readonly domain: FailureDomainId;
      readonly want: number;
    }
  | { readonly type: 'grant'; readonly askId: string; readonly slots: number }
  | { readonly type: 'reportCrashes'; readonly items: readonly ReplicaItem[] };

/** Traffic split of one home domain, replicated between entry VMs. */
export interface SplitReport {
  readonly service: ServiceName;
  readonly home: FailureDomainId;
  readonly split: readonly DomainShare[];
}
