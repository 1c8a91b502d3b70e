/** Seeded random number generators for a run. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Returns an integer from 0 to `count` - 1. */
export type RandomInteger = (count: number) => number;

export function createRandomInteger(seed: number): RandomInteger {
  const rng = xoroshiro128plus(seed);
  return (count) => uniformInt(rng, 0, count - 1);
}
