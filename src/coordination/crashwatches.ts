/** Updates crash suspects from run results, and versions their replicated items. */
import type { EntryVmId, Fingerprint, ReplicaItem } from '../state/index.js';
import { CrashSuspects } from './crashes.js';
import type { CrashRecord, CrashVerdict } from './crashes.js';
import type { RunningRequest } from './dispatchstates.js';
import { crashKey, parseCrashItem } from './replicaitems.js';
import { ItemVersions } from './itemversions.js';
import type { RunId } from './dispatchrequests.js';

/** Quarantine when the service is no longer in the settings. */
const DEFAULT_QUARANTINE_MS = 600_000;

export class CrashTracker {
  readonly #suspects: CrashSuspects;

  readonly #versions = new ItemVersions();

  /** Runs whose crash was already counted by another run on the same server. */
  readonly #countedRuns = new Set<RunId>();

  constructor(self: EntryVmId) {
    this.#suspects = new CrashSuspects(self);
  }

  get records(): readonly CrashRecord[] {
    return this.#suspects.records;
  }

  verdict(fingerprint: Fingerprint, wallMs: number): CrashVerdict {
    return this.#suspects.verdict(fingerprint, wallMs);
  }

  /** Removes expired records. */
  expire(wallMs: number): void {
    this.#suspects.expire(wallMs);
  }

  /** Applies a replicated crash record. @returns whether the item is one, even if stale. */
  applyItem(item: ReplicaItem): boolean {
    const record = parseCrashItem(item);
    if (record === undefined) return false;
    if (this.#versions.advance(item)) this.#suspects.applyRecord(record);
    return true;
  }

  /** Records a successful run. @returns items that clear its content, if it was suspect. */
  answered(fingerprint: Fingerprint, wallMs: number): ReplicaItem[] {
    const cleared = this.#suspects.clear(fingerprint, wallMs);
    return cleared === undefined ? [] : this.#toItems([cleared], wallMs);
  }

  /**
   * Records a run that ended by a server crash. A crash may end several runs but counts once.
   *
   * @param concurrentRuns - all runs on that server, including this one.
   * @returns the changed items.
   */
  crashed(
    runId: RunId,
    concurrentRuns: readonly RunningRequest[],
    quarantineMs = DEFAULT_QUARANTINE_MS,
    wallMs = 0,
  ): ReplicaItem[] {
    if (this.#countedRuns.delete(runId)) return [];
    concurrentRuns
      .filter((run) => run.runId !== runId)
      .forEach((run) => this.#countedRuns.add(run.runId));
    const suspects = concurrentRuns.map((run) => run.work);
    return this.#toItems(this.#suspects.recordCrash(runId, suspects, quarantineMs, wallMs), wallMs);
  }

  /** Builds items with versions above the recorded ones, even if the wall clock is behind. */
  #toItems(records: readonly CrashRecord[], wallMs: number): ReplicaItem[] {
    return records.map((record) => {
      const key = crashKey(record.fingerprint);
      return { key, version: this.#versions.next(key, wallMs), body: record };
    });
  }
}
