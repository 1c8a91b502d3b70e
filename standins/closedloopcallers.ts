/** Closed-loop callers over raw connections that overload an entry VM. */
import net from 'node:net';

export function connectTo(address: string): net.Socket {
  const [host, port] = address.split(':');
  return net.connect({ host, port: Number(port) }).on('error', () => undefined);
}

export interface ClosedLoopOptions {
  /** Returns the head and body of the next request. */
  readonly text: () => string;
  /** Delay before reconnecting after a connection closes, in milliseconds. */
  readonly reconnectDelayMs: number;
}

/** A caller that sends the next request as soon as it receives the previous response. */
export class ClosedLoopCaller {
  readonly #address: string;

  readonly #options: ClosedLoopOptions;

  #socket: net.Socket | undefined;

  #stopped = false;

  /** Number of responses with status 200. */
  served = 0;

  constructor(
    address: string,
    options: Pick<ClosedLoopOptions, 'text'> & Partial<ClosedLoopOptions>,
  ) {
    this.#address = address;
    this.#options = { reconnectDelayMs: 0, ...options };
    this.#connect();
  }

  stop(): void {
    this.#stopped = true;
    this.#socket?.destroy();
  }

  #connect(): void {
    if (this.#stopped) return;
    const socket = connectTo(this.#address);
    this.#socket = socket;
    socket.on('data', (bytes: Buffer) => {
      const text = bytes.toString();
      // Data without a status line is the remainder of a body.
      if (!text.startsWith('HTTP/1.1')) return;
      if (text.startsWith('HTTP/1.1 200')) this.served += 1;
      if (/^connection: close/im.test(text)) socket.destroy();
      else socket.write(this.#options.text());
    });
    socket.on('close', () => setTimeout(() => this.#connect(), this.#options.reconnectDelayMs));
    socket.write(this.#options.text());
  }
}

export function totalServed(callers: readonly ClosedLoopCaller[]): number {
  return callers.reduce((sum, caller) => sum + caller.served, 0);
}
