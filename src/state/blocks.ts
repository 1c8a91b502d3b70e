/**
 * Longest-prefix-match table from client blocks to small integers, for IPv4 and IPv6.
 *
 * Each prefix length has an open-addressing hash table in typed arrays; a lookup probes the lengths
 * in use, longest first. A change touches single slots, so it does not block the event loop.
 */
import ipaddr from 'ipaddr.js';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

const WORDS_PER_ADDRESS = 4;
const EMPTY = -1;
const REMOVED = -2;
const MIN_SLOTS = 16;
const MAX_LOAD_FACTOR = 0.6;
const IPV4_BITS = 32;
const IPV6_BITS = 128;

/** An address as four 32-bit words; IPv4 uses only the first. */
export interface AddressWords {
  readonly family: 4 | 6;
  readonly words: Uint32Array;
}

export interface ParsedBlock extends AddressWords {
  readonly length: number;
}

function packWords(bytes: readonly number[]): Uint32Array {
  const words = new Uint32Array(WORDS_PER_ADDRESS);
  bytes.forEach((byte, i) => {
    const index = Math.floor(i / 4);

    words[index] = ((words[index] ?? 0) << 8) | byte;
  });
  return words;
}

/** Parses a numeric address; an IPv4-mapped IPv6 address is treated as IPv4. */
export function parseAddress(text: string): Result<AddressWords, 'invalid_address'> {
  if (!ipaddr.isValid(text)) return Err('invalid_address');
  const addr = ipaddr.process(text);
  return Ok({ family: addr.kind() === 'ipv4' ? 4 : 6, words: packWords(addr.toByteArray()) });
}

/** Parses `address/length`; bits beyond the prefix length must be zero. */
export function parseBlock(text: string): Result<ParsedBlock, 'invalid_block'> {
  if (!ipaddr.isValidCIDR(text)) return Err('invalid_block');
  const [addr, length] = ipaddr.parseCIDR(text);
  const words = packWords(addr.toByteArray());
  const masked = maskAddress(words, length);
  if (masked.some((word, i) => word !== words[i])) return Err('invalid_block');
  return Ok({ family: addr.kind() === 'ipv4' ? 4 : 6, words, length });
}

function maskWord(word: number, bits: number): number {
  if (bits <= 0) return 0;
  if (bits >= 32) return word;
  return (word & (0xffffffff << (32 - bits))) >>> 0;
}

function maskAddress(words: Uint32Array, length: number): Uint32Array {
  return words.map((word, i) => maskWord(word, length - i * 32));
}

function hashWords(words: Uint32Array, count: number): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < count; i += 1) {
    hash = Math.imul(hash ^ (words[i] ?? 0), 0x85ebca6b);
    hash ^= hash >>> 15;
    hash = Math.imul(hash, 0xc2b2ae35);
    hash ^= hash >>> 13;
  }
  return hash >>> 0;
}

/** Hash table of the prefixes of one length. */
class LengthTable {
  #keys: Uint32Array;

  #values: Int32Array;

  /** Slots that are not empty, removed ones included. */
  #usedSlots = 0;

  #liveSlots = 0;

  readonly #wordsPerKey: number;

  constructor(wordsPerKey: number) {
    this.#wordsPerKey = wordsPerKey;
    this.#keys = new Uint32Array(MIN_SLOTS * wordsPerKey);
    this.#values = new Int32Array(MIN_SLOTS).fill(EMPTY);
  }

  get size(): number {
    return this.#liveSlots;
  }

  get bytes(): number {
    return this.#keys.byteLength + this.#values.byteLength;
  }

  get(key: Uint32Array): number {
    const slot = this.#find(key);
    const value = this.#values[slot] ?? EMPTY;
    return value >= 0 ? value : EMPTY;
  }

