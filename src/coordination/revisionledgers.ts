/**
 * Which of the store's revisions this entry VM has seen. Each revision is one change of one object, and a
 * watch tells of one kind only: a revision that no watch has brought, and that belongs to no kind whose
 * answer is newer, was missed.
 */
import { FACT_KINDS } from './fleetviews.js';
import type { FactKind } from './fleetviews.js';

export class RevisionLedger {
  /** Up to which revision each kind's changes are known, by its last answer. */
  readonly #answered = new Map<FactKind, number>();

  /** Revisions of changes that came after some kind's last answer. */
  #seen = new Set<number>();

  /**
   * Takes in an answer of the store.
   *
   * @param revision - the store's revision when it answered.
   * @param changes - the revisions of the changes that it told of.
   */
  answered(kind: FactKind, revision: number, changes: readonly number[]): void {
    this.#answered.set(kind, Math.max(revision, this.#answered.get(kind) ?? 0));
    changes.forEach((change) => this.#seen.add(change));
    const complete = this.#complete();
    this.#seen = new Set([...this.#seen].filter((change) => change > complete));
  }

  /** Kinds that may have missed a change, when the store's revision is known from elsewhere. */
  missing(revision: number): readonly FactKind[] {
    let newest = revision;
    while (newest > this.#complete() && this.#seen.has(newest)) newest -= 1;
    return FACT_KINDS.filter((kind) => this.#of(kind) < newest);
  }

  /** The revision up to which every kind is known. */
  #complete(): number {
    return Math.min(...FACT_KINDS.map((kind) => this.#of(kind)));
  }

  #of(kind: FactKind): number {
    return this.#answered.get(kind) ?? 0;
  }
}
