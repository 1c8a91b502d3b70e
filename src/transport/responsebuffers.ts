/**
 * Buffers responses in flight in reused pages. A server may send bytes without end: the pages bound the
 * memory, tiny chunks cost no more than their bytes, and dropped bytes don't wait for garbage
 * collection.
 */

/** Memory for incomplete responses, in bytes: a fifth of the smallest VM's 250 MB. */
const MAX_BUFFERED_BYTES = 50_331_648;

/** Size of a page, in bytes: most responses fit into one, and a download into a few. */
export const PAGE_BYTES = 16_384;

/** A response in flight. */
export interface BufferedResponse {
  /** Abandons the response. Its pages are already released. */
  drop(): void;
}

interface BufferedPages {
  readonly pages: Buffer[];
  bytes: number;
}

export class ResponseBufferPool {
  readonly #buffered = new Map<BufferedResponse, BufferedPages>();

  /** Pages that no response uses. */
  readonly #freePages: Buffer[] = [];

  /** Number of allocated pages, used or free. */
  #pageCount = 0;

  readonly #maxPages: number;

  constructor(maxBytes: number = MAX_BUFFERED_BYTES) {
    this.#maxPages = Math.floor(maxBytes / PAGE_BYTES);
  }

  /** Appends bytes to a response. Drops the largest response when there is no room for them. */
  append(response: BufferedResponse, bytes: Buffer): void {
    const buffered = this.#buffered.get(response) ?? { pages: [], bytes: 0 };
    this.#buffered.set(response, buffered);
    let copied = 0;
    while (copied < bytes.length) {
      const offset = buffered.bytes % PAGE_BYTES;
      const page = offset === 0 ? this.#acquirePage() : buffered.pages.pop();
      // This response may itself have been dropped to make room.
      if (page === undefined || !this.#buffered.has(response)) {
        if (page !== undefined) this.#freePages.push(page);
        return;
      }
      buffered.pages.push(page);
      const count = bytes.copy(page, offset, copied);
      copied += count;
      buffered.bytes += count;
    }
  }

  /** Returns the bytes of a complete response and releases its pages. */
  takeBody(response: BufferedResponse): Buffer {
    const { pages, bytes } = this.#buffered.get(response) ?? { pages: [], bytes: 0 };
    const body = Buffer.concat(pages, bytes);
    this.release(response);
    return body;
  }

  /** Releases the pages of a response that has ended. */
  release(response: BufferedResponse): void {
    this.#freePages.push(...(this.#buffered.get(response)?.pages ?? []));
    this.#buffered.delete(response);
  }

  #acquirePage(): Buffer {
    if (this.#freePages.length === 0 && this.#pageCount >= this.#maxPages) this.#dropLargest();
    const free = this.#freePages.pop();
    if (free !== undefined) return free;
    this.#pageCount += 1;
    return Buffer.allocUnsafeSlow(PAGE_BYTES);
  }

  #dropLargest(): void {
    const [largest] = [...this.#buffered].reduce((largestSoFar, candidate) =>
      candidate[1].bytes > largestSoFar[1].bytes ? candidate : largestSoFar,
    );
    this.release(largest);
    largest.drop();
  }
}
