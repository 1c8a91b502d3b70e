/**
 * Writes of settings: conditional updates that carry their own change record.
 *
 * The record's id settles an answer that was lost: whoever finds the id in the stored history knows
 * that the write took effect. A repeat is conditional on the same version, so it can't apply twice.
 */
import { createHash, timingSafeEqual } from 'node:crypto';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { FLEET_PATH, StoredSettings, appendChange, differences } from '../state/index.js';
import type { Difference, FleetSettings, Settings, SettingsPath } from '../state/index.js';

/** An object as the platform holds it. Version 0 stands for no object. */
export interface StoredObject {
  readonly version: number;
  readonly body: unknown;
}

export type ReadFailure = 'store_down';

/** `lost`: no answer came, so the write may have taken effect. */
export type WriteFailure = 'conflict' | 'lost' | 'store_down';

/** The calls of the platform's object API that a write needs. */
export interface ObjectStore {
  read(path: SettingsPath): Promise<Result<StoredObject, ReadFailure>>;
  /** Writes if the object is still at `ifVersion`. @returns the new version. */
  write(
    path: SettingsPath,
    body: unknown,
    ifVersion: number,
  ): Promise<Result<number, WriteFailure>>;
}

/** A change that an operator asks for. */
export interface SettingsChange {
  readonly path: SettingsPath;
  readonly settings: Settings;
  readonly changeId: string;
  readonly who: string;
  readonly atMs: number;
  /** The version that the operator changed; undefined for whatever stands. */
  readonly ifVersion: number | undefined;
}

/** A change that is in the store. */
export interface AcceptedChange {
  readonly version: number;
  readonly body: StoredSettings;
}

export type ChangeFailure =
  | {
      readonly code: 'conflict';
      readonly version: number;
      /** From what stands to what was asked for. */
      readonly differences: readonly Difference[];
    }
  | { readonly code: 'store_down' }
  /** It may or may not have taken effect; asking again with the same id settles it. */
  | { readonly code: 'unsettled'; readonly changeId: string };

/** Tries to settle a lost answer. */
const MAX_TRIES = 4;

/** Applies a change once, whatever answers get lost. */
export async function writeSettings(
  store: ObjectStore,
  change: SettingsChange,
): Promise<Result<AcceptedChange, ChangeFailure>> {
  let sent = false;
  let base: number | undefined;
  for (let tries = 0; tries < MAX_TRIES; tries += 1) {
    const read = await store.read(change.path);
    if (read.isErr()) return Err(unsettled(sent, change));
    const current = parseStored(read.value.body);
    if (current.history.some((record) => record.changeId === change.changeId)) {
      return Ok({ version: read.value.version, body: current });
    }
    const { version } = read.value;
    base ??= change.ifVersion ?? version;
    if (version !== base) {
      const differs = [...differences(current.settings, change.settings)];
      return Err({ code: 'conflict', version, differences: differs });
    }
    const body = withChange(current, change);

    const written = await store.write(change.path, body, version);
    if (written.isOk()) return Ok({ version: written.value, body });
    if (written.error === 'store_down') return Err(unsettled(sent, change));
    sent = sent || written.error === 'lost';
  }
  return Err(unsettled(sent, change));
}

function unsettled(sent: boolean, change: SettingsChange): ChangeFailure {
  return sent ? { code: 'unsettled', changeId: change.changeId } : { code: 'store_down' };
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

function opens(key: string, keyHash: string): boolean {
  const given = createHash('sha256').update(key).digest();
  const wanted = Buffer.from(keyHash, 'hex');
  return given.length === wanted.length && timingSafeEqual(given, wanted);
}

/**
 * Tells whose key opens a path.
 *
 * @returns the team's name, `admin` for the fleet's own settings, or a refusal.
 */
export function authorize(
  fleet: FleetSettings | undefined,
  path: SettingsPath,
  key: string,
): Result<string, 'wrong_key' | 'no_team'> {
  if (path === FLEET_PATH) {
    const hash = fleet?.adminKeyHash;
    return hash === undefined || opens(key, hash) ? Ok('admin') : Err('wrong_key');
  }
  const team = fleet?.teams.find(
    (each) => path === each.subtree || path.startsWith(`${each.subtree}/`),
  );
  if (team === undefined) return Err('no_team');
  return opens(key, team.keyHash) ? Ok(team.name) : Err('wrong_key');
}

/** Whether a key opens anything of the fleet: enough to release content, which belongs to no team. */
export function opensAny(fleet: FleetSettings | undefined, key: string): boolean {
  const paths = [FLEET_PATH, ...(fleet?.teams ?? []).map((team) => team.subtree)];
  return paths.some((path) => authorize(fleet, path, key).isOk());
}
