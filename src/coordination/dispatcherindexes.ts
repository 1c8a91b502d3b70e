/** Index of the dispatching entry VMs, and network latency between failure domains. */
import type {
  BackendServerId,
  EntryVmId,
  FailureDomainId,
  MemberRecord,
  ServiceName,
  ServiceSettings,
  SettingsView,
} from '../state/index.js';

/** One-way latency between domains of the same region. */
const SAME_REGION_LATENCY_MS = 1;

/** One-way latency assumed where the settings define no link. */
const DEFAULT_LINK_LATENCY_MS = 1_000;

/** One-way latency between two failure domains according to the settings. */
export function domainLatencyMs(
  view: SettingsView,
  a: FailureDomainId,
  b: FailureDomainId,
): number {
  if (a === b) return 0;
  const regionA = view.region(a);
  const regionB = view.region(b);
  if (regionA === undefined || regionB === undefined) return DEFAULT_LINK_LATENCY_MS;
  if (regionA === regionB) return SAME_REGION_LATENCY_MS;
  return view.link(regionA, regionB)?.oneWayMs ?? DEFAULT_LINK_LATENCY_MS;
}

/** Sorts domains by latency, nearest first, then by name. */
export function sortByLatency(
  view: SettingsView,
  from: FailureDomainId,
  domains: readonly FailureDomainId[],
): readonly FailureDomainId[] {
  return [...domains].sort(
    (a, b) => domainLatencyMs(view, from, a) - domainLatencyMs(view, from, b) || (a < b ? -1 : 1),
  );
}

/** The entry VMs that dispatch to a service's backend servers in a failure domain. */
export class DispatcherIndex {
  /** Entry VMs by service and failure domain, see `dispatcherKey`. */
  readonly #entryVms = new Map<string, EntryVmId[]>();

  constructor(services: readonly ServiceSettings[], members: readonly MemberRecord[]) {
    const dispatchersByServer = new Map<BackendServerId, EntryVmId[]>();
    members.forEach((member) =>
      member.dispatching.forEach((id) => {
        dispatchersByServer.set(id, [...(dispatchersByServer.get(id) ?? []), member.id]);
      }),
    );
    services.forEach((service) =>
      service.backendServers.forEach((server) => {
        if (server.leaving) return;
        const key = dispatcherKey(service.name, server.failureDomain);
        const current = this.#entryVms.get(key) ?? [];
        const added = (dispatchersByServer.get(server.id) ?? []).filter(
          (id) => !current.includes(id),
        );
        this.#entryVms.set(key, [...current, ...added]);
      }),
    );
  }

  /** Entry VMs that dispatch to the service in the domain; may be empty. */
  entryVmsFor(service: ServiceName, domain: FailureDomainId): readonly EntryVmId[] {
    return this.#entryVms.get(dispatcherKey(service, domain)) ?? [];
  }
}

/** Map key of a service in a failure domain. */
export function dispatcherKey(service: ServiceName, domain: FailureDomainId): string {
  return `${service}|${domain}`;
}
