/**
 * Records of non-idempotent requests, kept by the entry incarnation that owns their ids.
 *
 * An id carries the epoch in which its prefix was handed out. While an epoch is open its records are
 * never dropped, and a new request is refused rather than an old one forgotten. When it closes, its
 * records go, and an id of a closed epoch is never started: so a dropped record can't become a
 * second run.
 */
import type { Fingerprint, RequestId } from './ids.js';

/** Length of one epoch, in milliseconds. */
export const EPOCH_MS = 60_000;

/** Epochs whose ids may still be started, the current one included. */
export const OPEN_EPOCHS = 10;

/** Records that may stand at once. */
export const MAX_RECORDS = 100_000;

/** Bytes of kept answers; the oldest answers go first, their records stay. */
export const MAX_ANSWER_BYTES = 33_554_432;

/** One header field of an answer. */
export interface HeaderField {
  readonly name: string;
  readonly value: string;
}

/** A whole answer, small enough to keep. */
export interface KeptAnswer {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
}

/** What is known of a request that was started here. */
export type RecordState =
  | { readonly type: 'active' }
  | { readonly type: 'answered'; readonly answer: KeptAnswer | undefined }
  | { readonly type: 'unknown' };

export type BeginResult =
  | { readonly type: 'started' }
  | { readonly type: 'found'; readonly state: RecordState }
  | { readonly type: 'closedEpoch' }
  | { readonly type: 'futureEpoch' }
  | { readonly type: 'contentMismatch' }
  | { readonly type: 'full' };

interface RequestRecord {
  readonly epoch: number;
  readonly fingerprint: Fingerprint;
  state: RecordState;
}

export interface RecordLimits {
  readonly maxRecords?: number;
  readonly maxAnswerBytes?: number;
}

/** Holds the records of one incarnation. Times are monotonic milliseconds. */
export class RequestRecords {
  readonly #startedAtMs: number;

  readonly #maxRecords: number;

  readonly #maxAnswerBytes: number;

  readonly #records = new Map<RequestId, RequestRecord>();

  readonly #idsByEpoch = new Map<number, Set<RequestId>>();

  /** Ids with a kept answer, oldest first. */
  readonly #answered = new Set<RequestId>();

  #answerBytes = 0;

  constructor(startedAtMs: number, limits: RecordLimits = {}) {
    this.#startedAtMs = startedAtMs;
    this.#maxRecords = limits.maxRecords ?? MAX_RECORDS;
    this.#maxAnswerBytes = limits.maxAnswerBytes ?? MAX_ANSWER_BYTES;
  }

  get size(): number {
    return this.#records.size;
  }

  get answerBytes(): number {
    return this.#answerBytes;
  }

  epoch(nowMs: number): number {
    return Math.floor((nowMs - this.#startedAtMs) / EPOCH_MS);
  }

  /** Starts a request unless its id was seen, or can't be told from one that was. */
  begin(id: RequestId, epoch: number, fingerprint: Fingerprint, nowMs: number): BeginResult {
    this.#closeEpochs(nowMs);
    const record = this.#records.get(id);
    if (record !== undefined) {
      if (record.fingerprint !== fingerprint) return { type: 'contentMismatch' };
      return { type: 'found', state: record.state };
    }
    const current = this.epoch(nowMs);
    if (epoch > current) return { type: 'futureEpoch' };
    if (epoch <= current - OPEN_EPOCHS) return { type: 'closedEpoch' };
    if (this.#records.size >= this.#maxRecords) return { type: 'full' };
    this.#records.set(id, { epoch, fingerprint, state: { type: 'active' } });
    const ids = this.#idsByEpoch.get(epoch) ?? new Set<RequestId>();
    ids.add(id);
    this.#idsByEpoch.set(epoch, ids);
    return { type: 'started' };
  }

  /** Forgets a request that is known not to have run, so that its id may be used again. */
  forget(id: RequestId): void {
    this.#dropAnswer(id);
    this.#records.delete(id);
  }

  /** Keeps the outcome of a request; a later answer replaces an unknown outcome. */
  settle(id: RequestId, state: RecordState): void {
    const record = this.#records.get(id);
    if (record === undefined || record.state.type === 'answered') return;
    record.state = state;
    if (state.type !== 'answered' || state.answer === undefined) return;
    this.#answered.add(id);
    this.#answerBytes += state.answer.body.byteLength;
    this.#evictAnswers();
  }

  #evictAnswers(): void {
    for (const id of this.#answered) {
      if (this.#answerBytes <= this.#maxAnswerBytes) return;
      this.#dropAnswer(id);
    }
  }

  #dropAnswer(id: RequestId): void {
    const record = this.#records.get(id);
    if (!this.#answered.delete(id) || record?.state.type !== 'answered') return;
    this.#answerBytes -= record.state.answer?.body.byteLength ?? 0;
    record.state = { type: 'answered', answer: undefined };
  }

  #closeEpochs(nowMs: number): void {
    const oldestOpen = this.epoch(nowMs) - OPEN_EPOCHS + 1;
    for (const [epoch, ids] of this.#idsByEpoch) {
      if (epoch < oldestOpen) {
        ids.forEach((id) => this.forget(id));
        this.#idsByEpoch.delete(epoch);
      }
    }
  }
}
