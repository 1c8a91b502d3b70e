/** Answers lookups: the entry VMs that a caller should use, in order of preference. */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type {
  Endpoint,
  EntryVmId,
  FailureDomainId,
  MemberRecord,
  SettingsView,
} from '../state/index.js';
import { formatRequestIdPrefix } from './requestowners.js';
import { sortByLatency } from './dispatcherindexes.js';
import { rendezvousTop } from './rendezvous.js';

/** Most entry VMs in one answer. */
export const MAX_LOOKUP_TARGETS = 4;

/** An entry VM in the answer to a lookup. */
export interface LookupTarget {
  readonly entryVm: EntryVmId;
  readonly address: Endpoint;
  readonly failureDomain: FailureDomainId;
  /** Prefix of the ids of requests sent to this entry VM. */
  readonly requestIdPrefix: string;
}

/** The answer to a lookup. */
export interface LookupAnswer {
  readonly targets: readonly LookupTarget[];
  readonly ttlS: number;
}

const DEFAULT_TTL_S = 30;

/**
 * Orders entry VMs for callers: by distance from the caller's home, and within a failure domain by
 * rendezvous hashing of the caller, which spreads callers evenly and keeps assignments stable.
 *
 * Members are grouped by domain once per member list, and the order of domains is cached per home.
 */
export class LookupPlanner {
  readonly #view: SettingsView;

  readonly #membersByDomain = new Map<FailureDomainId, MemberRecord[]>();

  /** Failure domains with live entry VMs, nearest first, by home. */
  readonly #domainsByHome = new Map<FailureDomainId, readonly FailureDomainId[]>();

  /** @param members - entry VMs considered live. */
  constructor(view: SettingsView, members: readonly MemberRecord[]) {
    this.#view = view;
    members
      .filter((member) => member.phase === 'serving')
      .forEach((member) => {
        const domainMembers = this.#membersByDomain.get(member.failureDomain) ?? [];
        this.#membersByDomain.set(member.failureDomain, [...domainMembers, member]);
      });
  }

  /** @returns at most `MAX_LOOKUP_TARGETS` targets, or `no_entry_vm` if no entry VM is serving. */
  plan(caller: string, home: FailureDomainId): Result<LookupAnswer, 'no_entry_vm'> {
    const targets: LookupTarget[] = [];
    for (const domain of this.#domainsNearestFirst(home)) {
      if (targets.length >= MAX_LOOKUP_TARGETS) break;
      targets.push(...targetsInDomain(caller, this.#membersByDomain.get(domain) ?? []));
    }
    if (targets.length === 0) return Err('no_entry_vm');
    const ttlS = this.#view.fleet?.lookupTtlS ?? DEFAULT_TTL_S;
    return Ok({ targets: targets.slice(0, MAX_LOOKUP_TARGETS), ttlS });
  }

  #domainsNearestFirst(home: FailureDomainId): readonly FailureDomainId[] {
    const cached = this.#domainsByHome.get(home);
    if (cached !== undefined) return cached;
    const domains = sortByLatency(this.#view, home, [...this.#membersByDomain.keys()]);
    this.#domainsByHome.set(home, domains);
    return domains;
  }
}

function targetsInDomain(caller: string, members: readonly MemberRecord[]): LookupTarget[] {
  const orderedIds = rendezvousTop(
    caller,
    members.map((member) => member.id),
    MAX_LOOKUP_TARGETS,
  );
  return orderedIds.flatMap((id) =>
    members.filter((member) => member.id === id).map(toLookupTarget),
  );
}

function toLookupTarget(member: MemberRecord): LookupTarget {
  return {
    entryVm: member.id,
    address: member.callerAddress,
    failureDomain: member.failureDomain,
    requestIdPrefix: formatRequestIdPrefix({
      entryVm: member.id,
      incarnation: member.incarnation,
      epoch: member.epoch,
    }),
  };
}
