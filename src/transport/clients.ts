/** An HTTP client for answers that are read whole. */
import got from 'got';
import type { Got } from 'got';

/**
 * Largest answer of a store or another entry VM that is read, in bytes: a hundred times the facts of a
 * thousand backend servers, and a tenth of a small VM's memory.
 */
export const MAX_ANSWER_BYTES = 32_000_000;

/**
 * Makes a client that gives an answer up once it has more bytes than allowed: one in trouble may send
 * bytes without end, and a time alone does not bound the memory that they take.
 */
export function boundedGot(maxBytes: number): Got {
  return got.extend({
    handlers: [
      (options, next) => {
        const call = next(options);
        if ('cancel' in call) {
          call.on('downloadProgress', ({ transferred }) => {
            if (transferred > maxBytes) call.cancel();
          });
        }
        return call;
      },
    ],
  });
}
