/** One HTTP request on a connection of its own keeping, and how far it got. */
import http from 'node:http';
import type { IncomingMessage } from 'node:http';
import type net from 'node:net';
import type { Readable } from 'node:stream';
import got from 'got';
import type { RequestBody } from './bodies.js';

/** A request to send. */
export interface Sending {
  readonly url: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: RequestBody;
  readonly agent: http.Agent;
}

/** How a request that got no response ended. */
export type SendFailure = 'unreachable' | 'lost';

/** What happens to a request. Exactly one of the two is called, once. */
export interface SendHandlers {
  /** @param body - fails when the answer ends early. */
  onResponse(res: IncomingMessage, body: Readable): void;
  onFailure(failure: SendFailure): void;
}

/** A request under way. */
export interface Sent {
  /** Ends it and destroys its connection. */
  stop(): void;
}

/** Time for a new connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 500;

/** Methods of which got ends the request by itself; for others it waits for a body. */
const BODILESS_METHODS = new Set(['GET', 'HEAD']);

/** Whether a response states its length; without, it ends with its connection. */
function isFramed({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

const PEER = 'remoteAddress';

/** Lets nobody read a connection's peer before its end: a socket keeps what is read first. */
function hidePeer(socket: net.Socket): void {
  Object.defineProperty(socket, PEER, { configurable: true, value: undefined });
}

/** Whether a connection that has ended was reset: then it has no peer any more. */
function wasReset(socket: net.Socket): boolean {
  Reflect.deleteProperty(socket, PEER);
  return socket[PEER] === undefined;
}

/** Lets a body that ends with its connection fail when that was reset. */
function failOnReset(body: Readable, socket: net.Socket): void {
  const onEnd = (): void => {
    // A reset that comes with the last bytes is reported as an end.
    if (wasReset(socket)) body.destroy(new Error('connection was reset'));
  };
  // Before the HTTP client, which takes what has come for a whole answer.
  socket.prependListener('end', onEnd);
  body.once('close', () => socket.off('end', onEnd));
}

/** Sends a request. Its response is passed on untouched: no redirects, retries or decoding. */
export function send(sending: Sending, handlers: SendHandlers): Sent {
  const { body } = sending;
  let connected = false;
  let settled = false;
  const settle = (report: () => void): void => {
    if (settled) return;
    settled = true;
    report();
  };
  const streamed = body.rest !== undefined;
  const bodiless = body.head.length === 0 && BODILESS_METHODS.has(sending.method);
  const req = got.stream(sending.url, {
    method: sending.method as 'POST',
    headers: sending.headers,
    agent: { http: sending.agent },
    retry: { limit: 0 },
    throwHttpErrors: false,
    followRedirect: false,
    decompress: false,
    timeout: { connect: CONNECT_TIMEOUT_MS },
    ...(streamed || bodiless ? {} : { body: body.head, allowGetBody: true }),
  });
  req.on('request', (raw: http.ClientRequest) => {
    raw.on('socket', (socket) => {
      hidePeer(socket);
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
