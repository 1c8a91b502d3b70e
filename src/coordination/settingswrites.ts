/**
 * Settings writes: conditional updates that include their own change record.
 *
 * If the response to a write is lost, the change id in the stored history shows whether the write
 * took effect. A retry is conditional on the same version, so a change is never applied twice.
 */
import { createHash, timingSafeEqual } from 'node:crypto';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { FLEET_PATH, StoredSettings, appendChange, differences } from '../state/index.js';
import type { Difference, FleetSettings, Settings, SettingsPath } from '../state/index.js';

/** An object stored by the platform. Version 0 means that it does not exist. */
export interface StoredObject {
  readonly version: number;
  readonly body: unknown;
}

export type ReadFailure = 'store_down';

/** `lost`: no response arrived, so the write may have taken effect. */
export type WriteFailure = 'conflict' | 'lost' | 'store_down';

/** The part of the platform's object API that a write needs. */
export interface ObjectStore {
  read(path: SettingsPath): Promise<Result<StoredObject, ReadFailure>>;
  /** Writes the object if its version is still `ifVersion`. @returns the new version. */
  write(
    path: SettingsPath,
    body: unknown,
    ifVersion: number,
  ): Promise<Result<number, WriteFailure>>;
}

/** A settings change requested by an operator. */
export interface SettingsChange {
  readonly path: SettingsPath;
  readonly settings: Settings;
  readonly changeId: string;
  readonly who: string;
  readonly atMs: number;
  /** The version that the operator edited; undefined to replace the current version. */
  readonly ifVersion: number | undefined;
}

/** A change that took effect in the store. */
export interface AcceptedChange {
  readonly version: number;
  readonly body: StoredSettings;
}

export type ChangeFailure =
  | {
      readonly code: 'conflict';
      readonly version: number;
      /** Differences from the current to the requested settings. */
      readonly differences: readonly Difference[];
    }
  | { readonly code: 'store_down' }
  /** The change may have taken effect; a retry with the same change id resolves this. */
  | { readonly code: 'unsettled'; readonly changeId: string };

const MAX_WRITE_ATTEMPTS = 4;

/** Applies a change at most once, even if responses are lost. */
export async function writeSettings(
  store: ObjectStore,
  change: SettingsChange,
): Promise<Result<AcceptedChange, ChangeFailure>> {
  let mayBeApplied = false;
  let expectedVersion: number | undefined;
  for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt += 1) {
    const read = await store.read(change.path);
    if (read.isErr()) return Err(storeFailure(mayBeApplied, change));
    const current = parseStored(read.value.body);
    if (current.history.some((record) => record.changeId === change.changeId)) {
      return Ok({ version: read.value.version, body: current });
    }
    const { version } = read.value;
    expectedVersion ??= change.ifVersion ?? version;
    if (version !== expectedVersion) {
      const conflicting = [...differences(current.settings, change.settings)];
      return Err({ code: 'conflict', version, differences: conflicting });
    }
    const body = withChange(current, change);

    const written = await store.write(change.path, body, version);
    if (written.isOk()) return Ok({ version: written.value, body });
    if (written.error === 'store_down') return Err(storeFailure(mayBeApplied, change));
    mayBeApplied = mayBeApplied || written.error === 'lost';
  }
  return Err(storeFailure(mayBeApplied, change));
}

function storeFailure(mayBeApplied: boolean, change: SettingsChange): ChangeFailure {
  return mayBeApplied ? { code: 'unsettled', changeId: change.changeId } : { code: 'store_down' };
}

function parseStored(body: unknown): StoredSettings {
  const parsed = StoredSettings.safeParse(body);
  return parsed.success ? parsed.data : { settings: undefined, history: [] };
}

function withChange(current: StoredSettings, change: SettingsChange): StoredSettings {
  const record = {
    changeId: change.changeId,
    who: change.who,
    atMs: change.atMs,
    differences: [...differences(current.settings, change.settings)],
  };
  return { settings: change.settings, history: appendChange(current.history, record) };
}

function matchesKeyHash(key: string, keyHash: string): boolean {
  const keyDigest = createHash('sha256').update(key).digest();
  const expectedDigest = Buffer.from(keyHash, 'hex');
  return keyDigest.length === expectedDigest.length && timingSafeEqual(keyDigest, expectedDigest);
}

/**
 * Authorizes a write to a settings path.
 *
 * @returns the team's name, or `admin` for the fleet settings.
 */
export function authorize(
  fleet: FleetSettings | undefined,
  path: SettingsPath,
  key: string,
): Result<string, 'wrong_key' | 'no_team'> {
  if (path === FLEET_PATH) {
    const hash = fleet?.adminKeyHash;
    return hash === undefined || matchesKeyHash(key, hash) ? Ok('admin') : Err('wrong_key');
  }
  const team = fleet?.teams.find(
    (candidate) => path === candidate.subtree || path.startsWith(`${candidate.subtree}/`),
  );
  if (team === undefined) return Err('no_team');
  return matchesKeyHash(key, team.keyHash) ? Ok(team.name) : Err('wrong_key');
}

/** Whether a key authorizes any path: enough to release quarantined content, which has no team. */
export function authorizesAnyPath(fleet: FleetSettings | undefined, key: string): boolean {
  const paths = [FLEET_PATH, ...(fleet?.teams ?? []).map((team) => team.subtree)];
  return paths.some((path) => authorize(fleet, path, key).isOk());
}
