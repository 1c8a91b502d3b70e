/**
 * A stand-in for a backend server: slots, a short queue, load shedding, draining, cold start, cancellation
 * and deadlines. Tests enable its faults through `faults`; no fault is random.
 *
 * A request sets its run time and response size with `?ms=` and `?bytes=`.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { FILLER, writeEndlessly } from './endlessresponses.js';

/** Faults that a test can enable. */
export interface BackendFaults {
  /** Reports draining at the health endpoint and continues to serve requests. */
  draining: boolean;
  /** Rejects every request before running it. */
  shedding: boolean;
  /** Factor applied to run times, as for a cold or slow server. */
  slowness: number;
  /** Number of next runs that last `COLD_START_FACTOR` times as long, as after a cold start. */
  coldRuns: number;
  /** Closes all connections and stops listening on a request whose body or path contains this text. */
  crashOn: string | undefined;
  /** Sends half of the response and closes the connection. */
  truncateResponse: boolean;
  /** Runs the request and closes the connection before the response. */
  dropResponse: boolean;
  /** Sends bytes in a header field or in the body until the peer closes; also at the health endpoint. */
  endlessResponse: 'head' | 'body' | undefined;
}

/** One request that the stand-in ran. */
export interface BackendRun {
  readonly requestId: string | undefined;
  readonly url: string;
  readonly body: string;
}

export interface BackendOptions {
  readonly slots?: number;
  /** Maximum number of requests that wait while all slots are in use; more are rejected. */
  readonly queueLength?: number;
}

const DEFAULT_SLOTS = 3;
const DEFAULT_QUEUE = 2;
const DEFAULT_RUN_MS = 5;
const DEFAULT_RESPONSE_BYTES = 64;
const COLD_START_FACTOR = 10;

export class BackendStandIn {
  readonly faults: BackendFaults = {
    draining: false,
    shedding: false,
    slowness: 1,
    coldRuns: 0,
    crashOn: undefined,
    truncateResponse: false,
    dropResponse: false,
    endlessResponse: undefined,
  };

  /** Runs in the order in which they started. */
  readonly runs: BackendRun[] = [];

  /** Maximum number of requests that ran or waited at the same time. */
  peakInFlight = 0;

  crashes = 0;

  /** Bytes sent in the longest endless response. */
  endlessBytesSent = 0;

  readonly #slots: number;

  readonly #queue: number;

  readonly #sockets = new Set<Socket>();

  /** Sockets on which the stand-in no longer responds. */
  readonly #silentSockets = new WeakSet<Socket>();

  #slotWaiters: (() => void)[] = [];

  #running = 0;

  #server: Server | undefined;

  constructor(options: BackendOptions = {}) {
    this.#slots = options.slots ?? DEFAULT_SLOTS;
    this.#queue = options.queueLength ?? DEFAULT_QUEUE;
  }

  /** Number of open connections. */
  get openConnections(): number {
    return this.#sockets.size;
  }

  /** Starts listening. @returns the address. */
  listen(port = 0): Promise<string> {
    const server = createServer((req, res) => {
      this.#serve(req, res).catch(() => res.destroy());
    });
    server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
    });
    this.#server = server;
    return new Promise((resolve) => {
      server.listen(port, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
      });
    });
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server?.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  /** Stops responding on all connections that are open now; new connections work. */
  silenceConnections(): void {
    this.#sockets.forEach((socket) => this.#silentSockets.add(socket));
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (this.#silentSockets.has(req.socket)) return;
    if (req.url === '/health') {
      if (this.#startEndlessResponse(req)) return;
      const state = this.faults.draining ? 'draining' : 'serving';
      res.setHeader('content-type', 'application/json');
      res.end(JSON.stringify({ state, running: this.#running, slots: this.#slots }));
      return;
    }
    const isFull = this.#running + this.#slotWaiters.length >= this.#slots + this.#queue;
    if (this.faults.shedding || isFull) {
      res.writeHead(503, { 'retry-after': '0' }).end();
      return;
    }
    await this.#run(req, res);
  }

  async #run(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://stand-in');
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk as Buffer);
    const body = Buffer.concat(chunks).toString();
    await this.#acquireSlot();
    const requestId = req.headers['idempotency-key'];
    this.runs.push({
      requestId: Array.isArray(requestId) ? requestId[0] : requestId,
      url: req.url ?? '',
      body,
    });
    const { crashOn } = this.faults;
    if (crashOn !== undefined && `${req.url}${body}`.includes(crashOn)) {
      this.crashes += 1;
      this.close();
      return;
    }
    const runMs = this.#runMs(Number(url.searchParams.get('ms') ?? DEFAULT_RUN_MS));
    const remainingMs = Number(req.headers['lovagesail-deadline-ms'] ?? Infinity);
    await this.#simulateRun(Math.min(runMs, remainingMs), req);
    this.#releaseSlot();
    if (runMs > remainingMs) {
      req.socket.destroy();
      return;
    }
    this.#respond(req, res, Number(url.searchParams.get('bytes') ?? DEFAULT_RESPONSE_BYTES), body);
  }

  #runMs(requestedMs: number): number {
    const isCold = this.faults.coldRuns > 0;
    if (isCold) this.faults.coldRuns -= 1;
    return requestedMs * this.faults.slowness * (isCold ? COLD_START_FACTOR : 1);
  }

  #respond(req: IncomingMessage, res: ServerResponse, bytes: number, body: string): void {
    if (this.#silentSockets.has(req.socket)) return;
    if (this.faults.dropResponse) {
      req.socket.destroy();
      return;
    }
    if (this.#startEndlessResponse(req)) return;
    const text = `${req.method} ${req.url} ${body}`.padEnd(bytes, '.');
    res.writeHead(200, { 'content-type': 'text/plain', 'content-length': Buffer.byteLength(text) });
    if (!this.faults.truncateResponse) {
      res.end(text);
      return;
    }
    res.write(text.slice(0, Math.floor(text.length / 2)));
    setImmediate(() => req.socket.destroy());
  }

  /** Starts an endless response if that fault is enabled. @returns whether it did. */
  #startEndlessResponse({ socket }: IncomingMessage): boolean {
    const { endlessResponse } = this.faults;
    if (endlessResponse === undefined) return false;
    socket.write(`HTTP/1.1 200 OK\r\n${endlessResponse === 'head' ? 'filler: ' : '\r\n'}`);
    writeEndlessly(socket, FILLER);
    socket.once('close', () => {
      this.endlessBytesSent = Math.max(this.endlessBytesSent, socket.bytesWritten);
    });
    return true;
  }

  /** Waits for the run time, or until the caller closes the connection. */
  #simulateRun(runMs: number, req: IncomingMessage): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        req.socket.off('close', finish);
        resolve();
      };
      const timer = setTimeout(finish, runMs);
      req.socket.once('close', finish);
    });
  }

  async #acquireSlot(): Promise<void> {
    if (this.#running >= this.#slots) {
      this.peakInFlight = Math.max(this.peakInFlight, this.#running + this.#slotWaiters.length + 1);
      await new Promise<void>((resolve) => {
        this.#slotWaiters.push(resolve);
      });
    }
    this.#running += 1;
    this.peakInFlight = Math.max(this.peakInFlight, this.#running);
  }

  #releaseSlot(): void {
    this.#running -= 1;
    this.#slotWaiters.shift()?.();
  }
}
