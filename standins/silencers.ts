/**
 * A TCP relay that loses track of its connections on demand, as a stateful device between two machines
 * does: those that are open carry nothing more and are never closed; new ones work.
 */
import net from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

export class SilencerStandIn {
  readonly #target: { readonly host: string; readonly port: number };

  readonly #sockets = new Set<Socket>();

  #open = new Set<Socket>();

  readonly #server: Server = net.createServer((socket) => this.#relay(socket));

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

  /** Connections that carry bytes. */
  get open(): number {
    return this.#open.size;
  }

  /** Carries nothing more on connections that are open now. */
  silence(): void {
    this.#open.forEach((socket) => {
      socket.unpipe();
      socket.pause();
    });
    this.#open = new Set();
  }

  stop(): void {
    this.#sockets.forEach((socket) => socket.destroy());
    this.#server.close();
  }

  #relay(socket: Socket): void {
    const behind = net.connect(this.#target);
    [socket, behind].forEach((end, i, ends) => {
      const other = ends[1 - i] as Socket;
      this.#sockets.add(end);
      this.#open.add(end);
      end.on('error', () => undefined);
      end.on('close', () => {
        this.#sockets.delete(end);
        if (this.#open.delete(end)) other.destroy();
      });
      end.pipe(other);
    });
  }
}
