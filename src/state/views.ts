/** The settings in force, assembled from replicated items and indexed for look-ups. */
import { BlockTable, parseAddress, parseBlock } from './blocks.js';
import { FLEET_PATH, checkSettings, failureDomainsOf } from './checks.js';
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
} from './schemas.js';

const SETTINGS_PREFIX = 'settings:';

/** The replica key under which a path of settings travels. */
export function settingsKey(path: SettingsPath): ReplicaKey {
  return ReplicaKey.parse(`${SETTINGS_PREFIX}${path}`);
}

/** The path of a settings key, or undefined for other kinds of item. */
export function settingsPathOf(key: ReplicaKey): SettingsPath | undefined {
  return key.startsWith(SETTINGS_PREFIX)
    ? (key.slice(SETTINGS_PREFIX.length) as SettingsPath)
    : undefined;
}

/** Settings of all services and of the fleet, as one holder has them now. */
export class SettingsView {
  #fleet: FleetSettings | undefined;

  readonly #services = new Map<ServiceName, ServiceSettings>();

  readonly #paths = new Map<SettingsPath, ServiceName>();

  readonly #regions = new Map<FailureDomainId, RegionId>();

  readonly #domains: FailureDomainId[] = [];

  #blocks = new BlockTable();

  get fleet(): FleetSettings | undefined {
    return this.#fleet;
  }

  get services(): readonly ServiceSettings[] {
    return [...this.#services.values()];
  }

  /** The path of each service. */
  get servicePaths(): ReadonlyMap<SettingsPath, ServiceName> {
    return this.#paths;
  }

  service(name: ServiceName): ServiceSettings | undefined {
    return this.#services.get(name);
  }

  region(domain: FailureDomainId): RegionId | undefined {
    return this.#regions.get(domain);
  }

  /** The home failure domain of a caller's address, where a block names one. */
  homeOf(address: string): FailureDomainId | undefined {
    const parsed = parseAddress(address);
    if (parsed.isErr()) return undefined;
    const site = this.#blocks.lookup(parsed.value);
    return site === undefined ? undefined : this.#domains[site];
  }

  /** The link between two regions, or undefined for one region or an unknown pair. */
  link(a: RegionId, b: RegionId): LinkSettings | undefined {
    if (a === b) return undefined;
    return this.#fleet?.links.find((link) => link.between.includes(a) && link.between.includes(b));
  }

  backendServer(service: ServiceName, id: BackendServerId): BackendServerSettings | undefined {
    return this.#services.get(service)?.backendServers.find((server) => server.id === id);
  }

  /** Takes in one settings item. Content that fails its checks leaves what was in force. */
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
    this.#regions.clear();
    fleet.regions.forEach((region) =>
      region.failureDomains.forEach((domain) => this.#regions.set(domain, region.id)),
    );
    this.#domains.splice(0, this.#domains.length, ...failureDomainsOf(fleet));
    this.#blocks = new BlockTable();
    fleet.clientBlocks.forEach((entry) => {
      const block = parseBlock(entry.block);
      if (block.isOk()) this.#blocks.set(block.value, this.#domains.indexOf(entry.failureDomain));
    });
  }

  #setService(path: SettingsPath, service: ServiceSettings): void {
    this.#remove(path);
    this.#services.set(service.name, service);
    this.#paths.set(path, service.name);
  }

  #remove(path: SettingsPath): void {
    if (path === FLEET_PATH) this.#fleet = undefined;
    const name = this.#paths.get(path);
    if (name === undefined) return;
    this.#paths.delete(path);
    this.#services.delete(name);
  }
}
