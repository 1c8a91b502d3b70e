/** Bytes without end, as a server in trouble sends them. */
import type { Socket } from 'node:net';

export const FILLER = Buffer.alloc(65_536, 'x');

/** Repeats bytes for as long as the other end takes them. */
export function pour(socket: Socket, bytes: Buffer): void {
  while (!socket.destroyed && socket.write(bytes));
  if (!socket.destroyed) socket.once('drain', () => pour(socket, bytes));
}
