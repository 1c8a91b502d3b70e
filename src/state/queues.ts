/** A bounded queue that is fair between callers: they take turns, and the longest line gives way. */
import type { CallerId } from './ids.js';

/** What the queue has to know of an item. */
export interface Queued {
  readonly caller: CallerId;
  /** Monotonic time after which the item is of no use, in milliseconds. */
  readonly deadlineMs: number;
}

/** Serves callers in turn, each caller's items in order of arrival. */
export class FairQueue<Item extends Queued> {
  /** Lines by caller; the order of the map is the order of turns. */
  readonly #lines = new Map<CallerId, Item[]>();

  #size = 0;

  get size(): number {
    return this.#size;
  }

  /**
   * Adds an item.
   *
   * @param bound - items that may wait at once.
   * @returns the item that had to give way, if any; it may be the new one.
   */
  push(item: Item, bound: number): Item | undefined {
    const line = this.#lines.get(item.caller) ?? [];
    if (line.length === 0) this.#lines.set(item.caller, line);
    line.push(item);
    this.#size += 1;
    return this.#size > bound ? this.#popLongest() : undefined;
  }

  /** Items that would be served before a new one of this caller. */
  ahead(caller: CallerId): number {
    const own = this.#lines.get(caller)?.length ?? 0;
    return Math.min(this.#size, this.#lines.size * (own + 1));
  }

  /** Puts an item that had left the queue first in its caller's line. */
  unshift(item: Item): void {
    const line = this.#lines.get(item.caller);
    this.#size += 1;
    if (line !== undefined) line.unshift(item);
    else this.#lines.set(item.caller, [item]);
  }

  /** Takes the next item of the caller whose turn it is. */
  shift(): Item | undefined {
    const first = this.#lines.entries().next();
    if (first.done) return undefined;
    const [caller, line] = first.value;
    const item = line.shift();
    this.#lines.delete(caller);
    if (line.length > 0) this.#lines.set(caller, line);
    this.#size -= 1;
    return item;
  }

  /** Removes and returns all items that the test names. */
  remove(test: (item: Item) => boolean): Item[] {
    const removed: Item[] = [];
    this.#lines.forEach((line, caller) => {
      const kept = line.filter((item) => !test(item));
      if (kept.length === line.length) return;
      removed.push(...line.filter(test));
      if (kept.length === 0) this.#lines.delete(caller);
      else this.#lines.set(caller, kept);
    });
    this.#size -= removed.length;
    return removed;
  }

  #popLongest(): Item | undefined {
    let longest: CallerId | undefined;
    let length = 0;
    this.#lines.forEach((line, caller) => {
      if (line.length <= length) return;
      longest = caller;
      length = line.length;
    });
    if (longest === undefined) return undefined;
    const line = this.#lines.get(longest);
    const item = line?.pop();
    if (line?.length === 0) this.#lines.delete(longest);
    this.#size -= 1;
    return item;
  }
}
