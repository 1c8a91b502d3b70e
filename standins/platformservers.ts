/**
 * A stand-in for a backend server of the users' platform, on bare sockets, so that it can break off,
 * spoil or withhold its answers. Each answer takes the next of `answers`, or the usual one.
 */
import net from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { FILLER, pour } from './pours.js';

/** How one request is answered. */
export type PlatformAnswer =
  /** Whole, with its length. */
  | 'whole'
  /** Runs it, and closes without an answer. */
  | 'lost'
  /** Half of an answer that states its length. */
  | 'truncated'
  /** Whole, without a length. */
  | 'unframed'
  /** Half, without a length. */
  | 'unframedCut'
  /** Whole; the same answer comes again where the next one is expected. */
  | 'doubled'
  /** A success that bears another request's id. */
  | 'foreign'
  /** A success without the server's signature. */
  | 'unsigned'
  /** Says that it did not run it. */
  | 'rejected'
  /** Is another server than the one that was meant. */
  | 'misdirected'
  /** Runs it and fails. */
  | 'failed'
  /** Runs it and says nothing. */
  | 'silent'
  /**
   * Bytes until the other end closes: in place of a status, in a field, in a body without a length, in
   * chunks, in chunks of one byte.
   */
  | 'endlessStatus'
  | 'endlessHead'
  | 'endlessBody'
  | 'endlessChunks'
  | 'endlessCrumbs';

/** A request as it arrived. */
export interface PlatformRun {
  readonly requestId: string;
  readonly line: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly answer: PlatformAnswer;
}

const BODY = 'the whole answer';

function answerOf(kind: PlatformAnswer, requestId: string): string {
  const id = `Request-Id: ${requestId}\r\n`;
  const signed = `${id}Response-Signature: sig\r\nBackend-Load: 1,0,3\r\n`;
  const framed = `Content-Length: ${BODY.length}\r\n\r\n`;
  const empty = 'Content-Length: 0\r\n\r\n';
  switch (kind) {
    case 'whole':
      return `HTTP/1.1 200 OK\r\n${signed}${framed}${BODY}`;
    case 'doubled':
      return `HTTP/1.1 200 OK\r\n${signed}${framed}${BODY}`;
    case 'truncated':
      return `HTTP/1.1 200 OK\r\n${signed}${framed}${BODY.slice(0, 5)}`;
    case 'unframed':
      return `HTTP/1.1 200 OK\r\n${signed}\r\n${BODY}`;
    case 'unframedCut':
      return `HTTP/1.1 200 OK\r\n${signed}\r\n${BODY.slice(0, 5)}`;
    case 'foreign':
      return `HTTP/1.1 200 OK\r\n${signed.replace(requestId, 'another')}${framed}${BODY}`;
    case 'unsigned':
      return `HTTP/1.1 200 OK\r\n${id}${framed}${BODY}`;
    case 'rejected':
      return `HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n${empty}`;
    case 'misdirected':
      return `HTTP/1.1 421 Misdirected Request\r\nInstance-Id: other\r\n${empty}`;
    case 'failed':
      return `HTTP/1.1 500 Internal Server Error\r\n${signed}${empty}`;
    case 'endlessStatus':
      return 'HTTP/1.1 200 ';
    case 'endlessHead':
      return `HTTP/1.1 200 OK\r\n${signed}Filler: `;
    case 'endlessBody':
      return `HTTP/1.1 200 OK\r\n${signed}\r\n`;
    case 'endlessChunks':
    case 'endlessCrumbs':
      return `HTTP/1.1 200 OK\r\n${signed}Transfer-Encoding: chunked\r\n\r\n`;
    case 'lost':
    case 'silent':
      return '';
    default:
      return kind satisfies never;
  }
}

/** What an endless answer repeats. */
const ENDLESS: Readonly<Partial<Record<PlatformAnswer, Buffer>>> = {
  endlessStatus: FILLER,
  endlessHead: FILLER,
  endlessBody: FILLER,
  endlessChunks: Buffer.concat([Buffer.from('10000\r\n'), FILLER, Buffer.from('\r\n')]),
  endlessCrumbs: Buffer.from('1\r\nx\r\n'.repeat(10_000)),
};

const CLOSING = new Set<PlatformAnswer>(['lost', 'truncated', 'unframed', 'unframedCut']);

export class PlatformServerStandIn {
  readonly runs: PlatformRun[] = [];

  /** How the next requests are answered. */
  readonly answers: PlatformAnswer[] = [];

  /** Time of a run, in milliseconds. */
  workMs = 1;

  /** Connections whose other end went away while a request ran. */
  abandoned = 0;

  connections = 0;

  readonly #sockets = new Set<Socket>();

  readonly #server: Server = net.createServer((socket) => this.#accept(socket));

  /** Connections that are open. */
  get open(): number {
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

  #accept(socket: Socket): void {
    this.connections += 1;
    this.#sockets.add(socket);
    let text = '';
    let running = false;
    socket.on('close', () => {
      this.#sockets.delete(socket);
      if (running) this.abandoned += 1;
    });
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      text += bytes.toString();
      const end = text.indexOf('\r\n\r\n');
      if (end < 0) return;
      const [line = '', ...rest] = text.slice(0, end).split('\r\n');
      const headers = Object.fromEntries(
        rest.map((field) => {
          const at = field.indexOf(':');
          return [field.slice(0, at).toLowerCase(), field.slice(at + 1).trim()];
        }),
      ) as Record<string, string>;
      const body = text.slice(end + 4);
      if (body.length < Number(headers['content-length'] ?? 0)) return;
      text = '';
      running = true;
      const requestId = headers['request-id'] ?? '';
      const answer = this.answers.shift() ?? 'whole';
      this.runs.push({ requestId, line, headers, body, answer });
      if (answer === 'silent') return;
      setTimeout(() => {
        running = false;
        this.#answer(socket, answer, requestId);
      }, this.workMs);
    });
  }

  #answer(socket: Socket, answer: PlatformAnswer, requestId: string): void {
    if (socket.destroyed) return;
    socket.write(answerOf(answer, requestId));
    if (CLOSING.has(answer)) socket.end();
    const endless = ENDLESS[answer];
    if (endless !== undefined) pour(socket, endless);
    // Comes late, where the answer to the next request is expected.
    if (answer === 'doubled') {
      socket.once('data', () => socket.write(answerOf('doubled', requestId)));
    }
  }
}
