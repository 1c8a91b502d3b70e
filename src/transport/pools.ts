/** The upstreams to all backend servers, and the trying of those that can't be reached. */
import type { FleetView, KnownServer, Placer } from '../coordination/index.js';
import type { Dialect } from '../protocol/index.js';
import type { BackendServerId, Endpoint } from '../state/index.js';
import type { Clock } from './clocks.js';
import type { Logger } from './logs.js';
import { AnswerMemory } from './answermemories.js';
import { Upstream } from './upstreams.js';

/** Time for a connection within a region and beyond, in milliseconds: some round trips and a SYN. */
const CONNECT_TIMEOUT_MS = 700;

/** First and longest pause between two tries to reach a server, in milliseconds. */
const FIRST_PAUSE_MS = 250;
const LONGEST_PAUSE_MS = 2_000;

interface Pooled {
  readonly address: Endpoint;
  readonly bornMs: number;
  readonly upstream: Upstream;
}

export interface PoolOptions {
  readonly view: FleetView;
  readonly placer: Placer;
  readonly dialect: Dialect;
  readonly clock: Clock;
  readonly log: Logger;
  /** Told when a server can be reached again. */
  readonly onReached: () => void;
}

export class UpstreamPool {
  readonly #options: PoolOptions;

  readonly #pooled = new Map<BackendServerId, Pooled>();

  readonly #memory = new AnswerMemory();

  readonly #trying = new Map<BackendServerId, NodeJS.Timeout>();

  constructor(options: PoolOptions) {
    this.#options = options;
  }

  /** The upstream to a server; a new one when the server has moved or was started again. */
  get({ record }: KnownServer): Upstream {
    const known = this.#pooled.get(record.id);
    if (known?.address === record.address && known.bornMs === record.bornMs) return known.upstream;
    known?.upstream.close();
    const { clock, placer, dialect } = this.#options;
    const upstream = new Upstream(record.address, {
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      onConnected: (tookMs) => placer.connected(record.failureDomain, tookMs),
      isClean: ({ status, headers }) =>
        !/close/i.test(String(headers.connection ?? '')) &&
        !dialect.readServer(status, headers).otherServer,
      nowMs: () => clock().nowMs,
      memory: this.#memory,
    });
    this.#pooled.set(record.id, { address: record.address, bornMs: record.bornMs, upstream });
    return upstream;
  }

  /** Keeps work from a server until a connection to it succeeds. */
  rest(id: BackendServerId, reason: string): void {
    if (this.#trying.has(id)) return;
    this.#options.log('serverUnreachable', { server: id, reason });
    this.#options.placer.load(id).rest(Infinity);
    this.#tryLater(id, FIRST_PAUSE_MS);
  }

  /** Lets go of a server that is gone. */
  forget(id: BackendServerId): void {
    clearTimeout(this.#trying.get(id));
    this.#trying.delete(id);
    this.#pooled.get(id)?.upstream.close();
    this.#pooled.delete(id);
    this.#options.placer.forget(id);
  }

  close(): void {
    this.#trying.forEach((timer) => clearTimeout(timer));
    this.#trying.clear();
    this.#pooled.forEach(({ upstream }) => upstream.close());
    this.#pooled.clear();
  }

  #tryLater(id: BackendServerId, pauseMs: number): void {
    const timer = setTimeout(() => this.#try(id, pauseMs), pauseMs * (0.5 + Math.random()));
    this.#trying.set(id, timer);
  }

  async #try(id: BackendServerId, pauseMs: number): Promise<void> {
    const server = this.#options.view.server(id);
    if (server === undefined) {
      this.forget(id);
      return;
    }
    const reached = this.#options.view.mayUse(id) && (await this.get(server).reach());
    if (!this.#trying.has(id)) return;
    if (!reached) {
      this.#tryLater(id, Math.min(LONGEST_PAUSE_MS, pauseMs * 2));
      return;
    }
    this.#trying.delete(id);
    const { view, placer, clock, log } = this.#options;
    view.markCold(id, clock().nowMs);
    placer.load(id).cooled();
    placer.load(id).rest(0);
    log('serverReached', { server: id });
    this.#options.onReached();
  }
}
