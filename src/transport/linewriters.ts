/** Writes lines to standard output without blocking on its reader, and drops lines above a rate limit. */
import fs from 'node:fs';
import { TokenBucket } from '../coordination/index.js';

export interface LineWriterOptions {
  /** Rate limit in lines per second, and the burst allowed after an idle period. */
  readonly linesPerS: number;
  readonly burst: number;
  /** Maximum size of the text waiting to be written. */
  readonly maxBytes: number;
  readonly nowMs: () => number;
  /** Schedules a function to run after the delay for which routine lines are batched. */
  readonly schedule: (run: () => void) => void;
  /** Returns the line that reports the number of dropped lines. */
  readonly formatDropped: (count: number) => string;
  /** Writes text and calls `done` when it is written. */
  readonly write: (text: string, done: () => void) => void;
}

const STDOUT_FD = 1;

/** Routine lines are batched for this time, since each write costs CPU time. */
const BATCH_DELAY_MS = 100;

export function afterBatchDelay(run: () => void): void {
  setTimeout(run, BATCH_DELAY_MS);
}

/** Writes to standard output off the event loop. Errors are ignored: there is nowhere to report them. */
export function writeStandardOutput(text: string, done: () => void): void {
  fs.write(STDOUT_FD, text, () => done());
}

export class LineWriter {
  readonly #options: LineWriterOptions;

  readonly #routineLimit: TokenBucket;

  /** A limit of their own, so that routine lines do not crowd out warnings. */
  readonly #urgentLimit: TokenBucket;

  #buffer = '';

  #writing = false;

  #flushScheduled = false;

  #dropped = 0;

  #drainWaiters: (() => void)[] = [];

  constructor(options: LineWriterOptions) {
    this.#options = options;
    this.#routineLimit = new TokenBucket(options.linesPerS, options.burst, options.nowMs());
    this.#urgentLimit = new TokenBucket(options.linesPerS, options.burst, options.nowMs());
  }

  /** Writes a line, immediately if it is urgent, or drops it if a limit is exceeded. */
  writeLine(text: string, urgent: boolean): void {
    const { maxBytes, nowMs, formatDropped } = this.#options;
    const allowed = (urgent ? this.#urgentLimit : this.#routineLimit).tryTake(1, nowMs());
    if (!allowed || this.#buffer.length + text.length > maxBytes) {
      this.#dropped += 1;
      return;
    }
    if (this.#dropped > 0) {
      this.#buffer += `${formatDropped(this.#dropped)}\n`;
      this.#dropped = 0;
    }
    this.#buffer += `${text}\n`;
    if (urgent) this.#flush();
    else this.#scheduleFlush();
  }

  /** Writes all remaining lines. Resolves once they are written or the timeout expires. */
  drain(timeoutMs: number): Promise<void> {
    this.#flush();
    if (!this.#writing) return Promise.resolve();
    return new Promise((resolve) => {
      this.#drainWaiters.push(resolve);
      setTimeout(resolve, timeoutMs);
    });
  }

  #scheduleFlush(): void {
    if (this.#flushScheduled) return;
    this.#flushScheduled = true;
    this.#options.schedule(() => {
      this.#flushScheduled = false;
      this.#flush();
    });
  }

  #flush(): void {
    if (this.#writing) return;
    if (this.#buffer === '') {
      this.#drainWaiters.splice(0).forEach((resolve) => resolve());
      return;
    }
    const text = this.#buffer;
    this.#buffer = '';
    this.#writing = true;
    this.#options.write(text, () => {
      this.#writing = false;
      this.#flush();
    });
  }
}
