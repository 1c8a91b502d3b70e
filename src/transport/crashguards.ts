/** Relates lost requests to crashes of the backend servers that ran them. */
import type { KnownServer } from '../coordination/index.js';
import { fingerprintOfArrival } from './exchanges.js';
import type { Exchange } from './exchanges.js';
import type { Logger } from './logs.js';
import type { NodeMetrics } from './nodemetrics.js';
import type { UpstreamPool } from './pools.js';

export interface CrashGuardOptions {
  readonly pool: UpstreamPool;
  readonly log: Logger;
  readonly metrics: NodeMetrics;
}

export class CrashGuard {
  readonly #options: CrashGuardOptions;

  constructor(options: CrashGuardOptions) {
    this.#options = options;
  }

  /** Checks whether the server that lost a request has crashed. */
  async checkServer(exchange: Exchange, server: KnownServer): Promise<void> {
    const { pool, log, metrics } = this.#options;
    if (!(await pool.hasCrashed(server))) return;
    metrics.serverCrashed();
    log('serverCrashed', {
      request: exchange.fields.requestId,
      server: server.record.id,
      bornMs: server.record.bornMs,
      fingerprint: fingerprintOfArrival(exchange),
    });
  }
}
