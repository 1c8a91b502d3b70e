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
import { byDistance } from './places.js';
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
 * Orders entry VMs for callers: by distance from the caller's home, and within a failure domain by
 * rendezvous hashing of the caller, which spreads callers evenly and keeps each where it was.
 *
 * Members by domain, and domains by distance from a home, are worked out once for each list of
 * members.
 */
export class LookupPlanner {
  readonly #view: SettingsView;

  readonly #byDomain = new Map<FailureDomainId, MemberRecord[]>();

  /** Domains with live entry VMs, the nearest first, by home. */
  readonly #orders = new Map<FailureDomainId, readonly FailureDomainId[]>();

  /** @param members - entry VMs believed live. */
  constructor(view: SettingsView, members: readonly MemberRecord[]) {
    this.#view = view;
    members
      .filter((member) => member.phase === 'serving')
      .forEach((member) => {
        const known = this.#byDomain.get(member.failureDomain) ?? [];
        this.#byDomain.set(member.failureDomain, [...known, member]);
      });
  }

  /** @returns at most `MAX_LOOKUP_TARGETS`, or `no_entry_vm` when none serves. */
  plan(caller: string, home: FailureDomainId): Result<LookupAnswer, 'no_entry_vm'> {
    const targets: LookupTarget[] = [];
    for (const domain of this.#order(home)) {
      if (targets.length >= MAX_LOOKUP_TARGETS) break;
      targets.push(...orderInDomain(caller, this.#byDomain.get(domain) ?? []));
    }
    if (targets.length === 0) return Err('no_entry_vm');
    const ttlS = this.#view.fleet?.lookupTtlS ?? DEFAULT_TTL_S;
    return Ok({ targets: targets.slice(0, MAX_LOOKUP_TARGETS), ttlS });
  }

  #order(home: FailureDomainId): readonly FailureDomainId[] {
    const known = this.#orders.get(home);
    if (known !== undefined) return known;
    const order = byDistance(this.#view, home, [...this.#byDomain.keys()]);
    this.#orders.set(home, order);
    return order;
  }
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
