/** Requests that were read and wait for the processor: in overload the order and the refusals. */

interface Arrived<Item> {
  readonly item: Item;
  readonly priority: number;
  readonly atMs: number;
  /** Whether it waited while others had their turn. */
  passedOver: boolean;
}

/** The next request that has its turn. */
export interface Turn<Item> {
  readonly item: Item;
  /** Time that it waited, in milliseconds. */
  readonly waitedMs: number;
  /** Whether it waited so long that it is refused: others would miss their objective as well. */
  readonly late: boolean;
}

/** Time that the most urgent requests may wait, in milliseconds; others wait less by their rank. */
const MAX_WAIT_MS = 200;

/** Turns of which one goes to the oldest request, so that no rank starves. */
const FLOOR_TURNS = 5;

/** Weight of the latest pace in the average. */
const PACE_WEIGHT = 0.2;

export class Arrivals<Item> {
  #waiting: Arrived<Item>[] = [];

  #turns = 0;

  /** Time that one request took to begin lately, while others waited, in milliseconds. */
  #paceMs = 0;

  get size(): number {
    return this.#waiting.length;
  }

  /**
   * Whether a request would have its turn in time. Refused before it waits it costs least, and what
   * waits already is not held up by work for requests that end as late.
   *
   * @param priority - 0 is the most urgent.
   * @param entering - requests of any rank that are about to wait.
   */
  admits(priority: number, entering = 0): boolean {
    const before = this.#waiting.filter((each) => each.priority <= priority).length + entering;
    return before * this.#paceMs <= patienceMs(priority);
  }

  add(item: Item, priority: number, nowMs: number): void {
    this.#waiting.push({ item, priority, atMs: nowMs, passedOver: false });
  }

  /** Takes the request whose turn it is; undefined when none waits. */
  next(nowMs: number): Turn<Item> | undefined {
    const late = this.#waiting.findIndex(
      (each) => each.passedOver && nowMs - each.atMs > patienceMs(each.priority),
    );
    const [taken] = this.#waiting.splice(late >= 0 ? late : this.#due(), 1);
    if (taken === undefined) return undefined;
    return { item: taken.item, waitedMs: nowMs - taken.atMs, late: late >= 0 };
  }

  /**
   * Notes that those that wait have been passed over, after some had their turn.
   *
   * @param begun - requests that began.
   * @param tookMs - time since the last such note, or since the first one waited.
   */
  turned(begun: number, tookMs: number): void {
    this.#waiting.forEach((each) => {
      each.passedOver = true;
    });
    if (begun > 0) this.#paceMs += PACE_WEIGHT * (tookMs / begun - this.#paceMs);
  }

  /** The oldest of the most urgent; from time to time the oldest of all. */
  #due(): number {
    this.#turns += 1;
    if (this.#turns % FLOOR_TURNS === 0) return 0;
    const most = this.#waiting.reduce((min, each) => Math.min(min, each.priority), Infinity);
    return this.#waiting.findIndex((each) => each.priority === most);
  }
}

function patienceMs(priority: number): number {
  return MAX_WAIT_MS / (1 + priority);
}
