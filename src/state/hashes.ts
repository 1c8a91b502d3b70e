/** Non-cryptographic hashes for placement and digests; not safe for content that can be forged. */
import xxhash from 'xxhash-wasm';

const { h32 } = await xxhash();

/** Returns the XXH32 hash of the text's UTF-8 bytes. */
export function hashText(text: string): number {
  return h32(text);
}
