/** Connections to backend servers. Each carries one request at a time. */
import net from 'node:net';
import { Client } from 'undici';
import type { Dispatcher } from 'undici';
import type { Endpoint } from '../state/index.js';
import type { HeaderFields } from '../protocol/index.js';
import type { AnswerMemory, HeldAnswer } from './answermemories.js';

/** A request to send, with its whole body. */
export interface UpstreamRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer | undefined;
  /** Whether it may run again when its connection closes under it. */
  readonly repeatable: boolean;
}

/** A whole answer. */
export interface UpstreamAnswer {
  readonly status: number;
  readonly headers: HeaderFields;
  readonly body: Buffer;
  /** Whether its length was stated; without, it ends with its connection and may be cut short. */
  readonly framed: boolean;
}

export type UpstreamEnd =
  | { readonly type: 'answered'; readonly answer: UpstreamAnswer }
  /** No connection came about; no byte of the request left. */
  | { readonly type: 'unreachable'; readonly reason: string; readonly silent: boolean }
  /** The request was sent, at least in part. */
  | { readonly type: 'lost'; readonly reason: string };

/** A request under way. */
export interface UpstreamCall {
  /** Ends it and resets its connection. Its end is not reported any more. */
  cancel(): void;
}

export interface UpstreamOptions {
  /** Time for a new connection, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** Told how long a connection took to come about. */
  readonly onConnected: (tookMs: number) => void;
  /** Told whether an answer leaves its connection fit for another request. */
  readonly isClean: (answer: UpstreamAnswer) => boolean;
  readonly nowMs: () => number;
  /** Shared by all upstreams. */
  readonly memory: AnswerMemory;
}

/** Idle connections kept to one backend server. */
const MAX_IDLE = 4;

/** Time after which an idle connection is closed, in milliseconds: below the servers' usual 10 s. */
const IDLE_MS = 7_000;

/**
 * Time after an answer in which its connection is fit for work that must not be sent twice, in
 * milliseconds: servers state in whole seconds how long they keep an idle one.
 */
const FRESH_MS = 900;

/** Largest answer that is taken, in bytes. */
const MAX_ANSWER_BYTES = 33_554_432;

const FIRST_FINAL_STATUS = 200;

const CONNECT_TIMED_OUT = 'connect timed out';

/** One connection and what is known of it. */
class Connection {
  readonly client: Client;

  #socket: net.Socket | undefined;

  /** Whether the present socket failed. */
  #broken = false;

  connected = false;

  /** When its last answer ended. */
  usedMs = -Infinity;

  constructor(address: Endpoint, { connectTimeoutMs, onConnected, nowMs }: UpstreamOptions) {
    const url = new URL(`http://${address}`);
    this.client = new Client(url.origin, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_MS,
      connect: (_options, done) => {
        const startedMs = nowMs();
        this.connected = false;
        this.#broken = false;
        const socket = net.connect({ host: url.hostname, port: Number(url.port), noDelay: true });
        this.#socket = socket;
        const timer = setTimeout(
          () => socket.destroy(new Error(CONNECT_TIMED_OUT)),
          connectTimeoutMs,
        );
        const fail = (err: Error): void => {
          clearTimeout(timer);
          done(err, null);
        };
        // Seen before the client sees it: it takes what came before a reset for a whole answer.
        socket.on('error', () => {
          this.#broken = true;
        });
        // A reset that comes with the last bytes is reported as an end; its socket has no peer any more.
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

  /** Whether another request may be sent on it now. */
  get idle(): boolean {
    return this.connected && !this.#broken && this.#socket?.destroyed === false;
  }

  /** Drops what the network still holds back: after a partition it must not reach the server. */
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

  #idle: Connection[] = [];

  #closed = false;

  constructor(address: Endpoint, options: UpstreamOptions) {
    this.#address = address;
    this.#options = options;
  }

  /** Sends a request; `onEnd` is called once, unless it is cancelled. */
  send(request: UpstreamRequest, onEnd: (end: UpstreamEnd) => void): UpstreamCall {
    const connection = this.#take(request.repeatable);
    const call = new Call(connection, this.#options, (end, reusable) => {
      if (reusable) this.#keep(connection);
      else connection.destroy();
      onEnd(end);
    });
    const { method, path, headers, body = null } = request;
    const options = { method, path, headers, body } as Dispatcher.DispatchOptions;
    connection.client.dispatch(options, call);
    return call;
  }

  /** Connects without a request. Says whether that worked. */
  async reach(): Promise<boolean> {
    const { hostname, port } = new URL(`http://${this.#address}`);
    const startedMs = this.#options.nowMs();
    return new Promise((resolve) => {
      const socket = net.connect({ host: hostname, port: Number(port) });
      const end = (reached: boolean) => (): void => {
        socket.destroy();
        resolve(reached);
      };
      socket.setTimeout(this.#options.connectTimeoutMs, end(false));
      socket.once('error', end(false));
      socket.once('connect', () => {
        this.#options.onConnected(this.#options.nowMs() - startedMs);
        end(true)();
      });
    });
  }

  /** Closes idle connections; those with a request close after it. */
  close(): void {
    this.#closed = true;
    this.#idle.forEach((connection) => connection.destroy());
    this.#idle = [];
  }

  #take(repeatable: boolean): Connection {
    const usedSinceMs = repeatable ? -Infinity : this.#options.nowMs() - FRESH_MS;
    for (;;) {
      // The one used last is at the end: if it is not fresh, none is.
      const last = this.#idle.at(-1);
      if (last === undefined || last.usedMs < usedSinceMs) break;
      this.#idle.pop();
      if (last.idle) return last;
      last.destroy();
    }
    return new Connection(this.#address, this.#options);
  }

  #keep(connection: Connection): void {
    connection.usedMs = this.#options.nowMs();
    this.#idle = this.#idle.filter((each) => each.idle || each.destroy());
    if (this.#closed || this.#idle.length >= MAX_IDLE) connection.destroy();
    else this.#idle.push(connection);
  }
}

/** One request on a connection, as the client reports it. */
class Call implements Dispatcher.DispatchHandler, UpstreamCall, HeldAnswer {
  readonly #connection: Connection;

  readonly #options: UpstreamOptions;

  readonly #onEnd: (end: UpstreamEnd, reusable: boolean) => void;

  #bytes = 0;

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
    this.#end({ type: 'lost', reason: 'too much held in answers' }, false);
  }

  onRequestStart(): void {}

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: HeaderFields,
  ): void {
    if (status < FIRST_FINAL_STATUS) return;
    this.#status = status;
    this.#headers = headers;
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#ended) return;
    this.#bytes += chunk.length;
    this.#options.memory.add(this, chunk);
    if (this.#bytes > MAX_ANSWER_BYTES) controller.abort(new Error('answer too large'));
  }

  onResponseEnd(): void {
    if (this.#connection.broken) {
      this.#end({ type: 'lost', reason: 'reset within the answer' }, false);
      return;
    }
    const answer = {
      status: this.#status,
      headers: this.#headers,
      body: this.#options.memory.take(this),
      framed:
        this.#headers['content-length'] !== undefined ||
        this.#headers['transfer-encoding'] !== undefined,
    };
    this.#end({ type: 'answered', answer }, this.#options.isClean(answer));
  }

  onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
    const reason = err.message;
    if (this.#connection.connected) this.#end({ type: 'lost', reason }, false);
    else this.#end({ type: 'unreachable', reason, silent: reason === CONNECT_TIMED_OUT }, false);
  }

  #end(end: UpstreamEnd, reusable: boolean): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#options.memory.release(this);
    this.#onEnd(end, reusable);
  }
}
