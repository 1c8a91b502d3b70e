/** Connections to backend servers. Each carries one request at a time. */
import net from 'node:net';
import Client from 'undici/lib/dispatcher/client.js';
import type { Dispatcher } from 'undici';
import type { Endpoint } from '../state/index.js';
import type { HeaderFields } from '../protocol/index.js';
import type { ResponseBufferPool, BufferedResponse } from './responsebuffers.js';

/** A request with its complete body. */
export interface UpstreamRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer | undefined;
  /** Whether the request may be sent again if the server closes the connection meanwhile. */
  readonly retryable: boolean;
  /** Whether to open a new connection, as idle ones may have stopped responding with an earlier attempt's. */
  readonly fresh: boolean;
}

/** A complete response. */
export interface UpstreamResponse {
  readonly status: number;
  readonly headers: HeaderFields;
  readonly body: Buffer;
  /** Whether the response stated its length or was chunked; otherwise it may be truncated unnoticed. */
  readonly framed: boolean;
}

export type UpstreamEnd =
  | { readonly type: 'answered'; readonly response: UpstreamResponse }
  /** No connection was established and no byte of the request was sent. */
  | { readonly type: 'unreachable'; readonly reason: string; readonly silent: boolean }
  /** The request was sent at least in part, and no complete response arrived. */
  | { readonly type: 'lost'; readonly reason: string };

/** Result of a connect without a request. `refused`: the host answers, and no process listens there. */
export type ProbeResult = 'reached' | 'refused' | 'unreachable';

/** A request in flight. */
export interface UpstreamCall {
  /** Cancels the request and resets its connection. `onEnd` is not called. */
  cancel(): void;
}

export interface UpstreamOptions {
  /** Connect timeout, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** Called with the time that a new connection took, in milliseconds. */
  readonly onConnected: (tookMs: number) => void;
  /** Whether the connection of this response may be reused for another request. */
  readonly isReusable: (response: UpstreamResponse) => boolean;
  readonly nowMs: () => number;
  /** Buffers the bodies of responses; shared by all upstreams. */
  readonly memory: ResponseBufferPool;
}

/** Maximum number of idle connections to one backend server. */
const MAX_IDLE_CONNECTIONS = 4;

/** Idle connections are closed after this time, which is below the servers' usual idle timeout of 10 s. */
const IDLE_TIMEOUT_MS = 7_000;

/**
 * Requests that must not be sent twice reuse a connection only within this time after its last response.
 * Servers state in whole seconds how long they keep idle connections open.
 */
const FRESH_CONNECTION_MS = 900;

/** Maximum size of a response's body. */
const MAX_RESPONSE_BYTES = 33_554_432;

/**
 * Maximum number of bytes around a body: heads, interim responses, chunk sizes and extensions, trailers. A share
 * of the body is allowed on top, for its chunks. Parsing such bytes costs far more than the body's, and a faulty
 * server may send them without end.
 */
const MAX_FRAMING_BYTES = 20_480;
const MAX_FRAMING_PER_BODY_BYTE = 0.25;

/** Received bytes that are parsed at a time, so that a limit takes effect soon. */
const SLICE_BYTES = 4_096;

/** Maximum number of interim responses to a request. */
const MAX_INTERIM_RESPONSES = 100;

const FIRST_FINAL_STATUS = 200;

const CONNECT_TIMEOUT_MESSAGE = 'connect timed out';

/** A socket whose received bytes are read in slices, with a check before each. */
class SlicedSocket extends net.Socket {
  readonly #check: () => void;

  constructor(check: () => void) {
    super();
    // As an option of `connect` it takes effect only with `net.connect`.
    this.setNoDelay(true);
    this.#check = check;
  }

  /** Bytes that were received and read. */
  get readBytes(): number {
    return this.bytesRead - this.readableLength;
  }

  override read(size?: number): ReturnType<net.Socket['read']> {
    this.#check();
    if (this.destroyed) return null;
    const available = this.readableLength;
    return super.read(size ?? (available > SLICE_BYTES ? SLICE_BYTES : undefined));
  }
}

/** One connection and its state. */
class Connection {
  readonly client: Client;

  #socket: SlicedSocket | undefined;

  /** Whether the current socket failed. */
  #broken = false;

