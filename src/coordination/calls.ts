/** Events and effects of the entry's state machine. */
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
import type { RunId, RunResult, Ticket } from './works.js';
import type { DomainShare } from './shifts.js';

/** A request as it arrived, without its body. */
export interface Call {
  readonly ticket: Ticket;
  readonly service: ServiceName;
  readonly method: string;
  /** Path after the service's name, without a query. */
  readonly path: string;
  readonly caller: CallerId;
  readonly requestId: RequestId | undefined;
  readonly fingerprint: Fingerprint;
  /** Time left, in milliseconds, or undefined for the service's own deadline. */
  readonly leftMs: number | undefined;
  readonly home: FailureDomainId | undefined;
  /** Whether the body is kept whole, so that it can be sent again. */
  readonly replayable: boolean;
}

/** What a sender has classified already, for the entry VM that dispatches. */
export interface DispatchOrder {
  readonly from: EntryVmId;
  /** Names this sending; a repeat of it is refused. */
  readonly sendingId: string;
  /** The incarnation that the sender meant. */
  readonly incarnation: Incarnation;
  readonly domain: FailureDomainId;
  readonly rank: Rank;
  readonly idempotent: boolean;
  readonly granted: boolean;
}

/** How a request that was forwarded to another entry VM ended. */
export type ForwardResult =
  | { readonly type: 'answered'; readonly answer: KeptAnswer | undefined }
  | { readonly type: 'failed'; readonly failure: Failure }
  /** No connection, so no byte was sent. */
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
      /** Work over slots at the receiver, when it said so. */
      readonly load?: number | undefined;
      /** Bytes of the answer. */
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
      readonly askedMs: number;
    }
  | { readonly type: 'item'; readonly item: ReplicaItem }
  | { readonly type: 'members'; readonly members: readonly MemberRecord[] }
  | {
      /** A backend server said by itself whether it is leaving. */
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
      /** Whether the answer must be kept whole for the record. */
      readonly keep: boolean;
    }
  /** Ask the server on a new connection whether it is there. */
  | {
      readonly type: 'probe';
      readonly runId: RunId;
      readonly service: ServiceName;
      readonly server: BackendServerId;
    }
  | { readonly type: 'stopRun'; readonly runId: RunId }
  /** The answer of this run is the one to pass on. */
  | { readonly type: 'relay'; readonly runId: RunId }
  | {
      readonly type: 'forward';
      readonly ticket: Ticket;
      readonly to: MemberRecord;
      /** Undefined when the request goes to the owner of its id. */
      readonly order: DispatchOrder | undefined;
      readonly leftMs: number;
      /** Whether the answer must be kept whole for the record. */
      readonly keep: boolean;
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

/** A split in force, as entry VMs tell each other. */
export interface SplitReport {
  readonly service: ServiceName;
  readonly home: FailureDomainId;
  readonly split: readonly DomainShare[];
}
