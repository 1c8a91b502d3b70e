/** Hashes for placement and digests. Not for content that someone may forge. */
import xxhash from 'xxhash-wasm';

const { h32 } = await xxhash();

/** XXH32 of a text's UTF-8 bytes. */
export function hashText(text: string): number {
  return h32(text);
}
