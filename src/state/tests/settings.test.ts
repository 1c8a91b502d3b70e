/** Validation of settings: the examples are valid, and all issues are reported together. */
import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import { FLEET_PATH, FleetSettings, SettingsPath, checkSettings } from '../index.js';
import type { SettingsIssue } from '../index.js';

const EXAMPLES = [
  { user: 'kilimanjaro', services: ['order-desk', 'fitter-docs'], servers: [30, 12] },
  { user: 'firebreak', services: ['orders-desk', 'guide-library'], servers: [30, 12] },
  { user: 'local', services: ['order-desk', 'fitter-docs'], servers: [2, 2] },
];

function loadExample(file: string): unknown {
  return JSON.parse(readFileSync(`examples/${file}.json`, 'utf8'));
}

function issuesOf(path: string, input: unknown, fleet?: unknown): readonly SettingsIssue[] {
  const context = fleet === undefined ? {} : { fleet: FleetSettings.parse(fleet) };
  const checked = checkSettings(SettingsPath.parse(path), input, context);
  return checked.isErr() ? checked.error : [];
}

const FLEET = {
  kind: 'fleet',
  regions: [{ id: 'dar', failureDomains: ['dar-a'] }],
};

const SERVER = { id: 's-1', failureDomain: 'dar-a', address: '10.0.0.1:80', slots: 3 };

EXAMPLES.forEach(({ user, services, servers }) =>
  it(`the example ${user} is valid`, () => {
    const fleet = FleetSettings.parse(loadExample(`${user}/fleet`));
    expect(issuesOf(FLEET_PATH, loadExample(`${user}/fleet`))).to.deep.equal([]);
    services.forEach((name, i) => {
      const input = loadExample(`${user}/${name}`);
      const checked = checkSettings(SettingsPath.parse(`team/${name}`), input, { fleet }).unwrap();
      expect(checked.kind === 'service' && checked.backendServers.length).to.equal(servers[i]);
    });
  }),
);

it('all issues are reported together, with path, value and what is allowed', () => {
  const input = {
    kind: 'service',
    name: 'order-desk',
    backendServers: [{ ...SERVER, slots: 'three', colour: 'red' }],
    shift: { maxShare: 1.2, intervalMs: 1000 },
  };
  const issues = issuesOf('shops/order-desk', input);
  expect(
    issues.map((issue) => [issue.code, issue.path.join('.'), issue.value]),
  ).to.have.deep.members([
    ['invalid_value', 'backendServers.0.slots', '"three"'],
    ['unknown_key', 'backendServers.0.colour', '"red"'],
    ['invalid_value', 'shift.maxShare', '1.2'],
  ]);
  issues.forEach((issue) => expect(issue.allowed).to.not.equal(''));
});

it('overlapping team subtrees are rejected, including those that overlap the fleet settings', () => {
  const keyHash = 'a'.repeat(64);
  const teams = [
    { name: 'one', subtree: 'shops', keyHash },
    { name: 'two', subtree: 'shops/north', keyHash },
    { name: 'three', subtree: 'fleet', keyHash },
  ];
  const issues = issuesOf('fleet', { ...FLEET, teams });
  expect(issues.map((issue) => `${issue.code} ${issue.path.join('.')}`)).to.deep.equal([
    'overlapping_subtree teams.1.subtree',
    'overlapping_subtree teams.2.subtree',
  ]);
});

it('a backend server in an unknown failure domain is rejected', () => {
  const input = {
    kind: 'service',
    name: 'order-desk',
    backendServers: [{ ...SERVER, failureDomain: 'mwanza-a' }],
  };
  const [issue] = issuesOf('shops/order-desk', input, FLEET);
  expect(issue).to.deep.include({ code: 'unknown_failure_domain', value: '"mwanza-a"' });
  expect(issue?.allowed).to.equal('dar-a');
});

it('traffic floors that cannot be met are rejected', () => {
  const input = {
    kind: 'service',
    name: 'order-desk',
    backendServers: [SERVER],
    floors: { interactive: 0.6, bulk: 0.6 },
  };
  const issues = issuesOf('shops/order-desk', input);
  expect(issues.map((issue) => issue.path.join('.'))).to.deep.equal(['floors', 'floors.bulk']);
});

it('a service name that is already used at another path is rejected', () => {
  const path = SettingsPath.parse('barns/order-desk');
  const input = { kind: 'service', name: 'order-desk', backendServers: [] };
  const other = SettingsPath.parse('shops/order-desk');
  const services = new Map([[other, 'order-desk' as never]]);
  const checked = checkSettings(path, input, { services });
  expect(checked.isErr() && checked.error[0]?.code).to.equal('duplicate_id');
});
