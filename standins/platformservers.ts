/**
 * A stand-in for a backend server of the users' platform. It uses raw sockets, so that it can truncate,
 * corrupt or withhold responses. Each request gets the next of `responses`, or a complete response.
 */
import net from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { FILLER, writeEndlessly } from './endlessresponses.js';

/** How the stand-in responds to one request. */
export type PlatformResponse =
  /** A complete response with its content length. */
  | 'whole'
  /** Runs the request and closes the connection without a response. */
  | 'lost'
  /** Part of the body of a response that has a content length. */
  | 'truncated'
  /** A complete response without a content length. */
  | 'unframed'
  /** Part of the body of a response without a content length. */
  | 'unframedCut'
  /** A complete response, sent again in place of the response to the next request. */
  | 'doubled'
  /** A successful response with another request's id. */
  | 'foreign'
  /** A successful response without the server's signature. */
  | 'unsigned'
  /** A response that states that the request was not run. */
  | 'rejected'
  /** A rejection, sent again as soon as the connection carries another request, while that one runs. */
  | 'rejectedTwice'
  /** A response from another server than the addressed one. */
  | 'misdirected'
  /** Runs the request and responds with 500. */
  | 'failed'
  /** Runs the request and never responds; the connection stays open. */
  | 'silent'
  /**
   * Sends bytes until the peer closes: in the status line, in a header field, in a body without a content
   * length, in chunks, in chunks of one byte.
   */
  | 'endlessStatus'
  | 'endlessHead'
  | 'endlessBody'
  | 'endlessChunks'
  | 'endlessCrumbs';

/** A request as the stand-in received it. */
export interface PlatformRun {
  readonly requestId: string;
  readonly line: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly response: PlatformResponse;
}

const RESPONSE_BODY = 'the whole answer';

function responseText(kind: PlatformResponse, requestId: string): string {
  const idField = `Request-Id: ${requestId}\r\n`;
  const signedFields = `${idField}Response-Signature: sig\r\nBackend-Load: 1,0,3\r\n`;
  const lengthField = `Content-Length: ${RESPONSE_BODY.length}\r\n\r\n`;
  const emptyBody = 'Content-Length: 0\r\n\r\n';
  switch (kind) {
    case 'whole':
      return `HTTP/1.1 200 OK\r\n${signedFields}${lengthField}${RESPONSE_BODY}`;
    case 'doubled':
      return `HTTP/1.1 200 OK\r\n${signedFields}${lengthField}${RESPONSE_BODY}`;
    case 'truncated':
      return `HTTP/1.1 200 OK\r\n${signedFields}${lengthField}${RESPONSE_BODY.slice(0, 5)}`;
    case 'unframed':
      return `HTTP/1.1 200 OK\r\n${signedFields}\r\n${RESPONSE_BODY}`;
    case 'unframedCut':
      return `HTTP/1.1 200 OK\r\n${signedFields}\r\n${RESPONSE_BODY.slice(0, 5)}`;
    case 'foreign':
      return `HTTP/1.1 200 OK\r\n${signedFields.replace(requestId, 'another')}${lengthField}${RESPONSE_BODY}`;
    case 'unsigned':
      return `HTTP/1.1 200 OK\r\n${idField}${lengthField}${RESPONSE_BODY}`;
    case 'rejected':
    case 'rejectedTwice':
      return `HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n${emptyBody}`;
    case 'misdirected':
      return `HTTP/1.1 421 Misdirected Request\r\nInstance-Id: other\r\n${emptyBody}`;
    case 'failed':
      return `HTTP/1.1 500 Internal Server Error\r\n${signedFields}${emptyBody}`;
    case 'endlessStatus':
      return 'HTTP/1.1 200 ';
    case 'endlessHead':
      return `HTTP/1.1 200 OK\r\n${signedFields}Filler: `;
    case 'endlessBody':
      return `HTTP/1.1 200 OK\r\n${signedFields}\r\n`;
    case 'endlessChunks':
    case 'endlessCrumbs':
      return `HTTP/1.1 200 OK\r\n${signedFields}Transfer-Encoding: chunked\r\n\r\n`;
    case 'lost':
    case 'silent':
      return '';
    default:
      return kind satisfies never;
  }
}

