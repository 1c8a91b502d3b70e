/** Bounded queue, fair between callers: round robin, and the longest queue drops items when full. */
import type { CallerId } from './ids.js';

/** Properties that the queue needs of its items. */
export interface QueuedItem {
  readonly caller: CallerId;
  /** Monotonic time after which the item is no longer useful, in milliseconds. */
  readonly deadlineMs: number;
}

/** Serves callers round robin, and each caller's items in order of arrival. */
export class FairQueue<Item extends QueuedItem> {
  /** Non-empty queues by caller; the map's order is the round-robin order. */
  readonly #queueByCaller = new Map<CallerId, Item[]>();

  #size = 0;

  get size(): number {
    return this.#size;
  }

  /**
   * Adds an item.
   *
   * @param capacity - maximum number of queued items.
   * @returns the item that was dropped to stay within capacity, if any; it may be the new one.
   */
  push(item: Item, capacity: number): Item | undefined {
    const queue = this.#queueByCaller.get(item.caller) ?? [];
    if (queue.length === 0) this.#queueByCaller.set(item.caller, queue);
    queue.push(item);
    this.#size += 1;
    return this.#size > capacity ? this.#dropFromLongest() : undefined;
  }

  /** Returns the number of items that would be served before a new one of this caller. */
  countAhead(caller: CallerId): number {
    const own = this.#queueByCaller.get(caller)?.length ?? 0;
    return Math.min(this.#size, this.#queueByCaller.size * (own + 1));
  }

  /** Returns a dequeued item to the front of its caller's queue. */
  unshift(item: Item): void {
    const queue = this.#queueByCaller.get(item.caller);
    this.#size += 1;
    if (queue !== undefined) queue.unshift(item);
    else this.#queueByCaller.set(item.caller, [item]);
  }

  /** Dequeues the next item in round-robin order. */
  shift(): Item | undefined {
    const first = this.#queueByCaller.entries().next();
    if (first.done) return undefined;
    const [caller, queue] = first.value;
    const item = queue.shift();
    this.#queueByCaller.delete(caller);
    if (queue.length > 0) this.#queueByCaller.set(caller, queue);
    this.#size -= 1;
    return item;
  }

  /** Removes and returns all items that match the predicate. */
  remove(predicate: (item: Item) => boolean): Item[] {
    const removed: Item[] = [];
    this.#queueByCaller.forEach((queue, caller) => {
      const kept = queue.filter((item) => !predicate(item));
      if (kept.length === queue.length) return;
      removed.push(...queue.filter(predicate));
      if (kept.length === 0) this.#queueByCaller.delete(caller);
      else this.#queueByCaller.set(caller, kept);
    });
    this.#size -= removed.length;
    return removed;
  }

  #dropFromLongest(): Item | undefined {
    let longest: CallerId | undefined;
    let length = 0;
    this.#queueByCaller.forEach((queue, caller) => {
      if (queue.length <= length) return;
      longest = caller;
      length = queue.length;
    });
    if (longest === undefined) return undefined;
    const queue = this.#queueByCaller.get(longest);
    const item = queue?.pop();
    if (queue?.length === 0) this.#queueByCaller.delete(longest);
    this.#size -= 1;
    return item;
  }
}
