/** Bounds the memory that answers under way take together: a server may send bytes without end. */

/** Memory for answers that are not whole yet, in bytes: a fifth of a small VM's. */
const MAX_HELD_BYTES = 67_108_864;

/** An answer under way. */
export interface HeldAnswer {
  /** Gives it up; it holds nothing any more. */
  drop(): void;
}

export class AnswerMemory {
  readonly #held = new Map<HeldAnswer, number>();

  #total = 0;

  /** Takes in more bytes of an answer. The largest answer is dropped when there are too many in all. */
  add(answer: HeldAnswer, bytes: number): void {
    this.#held.set(answer, (this.#held.get(answer) ?? 0) + bytes);
    this.#total += bytes;
    if (this.#total <= MAX_HELD_BYTES) return;
    const [largest] = [...this.#held].reduce((most, each) => (each[1] > most[1] ? each : most));
    this.release(largest);
    largest.drop();
  }

  /** Lets go of an answer that has ended. */
  release(answer: HeldAnswer): void {
    this.#total -= this.#held.get(answer) ?? 0;
    this.#held.delete(answer);
  }
}
