/** Callers over plain connections that press on an entry VM. */
import net from 'node:net';

export function connectTo(address: string): net.Socket {
  const [host, port] = address.split(':');
  return net.connect({ host, port: Number(port) }).on('error', () => undefined);
}

export interface PressingOptions {
  /** The next request's head and body. */
  readonly text: () => string;
  /** Time from the end of a connection to the next one, in milliseconds. */
  readonly comeBackMs: number;
}

/** A caller that sends the next request as soon as the one before is answered. */
export class PressingCaller {
  readonly #address: string;

  readonly #options: PressingOptions;

  #socket: net.Socket | undefined;

  #stopped = false;

  served = 0;

  constructor(address: string, options: Pick<PressingOptions, 'text'> & Partial<PressingOptions>) {
    this.#address = address;
    this.#options = { comeBackMs: 0, ...options };
    this.#open();
  }

  stop(): void {
    this.#stopped = true;
    this.#socket?.destroy();
  }

  #open(): void {
    if (this.#stopped) return;
    const socket = connectTo(this.#address);
    this.#socket = socket;
    socket.on('data', (bytes: Buffer) => {
      const text = bytes.toString();
      // What does not begin so is the rest of a body.
      if (!text.startsWith('HTTP/1.1')) return;
      if (text.startsWith('HTTP/1.1 200')) this.served += 1;
      if (/^connection: close/im.test(text)) socket.destroy();
      else socket.write(this.#options.text());
    });
    socket.on('close', () => setTimeout(() => this.#open(), this.#options.comeBackMs));
    socket.write(this.#options.text());
  }
}

export function servedOf(callers: readonly PressingCaller[]): number {
  return callers.reduce((sum, caller) => sum + caller.served, 0);
}
