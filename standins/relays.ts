/** A TCP relay between two machines that misbehaves on demand, as the network between them does. */
import { once } from 'node:events';
import net from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

/** A way through the relay: towards the target, or back. */
export type Way = 'there' | 'back';

const POLL_MS = 10;

export class RelayStandIn {
  /** By how much bytes are late, each way, in milliseconds. */
  delayMs = 0;

  /** On which ways bytes wait; they pass once it is over, unless their sender has reset its connection. */
  readonly cut = new Set<Way>();

  readonly #target: { readonly host: string; readonly port: number };

  readonly #sockets = new Set<Socket>();

  #open = new Set<Socket>();

  readonly #server: Server = net.createServer({ allowHalfOpen: true }, (socket) =>
    this.#relay(socket),
  );

  /** @param target - host and port behind it. */
  constructor(target: string) {
    const [host = '', port = ''] = target.split(':');
    this.#target = { host, port: Number(port) };
  }

  /** Starts listening. @returns its address. */
  start(): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(this.#server.address() as AddressInfo).port}`);
      });
    });
  }

  /** Connections that carry bytes, both ends of each. */
  get open(): number {
    return this.#open.size;
  }

  /**
   * Carries nothing more on connections that are open now, and does not close them: a stateful device in
   * between has lost track of them. New ones work.
   */
  silence(): void {
    this.#open = new Set();
  }

  /** Resets the connections that are open now, except silent ones. */
  reset(): void {
    this.#open.forEach((socket) => socket.resetAndDestroy());
  }

  stop(): void {
    this.#sockets.forEach((socket) => socket.destroy());
    this.#server.close();
  }

  #relay(socket: Socket): void {
    const behind = net.connect({ ...this.#target, allowHalfOpen: true });
    [socket, behind].forEach((end) => {
      this.#sockets.add(end);
      this.#open.add(end);
      end.on('error', () => undefined);
      end.on('close', () => {
        this.#sockets.delete(end);
        this.#open.delete(end);
      });
    });
    this.#carry(socket, behind, 'there');
    this.#carry(behind, socket, 'back');
  }

  async #carry(from: Socket, to: Socket, way: Way): Promise<void> {
    try {
      for await (const bytes of from.iterator({ destroyOnReturn: false })) {
        if (!(await this.#pass(from, way))) return;
        if (!to.write(bytes as Buffer)) await once(to, 'drain');
      }
      if (await this.#pass(from, way)) to.end();
    } catch {
      if (this.#open.has(to)) to.resetAndDestroy();
    }
  }

  /** Waits until bytes may pass. False when they never will, since their connection is silent. */
  async #pass(from: Socket, way: Way): Promise<boolean> {
    const isOpen = this.#open.has(from);
    if (this.delayMs > 0) await pause(this.delayMs);
    while (this.cut.has(way) && from.errored === null) await pause(POLL_MS);
    if (from.errored !== null) throw from.errored;
    return isOpen && (this.#open.has(from) || from.destroyed);
  }
}
