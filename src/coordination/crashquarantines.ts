/**
 * Refuses content that crashes backend servers, on evidence that entry VMs share without a coordinator.
 *
 * For each content, an entry VM keeps the server processes that crashed while they ran it, and those of
 * them that are disproved since the content ran to an end. Both sets only grow, so evidence merges by union
 * in any order. Content is quarantined after `CRASHES_TO_QUARANTINE` crashes that are not disproved. Later
 * an entry VM that saw one of them lets a single request through: if it ends well, the content is released.
 * The evidence of quarantined content also goes to a store, for entry VMs that all restart at once.
 */
import { hashText } from '../state/index.js';
import type { BackendServerRecord, EntryVmId, Fingerprint } from '../state/index.js';
import type { Instant } from './callhandlers.js';

/** Evidence about one content, as entry VMs exchange it. */
export interface CrashReport {
  readonly fingerprint: Fingerprint;
  /** Server processes that crashed while they ran the content; see `serverProcess`. */
  readonly crashes: readonly string[];
  /** Those of `crashes` after which the content has run to an end. */
  readonly disproved: readonly string[];
  /** Time since the last crash, in milliseconds. */
  readonly ageMs: number;
}

/** Evidence of quarantined content that outlasts the entry VMs. */
export interface StoredCrashes {
  readonly fingerprint: Fingerprint;
  /** Crashes that are not disproved. */
  readonly crashes: readonly string[];
  /** The entry VM that wrote this and saw one of the crashes itself. */
  readonly observer: EntryVmId;
  /** Time of the last crash by the wall clock, in Unix milliseconds. */
  readonly lastCrashWallMs: number;
}

export type ContentVerdict =
  | { readonly type: 'allow' }
  /** The content is quarantined, and this request may test whether it still crashes servers. */
  | { readonly type: 'trial'; readonly crashes: readonly string[] }
  | { readonly type: 'refuse'; readonly crashes: readonly string[]; readonly retryAfterMs: number };

/** Change of a content's state, to be logged. */
export interface ContentChange {
  readonly type: 'quarantined' | 'released';
  readonly fingerprint: Fingerprint;
  readonly crashes: readonly string[];
}

interface ContentRecord {
  readonly fingerprint: Fingerprint;
  crashes: readonly string[];
  disproved: readonly string[];
  lastCrashMs: number;
  /** Whether this entry VM saw one of the crashes itself. */
  observed: boolean;
  /** Whether it saw one since it last wrote the evidence to the store. */
  unsaved: boolean;
  /** Whether the store holds what this entry VM has written. */
  saved: boolean;
  /** When this entry VM last let a request through as a trial. */
  lastTrialMs: number;
  /** Rounds of heartbeats that still carry this record. */
  roundsLeft: number;
}

/** Crashes after which content is refused. Fewer would often blame what merely ran beside the cause. */
const CRASHES_TO_QUARANTINE = 3;

/** Crashes kept for each content, which bounds the size of a report. */
export const MAX_CRASHES_KEPT = 6;

/** Time from the last crash to a trial. Doubles with each further crash, up to the maximum. */
const TRIAL_DELAY_MS = 60_000;
const MAX_TRIAL_DELAY_MS = 600_000;

/** Time after the last crash for which evidence is kept; above the longest delay of a trial. */
const EVIDENCE_TTL_MS = 1_800_000;

/** Maximum number of contents with evidence. Those that are not quarantined are forgotten first. */
const MAX_RECORDS = 1_000;

/** Maximum number of reports in one heartbeat. */
export const MAX_CRASH_REPORTS = 4;

/** Rounds of heartbeats that carry new evidence; each entry VM that learns of it does the same. */
const REPORT_ROUNDS = 5;

/** Identifies one process of a backend server: a restart under the same id is another. */
export function serverProcess({ id, bornMs }: BackendServerRecord): string {
  return `${id}@${bornMs.toString(36)}`;
}

export class CrashQuarantine {
  readonly #self: EntryVmId;

  readonly #records = new Map<Fingerprint, ContentRecord>();

  /** Position of the next quarantined record that `standingReports` returns. */
  #standingOffset = 0;

  constructor(self: EntryVmId) {
    this.#self = self;
  }

  /** Number of contents with evidence. */
  get size(): number {
    return this.#records.size;
  }

  /** Number of quarantined contents. */
  get quarantined(): number {
    return this.#quarantinedRecords().length;
  }

  /** Decides whether a request with this content may be sent to a server. */
  verdict(fingerprint: Fingerprint, nowMs: number): ContentVerdict {
    const record = this.#records.get(fingerprint);
    if (record === undefined || !isQuarantined(record)) return { type: 'allow' };
    const { crashes } = record;
    const trialMs = Math.max(record.lastCrashMs, record.lastTrialMs) + this.#trialDelayMs(record);
    if (record.observed && nowMs >= trialMs) return { type: 'trial', crashes };
    return { type: 'refuse', crashes, retryAfterMs: Math.max(0, trialMs - nowMs) };
  }

