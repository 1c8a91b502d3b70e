/** Validation that the schemas cannot express: across fields and across settings objects. */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { parseBlock } from './blocks.js';
import { issuesFromZodError, createSettingsIssue } from './settingsissues.js';
import type { SettingsIssue } from './settingsissues.js';
import type { FailureDomainId, ServiceName, SettingsPath } from './ids.js';
import { Settings } from './settingsschemas.js';
import type { FleetSettings, ServiceSettings } from './settingsschemas.js';

/** Path of the fleet settings. */
export const FLEET_PATH = 'fleet' as SettingsPath;

const MAX_SHARE = 1;

function findDuplicates(
  ids: readonly string[],
  pathOf: (index: number) => readonly (string | number)[],
): SettingsIssue[] {
  return ids.flatMap((id, i) =>
    ids.indexOf(id) === i
      ? []
      : [createSettingsIssue('duplicate_id', pathOf(i), id, 'ids that are unique')],
  );
}

/** Settings in force, as far as known, that new settings must be consistent with. */
export interface SettingsInForce {
  readonly fleet?: FleetSettings | undefined;
  readonly services?: ReadonlyMap<SettingsPath, ServiceName> | undefined;
}

/** Returns true if the subtrees are equal or one contains the other. */
export function subtreesOverlap(a: string, b: string): boolean {
  return a === b || a.startsWith(`${b}/`) || b.startsWith(`${a}/`);
}

/** Lists all failure domains of a fleet. */
export function failureDomainsOf(fleet: FleetSettings): readonly FailureDomainId[] {
  return fleet.regions.flatMap((region) => region.failureDomains);
}

function checkTeams(fleet: FleetSettings): SettingsIssue[] {
  return fleet.teams.flatMap((team, i) => {
    const overlapping = fleet.teams
      .slice(0, i)
      .find((earlier) => subtreesOverlap(earlier.subtree, team.subtree));
    const takenSubtree =
      overlapping?.subtree ?? (subtreesOverlap(team.subtree, FLEET_PATH) ? FLEET_PATH : undefined);
    if (takenSubtree === undefined) return [];
    const allowed = `a subtree that does not overlap ${takenSubtree}`;
    return [
      createSettingsIssue('overlapping_subtree', ['teams', i, 'subtree'], team.subtree, allowed),
    ];
  });
}

function checkLinks(fleet: FleetSettings): SettingsIssue[] {
  const regions = fleet.regions.map((region) => region.id);
  return fleet.links.flatMap((link, i) =>
    link.between.flatMap((id, j) =>
      regions.includes(id)
        ? []
        : [
            createSettingsIssue(
              'unknown_region',
              ['links', i, 'between', j],
              id,
              regions.join(', '),
            ),
          ],
    ),
  );
}

function checkClientBlocks(fleet: FleetSettings): SettingsIssue[] {
  const domains = new Set(failureDomainsOf(fleet));
  return fleet.clientBlocks.flatMap((entry, i) => {
    const path = ['clientBlocks', i];
    const issues: SettingsIssue[] = [];
    if (parseBlock(entry.block).isErr()) {
      const allowed = 'address/length with only zero bits beyond the length';
      issues.push(createSettingsIssue('invalid_block', [...path, 'block'], entry.block, allowed));
    }
    if (!domains.has(entry.failureDomain)) {
      const allowed = [...domains].join(', ');
      const domainPath = [...path, 'failureDomain'];
      issues.push(
        createSettingsIssue('unknown_failure_domain', domainPath, entry.failureDomain, allowed),
      );
    }
    return issues;
  });
}

function checkFleet(fleet: FleetSettings): SettingsIssue[] {
  return [
    ...findDuplicates(
      fleet.regions.map((region) => region.id),
      (i) => ['regions', i, 'id'],
    ),
    ...findDuplicates(failureDomainsOf(fleet), () => ['regions']),
    ...findDuplicates(
      fleet.teams.map((team) => team.name),
      (i) => ['teams', i, 'name'],
    ),
    ...checkTeams(fleet),
    ...checkLinks(fleet),
    ...checkClientBlocks(fleet),
  ];
}