/** The bytes that an endless response repeats. */
const REPEATED_BYTES: Readonly<Partial<Record<PlatformResponse, Buffer>>> = {
  endlessStatus: FILLER,
  endlessHead: FILLER,
  endlessBody: FILLER,
  endlessChunks: Buffer.concat([Buffer.from('10000\r\n'), FILLER, Buffer.from('\r\n')]),
  endlessCrumbs: Buffer.from('1\r\nx\r\n'.repeat(10_000)),
};

const CLOSES_CONNECTION = new Set<PlatformResponse>([
  'lost',
  'truncated',
  'unframed',
  'unframedCut',
]);

export class PlatformServerStandIn {
  readonly runs: PlatformRun[] = [];

  /** Responses to the next requests, in order. */
  readonly responses: PlatformResponse[] = [];

  /** Makes the bytes after which the connection is closed, for the next requests; before `responses`. */
  readonly cutResponses: ((requestId: string) => string)[] = [];

  /** Header lines added to each response that has a head. */
  extraFields: readonly string[] = [];

  /** Duration of a run in milliseconds. */
  runMs = 1;

  /** Number of connections that the peer closed while a request ran. */
  abandonedRuns = 0;

  /** Number of connections accepted since the start. */
  connections = 0;

  /** Whether a request ends the process: all connections are reset and new ones are refused. */
  crashesOn: (run: PlatformRun) => boolean = () => false;

  /** Called after a request has ended the process. */
  onCrash: (run: PlatformRun) => void = () => undefined;

  readonly #sockets = new Set<Socket>();

  readonly #server: Server = net.createServer((socket) => this.#accept(socket));

  /** Number of open connections. */
  get openConnections(): number {
    return this.#sockets.size;
  }

  start(): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(this.#server.address() as AddressInfo).port}`);
      });
    });
  }

  stop(): void {
    this.#sockets.forEach((socket) => socket.destroy());
    this.#server.close();
  }

  #crash(run: PlatformRun): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
    this.onCrash(run);
  }

  #accept(socket: Socket): void {
    this.connections += 1;
    this.#sockets.add(socket);
    let received = '';
    let running = false;
    socket.on('close', () => {
      this.#sockets.delete(socket);
      if (running) this.abandonedRuns += 1;
    });
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      received += bytes.toString();
      const headEnd = received.indexOf('\r\n\r\n');
      if (headEnd < 0) return;
      const [line = '', ...fields] = received.slice(0, headEnd).split('\r\n');
      const headers = Object.fromEntries(
        fields.map((field) => {
          const colon = field.indexOf(':');
          return [field.slice(0, colon).toLowerCase(), field.slice(colon + 1).trim()];
        }),
      ) as Record<string, string>;
      const body = received.slice(headEnd + 4);
      if (body.length < Number(headers['content-length'] ?? 0)) return;
      received = '';
      running = true;
      const requestId = headers['request-id'] ?? '';
      const cutResponse = this.cutResponses.shift();
      const response = cutResponse === undefined ? (this.responses.shift() ?? 'whole') : 'lost';
      const run = { requestId, line, headers, body, response };
      this.runs.push(run);
      if (this.crashesOn(run)) {
        this.#crash(run);
        return;
      }
      if (response === 'silent') return;
      setTimeout(() => {
        running = false;
        if (cutResponse !== undefined) socket.write(cutResponse(requestId));
        this.#respond(socket, response, requestId);
      }, this.runMs);
    });
  }

  #withExtraFields(text: string): string {
    const fields = this.extraFields.map((field) => `${field}\r\n`).join('');
    return text.replace('\r\n', `\r\n${fields}`);
  }

  #respond(socket: Socket, response: PlatformResponse, requestId: string): void {
    if (socket.destroyed) return;
    socket.write(this.#withExtraFields(responseText(response, requestId)));
    if (CLOSES_CONNECTION.has(response)) socket.end();
    const repeatedBytes = REPEATED_BYTES[response];
    if (repeatedBytes !== undefined) writeEndlessly(socket, repeatedBytes);
    if (response === 'rejectedTwice') {
      socket.once('data', () => socket.write(responseText('rejectedTwice', requestId)));
    }
    // Arrives in place of the response to the next request.
    if (response === 'doubled') {
      socket.once('data', () => socket.write(responseText('doubled', requestId)));
    }
  }
}
