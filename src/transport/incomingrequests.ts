/** Requests that an entry receives from callers and from other entry VMs. */
import type { CallerId, Endpoint, RequestId, ServiceName } from '../state/index.js';
import type { RequestResult } from './relayedresponses.js';
import type { RequestBody } from './requestbodies.js';
import type { ForwardedRequestInfo } from './forwardclients.js';

/** A request from a caller or from another entry VM, with its body. */
export interface IncomingRequest {
  readonly service: ServiceName;
  readonly method: string;
  /** Path after the service's name, and the query. */
  readonly url: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: RequestBody;
  readonly caller: CallerId;
  readonly requestId: RequestId | undefined;
  /** Time left until the deadline when the body had been read, in milliseconds. */
  readonly leftMs: number;
  /** What the forwarding entry VM added; undefined for a request directly from a caller. */
  readonly forwarded: ForwardedRequestInfo | undefined;
}

/** An accepted request. `cancel` it when its sender disconnects. */
export interface AcceptedRequest {
  readonly result: Promise<RequestResult>;
  cancel(): void;
  /** Requests in flight divided by slots, for the request's service where it was dispatched. */
  load(): number | undefined;
}

/** The addresses that an entry listens on. */
export interface EntryAddresses {
  readonly callerAddress: Endpoint;
  readonly peerAddress: Endpoint;
}
