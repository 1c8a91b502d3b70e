/** A TCP relay between two machines that simulates network faults on demand. */
import { once } from 'node:events';
import net from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

/** Direction through the relay: to the target or back to the client. */
export type Direction = 'there' | 'back';

const POLL_MS = 10;

export class RelayStandIn {
  /** One-way delay of bytes in milliseconds, applied in both directions. */
  delayMs = 0;

  /** Directions in which bytes are held back. They are forwarded afterwards, unless the sender resets its connection. */
  readonly stalled = new Set<Direction>();

  readonly #target: { readonly host: string; readonly port: number };

  readonly #sockets = new Set<Socket>();

  #forwarding = new Set<Socket>();

  readonly #server: Server = net.createServer({ allowHalfOpen: true }, (socket) =>
    this.#relay(socket),
  );

  /** @param target - host and port to which connections are relayed. */
  constructor(target: string) {
    const [host = '', port = ''] = target.split(':');
    this.#target = { host, port: Number(port) };
  }

  /** Starts listening. @returns the address. */
  start(): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(this.#server.address() as AddressInfo).port}`);
      });
    });
  }

  /** Number of sockets that forward bytes: two for each relayed connection. */
  get forwardingSockets(): number {
    return this.#forwarding.size;
  }

  /**
   * Stops forwarding on connections that are open now without closing them, as when a stateful network
   * device has lost its state. New connections work.
   */
  silenceConnections(): void {
    this.#forwarding = new Set();
  }

  /** Resets the connections that are open now, except silenced ones. */
  resetConnections(): void {
    this.#forwarding.forEach((socket) => socket.resetAndDestroy());
  }

  stop(): void {
    this.#sockets.forEach((socket) => socket.destroy());
    this.#server.close();
  }

  #relay(socket: Socket): void {
    const upstream = net.connect({ ...this.#target, allowHalfOpen: true });
    [socket, upstream].forEach((endpoint) => {
      this.#sockets.add(endpoint);
      this.#forwarding.add(endpoint);
      endpoint.on('error', () => undefined);
      endpoint.on('close', () => {
        this.#sockets.delete(endpoint);
        this.#forwarding.delete(endpoint);
      });
    });
    this.#forward(socket, upstream, 'there');
    this.#forward(upstream, socket, 'back');
  }

  async #forward(from: Socket, to: Socket, direction: Direction): Promise<void> {
    try {
      for await (const bytes of from.iterator({ destroyOnReturn: false })) {
        if (!(await this.#waitUntilForwardable(from, direction))) return;
        if (!to.write(bytes as Buffer)) await once(to, 'drain');
      }
      if (await this.#waitUntilForwardable(from, direction)) to.end();
    } catch {
      if (this.#forwarding.has(to)) to.resetAndDestroy();
    }
  }

  /** Waits out delays and stalls. @returns false if the connection was silenced, so bytes never pass. */
  async #waitUntilForwardable(from: Socket, direction: Direction): Promise<boolean> {
    const wasForwarding = this.#forwarding.has(from);
    if (this.delayMs > 0) await pause(this.delayMs);
    while (this.stalled.has(direction) && from.errored === null) await pause(POLL_MS);
    if (from.errored !== null) throw from.errored;
    return wasForwarding && (this.#forwarding.has(from) || from.destroyed);
  }
}