  /** Whether the content has crashed a server and has not run to an end since. */
  isSuspect(fingerprint: Fingerprint): boolean {
    const record = this.#records.get(fingerprint);
    return record !== undefined && provenCrashes(record) > 0;
  }

  /** Records that a trial of quarantined content starts. */
  recordTrial(fingerprint: Fingerprint, nowMs: number): void {
    const record = this.#records.get(fingerprint);
    if (record !== undefined) record.lastTrialMs = nowMs;
  }

  /** Records that a server process crashed while it ran the content. */
  recordCrash(fingerprint: Fingerprint, process: string, nowMs: number): ContentChange | undefined {
    const report = { fingerprint, crashes: [process], disproved: [], ageMs: 0 };
    const change = this.#apply(report, nowMs);
    const record = this.#records.get(fingerprint);
    if (record !== undefined) Object.assign(record, { observed: true, unsaved: true });
    return change;
  }

  /** Records that the content ran to an end, which disproves all crashes known so far. */
  recordCompletion(fingerprint: Fingerprint, nowMs: number): ContentChange | undefined {
    const record = this.#records.get(fingerprint);
    if (record === undefined || provenCrashes(record) === 0) return undefined;
    const { crashes, lastCrashMs } = record;
    const report = { fingerprint, crashes, disproved: crashes, ageMs: nowMs - lastCrashMs };
    return this.#apply(report, nowMs);
  }

  /** Merges evidence of another entry VM. */
  merge(reports: readonly CrashReport[], nowMs: number): readonly ContentChange[] {
    return reports.flatMap((report) => this.#apply(report, nowMs) ?? []);
  }

  /** Returns new evidence for one round of heartbeats, that with the most crashes first. */
  flushReports(nowMs: number): readonly CrashReport[] {
    const pending = [...this.#records.values()]
      .filter(({ roundsLeft }) => roundsLeft > 0)
      .sort((x, y) => provenCrashes(y) - provenCrashes(x) || y.roundsLeft - x.roundsLeft)
      .slice(0, MAX_CRASH_REPORTS);
    return pending.map((record) => {
      record.roundsLeft -= 1;
      return toReport(record, nowMs);
    });
  }

  /** Returns quarantined content in turn, for entry VMs that started or were cut off meanwhile. */
  standingReports(nowMs: number): readonly CrashReport[] {
    const records = this.#quarantinedRecords();
    const count = Math.min(MAX_CRASH_REPORTS, records.length);
    const start = this.#standingOffset;
    this.#standingOffset = records.length === 0 ? 0 : (start + count) % records.length;
    return Array.from({ length: count }, (_, i) =>
      toReport(records[(start + i) % records.length] as ContentRecord, nowMs),
    );
  }

  /** Forgets evidence that is too old, once the store no longer holds it. */
  tick(nowMs: number): void {
    this.#records.forEach((record, fingerprint) => {
      if (isExpired(record, nowMs) && !record.saved) this.#records.delete(fingerprint);
    });
  }

  /** Evidence to write to the store: quarantined content of which this entry VM saw a crash since it last wrote. */
  unsavedCrashes({ nowMs, wallMs }: Instant): readonly StoredCrashes[] {
    return this.#quarantinedRecords()
      .filter((record) => record.unsaved && !isExpired(record, nowMs))
      .map(({ fingerprint, crashes, disproved, lastCrashMs }) => ({
        fingerprint,
        crashes: crashes.filter((process) => !disproved.includes(process)),
        observer: this.#self,
        lastCrashWallMs: Math.round(wallMs - (nowMs - lastCrashMs)),
      }));
  }

  /** Records that evidence was written to the store. */
  recordSaved({ fingerprint, crashes }: StoredCrashes): void {
    const record = this.#records.get(fingerprint);
    if (record === undefined) return;
    record.saved = true;
    record.unsaved = hasNew(record.crashes, [...crashes, ...record.disproved]);
  }

