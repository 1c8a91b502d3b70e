/**
 * Tracks which of the store's revisions this entry VM has received. Each revision is one change of
 * one object, and a watch reports the changes of one kind. A revision that no watch has reported
 * was either missed or belongs to a kind that is not watched; only a list shows which. A watch's
 * claim to be complete is not trusted, because its store may have sent it nothing for a while.
 */
import { FACT_KINDS } from './fleetviews.js';
import type { FactKind } from './fleetviews.js';

export class RevisionTracker {
  /** Revision of the last list of each kind. */
  readonly #listRevisions = new Map<FactKind, number>();

  /** Revisions above `#completeUpTo` that watches have reported. */
  readonly #seenRevisions = new Set<number>();

  /** Revision up to which no change was missed. */
  #completeUpTo = 0;

  /** Records a complete list of a kind at a store revision. */
  recordList(kind: FactKind, revision: number): void {
    this.#listRevisions.set(kind, Math.max(revision, this.#listRevision(kind)));
    this.#advance();
  }

  /** Records the revisions of changes that a watch reported. */
  recordChanges(revisions: readonly number[]): void {
    revisions
      .filter((revision) => revision > this.#completeUpTo)
      .forEach((revision) => this.#seenRevisions.add(revision));
    this.#advance();
  }

  /** Kinds that may have missed a change, given the store's revision from another source. */
  staleKinds(revision: number): readonly FactKind[] {
    let newestMissing = revision;
    while (newestMissing > this.#completeUpTo && this.#seenRevisions.has(newestMissing))
      newestMissing -= 1;
    if (newestMissing <= this.#completeUpTo) return [];
    return FACT_KINDS.filter((kind) => this.#listRevision(kind) < newestMissing);
  }

  #advance(): void {
    const oldestList = Math.min(...FACT_KINDS.map((kind) => this.#listRevision(kind)));
    this.#completeUpTo = Math.max(this.#completeUpTo, oldestList);
    while (this.#seenRevisions.has(this.#completeUpTo + 1)) this.#completeUpTo += 1;
    this.#seenRevisions.forEach((revision) => {
      if (revision <= this.#completeUpTo) this.#seenRevisions.delete(revision);
    });
  }

  #listRevision(kind: FactKind): number {
    return this.#listRevisions.get(kind) ?? 0;
  }
}
