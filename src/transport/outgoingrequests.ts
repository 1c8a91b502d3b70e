/** Sends a single HTTP request with a given connection pool, and reports whether it may have been sent. */
import http from 'node:http';
import type { IncomingMessage } from 'node:http';
import type net from 'node:net';
import type { Readable } from 'node:stream';
import got from 'got';
import type { RequestBody } from './requestbodies.js';

/** A request to send. */
export interface OutgoingRequest {
  readonly url: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: RequestBody;
  readonly agent: http.Agent;
}

/** Why a request got no response: no connection was established, or the request may have been sent. */
export type SendFailure = 'unreachable' | 'lost';

/** Handlers of a request's result. Exactly one of them is called, once, unless the request is stopped. */
export interface SendHandlers {
  /** @param body - fails if the response is truncated. */
  onResponse(res: IncomingMessage, body: Readable): void;
  onFailure(failure: SendFailure): void;
}

/** A request in flight. */
export interface RequestHandle {
  /** Cancels the request and destroys its connection. */
  stop(): void;
}

export const CONNECT_TIMEOUT_MS = 500;

/** Methods whose requests got ends without a body; for others it waits for one. */
const BODILESS_METHODS = new Set(['GET', 'HEAD']);

/** Whether a response states its length or is chunked; otherwise it ends with its connection. */
function isFramed({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

const REMOTE_ADDRESS = 'remoteAddress';

/** Hides a socket's remote address until the connection ends, since the socket caches it on the first read. */
function hideRemoteAddress(socket: net.Socket): void {
  Object.defineProperty(socket, REMOTE_ADDRESS, { configurable: true, value: undefined });
}

/** Whether an ended connection was reset: its socket then has no remote address any more. */
function wasReset(socket: net.Socket): boolean {
  Reflect.deleteProperty(socket, REMOTE_ADDRESS);
  return socket[REMOTE_ADDRESS] === undefined;
}

/** Makes a body that is delimited by its connection's end fail if the connection was reset. */
function failOnReset(body: Readable, socket: net.Socket): void {
  const onEnd = (): void => {
    // A reset that arrives with the last bytes is reported as `end`.
    if (wasReset(socket)) body.destroy(new Error('connection was reset'));
  };
  // Runs before the HTTP client's listener, which takes the received bytes for a complete response.
  socket.prependListener('end', onEnd);
  body.once('close', () => socket.off('end', onEnd));
}

/** Sends a request. The response is passed on unchanged: no redirects, retries or decoding. */
export function sendRequest(request: OutgoingRequest, handlers: SendHandlers): RequestHandle {
  const { body } = request;
  let connected = false;
  let settled = false;
  const settle = (report: () => void): void => {
    if (settled) return;
    settled = true;
    report();
  };
  const streamed = body.rest !== undefined;
  const bodiless = body.head.length === 0 && BODILESS_METHODS.has(request.method);
  const req = got.stream(request.url, {
    method: request.method as 'POST',
    headers: request.headers,
    agent: { http: request.agent },
    retry: { limit: 0 },
    throwHttpErrors: false,
    followRedirect: false,
    decompress: false,
    timeout: { connect: CONNECT_TIMEOUT_MS },
    ...(streamed || bodiless ? {} : { body: body.head, allowGetBody: true }),
  });
  req.on('request', (raw: http.ClientRequest) => {
    raw.on('socket', (socket) => {
      hideRemoteAddress(socket);
      if (raw.reusedSocket || !socket.connecting) connected = true;
      else
        socket.once('connect', () => {
          connected = true;
        });
    });
  });
  req.on('response', (res: IncomingMessage) => {
    if (!isFramed(res)) failOnReset(req, res.socket);
    settle(() => handlers.onResponse(res, req));
  });
  req.on('error', () => {
    settle(() => handlers.onFailure(connected ? 'lost' : 'unreachable'));
  });
  if (streamed) body.rest?.pipe(req);
  return {
    stop: () => {
      settle(() => undefined);
      req.destroy();
    },
  };
}
