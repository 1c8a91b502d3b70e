/** Checks that a schema alone can't make: across fields, and across objects of settings. */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { parseBlock } from './blocks.js';
import { issuesOfParse, settingsIssue } from './issues.js';
import type { SettingsIssue } from './issues.js';
import type { FailureDomainId, ServiceName, SettingsPath } from './ids.js';
import { Settings } from './schemas.js';
import type { FleetSettings, ServiceSettings } from './schemas.js';

/** Where the fleet's own settings stand. */
export const FLEET_PATH = 'fleet' as SettingsPath;

const MAX_SHARE = 1;

function duplicates(
  ids: readonly string[],
  pathOf: (index: number) => readonly (string | number)[],
): SettingsIssue[] {
  return ids.flatMap((id, i) =>
    ids.indexOf(id) === i ? [] : [settingsIssue('duplicate_id', pathOf(i), id, 'each id once')],
  );
}

/** Settings that others must agree with, as far as they are known. */
export interface SettingsContext {
  readonly fleet?: FleetSettings | undefined;
  readonly services?: ReadonlyMap<SettingsPath, ServiceName> | undefined;
}

/** True when one subtree is the other or lies below it. */
export function overlaps(a: string, b: string): boolean {
  return a === b || a.startsWith(`${b}/`) || b.startsWith(`${a}/`);
}

/** All failure domains of a fleet. */
export function failureDomainsOf(fleet: FleetSettings): readonly FailureDomainId[] {
  return fleet.regions.flatMap((region) => region.failureDomains);
}

function checkTeams(fleet: FleetSettings): SettingsIssue[] {
  return fleet.teams.flatMap((team, i) => {
    const other = fleet.teams.slice(0, i).find((each) => overlaps(each.subtree, team.subtree));
    const taken = other?.subtree ?? (overlaps(team.subtree, FLEET_PATH) ? FLEET_PATH : undefined);
    if (taken === undefined) return [];
    const allowed = `a subtree apart from ${taken}`;
    return [settingsIssue('overlapping_subtree', ['teams', i, 'subtree'], team.subtree, allowed)];
  });
}

function checkLinks(fleet: FleetSettings): SettingsIssue[] {
  const regions = fleet.regions.map((region) => region.id);
  return fleet.links.flatMap((link, i) =>
    link.between.flatMap((id, j) =>
      regions.includes(id)
        ? []
        : [settingsIssue('unknown_region', ['links', i, 'between', j], id, regions.join(', '))],
    ),
  );
}

function checkBlocks(fleet: FleetSettings): SettingsIssue[] {
  const domains = new Set(failureDomainsOf(fleet));
  return fleet.clientBlocks.flatMap((entry, i) => {
    const path = ['clientBlocks', i];
    const issues: SettingsIssue[] = [];
    if (parseBlock(entry.block).isErr()) {
      const allowed = 'address/length with no bits after the length';
      issues.push(settingsIssue('invalid_block', [...path, 'block'], entry.block, allowed));
    }
    if (!domains.has(entry.failureDomain)) {
      const allowed = [...domains].join(', ');
      const at = [...path, 'failureDomain'];
      issues.push(settingsIssue('unknown_failure_domain', at, entry.failureDomain, allowed));
    }
    return issues;
  });
}

function checkFleet(fleet: FleetSettings): SettingsIssue[] {
  return [
    ...duplicates(
      fleet.regions.map((region) => region.id),
      (i) => ['regions', i, 'id'],
    ),
    ...duplicates(failureDomainsOf(fleet), () => ['regions']),
    ...duplicates(
      fleet.teams.map((team) => team.name),
      (i) => ['teams', i, 'name'],
    ),
    ...checkTeams(fleet),
    ...checkLinks(fleet),
    ...checkBlocks(fleet),
  ];
}

function checkDomains(service: ServiceSettings, fleet: FleetSettings): SettingsIssue[] {
  const domains = failureDomainsOf(fleet);
  const named = [
    ...service.backendServers.map((server, i) => ({
      path: ['backendServers', i, 'failureDomain'],
      id: server.failureDomain,
    })),
    ...service.shift.planned.flatMap((shift, i) => [
      { path: ['shift', 'planned', i, 'from'], id: shift.from },
      { path: ['shift', 'planned', i, 'to'], id: shift.to },
    ]),
  ];
  return named
    .filter((each) => !domains.includes(each.id))
    .map((each) => settingsIssue('unknown_failure_domain', each.path, each.id, domains.join(', ')));
}

function checkShares(service: ServiceSettings): SettingsIssue[] {
  const issues: SettingsIssue[] = [];
  const { floors, ceilings } = service;
  if (floors.interactive + floors.bulk > MAX_SHARE) {
    issues.push(settingsIssue('impossible_shares', ['floors'], floors, 'a sum of at most 1'));
  }
  (['interactive', 'bulk'] as const).forEach((rank) => {
    if (floors[rank] <= ceilings[rank]) return;
    const allowed = `at most the ceiling, ${ceilings[rank]}`;
    issues.push(settingsIssue('impossible_shares', ['floors', rank], floors[rank], allowed));
  });
  const sums = new Map<FailureDomainId, number>();
  service.shift.planned.forEach((shift, i) => {
    const sum = (sums.get(shift.from) ?? 0) + shift.share;
    sums.set(shift.from, sum);
    if (sum <= MAX_SHARE) return;
    const path = ['shift', 'planned', i, 'share'];
    issues.push(
      settingsIssue('impossible_shares', path, sum, 'a sum of at most 1 for each origin'),
    );
  });
  return issues;
}

function checkService(
  service: ServiceSettings,
  path: SettingsPath,
  { fleet, services }: SettingsContext,
): SettingsIssue[] {
  const issues = [
    ...duplicates(
      service.backendServers.map((server) => server.id),
      (i) => ['backendServers', i, 'id'],
    ),
    ...checkShares(service),
  ];
  if (path.split('/').at(-1) !== service.name) {
    const allowed = `the last name of ${path}`;
    issues.push(settingsIssue('wrong_path', ['name'], service.name, allowed));
  }
  const taken = [...(services ?? [])].find(([at, name]) => name === service.name && at !== path);
  if (taken !== undefined) {
    const allowed = `a name that ${taken[0]} does not have`;
    issues.push(settingsIssue('duplicate_id', ['name'], service.name, allowed));
  }
  if (fleet !== undefined) issues.push(...checkDomains(service, fleet));
  return issues;
}

/**
 * Checks one object of settings whole.
 *
 * @param path - where the object is to stand.
 * @param context - the settings in force, when known.
 * @returns the settings, or every issue at once.
 */
export function checkSettings(
  path: SettingsPath,
  input: unknown,
  context: SettingsContext = {},
): Result<Settings, readonly SettingsIssue[]> {
  const parsed = Settings.safeParse(input);
  if (!parsed.success) return Err(issuesOfParse(parsed.error, input));
  const settings = parsed.data;
  if ((settings.kind === 'fleet') !== (path === FLEET_PATH)) {
    const allowed = `kind fleet at path ${FLEET_PATH}, kind service elsewhere`;
    return Err([settingsIssue('wrong_path', ['kind'], settings.kind, allowed)]);
  }
  const issues =
    settings.kind === 'fleet' ? checkFleet(settings) : checkService(settings, path, context);
  return issues.length === 0 ? Ok(settings) : Err(issues);
}
