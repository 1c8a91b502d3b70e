/**
 * Rendezvous hashing (Thaler and Ravishankar, 1998): nodes with the same candidate list agree on
 * the owner of a key without communication, and a change of the list moves only the keys of the
 * added or removed candidates.
 */
import { hashText } from '../state/index.js';

/** The `count` highest-ranked candidates for a key, best first. */
export function rendezvousTop<Id extends string>(
  key: string,
  candidates: readonly Id[],
  count: number,
): readonly Id[] {
  return candidates
    .map((id) => ({ id, score: hashText(`${key}|${id}`) }))
    .sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
    .slice(0, count)
    .map((candidate) => candidate.id);
}

/** Owner of a key; undefined without candidates. */
export function rendezvousOwner<Id extends string>(
  key: string,
  candidates: readonly Id[],
): Id | undefined {
  return rendezvousTop(key, candidates, 1)[0];
}
