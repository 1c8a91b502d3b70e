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
