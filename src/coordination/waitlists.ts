/** Requests that wait for room at a backend server, the most urgent first. */

interface Waiting<Item> {
  readonly item: Item;
  readonly priority: number;
  readonly order: number;
}

export class Waitlist<Item> {
  #waiting: Waiting<Item>[] = [];

  #orders = 0;

  get size(): number {
    return this.#waiting.length;
  }

  /** @param priority - 0 is the most urgent. */
  add(item: Item, priority: number): void {
    this.#orders += 1;
    const entry = { item, priority, order: this.#orders };
    const at = this.#waiting.findIndex((each) => each.priority > priority);
    if (at === -1) this.#waiting.push(entry);
    else this.#waiting.splice(at, 0, entry);
  }

  remove(item: Item): void {
    this.#waiting = this.#waiting.filter((each) => each.item !== item);
  }

  /** Offers every item, the most urgent first; `place` says whether it need not wait any more. */
  offer(place: (item: Item) => boolean): void {
    const offered = this.#waiting;
    this.#waiting = [];
    const left = offered.filter((each) => !place(each.item));
    this.#waiting = [...left, ...this.#waiting].sort(
      (a, b) => a.priority - b.priority || a.order - b.order,
    );
  }
}