  set(key: Uint32Array, value: number): void {
    if (this.#usedSlots + 1 > this.#values.length * MAX_LOAD_FACTOR) this.#rehash();
    const slot = this.#find(key);
    if (this.#values[slot] === EMPTY) {
      this.#keys.set(key.subarray(0, this.#wordsPerKey), slot * this.#wordsPerKey);
      this.#usedSlots += 1;
    }
    if ((this.#values[slot] ?? EMPTY) < 0) this.#liveSlots += 1;
    this.#values[slot] = value;
  }

  delete(key: Uint32Array): void {
    const slot = this.#find(key);
    if ((this.#values[slot] ?? EMPTY) < 0) return;
    this.#values[slot] = REMOVED;
    this.#liveSlots -= 1;
  }

  /** Returns the slot that holds the key, or the empty slot where it would be inserted. */
  #find(key: Uint32Array): number {
    const slots = this.#values.length;
    let slot = hashWords(key, this.#wordsPerKey) % slots;
    while (this.#values[slot] !== EMPTY && !this.#hasKeyAt(slot, key)) {
      slot = slot + 1 === slots ? 0 : slot + 1;
    }
    return slot;
  }

  #hasKeyAt(slot: number, key: Uint32Array): boolean {
    for (let i = 0; i < this.#wordsPerKey; i += 1) {
      if (this.#keys[slot * this.#wordsPerKey + i] !== key[i]) return false;
    }
    return true;
  }

  #rehash(): void {
    const oldKeys = this.#keys;
    const oldValues = this.#values;
    const slots = Math.max(MIN_SLOTS, Math.ceil((this.#liveSlots * 2) / MAX_LOAD_FACTOR));
    this.#keys = new Uint32Array(slots * this.#wordsPerKey);
    this.#values = new Int32Array(slots).fill(EMPTY);
    this.#usedSlots = 0;
    this.#liveSlots = 0;
    oldValues.forEach((value, i) => {
      if (value < 0) return;
      this.set(oldKeys.subarray(i * this.#wordsPerKey, (i + 1) * this.#wordsPerKey), value);
    });
  }
}

/** Prefixes of one address family. */
class FamilyTable {
  readonly #tableByLength = new Map<number, LengthTable>();

  #lengths: number[] = [];

  readonly #wordsPerKey: number;

  constructor(bits: number) {
    this.#wordsPerKey = bits / 32;
  }

  get size(): number {
    return [...this.#tableByLength.values()].reduce((sum, table) => sum + table.size, 0);
  }

  get bytes(): number {
    return [...this.#tableByLength.values()].reduce((sum, table) => sum + table.bytes, 0);
  }

  set(key: Uint32Array, length: number, value: number): void {
    let table = this.#tableByLength.get(length);
    if (table === undefined) {
      table = new LengthTable(this.#wordsPerKey);
      this.#tableByLength.set(length, table);
      this.#lengths = [...this.#tableByLength.keys()].sort((a, b) => b - a);
    }
    table.set(key, value);
  }

  delete(key: Uint32Array, length: number): void {
    this.#tableByLength.get(length)?.delete(key);
  }

  lookup(words: Uint32Array): number {
    const key = new Uint32Array(WORDS_PER_ADDRESS);
    for (const length of this.#lengths) {
      for (let i = 0; i < this.#wordsPerKey; i += 1)
        key[i] = maskWord(words[i] ?? 0, length - i * 32);
      const value = this.#tableByLength.get(length)?.get(key) ?? EMPTY;
      if (value >= 0) return value;
    }
    return EMPTY;
  }
}

/** Maps client blocks to non-negative integers by longest-prefix match. */
export class BlockTable {
  readonly #v4 = new FamilyTable(IPV4_BITS);

  readonly #v6 = new FamilyTable(IPV6_BITS);

  /** Number of blocks. */
  get size(): number {
    return this.#v4.size + this.#v6.size;
  }

  /** Memory used by the typed arrays, in bytes. */
  get bytes(): number {
    return this.#v4.bytes + this.#v6.bytes;
  }

  /** @param value - a non-negative integer. */
  set(block: ParsedBlock, value: number): void {
    this.#family(block.family).set(block.words, block.length, value);
  }

  delete(block: ParsedBlock): void {
    this.#family(block.family).delete(block.words, block.length);
  }

  /** @returns the value of the longest block that contains the address, or undefined. */
  lookup(address: AddressWords): number | undefined {
    const value = this.#family(address.family).lookup(address.words);
    return value < 0 ? undefined : value;
  }

  #family(family: 4 | 6): FamilyTable {
    return family === 4 ? this.#v4 : this.#v6;
  }
}
