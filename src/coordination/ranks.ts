/** Classifies requests by the rules of their service. */
import type { Rank, RankRule, ServiceSettings } from '../state/index.js';

/** How a service's settings classify a request. */
export interface RequestClass {
  readonly rank: Rank;
  readonly idempotent: boolean;
}

const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);

/** Matches a path against a pattern: `*` matches one segment, a trailing `**` any remainder. */
export function matchesPath(pattern: string, path: string): boolean {
  const patternSegments = pattern.split('/');
  const pathSegments = path.split('/');
  for (let i = 0; i < patternSegments.length; i += 1) {
    if (patternSegments[i] === '**') return i === patternSegments.length - 1;
    if (pathSegments[i] === undefined) return false;
    if (patternSegments[i] !== '*' && patternSegments[i] !== pathSegments[i]) return false;
  }
  return patternSegments.length === pathSegments.length;
}

function matchesRule(rule: RankRule, method: string, path: string): boolean {
  return rule.methods.some((allowed) => allowed === method) && matchesPath(rule.path, path);
}

/**
 * Classifies a request. Without a matching rule it is interactive, and idempotent if its method is
 * safe (RFC 9110, section 9.2.1).
 *
 * @param path - the path after the service name, with the leading slash and without the query.
 */
export function classifyRequest(
  service: ServiceSettings,
  method: string,
  path: string,
): RequestClass {
  const rule = service.rules.find((candidate) => matchesRule(candidate, method, path));
  if (rule !== undefined) return { rank: rule.rank, idempotent: rule.idempotent };
  return { rank: 'interactive', idempotent: SAFE_METHODS.has(method) };
}
