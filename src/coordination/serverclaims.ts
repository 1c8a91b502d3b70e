/**
 * Decides which backend servers an entry VM dispatches to.
 *
 * Rendezvous hashing over the live entry VMs of the server's failure domain selects one. If the
 * domain has none, those of its region are used. The new dispatcher of a server does not use it
 * until the previous one has reported that it is done, or is considered dead, and a settling delay
 * has passed in which a competing claim would have arrived.
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
import type { ClaimedServer } from './dispatchrequests.js';
import { rendezvousOwner } from './rendezvous.js';
import type { ServerPhase } from './slots.js';

/** Settling delay between a claim and its first use. */
export const CLAIM_SETTLE_MS = 1_500;

/** Backend servers that sources other than the settings report as leaving. */
export interface LeavingServers {
  has(id: BackendServerId): boolean;
}

/** Entry VMs that may dispatch in a failure domain. */
interface Candidates {
  readonly ids: readonly EntryVmId[];
  /** All ids joined, for comparison with a cached set of candidates. */
  readonly text: string;
}

interface CachedOwner {
  readonly candidates: string;
  readonly owner: EntryVmId | undefined;
}

export class ServerClaims {
  readonly #self: EntryVmId;

  readonly #regionOf: (domain: FailureDomainId) => RegionId | undefined;

  readonly #settleMs: number;

  readonly #ownerCache = new Map<string, CachedOwner>();

  /** Time of each claim, or of the last restart of its settling delay. */
  readonly #claimedAtMs = new Map<BackendServerId, number>();

  constructor(
    self: EntryVmId,
    regionOf: (domain: FailureDomainId) => RegionId | undefined,
    options: { readonly settleMs?: number } = {},
  ) {
    this.#self = self;
    this.#regionOf = regionOf;
    this.#settleMs = options.settleMs ?? CLAIM_SETTLE_MS;
  }

  /** Currently claimed servers of all services. */
  get claimed(): readonly BackendServerId[] {
    return [...this.#claimedAtMs.keys()];
  }

  /** Drops claims on servers that no longer belong to any service. */
  retain(configured: ReadonlySet<BackendServerId>): void {
    this.#claimedAtMs.forEach((_, id) => {
      if (!configured.has(id)) this.#claimedAtMs.delete(id);
    });
  }

  /**
   * Claims servers of one service.
   *
   * @param members - all live members, this one included.
   * @returns the claimed servers; those still in the settling delay are in phase `claiming`.
   */
  update(
    service: ServiceSettings,
    members: readonly MemberRecord[],
    leavingServers: LeavingServers,
    nowMs: number,
  ): readonly ClaimedServer[] {
    const candidatesByDomain = new Map<FailureDomainId, Candidates>();
    return service.backendServers.flatMap((settings) => {
      const domain = settings.failureDomain;
      const candidates = candidatesByDomain.get(domain) ?? this.#candidates(domain, members);
      candidatesByDomain.set(domain, candidates);
      if (this.#owner(service.name, settings.id, candidates) !== this.#self) {
        this.#claimedAtMs.delete(settings.id);
        return [];
      }
      if (!this.#claimedAtMs.has(settings.id)) this.#claimedAtMs.set(settings.id, nowMs);
      return [{ settings, phase: this.#phase(settings, members, leavingServers, nowMs) }];
    });
  }

  /** Restarts the settling delay of all claims, since others may have claimed them in a pause. */
  restartSettling(nowMs: number): void {
    this.#claimedAtMs.forEach((_, id) => this.#claimedAtMs.set(id, nowMs));
  }

  /** The candidate that dispatches to a server, computed once per set of candidates. */
  #owner(service: ServiceName, id: BackendServerId, candidates: Candidates): EntryVmId | undefined {
    const key = `${service}/${id}`;
    const cached = this.#ownerCache.get(key);
    if (cached?.candidates === candidates.text) return cached.owner;
    const owner = rendezvousOwner(key, candidates.ids);
    this.#ownerCache.set(key, { candidates: candidates.text, owner });
    return owner;
  }

  #candidates(domain: FailureDomainId, members: readonly MemberRecord[]): Candidates {
    const serving = members.filter((member) => member.phase === 'serving');
    const inDomain = serving.filter((member) => member.failureDomain === domain);
    const region = this.#regionOf(domain);
    const chosen =
      inDomain.length > 0
        ? inDomain
        : serving.filter((member) => region && this.#regionOf(member.failureDomain) === region);
    const ids = chosen.map((member) => member.id);
    return { ids, text: ids.join() };
  }

  #phase(
    settings: BackendServerSettings,
    members: readonly MemberRecord[],
    leavingServers: LeavingServers,
    nowMs: number,
  ): ServerPhase {
    if (settings.leaving || leavingServers.has(settings.id)) return 'leaving';
    const others = members.filter((member) => member.id !== this.#self);
    if (others.some((member) => member.dispatching.includes(settings.id))) return 'claiming';
    const claimedAtMs = this.#claimedAtMs.get(settings.id) ?? nowMs;
    return nowMs - claimedAtMs >= this.#settleMs ? 'ready' : 'claiming';
  }
}
