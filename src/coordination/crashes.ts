/**
 * Recognises requests that crash backend servers, by content.
 *
 * A crash makes suspects of all content that was running on the server. Non-idempotent content is
 * refused at once, so it crashes at most one server. Idempotent content may run once more, alone on
 * a server, so it crashes at most two. A second crash convicts it and clears those who were only
 * beside it. A run that ends well clears it as well. Only the entry VM that saw the first crash makes
 * that second run, so that two of them can't make it at once.
 */
import { z } from 'zod';
import { EntryVmId, Fingerprint } from '../state/index.js';

/** A suspicion that all entry VMs share. */
export const CrashRecord = z.object({
  fingerprint: Fingerprint,
  /** Crashes seen while this content was running. */
  crashes: z.number().int().nonnegative(),
  idempotent: z.boolean(),
  /** The entry VM that saw the first crash. */
  holder: EntryVmId,
  /** Names the crash, so that suspects of one crash can be cleared together. */
  crashId: z.string(),
  /** Wall time at which it lapses, in milliseconds since 1970. */
  untilMs: z.number(),
});
export type CrashRecord = z.infer<typeof CrashRecord>;

/** Work that was running on a server when it crashed. */
export interface CrashSuspect {
  readonly fingerprint: Fingerprint;
  readonly idempotent: boolean;
}

export type CrashVerdict = 'allow' | 'isolate' | 'refuse';

const CONVICTING_CRASHES = 2;

/** Time for which idempotent content stays suspect after one crash, in milliseconds. */
const SUSPICION_MS = 30_000;

/** Holds the suspicions known here. Times are wall milliseconds, since they cross machines. */
export class CrashGuard {
  readonly #self: EntryVmId;

  readonly #records = new Map<Fingerprint, CrashRecord>();

  constructor(self: EntryVmId) {
    this.#self = self;
  }

  get records(): readonly CrashRecord[] {
    return [...this.#records.values()];
  }

  /** Says whether content may run, and whether it must have a server to itself. */
  verdict(fingerprint: Fingerprint, wallMs: number): CrashVerdict {
    const record = this.#records.get(fingerprint);
    if (record === undefined || record.untilMs <= wallMs || record.crashes === 0) return 'allow';
    if (!record.idempotent || record.crashes >= CONVICTING_CRASHES) return 'refuse';
    return record.holder === this.#self ? 'isolate' : 'refuse';
  }

  /**
   * Counts a crash against everything that was running.
   *
   * @returns the records that changed, for the other entry VMs.
   */
  crashed(
    crashId: string,
    suspects: readonly CrashSuspect[],
    quarantineMs: number,
    wallMs: number,
  ): readonly CrashRecord[] {
    const changed = suspects.map((suspect) => {
      const before = this.#records.get(suspect.fingerprint);
      const live = before !== undefined && before.untilMs > wallMs && before.crashes > 0;
      const crashes = (live ? before.crashes : 0) + 1;
      const suspected = suspect.idempotent && crashes < CONVICTING_CRASHES;
      return {
        fingerprint: suspect.fingerprint,
        crashes,
        idempotent: suspect.idempotent,
        holder: live ? before.holder : this.#self,
        crashId: live ? before.crashId : crashId,
        untilMs: wallMs + (suspected ? Math.min(SUSPICION_MS, quarantineMs) : quarantineMs),
      };
    });
    const cleared = changed
      .filter((record) => record.crashes >= CONVICTING_CRASHES)
      .flatMap((record) => this.#clearBeside(record, wallMs));
    changed.forEach((record) => this.#records.set(record.fingerprint, record));
    return [...changed, ...cleared];
  }

  /** Clears content that ran to its end. @returns the cleared record, if it was suspect. */
  finished(fingerprint: Fingerprint, wallMs: number): CrashRecord | undefined {
    const record = this.#records.get(fingerprint);
    if (record === undefined || record.crashes === 0) return undefined;
    const cleared = { ...record, crashes: 0, untilMs: wallMs };
    this.#records.set(fingerprint, cleared);
    return cleared;
  }

  /** Takes in a record of another entry VM or of an operator. The agent orders versions. */
  learn(record: CrashRecord): void {
    this.#records.set(record.fingerprint, record);
  }

  /** Forgets what has lapsed. */
  expire(wallMs: number): void {
    this.#records.forEach((record, fingerprint) => {
      if (record.untilMs <= wallMs) this.#records.delete(fingerprint);
    });
  }

  #clearBeside(convicted: CrashRecord, wallMs: number): readonly CrashRecord[] {
    return this.records
      .filter((record) => record.crashId === convicted.crashId)
      .filter((record) => record.fingerprint !== convicted.fingerprint && record.crashes === 1)
      .map((record) => {
        const cleared = { ...record, crashes: 0, untilMs: wallMs };
        this.#records.set(record.fingerprint, cleared);
        return cleared;
      });
  }
}
