/** Writes lines to standard output without waiting for its reader, and drops what is too much. */
import fs from 'node:fs';
import { TokenBucket } from '../coordination/index.js';

export interface LineWriterOptions {
  /** Lines a second, and lines at once after a quiet time. */
  readonly perS: number;
  readonly burst: number;
  /** Most bytes that wait to be written. */
  readonly maxBytes: number;
  readonly nowMs: () => number;
  /** Writes text and tells when it is done. */
  readonly write: (text: string, done: () => void) => void;
}

const STANDARD_OUTPUT = 1;

/** Writes to standard output off the event loop. Errors end in silence: there is nowhere to tell. */
export function writeStandardOutput(text: string, done: () => void): void {
  fs.write(STANDARD_OUTPUT, text, () => done());
}

export class LineWriter {
  readonly #options: LineWriterOptions;

  readonly #bucket: TokenBucket;

  #waiting = '';

  #writing = false;

  #dropped = 0;

  constructor(options: LineWriterOptions) {
    this.#options = options;
    this.#bucket = new TokenBucket(options.perS, options.burst, options.nowMs());
  }

  /** Lines that were dropped and not told of yet. */
  get dropped(): number {
    return this.#dropped;
  }

  /**
   * Writes a line, or drops it.
   *
   * @param always - passes the bound on lines, not the one on bytes.
   */
  line(text: string, always: boolean): void {
    const { maxBytes, nowMs } = this.#options;
    const allowed = always || this.#bucket.take(1, nowMs());
    if (!allowed || this.#waiting.length + text.length > maxBytes) {
      this.#dropped += 1;
      return;
    }
    if (this.#dropped > 0) {
      this.#waiting += `{"dropped":${this.#dropped}}\n`;
      this.#dropped = 0;
    }
    this.#waiting += `${text}\n`;
    this.#flush();
  }

  #flush(): void {
    if (this.#writing || this.#waiting === '') return;
    const text = this.#waiting;
    this.#waiting = '';
    this.#writing = true;
    this.#options.write(text, () => {
      this.#writing = false;
      this.#flush();
    });
  }
}
