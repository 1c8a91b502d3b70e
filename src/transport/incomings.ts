/** What the entry's task is handed: requests of callers and of other entry VMs. */
import type { CallerId, Endpoint, RequestId, ServiceName } from '../state/index.js';
import type { Reply } from './answers.js';
import type { RequestBody } from './bodies.js';
import type { ForwardedCall } from './forwards.js';

/** A request from a caller or from another entry VM, with its body. */
export interface Incoming {
  readonly service: ServiceName;
  readonly method: string;
  /** Path after the service's name, and the query. */
  readonly url: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: RequestBody;
  readonly caller: CallerId;
  readonly requestId: RequestId | undefined;
  /** Time left when its body had been read, in milliseconds. */
  readonly leftMs: number;
  /** What the entry VM says that sent it; undefined for a caller's own request. */
  readonly forwarded: ForwardedCall | undefined;
}

/** A request that was handed over; `cancel` when its sender is gone. */
export interface Accepted {
  readonly reply: Promise<Reply>;
  cancel(): void;
  /** Work over slots for the request's service where it was dispatched. */
  load(): number | undefined;
}

/** Where an entry listens. */
export interface EntryAddresses {
  readonly callerAddress: Endpoint;
  readonly peerAddress: Endpoint;
}
