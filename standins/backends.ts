/**
 * A stand-in for a backend server: slots, a short queue, shedding, drain, cold start, cancellation,
 * deadlines. Its faults are switched by tests over `faults`, never by chance.
 *
 * A request asks for its own run time and answer size with `?ms=` and `?bytes=`.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { FILLER, pour } from './pours.js';

/** Faults that a test may switch. */
export interface BackendFaults {
  /** Says so at its health endpoint, and goes on serving. */
  draining: boolean;
  /** Refuses all work before running it. */
  shedding: boolean;
  /** Multiplies run times, as a cold or slow server would. */
  slowness: number;
  /** Runs that take `COLD_FACTOR` times as long, as after a cold start. */
  coldRuns: number;
  /** Closes all connections and stops listening on a request whose body or path holds this text. */
  crashOn: string | undefined;
  /** Sends half of the answer and cuts the connection. */
  truncate: boolean;
  /** Runs the request and cuts the connection before the answer. */
  loseAnswer: boolean;
  /** Sends bytes until the other end closes, also at its health endpoint: in a field or in the body. */
  endless: 'head' | 'body' | undefined;
}

/** One run, as the stand-in saw it. */
export interface BackendRun {
  readonly requestId: string | undefined;
  readonly url: string;
  readonly body: string;
}

export interface BackendOptions {
  readonly slots?: number;
  /** Requests that wait when all slots are taken; more are refused. */
  readonly queue?: number;
}

const DEFAULT_SLOTS = 3;
const DEFAULT_QUEUE = 2;
const DEFAULT_RUN_MS = 5;
const DEFAULT_BYTES = 64;
const COLD_FACTOR = 10;

export class BackendStandIn {
  readonly faults: BackendFaults = {
    draining: false,
    shedding: false,
    slowness: 1,
    coldRuns: 0,
    crashOn: undefined,
    truncate: false,
    loseAnswer: false,
    endless: undefined,
  };

  /** Runs that were started, in order. */
  readonly runs: BackendRun[] = [];

  /** Most requests that ran or waited at once. */
  peak = 0;

  crashes = 0;

  /** Bytes of the longest answer without end. */
  poured = 0;

  readonly #slots: number;

  readonly #queue: number;

  readonly #sockets = new Set<Socket>();

  /** Sockets on which nothing gets through any more. */
  readonly #silent = new WeakSet<Socket>();

  #waiting: (() => void)[] = [];

  #running = 0;

  #server: Server | undefined;

  constructor(options: BackendOptions = {}) {
    this.#slots = options.slots ?? DEFAULT_SLOTS;
    this.#queue = options.queue ?? DEFAULT_QUEUE;
  }

  /** Connections that are open. */
  get open(): number {
    return this.#sockets.size;
  }

  /** Resolves to its address. */
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

  /** Stops listening and cuts all connections. */
  close(): void {
    this.#server?.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  /** Makes all connections that are open now silent, while new ones work. */
  silenceConnections(): void {
    this.#sockets.forEach((socket) => this.#silent.add(socket));
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (this.#silent.has(req.socket)) return;
    if (req.url === '/health') {
      if (this.#isEndless(req)) return;
      const state = this.faults.draining ? 'draining' : 'serving';
      res.setHeader('content-type', 'application/json');
      res.end(JSON.stringify({ state, running: this.#running, slots: this.#slots }));
      return;
    }
    const full = this.#running + this.#waiting.length >= this.#slots + this.#queue;
    if (this.faults.shedding || full) {
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
    await this.#takeSlot();
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
    const leftMs = Number(req.headers['lovagesail-deadline-ms'] ?? Infinity);
    await this.#work(Math.min(runMs, leftMs), req);
    this.#freeSlot();
    if (runMs > leftMs) {
      req.socket.destroy();
      return;
    }
    this.#answer(req, res, Number(url.searchParams.get('bytes') ?? DEFAULT_BYTES), body);
  }

  #runMs(asked: number): number {
    const cold = this.faults.coldRuns > 0;
    if (cold) this.faults.coldRuns -= 1;
    return asked * this.faults.slowness * (cold ? COLD_FACTOR : 1);
  }

  #answer(req: IncomingMessage, res: ServerResponse, bytes: number, body: string): void {
    if (this.#silent.has(req.socket)) return;
    if (this.faults.loseAnswer) {
      req.socket.destroy();
      return;
    }
    if (this.#isEndless(req)) return;
    const text = `${req.method} ${req.url} ${body}`.padEnd(bytes, '.');
    res.writeHead(200, { 'content-type': 'text/plain', 'content-length': Buffer.byteLength(text) });
    if (!this.faults.truncate) {
      res.end(text);
      return;
    }
    res.write(text.slice(0, Math.floor(text.length / 2)));
    setImmediate(() => req.socket.destroy());
  }

  /** Begins to send bytes without end, if that is switched on. */
  #isEndless({ socket }: IncomingMessage): boolean {
    const { endless } = this.faults;
    if (endless === undefined) return false;
    socket.write(`HTTP/1.1 200 OK\r\n${endless === 'head' ? 'filler: ' : '\r\n'}`);
    pour(socket, FILLER);
    socket.once('close', () => {
      this.poured = Math.max(this.poured, socket.bytesWritten);
    });
    return true;
  }

  /** Works until the time is up, or the caller has closed the connection. */
  #work(runMs: number, req: IncomingMessage): Promise<void> {
    return new Promise((resolve) => {
      const end = (): void => {
        clearTimeout(timer);
        req.socket.off('close', end);
        resolve();
      };
      const timer = setTimeout(end, runMs);
      req.socket.once('close', end);
    });
  }

  async #takeSlot(): Promise<void> {
    if (this.#running >= this.#slots) {
      this.peak = Math.max(this.peak, this.#running + this.#waiting.length + 1);
      await new Promise<void>((resolve) => {
        this.#waiting.push(resolve);
      });
    }
    this.#running += 1;
    this.peak = Math.max(this.peak, this.#running);
  }

  #freeSlot(): void {
    this.#running -= 1;
    this.#waiting.shift()?.();
  }
}
