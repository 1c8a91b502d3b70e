/**
 * Identifies requests that crash backend servers, by content fingerprint.
 *
 * A crash marks all content that was running on the server as suspect. Non-idempotent suspects are
 * refused at once, so they crash at most one server. Idempotent suspects may run once more, isolated
 * on a server, so they crash at most two. A second crash confirms a suspect and clears the other
 * suspects of the first crash. A successful run clears a suspect as well. Only the entry VM that saw
 * the first crash makes the isolated run, so that two entry VMs never make it at once.
 */
import * as z from 'zod';
import { EntryVmId, Fingerprint } from '../state/index.js';

/** A crash suspect, replicated to all entry VMs. */
export const CrashRecord = z.object({
  fingerprint: Fingerprint,
  /** Server crashes while this content was running; 0 if cleared. */
  crashes: z.number().int().nonnegative(),
  idempotent: z.boolean(),
  /** The entry VM that saw the first crash. */
  holder: EntryVmId,
  /** Identifies the first crash, so that its suspects can be cleared together. */
  crashId: z.string(),
  /** Wall-clock time at which the record expires, in milliseconds since 1970. */
  untilMs: z.number(),
});
export type CrashRecord = z.infer<typeof CrashRecord>;

/** A request that was running on a server when it crashed. */
export interface CrashSuspect {
  readonly fingerprint: Fingerprint;
  readonly idempotent: boolean;
}

export type CrashVerdict = 'allow' | 'isolate' | 'refuse';

const CRASHES_TO_CONFIRM = 2;

/** Time for which idempotent content stays suspect after one crash. */
const SUSPECT_TTL_MS = 30_000;

/** Crash suspects known here. Times are wall-clock time, since VMs exchange them. */
export class CrashSuspects {
  readonly #self: EntryVmId;

  readonly #records = new Map<Fingerprint, CrashRecord>();

  constructor(self: EntryVmId) {
    this.#self = self;
  }

  get records(): readonly CrashRecord[] {
    return [...this.#records.values()];
  }

  /** Decides whether content may run, and whether it must run alone on a server. */
  verdict(fingerprint: Fingerprint, wallMs: number): CrashVerdict {
    const record = this.#records.get(fingerprint);
    if (record === undefined || record.untilMs <= wallMs || record.crashes === 0) return 'allow';
    if (!record.idempotent || record.crashes >= CRASHES_TO_CONFIRM) return 'refuse';
    return record.holder === this.#self ? 'isolate' : 'refuse';
  }

  /**
   * Counts a crash against all content that was running on the server.
   *
   * @returns the changed records, to be replicated.
   */
  recordCrash(
    crashId: string,
    suspects: readonly CrashSuspect[],
    quarantineMs: number,
    wallMs: number,
  ): readonly CrashRecord[] {
    const changed = suspects.map((suspect) => {
      const previous = this.#records.get(suspect.fingerprint);
      const isActive = previous !== undefined && previous.untilMs > wallMs && previous.crashes > 0;
      const crashes = (isActive ? previous.crashes : 0) + 1;
      const mayRunAgain = suspect.idempotent && crashes < CRASHES_TO_CONFIRM;
      return {
        fingerprint: suspect.fingerprint,
        crashes,
        idempotent: suspect.idempotent,
        holder: isActive ? previous.holder : this.#self,
        crashId: isActive ? previous.crashId : crashId,
        untilMs: wallMs + (mayRunAgain ? Math.min(SUSPECT_TTL_MS, quarantineMs) : quarantineMs),
      };
    });
    const cleared = changed
      .filter((record) => record.crashes >= CRASHES_TO_CONFIRM)
      .flatMap((record) => this.#clearOtherSuspects(record, wallMs));
    changed.forEach((record) => this.#records.set(record.fingerprint, record));
    return [...changed, ...cleared];
  }

  /** Clears content that ran successfully. @returns the cleared record, if it was suspect. */
  clear(fingerprint: Fingerprint, wallMs: number): CrashRecord | undefined {
    const record = this.#records.get(fingerprint);
    if (record === undefined || record.crashes === 0) return undefined;
    const cleared = { ...record, crashes: 0, untilMs: wallMs };
    this.#records.set(fingerprint, cleared);
    return cleared;
  }

  /** Stores a record of another entry VM or an operator. The caller drops stale versions. */
  applyRecord(record: CrashRecord): void {
    this.#records.set(record.fingerprint, record);
  }

  /** Removes expired records. */
  expire(wallMs: number): void {
    this.#records.forEach((record, fingerprint) => {
      if (record.untilMs <= wallMs) this.#records.delete(fingerprint);
    });
  }

  #clearOtherSuspects(confirmed: CrashRecord, wallMs: number): readonly CrashRecord[] {
    return this.records
      .filter((record) => record.crashId === confirmed.crashId)
      .filter((record) => record.fingerprint !== confirmed.fingerprint && record.crashes === 1)
      .map((record) => {
        const cleared = { ...record, crashes: 0, untilMs: wallMs };
        this.#records.set(record.fingerprint, cleared);
        return cleared;
      });
  }
}
