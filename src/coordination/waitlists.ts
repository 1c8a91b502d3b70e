/** Requests that wait for a free slot at a backend server, ordered by priority. */

interface WaitingItem<Item> {
  readonly item: Item;
  readonly priority: number;
  readonly sequence: number;
}

export class Waitlist<Item> {
  #waiting: WaitingItem<Item>[] = [];

  #lastSequence = 0;

  get size(): number {
    return this.#waiting.length;
  }

  /** @param priority - 0 is the most urgent. */
  add(item: Item, priority: number): void {
    this.#lastSequence += 1;
    const entry = { item, priority, sequence: this.#lastSequence };
    const index = this.#waiting.findIndex((waiting) => waiting.priority > priority);
    if (index === -1) this.#waiting.push(entry);
    else this.#waiting.splice(index, 0, entry);
  }

  remove(item: Item): void {
    this.#waiting = this.#waiting.filter((waiting) => waiting.item !== item);
  }

  /** Calls `place` for each item, most urgent first; removes those for which it returns true. */
  offer(place: (item: Item) => boolean): void {
    const offered = this.#waiting;
    this.#waiting = [];
    const remaining = offered.filter((waiting) => !place(waiting.item));
    this.#waiting = [...remaining, ...this.#waiting].sort(
      (a, b) => a.priority - b.priority || a.sequence - b.sequence,
    );
  }
}