  connected = false;

  /** When the last response ended, monotonic, in milliseconds. */
  lastUsedMs = -Infinity;

  /** Bytes that were read before the current request. */
  #bytesBefore = 0;

  /** Bytes of the body of the current response. */
  #bodyBytes = 0;

  constructor(address: Endpoint, { connectTimeoutMs, onConnected, nowMs }: UpstreamOptions) {
    const url = new URL(`http://${address}`);
    this.client = new Client(url.origin, {
      pipelining: 1,
      // Takes no effect below the limit of all framing: the client makes an error for each field beyond its own.
      maxHeaderSize: 2 * MAX_FRAMING_BYTES,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      connect: (_options, done) => {
        const startedMs = nowMs();
        this.connected = false;
        this.#broken = false;
        this.#bytesBefore = 0;
        const socket = new SlicedSocket(() => this.#limitFraming());
        socket.connect({ host: url.hostname, port: Number(url.port) });
        this.#socket = socket;
        const timer = setTimeout(
          () => socket.destroy(new Error(CONNECT_TIMEOUT_MESSAGE)),
          connectTimeoutMs,
        );
        const fail = (err: Error): void => {
          clearTimeout(timer);
          done(err, null);
        };
        // Registered before the client's own listener, which takes the bytes before a reset for a
        // complete response.
        socket.on('error', () => {
          this.#broken = true;
        });
        // A reset that arrives with the last bytes is reported as `end`, but then the socket has no
        // remote address any more.
        socket.once('end', () => {
          if (socket.remoteAddress === undefined) this.#broken = true;
        });
        socket.once('error', fail);
        socket.once('connect', () => {
          clearTimeout(timer);
          socket.off('error', fail);
          this.connected = true;
          onConnected(nowMs() - startedMs);
          done(null, socket);
        });
      },
    });
  }

  get broken(): boolean {
    return this.#broken;
  }

  /** Whether another request may be sent on this connection now. */
  get reusable(): boolean {
    return this.connected && !this.#broken && this.#socket?.destroyed === false;
  }

  /** Records that a request is about to be sent. */
  beginRequest(): void {
    this.#bytesBefore = this.#socket?.readBytes ?? 0;
    this.#bodyBytes = 0;
  }

  /** Counts bytes of a response's body. */
  countBody(bytes: number): void {
    this.#bodyBytes += bytes;
  }

  #limitFraming(): void {
    const received = (this.#socket?.readBytes ?? 0) - this.#bytesBefore;
    const framing = received - this.#bodyBytes;
    if (framing > MAX_FRAMING_BYTES + this.#bodyBytes * MAX_FRAMING_PER_BODY_BYTE)
      this.#socket?.destroy(new Error('response has too many bytes around its body'));
  }

  /** Resets the connection, so that bytes held back by a network partition do not reach the server later. */
  reset(): void {
    if (this.connected) this.#socket?.resetAndDestroy();
    this.destroy();
  }

  destroy(): void {
    this.client.destroy().catch(() => undefined);
    this.#socket?.destroy();
  }
}

export class Upstream {
  readonly #address: Endpoint;

  readonly #options: UpstreamOptions;

  #idleConnections: Connection[] = [];

  #closed = false;

  constructor(address: Endpoint, options: UpstreamOptions) {
    this.#address = address;
    this.#options = options;
  }

  /** Sends a request. `onEnd` is called once, unless the request is cancelled. */
  send(request: UpstreamRequest, onEnd: (end: UpstreamEnd) => void): UpstreamCall {
    const connection = request.fresh
      ? new Connection(this.#address, this.#options)
      : this.#acquire(request.retryable);
    const call = new ActiveCall(connection, this.#options, (end, reusable) => {
      if (reusable) this.#release(connection);
      else connection.destroy();
      onEnd(end);
    });
    connection.beginRequest();
    const { method, path, headers, body = null } = request;
    const options = { method, path, headers, body } as Dispatcher.DispatchOptions;
    connection.client.dispatch(options, call);
    return call;
  }

  /** Opens a connection to the server and closes it. No request is sent. */
  async probe(): Promise<ProbeResult> {
    const { hostname, port } = new URL(`http://${this.#address}`);
    const startedMs = this.#options.nowMs();
    return new Promise((resolve) => {
      const socket = net.connect({ host: hostname, port: Number(port) });
      const end = (result: ProbeResult): void => {
        socket.destroy();
        resolve(result);
      };
      socket.setTimeout(this.#options.connectTimeoutMs, () => end('unreachable'));
      socket.once('error', ({ code }: NodeJS.ErrnoException) =>
        end(code === 'ECONNREFUSED' ? 'refused' : 'unreachable'),
      );
      socket.once('connect', () => {
        this.#options.onConnected(this.#options.nowMs() - startedMs);
        end('reached');
      });
    });
  }

  /** Closes idle connections. Connections in use close once their request has ended. */
  close(): void {
    this.#closed = true;
    this.#idleConnections.forEach((connection) => connection.destroy());
    this.#idleConnections = [];
  }

  #acquire(repeatable: boolean): Connection {
    const minLastUsedMs = repeatable ? -Infinity : this.#options.nowMs() - FRESH_CONNECTION_MS;
    for (;;) {
      // Connections are ordered by last use: if the last one is too old, all are.
      const last = this.#idleConnections.at(-1);
      if (last === undefined || last.lastUsedMs < minLastUsedMs) break;
      this.#idleConnections.pop();
      if (last.reusable) return last;
      last.destroy();
    }
    return new Connection(this.#address, this.#options);
  }

  #release(connection: Connection): void {
    connection.lastUsedMs = this.#options.nowMs();
    this.#idleConnections = this.#idleConnections.filter(
      (candidate) => candidate.reusable || candidate.destroy(),
    );
    if (this.#closed || this.#idleConnections.length >= MAX_IDLE_CONNECTIONS) connection.destroy();
    else this.#idleConnections.push(connection);
  }
}

/** A request in flight, and the handler of the HTTP client's events for it. */
class ActiveCall implements Dispatcher.DispatchHandler, UpstreamCall, BufferedResponse {
  readonly #connection: Connection;

  readonly #options: UpstreamOptions;

  readonly #onEnd: (end: UpstreamEnd, reusable: boolean) => void;

  #receivedBytes = 0;

  #interimResponses = 0;

  #status = 0;

  #headers: HeaderFields = {};

  #ended = false;

  constructor(
    connection: Connection,
    options: UpstreamOptions,
    onEnd: (end: UpstreamEnd, reusable: boolean) => void,
  ) {
    this.#connection = connection;
    this.#options = options;
    this.#onEnd = onEnd;
  }

  cancel(): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#options.memory.release(this);
    this.#connection.reset();
  }

  drop(): void {
    this.#end({ type: 'lost', reason: 'response dropped: buffer for responses is full' }, false);
  }

  onRequestStart(): void {}

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: HeaderFields,
  ): void {
    if (status < FIRST_FINAL_STATUS) {
      this.#interimResponses += 1;
      if (this.#interimResponses > MAX_INTERIM_RESPONSES)
        controller.abort(new Error('too many interim responses'));
      return;
    }
    this.#status = status;
    this.#headers = headers;
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#ended) return;
    this.#receivedBytes += chunk.length;
    this.#connection.countBody(chunk.length);
    this.#options.memory.append(this, chunk);
    if (this.#receivedBytes > MAX_RESPONSE_BYTES)
      controller.abort(new Error('response body is too large'));
  }

  onResponseEnd(): void {
    if (this.#connection.broken) {
      this.#end(
        { type: 'lost', reason: 'connection reset before the response was complete' },
        false,
      );
      return;
    }
    const response = {
      status: this.#status,
      headers: this.#headers,
      body: this.#options.memory.takeBody(this),
      framed:
        this.#headers['content-length'] !== undefined ||
        this.#headers['transfer-encoding'] !== undefined,
    };
    this.#end({ type: 'answered', response }, this.#options.isReusable(response));
  }

  onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
    const reason = err.message;
    if (this.#connection.connected) this.#end({ type: 'lost', reason }, false);
    else
      this.#end({ type: 'unreachable', reason, silent: reason === CONNECT_TIMEOUT_MESSAGE }, false);
  }

  #end(end: UpstreamEnd, reusable: boolean): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#options.memory.release(this);
    this.#onEnd(end, reusable);
  }
}
