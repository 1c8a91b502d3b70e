/** Keeps evidence of content that crashes backend servers in the store, where it outlasts the entry VMs. */
import type { Result } from 'ts-results-es';
import { isOutdated } from '../coordination/index.js';
import type { CrashQuarantine, StoredCrashes } from '../coordination/index.js';
import type { FactStore, ListOptions, StoreFailure } from '../protocol/index.js';
import type { Fingerprint } from '../state/index.js';
import { pause } from './clocks.js';
import type { Clock } from './clocks.js';
import type { CrashGuard } from './crashguards.js';
import type { Logger } from './logs.js';
import type { NodeMetrics } from './nodemetrics.js';

/** Mean time between two attempts of a call that the store does not answer. */
const RETRY_DELAY_MS = 1_000;

export interface CrashArchiveOptions {
  readonly store: FactStore;
  readonly quarantine: CrashQuarantine;
  readonly crashGuard: CrashGuard;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: NodeMetrics;
}

export class CrashArchive {
  readonly #options: CrashArchiveOptions;

  readonly #stopped = new AbortController();

  /** Whether a write or removal is under way. */
  #writing = false;

  #retryMs = -Infinity;

  constructor(options: CrashArchiveOptions) {
    this.#options = options;
  }

  /** Reads the evidence when the entry VM starts. A list that is seconds old costs the store less. */
  start(): void {
    this.#read({ mayBeStale: true });
  }

  stop(): void {
    this.#stopped.abort();
  }

  /**
   * Reads the newest evidence and removes what is too old. For the few entry VMs that watch the store: the
   * others hear from them what their own first list lacked.
   */
  async refresh(): Promise<void> {
    const { clock } = this.#options;
    const stored = await this.#read({});
    const outdated = stored.filter((evidence) => isOutdated(evidence, clock()));
    for (const { fingerprint } of outdated) await this.#remove(fingerprint);
  }

  /** Writes new evidence, and removes evidence of content that is no longer refused. */
  async sync(): Promise<void> {
    const { quarantine, store, clock, log } = this.#options;
    if (this.#writing || clock().nowMs < this.#retryMs) return;
    this.#writing = true;
    for (const evidence of quarantine.unsavedCrashes(clock())) {
      const { fingerprint, crashes } = evidence;
      if (this.#recordWrite(fingerprint, await store.saveCrashes(evidence))) {
        quarantine.recordSaved(evidence);
        log('crashesSaved', { fingerprint, crashes });
      }
    }
    for (const fingerprint of quarantine.obsoleteCrashes(clock().nowMs)) {
      if (await this.#remove(fingerprint)) quarantine.recordRemoved(fingerprint);
    }
    this.#writing = false;
  }

  async #remove(fingerprint: Fingerprint): Promise<boolean> {
    const { store, log } = this.#options;
    if (!this.#recordWrite(fingerprint, await store.removeCrashes(fingerprint))) return false;
    log('crashesRemoved', { fingerprint });
    return true;
  }

  /** Lists the evidence until the store answers, and adopts it. */
  async #read(options: ListOptions): Promise<readonly StoredCrashes[]> {
    const { store, crashGuard, log } = this.#options;
    const { signal } = this.#stopped;
    for (let attempt = 0; !signal.aborted; attempt += 1) {
      const listed = await store.crashes({ ...options, signal });
      this.#countCall(listed.isErr() ? listed.error : undefined);
      if (listed.isOk()) {
        const { crashes, unreadable } = listed.value;
        unreadable.forEach(({ name, issue }) => log('factUnreadable', { name, issue }));
        crashGuard.restore(crashes);
        return crashes;
      }
      if (attempt === 0) log('crashesUnread', { failure: listed.error });
      await pause(RETRY_DELAY_MS * (0.5 + Math.random()), signal);
    }
    return [];
  }

  /** Records the result of a write. @returns whether it succeeded. */
  #recordWrite(fingerprint: Fingerprint, result: Result<unknown, StoreFailure>): boolean {
    const failure = result.isErr() ? result.error : undefined;
    this.#countCall(failure);
    if (failure === undefined) return true;
    this.#options.log('crashesUnsaved', { fingerprint, failure });
    this.#retryMs = this.#options.clock().nowMs + RETRY_DELAY_MS * (0.5 + Math.random());
    return false;
  }

  #countCall(failure: StoreFailure | undefined): void {
    const { metrics, clock } = this.#options;
    metrics.countStoreCall(failure ?? 'done', clock().nowMs);
  }
}
