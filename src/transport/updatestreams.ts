/** A queue of updates for one subscriber, read as an async iterable. */

/** Buffers updates until they are read. */
export class UpdateStream<Update> implements AsyncIterable<Update> {
  #updates: Update[] = [];

  #ended = false;

  #wakeReader: (() => void) | undefined;

  push(update: Update): void {
    this.#updates.push(update);
    this.#wakeReader?.();
  }

  end(): void {
    this.#ended = true;
    this.#wakeReader?.();
  }

  async *[Symbol.asyncIterator](): AsyncIterator<Update> {
    for (;;) {
      const ready = this.#updates;
      this.#updates = [];
      yield* ready;
      if (this.#updates.length === 0) {
        if (this.#ended) return;

        await new Promise<void>((resolve) => {
          this.#wakeReader = resolve;
        });
      }
    }
  }
}
