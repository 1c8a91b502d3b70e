/** Turns ends of runs into suspicions, and keeps the versions under which these travel. */
import type { EntryVmId, Fingerprint, ReplicaItem } from '../state/index.js';
import { CrashGuard } from './crashes.js';
import type { CrashRecord, CrashVerdict } from './crashes.js';
import type { RunningWork } from './runs.js';
import { crashKey, crashOfItem } from './items.js';
import { ItemVersions } from './versions.js';
import type { RunId } from './works.js';

/** Time for which content is refused when its service is gone, in milliseconds. */
const DEFAULT_QUARANTINE_MS = 600_000;

export class CrashWatch {
  readonly #guard: CrashGuard;

  readonly #versions = new ItemVersions();

  /** Runs whose crash was counted when another run on the same server ended. */
  readonly #counted = new Set<RunId>();

  constructor(self: EntryVmId) {
    this.#guard = new CrashGuard(self);
  }

  get records(): readonly CrashRecord[] {
    return this.#guard.records;
  }

  verdict(fingerprint: Fingerprint, wallMs: number): CrashVerdict {
    return this.#guard.verdict(fingerprint, wallMs);
  }

  /** Forgets what has lapsed. */
  expire(wallMs: number): void {
    this.#guard.expire(wallMs);
  }

  /** Takes in a suspicion of another entry VM. @returns whether the item is one, also if old. */
  learn(item: ReplicaItem): boolean {
    const record = crashOfItem(item);
    if (record === undefined) return false;
    if (this.#versions.advance(item)) this.#guard.learn(record);
    return true;
  }

  /** A run was answered. @returns items that clear its content, if it was suspected. */
  answered(fingerprint: Fingerprint, wallMs: number): ReplicaItem[] {
    const cleared = this.#guard.finished(fingerprint, wallMs);
    return cleared === undefined ? [] : this.#items([cleared], wallMs);
  }

  /**
   * A run ended because its server crashed. One crash ends several runs and is counted once.
   *
   * @param beside - all runs on that server, this one included.
   * @returns items that changed.
   */
  crashed(
    runId: RunId,
    beside: readonly RunningWork[],
    quarantineMs = DEFAULT_QUARANTINE_MS,
    wallMs = 0,
  ): ReplicaItem[] {
    if (this.#counted.delete(runId)) return [];
    beside.filter((run) => run.runId !== runId).forEach((run) => this.#counted.add(run.runId));
    const works = beside.map((run) => run.work);
    return this.#items(this.#guard.crashed(runId, works, quarantineMs, wallMs), wallMs);
  }

  /** Items under versions above those held here, whatever the wall clock says. */
  #items(records: readonly CrashRecord[], wallMs: number): ReplicaItem[] {
    return records.map((record) => {
      const key = crashKey(record.fingerprint);
      return { key, version: this.#versions.next(key, wallMs), body: record };
    });
  }
}
