/** Tells the rank of a request from its service's settings. */
import type { Rank, RankRule, ServiceSettings } from '../state/index.js';

/** What the settings say of a request. */
export interface Classification {
  readonly rank: Rank;
  readonly idempotent: boolean;
}

const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);

/** Matches a path against a pattern: `*` is one segment, a last `**` any rest. */
export function matchesPath(pattern: string, path: string): boolean {
  const wanted = pattern.split('/');
  const given = path.split('/');
  for (let i = 0; i < wanted.length; i += 1) {
    if (wanted[i] === '**') return i === wanted.length - 1;
    if (given[i] === undefined) return false;
    if (wanted[i] !== '*' && wanted[i] !== given[i]) return false;
  }
  return wanted.length === given.length;
}

function matchesRule(rule: RankRule, method: string, path: string): boolean {
  return rule.methods.some((each) => each === method) && matchesPath(rule.path, path);
}

/**
 * Classifies a request. Without a matching rule it is interactive, and idempotent when its method
 * is safe (RFC 9110, section 9.2.1).
 *
 * @param path - the path after the service's name, with its first slash and without a query.
 */
export function classify(service: ServiceSettings, method: string, path: string): Classification {
  const rule = service.rules.find((each) => matchesRule(each, method, path));
  if (rule !== undefined) return { rank: rule.rank, idempotent: rule.idempotent };
  return { rank: 'interactive', idempotent: SAFE_METHODS.has(method) };
}