function checkFailureDomains(service: ServiceSettings, fleet: FleetSettings): SettingsIssue[] {
  const domains = failureDomainsOf(fleet);
  const references = [
    ...service.backendServers.map((server, i) => ({
      path: ['backendServers', i, 'failureDomain'],
      id: server.failureDomain,
    })),
    ...service.shift.planned.flatMap((shift, i) => [
      { path: ['shift', 'planned', i, 'from'], id: shift.from },
      { path: ['shift', 'planned', i, 'to'], id: shift.to },
    ]),
  ];
  return references
    .filter((reference) => !domains.includes(reference.id))
    .map((reference) =>
      createSettingsIssue(
        'unknown_failure_domain',
        reference.path,
        reference.id,
        domains.join(', '),
      ),
    );
}

function checkShares(service: ServiceSettings): SettingsIssue[] {
  const issues: SettingsIssue[] = [];
  const { floors, ceilings } = service;
  if (floors.interactive + floors.bulk > MAX_SHARE) {
    issues.push(createSettingsIssue('impossible_shares', ['floors'], floors, 'a sum of at most 1'));
  }
  (['interactive', 'bulk'] as const).forEach((rank) => {
    if (floors[rank] <= ceilings[rank]) return;
    const allowed = `at most the ceiling, ${ceilings[rank]}`;
    issues.push(createSettingsIssue('impossible_shares', ['floors', rank], floors[rank], allowed));
  });
  const sums = new Map<FailureDomainId, number>();
  service.shift.planned.forEach((shift, i) => {
    const sum = (sums.get(shift.from) ?? 0) + shift.share;
    sums.set(shift.from, sum);
    if (sum <= MAX_SHARE) return;
    const path = ['shift', 'planned', i, 'share'];
    issues.push(
      createSettingsIssue('impossible_shares', path, sum, 'a sum of at most 1 for each `from`'),
    );
  });
  return issues;
}

function checkService(
  service: ServiceSettings,
  path: SettingsPath,
  { fleet, services }: SettingsInForce,
): SettingsIssue[] {
  const issues = [
    ...findDuplicates(
      service.backendServers.map((server) => server.id),
      (i) => ['backendServers', i, 'id'],
    ),
    ...checkShares(service),
  ];
  if (path.split('/').at(-1) !== service.name) {
    const allowed = `the last segment of ${path}`;
    issues.push(createSettingsIssue('wrong_path', ['name'], service.name, allowed));
  }
  const sameName = [...(services ?? [])].find(
    ([otherPath, name]) => name === service.name && otherPath !== path,
  );
  if (sameName !== undefined) {
    const allowed = `a name not already used at ${sameName[0]}`;
    issues.push(createSettingsIssue('duplicate_id', ['name'], service.name, allowed));
  }
  if (fleet !== undefined) issues.push(...checkFailureDomains(service, fleet));
  return issues;
}

/**
 * Checks one object of settings whole.
 *
 * @param path - where the object will be stored.
 * @param context - the settings in force, when known.
 * @returns the settings, or all issues found.
 */
export function checkSettings(
  path: SettingsPath,
  input: unknown,
  context: SettingsInForce = {},
): Result<Settings, readonly SettingsIssue[]> {
  const parsed = Settings.safeParse(input);
  if (!parsed.success) return Err(issuesFromZodError(parsed.error, input));
  const settings = parsed.data;
  if ((settings.kind === 'fleet') !== (path === FLEET_PATH)) {
    const allowed = `kind fleet at path ${FLEET_PATH}, kind service elsewhere`;
    return Err([createSettingsIssue('wrong_path', ['kind'], settings.kind, allowed)]);
  }
  const issues =
    settings.kind === 'fleet' ? checkFleet(settings) : checkService(settings, path, context);
  return issues.length === 0 ? Ok(settings) : Err(issues);
}
