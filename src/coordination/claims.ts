/**
 * Decides which backend servers an entry VM dispatches to.
 *
 * Rendezvous hashing over the live entry VMs of the server's failure domain names one; while the
 * domain has none, those of its region stand in. A server that changes hands is not used by its new dispatcher before the old one has said that it is done, or is
 * believed dead, and a settling time has passed in which a rival claim would have been heard.
 */
import type {
  BackendServerId,
  BackendServerSettings,
  EntryVmId,
  FailureDomainId,
  MemberRecord,
  RegionId,
  ServiceName,
  ServiceSettings,
} from '../state/index.js';
import type { ClaimedServer } from './works.js';
import { rendezvousOwner } from './rendezvous.js';
import type { ServerPhase } from './slots.js';

/** Time between a claim and its first use, in milliseconds. */
export const CLAIM_SETTLE_MS = 1_500;

/** Signs that a backend server is leaving, other than its settings. */
export interface LeavingSigns {
  has(id: BackendServerId): boolean;
}

/** Entry VMs that may dispatch in a failure domain. */
interface Candidates {
  readonly ids: readonly EntryVmId[];
  /** All ids in one text, to compare. */
  readonly text: string;
}

interface KnownOwner {
  readonly candidates: string;
  readonly owner: EntryVmId | undefined;
}

export class ServerClaims {
  readonly #self: EntryVmId;

  readonly #regionOf: (domain: FailureDomainId) => RegionId | undefined;

  readonly #settleMs: number;

  readonly #owners = new Map<string, KnownOwner>();

  /** When each claim was first made. */
  readonly #claimedMs = new Map<BackendServerId, number>();

  constructor(
    self: EntryVmId,
    regionOf: (domain: FailureDomainId) => RegionId | undefined,
    options: { readonly settleMs?: number } = {},
  ) {
    this.#self = self;
    this.#regionOf = regionOf;
    this.#settleMs = options.settleMs ?? CLAIM_SETTLE_MS;
  }

  /** Servers claimed now, of all services. */
  get claimed(): readonly BackendServerId[] {
    return [...this.#claimedMs.keys()];
  }

  /** Drops claims on servers that are in no service any more. */
  retain(known: ReadonlySet<BackendServerId>): void {
    this.#claimedMs.forEach((_, id) => {
      if (!known.has(id)) this.#claimedMs.delete(id);
    });
  }

  /**
   * Claims servers of one service.
   *
   * @param members - all live members, this one included.
   * @returns the claimed servers, those that are not settled yet in phase `claiming`.
   */
  update(
    service: ServiceSettings,
    members: readonly MemberRecord[],
    signs: LeavingSigns,
    nowMs: number,
  ): readonly ClaimedServer[] {
    const candidates = new Map<FailureDomainId, Candidates>();
    return service.backendServers.flatMap((settings) => {
      const domain = settings.failureDomain;
      const known = candidates.get(domain) ?? this.#candidates(domain, members);
      candidates.set(domain, known);
      if (this.#owner(service.name, settings.id, known) !== this.#self) {
        this.#claimedMs.delete(settings.id);
        return [];
      }
      if (!this.#claimedMs.has(settings.id)) this.#claimedMs.set(settings.id, nowMs);
      return [{ settings, phase: this.#phase(settings, members, signs, nowMs) }];
    });
  }

  /** Settles all claims anew, after a pause in which others may have taken them over. */
  resettle(nowMs: number): void {
    this.#claimedMs.forEach((_, id) => this.#claimedMs.set(id, nowMs));
  }

  /** The one candidate that dispatches to a server, worked out once for each set of candidates. */
  #owner(service: ServiceName, id: BackendServerId, candidates: Candidates): EntryVmId | undefined {
    const key = `${service}/${id}`;
    const known = this.#owners.get(key);
    if (known?.candidates === candidates.text) return known.owner;
    const owner = rendezvousOwner(key, candidates.ids);
    this.#owners.set(key, { candidates: candidates.text, owner });
    return owner;
  }

  #candidates(domain: FailureDomainId, members: readonly MemberRecord[]): Candidates {
    const serving = members.filter((member) => member.phase === 'serving');
    const inDomain = serving.filter((member) => member.failureDomain === domain);
    const region = this.#regionOf(domain);
    const chosen =
      inDomain.length > 0
        ? inDomain
        : serving.filter((each) => region && this.#regionOf(each.failureDomain) === region);
    const ids = chosen.map((member) => member.id);
    return { ids, text: ids.join() };
  }

  #phase(
    settings: BackendServerSettings,
    members: readonly MemberRecord[],
    signs: LeavingSigns,
    nowMs: number,
  ): ServerPhase {
    if (settings.leaving || signs.has(settings.id)) return 'leaving';
    const others = members.filter((member) => member.id !== this.#self);
    if (others.some((member) => member.dispatching.includes(settings.id))) return 'claiming';
    const claimedMs = this.#claimedMs.get(settings.id) ?? nowMs;
    return nowMs - claimedMs >= this.#settleMs ? 'ready' : 'claiming';
  }
}
