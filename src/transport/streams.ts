/** A queue of updates for one subscriber, read as an async iterable. */

/** Holds updates until they are read. */
export class UpdateStream<Update> implements AsyncIterable<Update> {
  #updates: Update[] = [];

  #ended = false;

  #wake: (() => void) | undefined;

  push(update: Update): void {
    this.#updates.push(update);
    this.#wake?.();
  }

  end(): void {
    this.#ended = true;
    this.#wake?.();
  }

  async *[Symbol.asyncIterator](): AsyncIterator<Update> {
    for (;;) {
      const ready = this.#updates;
      this.#updates = [];
      yield* ready;
      if (this.#updates.length === 0) {
        if (this.#ended) return;

        await new Promise<void>((resolve) => {
          this.#wake = resolve;
        });
      }
    }
  }
}
