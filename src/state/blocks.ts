/**
 * Longest-prefix table from client blocks to small integers, for IPv4 and IPv6.
 *
 * Each prefix length has an open-addressing hash table in typed arrays; a look-up probes the lengths
 * in use from the longest down. A delta touches single slots, so it never stops the event loop.
 */
import ipaddr from 'ipaddr.js';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

const WORDS = 4;
const EMPTY = -1;
const REMOVED = -2;
const MIN_SLOTS = 16;
const MAX_LOAD = 0.6;
const IPV4_BITS = 32;
const IPV6_BITS = 128;

/** An address as four 32-bit words; IPv4 uses the first alone. */
export interface AddressWords {
  readonly family: 4 | 6;
  readonly words: Uint32Array;
}

export interface ParsedBlock extends AddressWords {
  readonly length: number;
}

function wordsOf(bytes: readonly number[]): Uint32Array {
  const words = new Uint32Array(WORDS);
  bytes.forEach((byte, i) => {
    const at = Math.floor(i / 4);

    words[at] = ((words[at] ?? 0) << 8) | byte;
  });
  return words;
}

/** Parses a numeric address; IPv4-mapped IPv6 counts as IPv4. */
export function parseAddress(text: string): Result<AddressWords, 'invalid_address'> {
  if (!ipaddr.isValid(text)) return Err('invalid_address');
  const addr = ipaddr.process(text);
  return Ok({ family: addr.kind() === 'ipv4' ? 4 : 6, words: wordsOf(addr.toByteArray()) });
}

/** Parses `address/length`; bits after the length must be zero. */
export function parseBlock(text: string): Result<ParsedBlock, 'invalid_block'> {
  if (!ipaddr.isValidCIDR(text)) return Err('invalid_block');
  const [addr, length] = ipaddr.parseCIDR(text);
  const words = wordsOf(addr.toByteArray());
  const masked = masks(words, length);
  if (masked.some((word, i) => word !== words[i])) return Err('invalid_block');
  return Ok({ family: addr.kind() === 'ipv4' ? 4 : 6, words, length });
}

function maskWord(word: number, bits: number): number {
  if (bits <= 0) return 0;
  if (bits >= 32) return word;
  return (word & (0xffffffff << (32 - bits))) >>> 0;
}

function masks(words: Uint32Array, length: number): Uint32Array {
  return words.map((word, i) => maskWord(word, length - i * 32));
}

function hashWords(words: Uint32Array, used: number): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < used; i += 1) {
    hash = Math.imul(hash ^ (words[i] ?? 0), 0x85ebca6b);
    hash ^= hash >>> 15;
    hash = Math.imul(hash, 0xc2b2ae35);
    hash ^= hash >>> 13;
  }
  return hash >>> 0;
}

/** The prefixes of one length. */
class LengthTable {
  #keys: Uint32Array;

  #values: Int32Array;

  #used = 0;

  #live = 0;

  readonly #words: number;

  constructor(words: number) {
    this.#words = words;
    this.#keys = new Uint32Array(MIN_SLOTS * words);
    this.#values = new Int32Array(MIN_SLOTS).fill(EMPTY);
  }

  get size(): number {
    return this.#live;
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
    if (this.#used + 1 > this.#values.length * MAX_LOAD) this.#resize();
    const slot = this.#find(key);
    if (this.#values[slot] === EMPTY) {
      this.#keys.set(key.subarray(0, this.#words), slot * this.#words);
      this.#used += 1;
    }
    if ((this.#values[slot] ?? EMPTY) < 0) this.#live += 1;
    this.#values[slot] = value;
  }

  delete(key: Uint32Array): void {
    const slot = this.#find(key);
    if ((this.#values[slot] ?? EMPTY) < 0) return;
    this.#values[slot] = REMOVED;
    this.#live -= 1;
  }

  /** The slot that holds the key, or the empty one where it would go. */
  #find(key: Uint32Array): number {
    const slots = this.#values.length;
    let slot = hashWords(key, this.#words) % slots;
    while (this.#values[slot] !== EMPTY && !this.#holds(slot, key)) {
      slot = slot + 1 === slots ? 0 : slot + 1;
    }
    return slot;
  }

  #holds(slot: number, key: Uint32Array): boolean {
    for (let i = 0; i < this.#words; i += 1) {
      if (this.#keys[slot * this.#words + i] !== key[i]) return false;
    }
    return true;
  }

  #resize(): void {
    const oldKeys = this.#keys;
    const oldValues = this.#values;
    const slots = Math.max(MIN_SLOTS, Math.ceil((this.#live * 2) / MAX_LOAD));
    this.#keys = new Uint32Array(slots * this.#words);
    this.#values = new Int32Array(slots).fill(EMPTY);
    this.#used = 0;
    this.#live = 0;
    oldValues.forEach((value, i) => {
      if (value < 0) return;
      this.set(oldKeys.subarray(i * this.#words, (i + 1) * this.#words), value);
    });
  }
}

/** The blocks of one address family. */
class FamilyTable {
  readonly #tables = new Map<number, LengthTable>();

  #lengths: number[] = [];

  readonly #words: number;

  constructor(bits: number) {
    this.#words = bits / 32;
  }

  get size(): number {
    return [...this.#tables.values()].reduce((sum, table) => sum + table.size, 0);
  }

  get bytes(): number {
    return [...this.#tables.values()].reduce((sum, table) => sum + table.bytes, 0);
  }

  set(key: Uint32Array, length: number, value: number): void {
    let table = this.#tables.get(length);
    if (table === undefined) {
      table = new LengthTable(this.#words);
      this.#tables.set(length, table);
      this.#lengths = [...this.#tables.keys()].sort((a, b) => b - a);
    }
    table.set(key, value);
  }

  delete(key: Uint32Array, length: number): void {
    this.#tables.get(length)?.delete(key);
  }

  lookup(words: Uint32Array): number {
    const key = new Uint32Array(WORDS);
    for (const length of this.#lengths) {
      for (let i = 0; i < this.#words; i += 1) key[i] = maskWord(words[i] ?? 0, length - i * 32);
      const value = this.#tables.get(length)?.get(key) ?? EMPTY;
      if (value >= 0) return value;
    }
    return EMPTY;
  }
}

/** Maps client blocks to site numbers by longest prefix. */
export class BlockTable {
  readonly #v4 = new FamilyTable(IPV4_BITS);

  readonly #v6 = new FamilyTable(IPV6_BITS);

  /** Blocks held. */
  get size(): number {
    return this.#v4.size + this.#v6.size;
  }

  /** Bytes of the typed arrays. */
  get bytes(): number {
    return this.#v4.bytes + this.#v6.bytes;
  }

  /** @param site - a number from 0 up. */
  set(block: ParsedBlock, site: number): void {
    this.#family(block.family).set(block.words, block.length, site);
  }

  delete(block: ParsedBlock): void {
    this.#family(block.family).delete(block.words, block.length);
  }

  /** @returns the site of the longest block that holds the address, or undefined. */
  lookup(addr: AddressWords): number | undefined {
    const value = this.#family(addr.family).lookup(addr.words);
    return value < 0 ? undefined : value;
  }

  #family(family: 4 | 6): FamilyTable {
    return family === 4 ? this.#v4 : this.#v6;
  }
}
