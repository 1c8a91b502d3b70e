/** Requests whose ids this incarnation owns: their records and those who wait for their outcome. */
import { RequestRecords, notRun, unknown } from '../state/index.js';
import type { Failure, Fingerprint, KeptAnswer, RecordLimits, RequestId } from '../state/index.js';
import type { EntryEffect } from './calls.js';
import type { Ticket } from './works.js';

/** What to do with a request after its id was looked up. */
export type OwnedStart =
  | { readonly type: 'run' }
  | { readonly type: 'wait' }
  | { readonly type: 'end'; readonly effect: EntryEffect };

export class OwnedRequests {
  readonly #records: RequestRecords;

  /** Later sendings of requests that are still active. */
  readonly #waiters = new Map<RequestId, Set<Ticket>>();

  constructor(startedAtMs: number, limits?: RecordLimits) {
    this.#records = new RequestRecords(startedAtMs, limits);
  }

  get size(): number {
    return this.#records.size;
  }

  epoch(nowMs: number): number {
    return this.#records.epoch(nowMs);
  }

  /** Starts a request, or finds what became of it. */
  begin(
    ticket: Ticket,
    id: RequestId,
    epoch: number,
    fingerprint: Fingerprint,
    nowMs: number,
  ): OwnedStart {
    const begun = this.#records.begin(id, epoch, fingerprint, nowMs);
    const end = (failure: Failure): OwnedStart => ({
      type: 'end',
      effect: { type: 'fail', ticket, failure },
    });
    switch (begun.type) {
      case 'started':
        return { type: 'run' };
      case 'closedEpoch':
        return end(unknown('closed_epoch'));
      case 'futureEpoch':
        return end(notRun('future_epoch'));
      case 'contentMismatch':
        return end(notRun('content_mismatch'));
      case 'full':
        return end(notRun('records_full'));
      case 'found':
        break;
      default:
        return begun satisfies never;
    }
    if (begun.state.type === 'unknown') return end(unknown('connection_lost'));
    if (begun.state.type === 'active') {
      this.#waitersOf(id).add(ticket);
      return { type: 'wait' };
    }
    const { answer } = begun.state;
    if (answer === undefined) return end(unknown('answer_gone'));
    return { type: 'end', effect: { type: 'replay', ticket, answer } };
  }

  /** A sending gave up waiting. */
  leave(id: RequestId, ticket: Ticket): void {
    this.#waiters.get(id)?.delete(ticket);
  }

  /** The answer came whole. @returns effects for those who wait. */
  answered(id: RequestId, answer: KeptAnswer | undefined): readonly EntryEffect[] {
    this.#records.settle(id, { type: 'answered', answer });
    return this.#release(id, (ticket) =>
      answer === undefined
        ? { type: 'fail', ticket, failure: unknown('answer_gone') }
        : { type: 'replay', ticket, answer },
    );
  }

  /** The request ended without an answer. What did not run may be started again. */
  failed(id: RequestId, failure: Failure): readonly EntryEffect[] {
    if (failure.outcome === 'notRun') this.#records.forget(id);
    else this.#records.settle(id, { type: 'unknown' });
    return this.#release(id, (ticket) => ({ type: 'fail', ticket, failure }));
  }

  #waitersOf(id: RequestId): Set<Ticket> {
    const known = this.#waiters.get(id) ?? new Set<Ticket>();
    this.#waiters.set(id, known);
    return known;
  }

  #release(id: RequestId, effectFor: (ticket: Ticket) => EntryEffect): readonly EntryEffect[] {
    const tickets = [...(this.#waiters.get(id) ?? [])];
    this.#waiters.delete(id);
    return tickets.map(effectFor);
  }
}
