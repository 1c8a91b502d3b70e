/** The settings in force, assembled from replicated items and indexed for lookups. */
import { BlockTable, parseAddress, parseBlock } from './blocks.js';
import { FLEET_PATH, checkSettings, failureDomainsOf } from './settingschecks.js';
import type {
  BackendServerId,
  FailureDomainId,
  RegionId,
  ServiceName,
  SettingsPath,
} from './ids.js';
import { ReplicaKey } from './replicas.js';
import type { ReplicaItem } from './replicas.js';
import { StoredSettings } from './changes.js';
import type {
  BackendServerSettings,
  FleetSettings,
  LinkSettings,
  ServiceSettings,
} from './settingsschemas.js';

const SETTINGS_PREFIX = 'settings:';

/** Returns the replica key of a settings path. */
export function settingsKey(path: SettingsPath): ReplicaKey {
  return ReplicaKey.parse(`${SETTINGS_PREFIX}${path}`);
}

/** Returns the path of a settings key, or undefined for other kinds of item. */
export function settingsPathOf(key: ReplicaKey): SettingsPath | undefined {
  return key.startsWith(SETTINGS_PREFIX)
    ? (key.slice(SETTINGS_PREFIX.length) as SettingsPath)
    : undefined;
}

/** Settings of the fleet and of all services, as currently known to this process. */
export class SettingsView {
  #fleet: FleetSettings | undefined;

  readonly #serviceByName = new Map<ServiceName, ServiceSettings>();

  readonly #nameByPath = new Map<SettingsPath, ServiceName>();

  readonly #regionByDomain = new Map<FailureDomainId, RegionId>();

  readonly #domains: FailureDomainId[] = [];

  #clientBlocks = new BlockTable();

  get fleet(): FleetSettings | undefined {
    return this.#fleet;
  }

  get services(): readonly ServiceSettings[] {
    return [...this.#serviceByName.values()];
  }

  /** Service names by settings path. */
  get servicePaths(): ReadonlyMap<SettingsPath, ServiceName> {
    return this.#nameByPath;
  }

  service(name: ServiceName): ServiceSettings | undefined {
    return this.#serviceByName.get(name);
  }

  region(domain: FailureDomainId): RegionId | undefined {
    return this.#regionByDomain.get(domain);
  }

  /** Returns the home failure domain of a caller's address, if a client block contains it. */
  homeDomainOf(address: string): FailureDomainId | undefined {
    const parsed = parseAddress(address);
    if (parsed.isErr()) return undefined;
    const domainIndex = this.#clientBlocks.lookup(parsed.value);
    return domainIndex === undefined ? undefined : this.#domains[domainIndex];
  }

  /** Returns the link between two regions, or undefined for the same region or an unknown pair. */
  link(a: RegionId, b: RegionId): LinkSettings | undefined {
    if (a === b) return undefined;
    return this.#fleet?.links.find((link) => link.between.includes(a) && link.between.includes(b));
  }

  backendServer(service: ServiceName, id: BackendServerId): BackendServerSettings | undefined {
    return this.#serviceByName.get(service)?.backendServers.find((server) => server.id === id);
  }

  /** Applies one settings item. Invalid content leaves the settings in force unchanged. */
  apply(item: ReplicaItem): boolean {
    const path = settingsPathOf(item.key);
    if (path === undefined) return false;
    if (item.body === null) {
      this.#remove(path);
      return true;
    }
    const stored = StoredSettings.safeParse(item.body);
    if (!stored.success) return false;
    const checked = checkSettings(path, stored.data.settings);
    if (checked.isErr()) return false;
    const settings = checked.value;
    if (settings.kind === 'fleet') this.#setFleet(settings);
    else this.#setService(path, settings);
    return true;
  }

  #setFleet(fleet: FleetSettings): void {
    this.#fleet = fleet;
    this.#regionByDomain.clear();
    fleet.regions.forEach((region) =>
      region.failureDomains.forEach((domain) => this.#regionByDomain.set(domain, region.id)),
    );
    this.#domains.splice(0, this.#domains.length, ...failureDomainsOf(fleet));
    this.#clientBlocks = new BlockTable();
    fleet.clientBlocks.forEach((entry) => {
      const block = parseBlock(entry.block);
      if (block.isOk())
        this.#clientBlocks.set(block.value, this.#domains.indexOf(entry.failureDomain));
    });
  }

  #setService(path: SettingsPath, service: ServiceSettings): void {
    this.#remove(path);
    this.#serviceByName.set(service.name, service);
    this.#nameByPath.set(path, service.name);
  }

  #remove(path: SettingsPath): void {
    if (path === FLEET_PATH) this.#fleet = undefined;
    const name = this.#nameByPath.get(path);
    if (name === undefined) return;
    this.#nameByPath.delete(path);
    this.#serviceByName.delete(name);
  }
}
