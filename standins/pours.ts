/** Bytes without end, as a server in trouble sends them. */
import net from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

export const FILLER = Buffer.alloc(65_536, 'x');

/** Repeats bytes for as long as the other end takes them. */
export function pour(socket: Socket, bytes: Buffer): void {
  while (!socket.destroyed && socket.write(bytes));
  if (!socket.destroyed) socket.once('drain', () => pour(socket, bytes));
}

/** The head of an answer whose body ends with its connection. */
export const ENDLESS_HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n';

/** Answers each connection's first request with a body without end. */
export class PouringStandIn {
  /** Requests answered. */
  asked = 0;

  readonly #server: Server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      this.asked += 1;
      socket.write(ENDLESS_HEAD);
      pour(socket, FILLER);
    });
  });

  /** Starts listening. @returns its address. */
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
