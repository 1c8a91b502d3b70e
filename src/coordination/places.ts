/** Who dispatches where: an index of live members by service and failure domain, and distances. */
import type {
  BackendServerId,
  EntryVmId,
  FailureDomainId,
  MemberRecord,
  ServiceName,
  ServiceSettings,
  SettingsView,
} from '../state/index.js';

/** Distance between domains of one region, in milliseconds one way. */
const SAME_REGION_MS = 1;

/** Distance assumed where the settings name no link, in milliseconds one way. */
const UNKNOWN_LINK_MS = 1_000;

/** Milliseconds one way between two failure domains, by the settings. */
export function domainDistance(view: SettingsView, a: FailureDomainId, b: FailureDomainId): number {
  if (a === b) return 0;
  const regionA = view.region(a);
  const regionB = view.region(b);
  if (regionA === undefined || regionB === undefined) return UNKNOWN_LINK_MS;
  if (regionA === regionB) return SAME_REGION_MS;
  return view.link(regionA, regionB)?.oneWayMs ?? UNKNOWN_LINK_MS;
}

/** Domains from the nearest to the farthest; ties by name. */
export function byDistance(
  view: SettingsView,
  from: FailureDomainId,
  domains: readonly FailureDomainId[],
): readonly FailureDomainId[] {
  return [...domains].sort(
    (a, b) => domainDistance(view, from, a) - domainDistance(view, from, b) || (a < b ? -1 : 1),
  );
}

/** The entry VMs that dispatch to a service's backend servers in a failure domain. */
export class DispatcherIndex {
  readonly #entries = new Map<string, EntryVmId[]>();

  constructor(services: readonly ServiceSettings[], members: readonly MemberRecord[]) {
    const holders = new Map<BackendServerId, EntryVmId[]>();
    members.forEach((member) =>
      member.dispatching.forEach((id) => {
        holders.set(id, [...(holders.get(id) ?? []), member.id]);
      }),
    );
    services.forEach((service) =>
      service.backendServers.forEach((server) => {
        if (server.leaving) return;
        const key = keyOf(service.name, server.failureDomain);
        const known = this.#entries.get(key) ?? [];
        const added = (holders.get(server.id) ?? []).filter((id) => !known.includes(id));
        this.#entries.set(key, [...known, ...added]);
      }),
    );
  }

  /** Entry VMs that dispatch there; none when nobody does. */
  at(service: ServiceName, domain: FailureDomainId): readonly EntryVmId[] {
    return this.#entries.get(keyOf(service, domain)) ?? [];
  }
}

/** One text for a service in a failure domain, as a key. */
export function keyOf(service: ServiceName, domain: FailureDomainId): string {
  return `${service}|${domain}`;
}
