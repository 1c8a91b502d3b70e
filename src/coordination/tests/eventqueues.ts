/** A queue of events under a clock of its own, for drivers of tests and measurements. */
import TinyQueue from 'tinyqueue';

interface Scheduled {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** Runs what is scheduled in order of time; equal times in order of scheduling. */
export class EventQueue {
  nowMs = 0;

  readonly #queue = new TinyQueue<Scheduled>([], (a, b) => a.atMs - b.atMs || a.order - b.order);

  #order = 0;

  /** A number that was not given before. */
  number(): number {
    this.#order += 1;
    return this.#order;
  }

  /** Schedules an event a while from now. */
  at(delayMs: number, run: () => void): void {
    this.#queue.push({ atMs: this.nowMs + delayMs, order: this.number(), run });
  }

  /** Runs until a time from now has passed. */
  advance(ms: number): void {
    const end = this.nowMs + ms;
    for (;;) {
      const next = this.#queue.peek();
      if (next === undefined || next.atMs > end) break;
      this.#queue.pop();
      this.nowMs = next.atMs;
      next.run();
    }
    this.nowMs = end;
  }
}
