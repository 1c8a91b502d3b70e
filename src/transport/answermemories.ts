/**
 * Keeps the bytes of answers under way in pages that are used again. What servers send can neither grow
 * beyond the pages, nor cost more than its bytes when it comes in tiny pieces, nor wait for a collection
 * once it is dropped: a server may send bytes without end.
 */

/** Memory for answers that are not whole yet, in bytes: a fifth of a small VM's. */
const MAX_HELD_BYTES = 67_108_864;

/** Size of a page, in bytes: most answers to callers fit into one, and a download into a few. */
export const PAGE_BYTES = 16_384;

/** An answer under way. */
export interface HeldAnswer {
  /** Gives it up; it holds nothing any more. */
  drop(): void;
}

interface Held {
  readonly pages: Buffer[];
  bytes: number;
}

export class AnswerMemory {
  readonly #held = new Map<HeldAnswer, Held>();

  /** Pages that no answer holds. */
  readonly #free: Buffer[] = [];

  /** Pages there are, held or free, and how many there may be. */
  #pages = 0;

  readonly #maxPages: number;

  constructor(maxBytes: number = MAX_HELD_BYTES) {
    this.#maxPages = Math.floor(maxBytes / PAGE_BYTES);
  }

  /** Copies more bytes of an answer. The largest answer is dropped when there is no room for them. */
  add(answer: HeldAnswer, bytes: Buffer): void {
    const held = this.#held.get(answer) ?? { pages: [], bytes: 0 };
    this.#held.set(answer, held);
    let copied = 0;
    while (copied < bytes.length) {
      const offset = held.bytes % PAGE_BYTES;
      const page = offset === 0 ? this.#page() : held.pages.pop();
      // Room may have been made by dropping this answer.
      if (page === undefined || !this.#held.has(answer)) {
        if (page !== undefined) this.#free.push(page);
        return;
      }
      held.pages.push(page);
      const count = bytes.copy(page, offset, copied);
      copied += count;
      held.bytes += count;
    }
  }

  /** The bytes of an answer that is whole. It holds nothing any more. */
  take(answer: HeldAnswer): Buffer {
    const { pages, bytes } = this.#held.get(answer) ?? { pages: [], bytes: 0 };
    const body = Buffer.concat(pages, bytes);
    this.release(answer);
    return body;
  }

  /** Lets go of an answer that has ended. */
  release(answer: HeldAnswer): void {
    this.#free.push(...(this.#held.get(answer)?.pages ?? []));
    this.#held.delete(answer);
  }

  #page(): Buffer {
    if (this.#free.length === 0 && this.#pages >= this.#maxPages) this.#dropLargest();
    const free = this.#free.pop();
    if (free !== undefined) return free;
    this.#pages += 1;
    return Buffer.allocUnsafeSlow(PAGE_BYTES);
  }

  #dropLargest(): void {
    const [largest] = [...this.#held].reduce((most, each) =>
      each[1].bytes > most[1].bytes ? each : most,
    );
    this.release(largest);
    largest.drop();
  }
}
