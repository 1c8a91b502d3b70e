/** The upstreams of all backend servers. Ejects unreachable servers and probes them until they recover. */
import type { FleetView, KnownServer, LoadBalancer } from '../coordination/index.js';
import type { Dialect } from '../protocol/index.js';
import type { BackendServerId, Endpoint } from '../state/index.js';
import type { Clock } from './clocks.js';
import type { Logger } from './logs.js';
import { ResponseBufferPool } from './responsebuffers.js';
import { Upstream } from './upstreams.js';

/** Connect timeout within and between regions: allows for some round trips and one lost SYN. */
const CONNECT_TIMEOUT_MS = 700;

/** Initial and maximum backoff between two probes of an ejected server. */
const INITIAL_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 2_000;

interface PoolEntry {
  readonly address: Endpoint;
  readonly bornMs: number;
  readonly upstream: Upstream;
}

export interface UpstreamPoolOptions {
  readonly view: FleetView;
  readonly loadBalancer: LoadBalancer;
  readonly dialect: Dialect;
  readonly clock: Clock;
  readonly log: Logger;
  /** Called when an ejected server is reachable again. */
  readonly onReachable: () => void;
}

export class UpstreamPool {
  readonly #options: UpstreamPoolOptions;

  readonly #entries = new Map<BackendServerId, PoolEntry>();

  readonly #memory = new ResponseBufferPool();

  readonly #probeTimers = new Map<BackendServerId, NodeJS.Timeout>();

  readonly #crashChecks = new Map<BackendServerId, Promise<boolean>>();

  constructor(options: UpstreamPoolOptions) {
    this.#options = options;
  }

  /** Returns a server's upstream, or creates a new one if the server has moved or was restarted. */
  get({ record }: KnownServer): Upstream {
    const pooled = this.#entries.get(record.id);
    if (pooled?.address === record.address && pooled.bornMs === record.bornMs)
      return pooled.upstream;
    pooled?.upstream.close();
    const { clock, loadBalancer: placer, dialect } = this.#options;
    const upstream = new Upstream(record.address, {
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      onConnected: (tookMs) => placer.recordConnectTime(record.failureDomain, tookMs),
      isReusable: ({ status, headers }) => {
        const { notRun, misdirected } = dialect.parseServerFields(status, headers);
        // A faulty server may repeat a rejection; on another connection, it can't pass for a new one.
        return !/close/i.test(String(headers.connection ?? '')) && !notRun && !misdirected;
      },
      nowMs: () => clock().nowMs,
      memory: this.#memory,
    });
    this.#entries.set(record.id, { address: record.address, bornMs: record.bornMs, upstream });
    return upstream;
  }

  /** Ejects a server: it receives no requests until a probe connects to it. */
  eject(id: BackendServerId, reason: string): void {
    if (this.#probeTimers.has(id)) return;
    this.#options.log('serverUnreachable', { server: id, reason });
    this.#options.loadBalancer.load(id).eject(Infinity);
    this.#scheduleProbe(id, INITIAL_BACKOFF_MS);
  }

  /**
   * Whether a server that lost a request has crashed: it refuses connections although it has not announced
   * that it leaves. A server that is only cut off does not answer at all.
   */
  hasCrashed(server: KnownServer): Promise<boolean> {
    const { id } = server.record;
    const pending = this.#crashChecks.get(id);
    if (pending !== undefined) return pending;
    const check = this.get(server)
      .probe()
      .then((result) => {
        const known = this.#options.view.server(id)?.record;
        const leaving =
          known === undefined ||
          known.draining ||
          this.#options.loadBalancer.notices.isLeaving(known);
        return result === 'refused' && !leaving;
      })
      .finally(() => this.#crashChecks.delete(id));
    this.#crashChecks.set(id, check);
    return check;
  }

  /** Removes a server that is no longer registered, with its connections and load figures. */
  remove(id: BackendServerId): void {
    clearTimeout(this.#probeTimers.get(id));
    this.#probeTimers.delete(id);
    this.#entries.get(id)?.upstream.close();
    this.#entries.delete(id);
    this.#options.loadBalancer.removeServer(id);
  }

  close(): void {
    this.#probeTimers.forEach((timer) => clearTimeout(timer));
    this.#probeTimers.clear();
    this.#entries.forEach(({ upstream }) => upstream.close());
    this.#entries.clear();
  }

  #scheduleProbe(id: BackendServerId, backoffMs: number): void {
    const timer = setTimeout(() => this.#probe(id, backoffMs), backoffMs * (0.5 + Math.random()));
    this.#probeTimers.set(id, timer);
  }

  async #probe(id: BackendServerId, backoffMs: number): Promise<void> {
    const server = this.#options.view.server(id);
    if (server === undefined) {
      this.remove(id);
      return;
    }
    const reachable =
      this.#options.view.isUsable(id) && (await this.get(server).probe()) === 'reached';
    if (!this.#probeTimers.has(id)) return;
    if (!reachable) {
      this.#scheduleProbe(id, Math.min(MAX_BACKOFF_MS, backoffMs * 2));
      return;
    }
    this.#probeTimers.delete(id);
    const { view, loadBalancer: placer, clock, log } = this.#options;
    view.markCold(id, clock().nowMs);
    placer.load(id).clearWarmKeys();
    placer.load(id).eject(0);
    log('serverReached', { server: id });
    this.#options.onReachable();
  }
}
