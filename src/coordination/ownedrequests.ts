/** Requests whose ids this incarnation owns: their records, and duplicates awaiting the outcome. */
import { RequestRecords, notRunFailure, unknownFailure } from '../state/index.js';
import type {
  Failure,
  Fingerprint,
  KeptAnswer,
  RequestRecordLimits,
  RequestId,
} from '../state/index.js';
import type { EntryEffect } from './entryevents.js';
import type { Ticket } from './dispatchrequests.js';

/** How to proceed with a request after its id was looked up. */
export type BeginResult =
  | { readonly type: 'run' }
  | { readonly type: 'wait' }
  | { readonly type: 'end'; readonly effect: EntryEffect };

export class OwnedRequests {
  readonly #records: RequestRecords;

  /** Duplicates of requests that are still in flight. */
  readonly #waiters = new Map<RequestId, Set<Ticket>>();

  constructor(startedAtMs: number, limits?: RequestRecordLimits) {
    this.#records = new RequestRecords(startedAtMs, limits);
  }

  get size(): number {
    return this.#records.size;
  }

  epoch(nowMs: number): number {
    return this.#records.epoch(nowMs);
  }

  /** Starts a request, or finds the state of its earlier start. */
  begin(
    ticket: Ticket,
    id: RequestId,
    epoch: number,
    fingerprint: Fingerprint,
    nowMs: number,
  ): BeginResult {
    const lookup = this.#records.begin(id, epoch, fingerprint, nowMs);
    const failWith = (failure: Failure): BeginResult => ({
      type: 'end',
      effect: { type: 'fail', ticket, failure },
    });
    switch (lookup.type) {
      case 'started':
        return { type: 'run' };
      case 'closedEpoch':
        return failWith(unknownFailure('closed_epoch'));
      case 'futureEpoch':
        return failWith(notRunFailure('future_epoch'));
      case 'contentMismatch':
        return failWith(notRunFailure('content_mismatch'));
      case 'full':
        return failWith(notRunFailure('records_full'));
      case 'found':
        break;
      default:
        return lookup satisfies never;
    }
    if (lookup.state.type === 'unknown') return failWith(unknownFailure('connection_lost'));
    if (lookup.state.type === 'active') {
      this.#waitersOf(id).add(ticket);
      return { type: 'wait' };
    }
    const { answer } = lookup.state;
    if (answer === undefined) return failWith(unknownFailure('answer_gone'));
    return { type: 'end', effect: { type: 'replay', ticket, answer } };
  }

  /** Removes a duplicate that no longer waits. */
  removeWaiter(id: RequestId, ticket: Ticket): void {
    this.#waiters.get(id)?.delete(ticket);
  }

  /** Records the end of a response. @returns effects for the waiting duplicates. */
  answered(id: RequestId, answer: KeptAnswer | undefined): readonly EntryEffect[] {
    this.#records.settle(id, { type: 'answered', answer });
    return this.#notifyWaiters(id, (ticket) =>
      answer === undefined
        ? { type: 'fail', ticket, failure: unknownFailure('answer_gone') }
        : { type: 'replay', ticket, answer },
    );
  }

  /** Records a failure. A request that did not run may be started again under its id. */
  failed(id: RequestId, failure: Failure): readonly EntryEffect[] {
    if (failure.outcome === 'notRun') this.#records.forget(id);
    else this.#records.settle(id, { type: 'unknown' });
    return this.#notifyWaiters(id, (ticket) => ({ type: 'fail', ticket, failure }));
  }

  #waitersOf(id: RequestId): Set<Ticket> {
    const waiters = this.#waiters.get(id) ?? new Set<Ticket>();
    this.#waiters.set(id, waiters);
    return waiters;
  }

  #notifyWaiters(
    id: RequestId,
    effectFor: (ticket: Ticket) => EntryEffect,
  ): readonly EntryEffect[] {
    const tickets = [...(this.#waiters.get(id) ?? [])];
    this.#waiters.delete(id);
    return tickets.map(effectFor);
  }
}
