/** An HTTP client that limits the size of responses. */
import got from 'got';
import type { Got } from 'got';

/**
 * Maximum size of a response from the store or another entry VM: a hundred times the facts of a thousand
 * backend servers, and a tenth of a small VM's memory.
 */
export const MAX_RESPONSE_BYTES = 32_000_000;

/**
 * Creates a client that cancels a call once its response exceeds `maxBytes`. A faulty server may send
 * bytes endlessly, and a timeout alone does not limit the memory that they use.
 */
export function createBoundedClient(maxBytes: number): Got {
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
