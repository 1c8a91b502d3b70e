/** An event queue with a simulated clock, for simulations in tests and benchmarks. */
import TinyQueue from 'tinyqueue';

interface ScheduledEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** Runs events by time, and events of the same time in the order in which they were scheduled. */
export class EventQueue {
  nowMs = 0;

  readonly #queue = new TinyQueue<ScheduledEvent>(
    [],
    (a, b) => a.atMs - b.atMs || a.order - b.order,
  );

  #order = 0;

  /** Returns a number that was not returned before. */
  nextNumber(): number {
    this.#order += 1;
    return this.#order;
  }

  /** Schedules an event after a delay. */
  schedule(delayMs: number, run: () => void): void {
    this.#queue.push({ atMs: this.nowMs + delayMs, order: this.nextNumber(), run });
  }

  /** Advances the clock by a duration and runs all events that are due. */
  advance(ms: number): void {
    const endMs = this.nowMs + ms;
    for (;;) {
      const next = this.#queue.peek();
      if (next === undefined || next.atMs > endMs) break;
      this.#queue.pop();
      this.nowMs = next.atMs;
      next.run();
    }
    this.nowMs = endMs;
  }
}
