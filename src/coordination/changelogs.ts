/** Revision of the last change of each backend server, so that peers can fetch only the changes. */
import type { BackendServerId } from '../state/index.js';

export class ChangeLog {
  readonly #lastChanges = new Map<BackendServerId, number>();

  /** Servers with changes that are not published under a revision yet. */
  readonly #pending = new Set<BackendServerId>();

  /** Revision since which all changes are recorded; undefined until the next one is published. */
  #completeFrom: number | undefined;

  #published = 0;

  /** Records that a server was added, changed or removed. */
  recordChange(id: BackendServerId): void {
    this.#pending.add(id);
  }

  /** Records that a complete list was applied. Changes before it may be missing from the log. */
  recordFullList(): void {
    this.#completeFrom = undefined;
  }

  /** Publishes the pending changes under a revision. Does nothing if it is not a new one. */
  publish(revision: number): void {
    if (revision <= this.#published) return;
    this.#published = revision;
    this.#completeFrom ??= revision;
    this.#pending.forEach((id) => this.#lastChanges.set(id, revision));
    this.#pending.clear();
  }

  /** Servers changed after a revision; undefined if changes since then may be missing. */
  since(revision: number): readonly BackendServerId[] | undefined {
    if (this.#completeFrom === undefined || revision < this.#completeFrom) return undefined;
    return [...this.#lastChanges]
      .filter(([, changedRevision]) => changedRevision > revision)
      .map(([id]) => id);
  }

  /** Removes the entry of a server that no longer exists. */
  remove(id: BackendServerId): void {
    const revision = this.#lastChanges.get(id);
    if (revision === undefined) return;
    this.#lastChanges.delete(id);
    if (this.#completeFrom !== undefined)
      this.#completeFrom = Math.max(this.#completeFrom, revision);
  }
}