  /** Content whose evidence this entry VM has written to the store and that is no longer refused. */
  obsoleteCrashes(nowMs: number): readonly Fingerprint[] {
    return [...this.#records.values()]
      .filter((record) => record.saved && (!isQuarantined(record) || isExpired(record, nowMs)))
      .map(({ fingerprint }) => fingerprint);
  }

  /** Records that evidence was removed from the store. */
  recordRemoved(fingerprint: Fingerprint): void {
    const record = this.#records.get(fingerprint);
    if (record !== undefined) record.saved = false;
  }

  /** Adopts evidence from the store, which may be this entry VM's own from before a restart. */
  restore(stored: readonly StoredCrashes[], { nowMs, wallMs }: Instant): readonly ContentChange[] {
    return stored.flatMap(({ fingerprint, crashes, observer, lastCrashWallMs }) => {
      const ageMs = Math.max(0, wallMs - lastCrashWallMs);
      const change = this.#apply({ fingerprint, crashes, disproved: [], ageMs }, nowMs);
      const record = this.#records.get(fingerprint);
      if (record !== undefined && observer === this.#self)
        Object.assign(record, { observed: true, saved: true });
      return change ?? [];
    });
  }

  #apply(report: CrashReport, nowMs: number): ContentChange | undefined {
    const { fingerprint, ageMs } = report;
    if (ageMs > EVIDENCE_TTL_MS) return undefined;
    const record = this.#records.get(fingerprint) ?? this.#addRecord(fingerprint);
    const wasQuarantined = isQuarantined(record);
    const allDisproved = union(record.disproved, report.disproved);
    const crashes = selectCrashes(union(record.crashes, report.crashes), allDisproved);
    const disproved = allDisproved.filter((process) => crashes.includes(process));
    if (hasNew(crashes, record.crashes) || hasNew(disproved, record.disproved))
      record.roundsLeft = REPORT_ROUNDS;
    record.crashes = crashes;
    record.disproved = disproved;
    record.lastCrashMs = Math.max(record.lastCrashMs, nowMs - ageMs);
    if (isQuarantined(record) === wasQuarantined) return undefined;
    return { type: wasQuarantined ? 'released' : 'quarantined', fingerprint, crashes };
  }

  #addRecord(fingerprint: Fingerprint): ContentRecord {
    if (this.#records.size >= MAX_RECORDS) {
      const [oldest] = this.#records.keys();
      const evicted = [...this.#records.values()].find((record) => !isQuarantined(record));
      const key = evicted?.fingerprint ?? oldest;
      if (key !== undefined) this.#records.delete(key);
    }
    const record = {
      fingerprint,
      crashes: [],
      disproved: [],
      lastCrashMs: -Infinity,
      observed: false,
      unsaved: false,
      saved: false,
      lastTrialMs: -Infinity,
      roundsLeft: 0,
    };
    this.#records.set(fingerprint, record);
    return record;
  }

  #quarantinedRecords(): readonly ContentRecord[] {
    return [...this.#records.values()].filter(isQuarantined);
  }

  /** Time from the last crash to a trial; up to half as much again, so that entry VMs don't all try at once. */
  #trialDelayMs(record: ContentRecord): number {
    const doublings = provenCrashes(record) - CRASHES_TO_QUARANTINE;
    const delayMs = Math.min(MAX_TRIAL_DELAY_MS, TRIAL_DELAY_MS * 2 ** doublings);
    const unitHash = hashText(`${this.#self}|${record.fingerprint}`) / HASH_RANGE;
    return delayMs * (1 + unitHash / 2);
  }
}

function isExpired({ lastCrashMs }: ContentRecord, nowMs: number): boolean {
  return nowMs - lastCrashMs > EVIDENCE_TTL_MS;
}

/** Whether evidence in the store is too old to count. */
export function isOutdated({ lastCrashWallMs }: StoredCrashes, { wallMs }: Instant): boolean {
  return wallMs - lastCrashWallMs > EVIDENCE_TTL_MS;
}

const HASH_RANGE = 2 ** 32;

function provenCrashes({ crashes, disproved }: ContentRecord): number {
  return crashes.length - disproved.length;
}

function isQuarantined(record: ContentRecord): boolean {
  return provenCrashes(record) >= CRASHES_TO_QUARANTINE;
}

function toReport({ fingerprint, crashes, disproved, lastCrashMs }: ContentRecord, nowMs: number) {
  const ageMs = Math.max(0, Math.round(nowMs - lastCrashMs));
  return { fingerprint, crashes, disproved, ageMs };
}

function union(known: readonly string[], added: readonly string[]): readonly string[] {
  return [...new Set([...known, ...added])];
}

/** Selects the crashes to keep: the same on all entry VMs, so that reports do not go back and forth. */
function selectCrashes(
  crashes: readonly string[],
  disproved: readonly string[],
): readonly string[] {
  const rank = (process: string): number => (disproved.includes(process) ? 1 : 0);
  return [...crashes]
    .sort((x, y) => rank(x) - rank(y) || (x < y ? -1 : 1))
    .slice(0, MAX_CRASHES_KEPT);
}

function hasNew(items: readonly string[], known: readonly string[]): boolean {
  return items.some((item) => !known.includes(item));
}
