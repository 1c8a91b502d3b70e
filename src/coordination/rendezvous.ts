/**
 * Rendezvous hashing (Thaler and Ravishankar, 1998): holders of the same list agree on who has a
 * job without talking, and a change of the list moves only the jobs of those that came or went.
 */
import { hashText } from '../state/index.js';

/** Candidates for a key, the best first, at most `count`. */
export function rendezvousTop<Id extends string>(
  key: string,
  candidates: readonly Id[],
  count: number,
): readonly Id[] {
  return candidates
    .map((id) => ({ id, score: hashText(`${key}|${id}`) }))
    .sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
    .slice(0, count)
    .map((each) => each.id);
}

/** The candidate that has the job, or undefined when there is none. */
export function rendezvousOwner<Id extends string>(
  key: string,
  candidates: readonly Id[],
): Id | undefined {
  return rendezvousTop(key, candidates, 1)[0];
}
