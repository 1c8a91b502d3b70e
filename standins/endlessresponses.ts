/** Endless HTTP responses, as a faulty server sends them. */
import net from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

export const FILLER = Buffer.alloc(65_536, 'x');

/** Writes the bytes repeatedly until the socket closes, respecting backpressure. */
export function writeEndlessly(socket: Socket, bytes: Buffer): void {
  while (!socket.destroyed && socket.write(bytes));
  if (!socket.destroyed) socket.once('drain', () => writeEndlessly(socket, bytes));
}

/** The head of a response whose body ends when the connection closes. */
export const ENDLESS_RESPONSE_HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n';

/** Bytes without end. `ID` in the head stands for the request's id. */
export interface EndlessForm {
  readonly head: string;
  readonly repeated: Buffer;
  /** Whether the bytes are sent as soon as a connection opens, not after a request. */
  readonly unasked?: boolean;
}

const SIGNED_HEAD = 'HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: sig\r\n';
const CHUNKED_HEAD = `${SIGNED_HEAD}Transfer-Encoding: chunked\r\n\r\n`;
const WHOLE_RESPONSE = `${SIGNED_HEAD}Content-Length: 2\r\n\r\nok`;

const repeat = (text: string): Buffer => Buffer.from(text.repeat(Math.ceil(65_536 / text.length)));

/** Every place in HTTP/1.1 in which a server's bytes may go on without end. */
export const ENDLESS_FORMS: Readonly<Record<string, EndlessForm>> = {
  noHttp: { head: '', repeated: FILLER },
  emptyLines: { head: '', repeated: repeat('\r\n') },
  version: { head: 'HTTP/1.', repeated: repeat('1') },
  statusText: { head: 'HTTP/1.1 200 ', repeated: FILLER },
  fieldName: { head: SIGNED_HEAD, repeated: FILLER },
  fieldValue: { head: `${SIGNED_HEAD}Filler: `, repeated: FILLER },
  fieldBlanks: { head: `${SIGNED_HEAD}Filler:`, repeated: repeat(' ') },
  fields: { head: SIGNED_HEAD, repeated: repeat('A: b\r\n') },
  interim: { head: '', repeated: repeat('HTTP/1.1 102 Processing\r\n\r\n') },
  interimFields: { head: '', repeated: repeat('HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n') },
  interimStatusText: { head: 'HTTP/1.1 103 ', repeated: FILLER },
  continue: { head: '', repeated: repeat('HTTP/1.1 100 Continue\r\n\r\n') },
  upgrade: {
    head: 'HTTP/1.1 101 Up\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n',
    repeated: FILLER,
  },
  bodyToClose: { head: `${SIGNED_HEAD}\r\n`, repeated: FILLER },
  bodyWithLength: { head: `${SIGNED_HEAD}Content-Length: 99999999999\r\n\r\n`, repeated: FILLER },
  chunks: { head: CHUNKED_HEAD, repeated: repeat(`1000\r\n${'x'.repeat(4_096)}\r\n`) },
  oneChunk: { head: `${CHUNKED_HEAD}FFFFFFFFFF\r\n`, repeated: FILLER },
  tinyChunks: { head: CHUNKED_HEAD, repeated: repeat('1\r\nx\r\n') },
  chunkSize: { head: CHUNKED_HEAD, repeated: repeat('0') },
  chunkExtension: { head: `${CHUNKED_HEAD}1;`, repeated: FILLER },
  chunkExtensionValue: { head: `${CHUNKED_HEAD}1;a="`, repeated: FILLER },
  chunkExtensions: { head: CHUNKED_HEAD, repeated: repeat(`1;a=${'b'.repeat(4_096)}\r\nx\r\n`) },
  trailerName: { head: `${CHUNKED_HEAD}0\r\n`, repeated: FILLER },
  trailerValue: { head: `${CHUNKED_HEAD}0\r\nFiller: `, repeated: FILLER },
  trailers: { head: `${CHUNKED_HEAD}0\r\n`, repeated: repeat('A: b\r\n') },
  noBodyAllowed: {
    head: 'HTTP/1.1 204 No Content\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n\r\n',
    repeated: FILLER,
  },
  linesAfterResponse: { head: WHOLE_RESPONSE, repeated: repeat('\r\n') },
  bytesAfterResponse: { head: WHOLE_RESPONSE, repeated: FILLER },
  interimAfterResponse: {
    head: WHOLE_RESPONSE,
    repeated: repeat('HTTP/1.1 102 Processing\r\n\r\n'),
  },
  responses: { head: '', repeated: repeat('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n') },
  unaskedLines: { head: '', repeated: repeat('\r\n'), unasked: true },
  unaskedBytes: { head: '', repeated: FILLER, unasked: true },
};

/** Responds to the first request on each connection with an endless body. */
export class EndlessResponseStandIn {
  /** Number of requests that received a response. */
  requestCount = 0;

  readonly #server: Server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      this.requestCount += 1;
      socket.write(ENDLESS_RESPONSE_HEAD);
      writeEndlessly(socket, FILLER);
    });
  });

  /** Starts listening. @returns the address. */
  start(): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(this.#server.address() as AddressInfo).port}`);
      });
    });
  }

  stop(): void {
    this.#server.close();
  }
}
