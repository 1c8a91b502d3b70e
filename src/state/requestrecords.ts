/**
 * Records of non-idempotent requests, kept by the entry incarnation that owns their ids.
 *
 * An id carries the epoch in which its prefix was issued. While an epoch is open, its records are
 * never dropped; a full table refuses new requests instead. When an epoch closes, its records are
 * deleted and its ids can no longer be started, so a deleted record cannot lead to a second run.
 */
import type { Fingerprint, RequestId } from './ids.js';

export const EPOCH_MS = 60_000;

/** Number of epochs whose ids may still be started, the current one included. */
export const OPEN_EPOCHS = 10;

/** Maximum number of records. */
export const MAX_RECORDS = 100_000;

/** Maximum total size of kept answers; the oldest answers are evicted first, their records stay. */
export const MAX_KEPT_ANSWER_BYTES = 33_554_432;

export interface HeaderField {
  readonly name: string;
  readonly value: string;
}

/** A complete response that is small enough to keep for retries. */
export interface KeptAnswer {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
}

/** State of a request that was started by this incarnation. */
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

export interface RequestRecordLimits {
  readonly maxRecords?: number;
  readonly maxAnswerBytes?: number;
}

/** The records of one incarnation. Times are monotonic milliseconds. */
export class RequestRecords {
  readonly #startedAtMs: number;

  readonly #maxRecords: number;

  readonly #maxAnswerBytes: number;

  readonly #records = new Map<RequestId, RequestRecord>();

  readonly #idsByEpoch = new Map<number, Set<RequestId>>();

  /** Ids of requests with a kept answer, oldest first. */
  readonly #answered = new Set<RequestId>();

  #answerBytes = 0;

  constructor(startedAtMs: number, limits: RequestRecordLimits = {}) {
    this.#startedAtMs = startedAtMs;
    this.#maxRecords = limits.maxRecords ?? MAX_RECORDS;
    this.#maxAnswerBytes = limits.maxAnswerBytes ?? MAX_KEPT_ANSWER_BYTES;
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

  /** Starts a request, unless its id is on record or could belong to a request that ran earlier. */
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

  /** Deletes the record of a request that did not run, so that its id can be reused. */
  forget(id: RequestId): void {
    this.#dropAnswer(id);
    this.#records.delete(id);
  }

  /** Records the outcome of a request; a later answer replaces an unknown outcome. */
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
