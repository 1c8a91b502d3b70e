/** Lookups: order and stability of entry VMs, request id prefixes and home failure domains. */
import { expect } from 'chai';
import {
  Endpoint,
  EntryVmId,
  FailureDomainId,
  Incarnation,
  SettingsPath,
  SettingsView,
  settingsKey,
} from '../../state/index.js';
import type { MemberPhase, MemberRecord } from '../../state/index.js';
import { LookupPlanner, MAX_LOOKUP_TARGETS } from '../index.js';

const [A, B, C] = ['a', 'b', 'c'].map((id) => FailureDomainId.parse(id)) as [
  FailureDomainId,
  FailureDomainId,
  FailureDomainId,
];

function member(id: string, domain: FailureDomainId, phase: MemberPhase = 'serving'): MemberRecord {
  const address = Endpoint.parse('10.0.0.1:80');
  return {
    id: EntryVmId.parse(id),
    failureDomain: domain,
    heartbeat: 1,
    revision: 1,
    incarnation: Incarnation.parse('0123456789abcdef'),
    phase,
    epoch: 4,
    callerAddress: address,
    peerAddress: address,
    agentAddress: address,
    dispatching: [],
  };
}

function createSettings(): SettingsView {
  const settings = new SettingsView();
  const fleet = {
    kind: 'fleet',
    regions: [
      { id: 'near', failureDomains: ['a', 'b'] },
      { id: 'far', failureDomains: ['c'] },
    ],
    links: [{ between: ['near', 'far'], mbitPerS: 4000, oneWayMs: 55 }],
    clientBlocks: [
      { block: '10.0.0.0/8', failureDomain: 'a' },
      { block: '10.9.0.0/16', failureDomain: 'c' },
      { block: '2001:db8::/32', failureDomain: 'b' },
    ],
  };
  const key = settingsKey(SettingsPath.parse('fleet'));
  settings.apply({ key, version: 1, body: { settings: fleet, history: [] } });
  return settings;
}

it("lists entry VMs of the caller's failure domain first, then of its region, then the rest", () => {
  const planner = new LookupPlanner(createSettings(), [
    member('c-1', C),
    member('b-1', B),
    member('a-1', A),
  ]);
  const { targets } = planner.plan('10.1.1.1', A).unwrap();
  expect(targets.map((target) => target.entryVm)).to.deep.equal(['a-1', 'b-1', 'c-1']);
  expect(targets[0]?.requestIdPrefix).to.equal('a-1.0123456789abcdef.4.');
});

it('lists no stopping entry VM and no more than the maximum number of targets', () => {
  const members = Array.from({ length: 9 }, (_, i) => member(`a-${i}`, A));
  const planner = new LookupPlanner(createSettings(), [member('gone', A, 'stopping'), ...members]);
  const { targets } = planner.plan('10.1.1.1', A).unwrap();
  expect(targets).to.have.length(MAX_LOOKUP_TARGETS);
  expect(targets.map((target) => target.entryVm)).to.not.include('gone');
});

it('spreads callers evenly and reassigns only the callers of a removed entry VM', () => {
  const members = Array.from({ length: 5 }, (_, i) => member(`a-${i}`, A));
  const firstTarget = (list: readonly MemberRecord[], caller: string) =>
    new LookupPlanner(createSettings(), list).plan(caller, A).unwrap().targets[0]?.entryVm;
  const callers = Array.from({ length: 1_000 }, (_, i) => `10.1.${Math.floor(i / 250)}.${i % 250}`);
  const before = callers.map((caller) => firstTarget(members, caller));
  members.forEach((candidate) => {
    const share = before.filter((id) => id === candidate.id).length / callers.length;
    expect(share).to.be.within(0.1, 0.3);
  });
  const after = callers.map((caller) => firstTarget(members.slice(1), caller));
  const moved = callers.filter((_, i) => before[i] !== after[i] && before[i] !== 'a-0');
  expect(moved).to.have.length(0);
});

it('returns no_entry_vm when no entry VM is serving', () => {
  const result = new LookupPlanner(createSettings(), []).plan('10.1.1.1', A);
  expect(result.isErr() && result.error).to.equal('no_entry_vm');
});

it('finds the home failure domain of a caller by its longest matching address block', () => {
  const settings = createSettings();
  expect(settings.homeDomainOf('10.1.2.3')).to.equal('a');
  expect(settings.homeDomainOf('10.9.2.3')).to.equal('c');
  expect(settings.homeDomainOf('::ffff:10.9.2.3')).to.equal('c');
  expect(settings.homeDomainOf('2001:db8::7')).to.equal('b');
  expect(settings.homeDomainOf('192.0.2.1')).to.equal(undefined);
});
