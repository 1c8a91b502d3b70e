/** Refuses requests whose content crashes backend servers, and relates lost requests to such crashes. */
import { serverProcess } from '../coordination/index.js';
import type {
  AttemptOutcome,
  ContentChange,
  ContentVerdict,
  CrashQuarantine,
  CrashReport,
  KnownServer,
  StoredCrashes,
} from '../coordination/index.js';
import type { EntryVmId } from '../state/index.js';
import type { Clock } from './clocks.js';
import { fingerprintOfArrival } from './exchanges.js';
import type { Arrival, Exchange } from './exchanges.js';
import type { Logger } from './logs.js';
import type { NodeMetrics } from './nodemetrics.js';
import type { UpstreamPool } from './pools.js';

export interface CrashGuardOptions {
  readonly self: EntryVmId;
  readonly quarantine: CrashQuarantine;
  readonly pool: UpstreamPool;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: NodeMetrics;
  /** Called when content is newly refused, or no longer. */
  readonly onChange: () => void;
}

/** Where evidence comes from: an entry VM, or the store. */
export type EvidenceSource = EntryVmId | 'store';

export class CrashGuard {
  readonly #options: CrashGuardOptions;

  constructor(options: CrashGuardOptions) {
    this.#options = options;
  }

  /** Decides whether a request may be sent to a server. Without any evidence, its content is not hashed. */
  verdict(arrival: Arrival): ContentVerdict {
    const { quarantine, clock } = this.#options;
    if (quarantine.size === 0) return { type: 'allow' };
    return quarantine.verdict(fingerprintOfArrival(arrival), clock().nowMs);
  }

  /** Records that a request is sent to a server. */
  recordSent(exchange: Exchange): void {
    const verdict = this.verdict(exchange);
    if (verdict.type !== 'trial') return;
    const { quarantine, clock, log } = this.#options;
    const fingerprint = fingerprintOfArrival(exchange);
    quarantine.recordTrial(fingerprint, clock().nowMs);
    const { requestId: request } = exchange.fields;
    log('contentTried', { request, fingerprint, crashes: verdict.crashes });
  }

  /** Whether the content has crashed a server before: a retry then waits for the check of this one. */
  isSuspect(exchange: Exchange): boolean {
    const { quarantine } = this.#options;
    return quarantine.size > 0 && quarantine.isSuspect(fingerprintOfArrival(exchange));
  }

  /** Records the result of an attempt that ran the request to its end. */
  recordResult(exchange: Exchange, result: AttemptOutcome): void {
    const { quarantine, clock, self } = this.#options;
    if (quarantine.size === 0 || result.type !== 'answered' || !result.genuine) return;
    const fingerprint = fingerprintOfArrival(exchange);
    this.#logChange(quarantine.recordCompletion(fingerprint, clock().nowMs), self);
  }

  /** Checks whether the server that lost a request has crashed, and records this. */
  async checkServer(exchange: Exchange, server: KnownServer): Promise<void> {
    const { pool, log, metrics, quarantine, clock, self } = this.#options;
    if (!(await pool.hasCrashed(server))) return;
    const fingerprint = fingerprintOfArrival(exchange);
    metrics.serverCrashed();
    log('serverCrashed', {
      request: exchange.fields.requestId,
      server: server.record.id,
      bornMs: server.record.bornMs,
      fingerprint,
    });
    const process = serverProcess(server.record);
    this.#logChange(quarantine.recordCrash(fingerprint, process, clock().nowMs), self);
  }

  /** Merges evidence of another entry VM. */
  merge(reports: readonly CrashReport[], from: EntryVmId, nowMs: number): void {
    this.#options.quarantine
      .merge(reports, nowMs)
      .forEach((change) => this.#logChange(change, from));
  }

  /** Adopts evidence from the store. */
  restore(stored: readonly StoredCrashes[]): void {
    const { quarantine, clock } = this.#options;
    quarantine.restore(stored, clock()).forEach((change) => this.#logChange(change, 'store'));
  }

  #logChange(change: ContentChange | undefined, source: EvidenceSource): void {
    if (change === undefined) return;
    const { log, metrics, quarantine, onChange } = this.#options;
    const { type, fingerprint, crashes } = change;
    metrics.setQuarantined(quarantine.quarantined);
    log(type === 'quarantined' ? 'contentQuarantined' : 'contentReleased', {
      fingerprint,
      crashes,
      source,
    });
    onChange();
  }
}
