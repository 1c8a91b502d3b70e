/** Random numbers of one run, from its seed. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A whole number from 0 to below `count`. */
export type Random = (count: number) => number;

export function randomOf(seed: number): Random {
  const rng = xoroshiro128plus(seed);
  return (count) => uniformInt(rng, 0, count - 1);
}
