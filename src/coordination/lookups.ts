/** Answers look-ups: which entry VMs a caller should use, in order. */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type {
  Endpoint,
  EntryVmId,
  FailureDomainId,
  MemberRecord,
  SettingsView,
} from '../state/index.js';
import { formatPrefix } from './owners.js';
import { domainDistance } from './places.js';
import { rendezvousTop } from './rendezvous.js';

/** Entry VMs named in one answer. */
export const MAX_LOOKUP_TARGETS = 4;

/** One entry VM in a look-up's answer. */
export interface LookupTarget {
  readonly entryVm: EntryVmId;
  readonly address: Endpoint;
  readonly failureDomain: FailureDomainId;
  /** What ids of requests that are sent to it begin with. */
  readonly requestIdPrefix: string;
}

/** The answer to a look-up. */
export interface LookupAnswer {
  readonly targets: readonly LookupTarget[];
  readonly ttlS: number;
}

const DEFAULT_TTL_S = 30;

/**
 * Orders entry VMs for one caller: by distance from its home, and within a failure domain by
 * rendezvous hashing of the caller, which spreads callers evenly and keeps each where it was.
 *
 * @param members - entry VMs believed live.
 * @returns at most `MAX_LOOKUP_TARGETS`, or `no_entry_vm` when none serves.
 */
export function planLookup(
  view: SettingsView,
  caller: string,
  home: FailureDomainId,
  members: readonly MemberRecord[],
): Result<LookupAnswer, 'no_entry_vm'> {
  const serving = members.filter((member) => member.phase === 'serving');
  const domains = [...new Set(serving.map((member) => member.failureDomain))].sort(
    (a, b) => domainDistance(view, home, a) - domainDistance(view, home, b),
  );
  const targets: LookupTarget[] = [];
  domains.forEach((domain) => {
    if (targets.length >= MAX_LOOKUP_TARGETS) return;
    const inDomain = serving.filter((member) => member.failureDomain === domain);
    targets.push(...orderInDomain(caller, inDomain));
  });
  if (targets.length === 0) return Err('no_entry_vm');
  const ttlS = view.fleet?.lookupTtlS ?? DEFAULT_TTL_S;
  return Ok({ targets: targets.slice(0, MAX_LOOKUP_TARGETS), ttlS });
}

function orderInDomain(caller: string, members: readonly MemberRecord[]): LookupTarget[] {
  const order = rendezvousTop(
    caller,
    members.map((member) => member.id),
    MAX_LOOKUP_TARGETS,
  );
  return order.flatMap((id) => members.filter((member) => member.id === id).map(targetOf));
}

function targetOf(member: MemberRecord): LookupTarget {
  return {
    entryVm: member.id,
    address: member.callerAddress,
    failureDomain: member.failureDomain,
    requestIdPrefix: formatPrefix({
      entryVm: member.id,
      incarnation: member.incarnation,
      epoch: member.epoch,
    }),
  };
}
