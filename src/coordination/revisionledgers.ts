/**
 * Which of the store's revisions this entry VM has seen. Each revision is one change of one object, and a
 * watch tells of the changes of one kind. A revision that no watch has told of was missed, unless it is
 * of no kind that is followed: only lists tell. That a watch claims to be complete is no proof; its store
 * may have told it nothing for a while.
 */
import { FACT_KINDS } from './fleetviews.js';
import type { FactKind } from './fleetviews.js';

export class RevisionLedger {
  /** At which revision each kind was last listed. */
  readonly #listed = new Map<FactKind, number>();

  /** Revisions that watches have told of, above `#complete`. */
  readonly #told = new Set<number>();

  /** The revision up to which nothing was missed. */
  #complete = 0;

  /** Takes in a complete list of a kind at a revision of the store. */
  listed(kind: FactKind, revision: number): void {
    this.#listed.set(kind, Math.max(revision, this.#of(kind)));
    this.#advance();
  }

  /** Takes in the revisions of the changes that a watch told of. */
  told(changes: readonly number[]): void {
    changes.filter((change) => change > this.#complete).forEach((change) => this.#told.add(change));
    this.#advance();
  }

  /** Kinds that may have missed a change, when the store's revision is known from elsewhere. */
  missing(revision: number): readonly FactKind[] {
    let newest = revision;
    while (newest > this.#complete && this.#told.has(newest)) newest -= 1;
    if (newest <= this.#complete) return [];
    return FACT_KINDS.filter((kind) => this.#of(kind) < newest);
  }

  #advance(): void {
    const allListed = Math.min(...FACT_KINDS.map((kind) => this.#of(kind)));
    this.#complete = Math.max(this.#complete, allListed);
    while (this.#told.has(this.#complete + 1)) this.#complete += 1;
    this.#told.forEach((change) => {
      if (change <= this.#complete) this.#told.delete(change);
    });
  }

  #of(kind: FactKind): number {
    return this.#listed.get(kind) ?? 0;
  }
}
