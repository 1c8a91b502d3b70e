/** One HTTP request on a connection of its own keeping, and how far it got. */
import http from 'node:http';
import type { IncomingMessage } from 'node:http';
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
      if (raw.reusedSocket || !socket.connecting) connected = true;
      else
        socket.once('connect', () => {
          connected = true;
        });
    });
  });
  req.on('response', (res: IncomingMessage) => {
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
