/** Quarantine of content that crashes backend servers, on evidence of several entry VMs. */
import { expect } from 'chai';
import fc from 'fast-check';
import type { EntryVmId, Fingerprint } from '../../state/index.js';
import { CrashQuarantine, MAX_CRASHES_KEPT, MAX_CRASH_REPORTS } from '../crashquarantines.js';
import type { CrashReport, StoredCrashes } from '../crashquarantines.js';
import type { Instant } from '../callhandlers.js';

const CONTENT = 'c'.repeat(32) as Fingerprint;
const OTHER = 'd'.repeat(32) as Fingerprint;

const MINUTE_MS = 60_000;

function quarantineOf(id: string): CrashQuarantine {
  return new CrashQuarantine(id as EntryVmId);
}

function fingerprintOf(i: number): Fingerprint {
  return i.toString(16).padStart(32, '0') as Fingerprint;
}

function crashThreeServers(quarantine: CrashQuarantine, fingerprint = CONTENT, nowMs = 0): void {
  ['s1@a', 's2@a', 's3@a'].forEach((process) =>
    quarantine.recordCrash(fingerprint, process, nowMs),
  );
}

it('content is refused after it crashed three servers, and other content is not', () => {
  const quarantine = quarantineOf('vm-1');
  expect(quarantine.recordCrash(CONTENT, 's1@a', 0)).to.equal(undefined);
  expect(quarantine.recordCrash(CONTENT, 's2@a', 1)).to.equal(undefined);
  expect(quarantine.verdict(CONTENT, 2).type).to.equal('allow');
  expect(quarantine.recordCrash(CONTENT, 's3@a', 2)?.type).to.equal('quarantined');
  expect(quarantine.verdict(CONTENT, 3).type).to.equal('refuse');
  expect(quarantine.verdict(OTHER, 3).type).to.equal('allow');
});

it('a crash that several requests report counts once, and a restarted server counts again', () => {
  const quarantine = quarantineOf('vm-1');
  ['s1@a', 's1@a', 's1@a', 's1@b'].forEach((process) =>
    quarantine.recordCrash(CONTENT, process, 0),
  );
  expect(quarantine.verdict(CONTENT, 1).type).to.equal('allow');
  quarantine.recordCrash(CONTENT, 's1@c', 1);
  expect(quarantine.verdict(CONTENT, 2).type).to.equal('refuse');
});

// Guards against the refusal of content that merely ran beside the cause of crashes.
it('content that runs to an end between crashes is never refused', () => {
  const quarantine = quarantineOf('vm-1');
  for (let i = 0; i < 100; i += 1) {
    quarantine.recordCrash(CONTENT, `s${i}@a`, i);
    expect(quarantine.verdict(CONTENT, i).type).to.equal('allow');
    if (i % 2 === 1) quarantine.recordCompletion(CONTENT, i);
  }
});

it('content is released at all entry VMs when a run that was in flight ends well', () => {
  const first = quarantineOf('vm-1');
  const second = quarantineOf('vm-2');
  crashThreeServers(first);
  second.merge(first.flushReports(1), 1);
  expect(second.verdict(CONTENT, 2).type).to.equal('refuse');
  expect(second.recordCompletion(CONTENT, 2)?.type).to.equal('released');
  expect(first.merge(second.flushReports(3), 3).map(({ type }) => type)).to.deep.equal([
    'released',
  ]);
  expect(first.verdict(CONTENT, 4).type).to.equal('allow');
});

// Guards against content that crashes one server through each entry VM and is refused by none.
it('crashes seen by different entry VMs add up', () => {
  const vms = ['vm-1', 'vm-2', 'vm-3'].map(quarantineOf);
  vms.forEach((vm, i) => vm.recordCrash(CONTENT, `s${i}@a`, 0));
  const reports = vms.map((vm) => vm.flushReports(1));
  vms.forEach((vm) => reports.forEach((report) => vm.merge(report, 1)));
  vms.forEach((vm) => expect(vm.verdict(CONTENT, 2).type).to.equal('refuse'));
});

it('an entry VM that starts later learns of quarantined content', () => {
  const first = quarantineOf('vm-1');
  crashThreeServers(first);
  for (let i = 0; i < 20; i += 1) first.flushReports(i);
  expect(first.flushReports(MINUTE_MS / 2)).to.deep.equal([]);
  const second = quarantineOf('vm-2');
  second.merge(first.standingReports(MINUTE_MS / 2), MINUTE_MS / 2);
  expect(second.verdict(CONTENT, MINUTE_MS / 2).type).to.equal('refuse');
});

it('one request tries quarantined content after a minute, and a crash doubles the delay', () => {
  const quarantine = quarantineOf('vm-1');
  crashThreeServers(quarantine);
  expect(quarantine.verdict(CONTENT, MINUTE_MS - 1).type).to.equal('refuse');
  expect(quarantine.verdict(CONTENT, 1.5 * MINUTE_MS).type).to.equal('trial');
  quarantine.recordTrial(CONTENT, 1.5 * MINUTE_MS);
  expect(quarantine.verdict(CONTENT, 1.5 * MINUTE_MS).type).to.equal('refuse');
  quarantine.recordCrash(CONTENT, 's4@a', 1.5 * MINUTE_MS);
  expect(quarantine.verdict(CONTENT, 3.5 * MINUTE_MS - 1).type).to.equal('refuse');
  expect(quarantine.verdict(CONTENT, 4.5 * MINUTE_MS).type).to.equal('trial');
  quarantine.recordCompletion(CONTENT, 4.5 * MINUTE_MS);
  expect(quarantine.verdict(CONTENT, 4.5 * MINUTE_MS).type).to.equal('allow');
});

it('an entry VM that saw no crash of the content does not try it', () => {
  const first = quarantineOf('vm-1');
  const second = quarantineOf('vm-2');
  crashThreeServers(first);
  second.merge(first.flushReports(0), 0);
  for (let minute = 0; minute < 30; minute += 1) {
    expect(second.verdict(CONTENT, minute * MINUTE_MS).type).to.equal('refuse');
  }
});

/** Wall-clock time at the monotonic time 0, in Unix milliseconds. */
const EPOCH_MS = 1_771_085_769_493;

function instantAt(nowMs: number, clockErrorMs = 0): Instant {
  return { nowMs, wallMs: EPOCH_MS + nowMs + clockErrorMs };
}

/** An entry VM that starts at the given time with what the store holds. */
function restart(id: string, stored: readonly StoredCrashes[], at: Instant): CrashQuarantine {
  const quarantine = quarantineOf(id);
  quarantine.restore(stored, at);
  return quarantine;
}

it('an entry VM that restarts refuses the content that it had stored', () => {
  const before = quarantineOf('vm-1');
  crashThreeServers(before);
  const stored = before.unsavedCrashes(instantAt(10));
  expect(stored.map(({ crashes }) => crashes)).to.deep.equal([['s1@a', 's2@a', 's3@a']]);
  const after = restart('vm-1', stored, instantAt(5_000));
  expect(after.verdict(CONTENT, 5_000).type).to.equal('refuse');
  expect(after.unsavedCrashes(instantAt(5_000))).to.be.empty;
});

// Guards against content that no entry VM tries any more, or that all of them try, after they restarted.
it('after a restart only the entry VM that had seen a crash tries the content', () => {
  const before = quarantineOf('vm-1');
  crashThreeServers(before);
  const stored = before.unsavedCrashes(instantAt(0));
  const verdictOf = (id: string): string =>
    restart(id, stored, instantAt(0)).verdict(CONTENT, 2 * MINUTE_MS).type;
  expect(verdictOf('vm-1')).to.equal('trial');
  expect(verdictOf('vm-2')).to.equal('refuse');
});

it('stored evidence counts although the wall clock has jumped', () => {
  const before = quarantineOf('vm-1');
  crashThreeServers(before);
  const stored = before.unsavedCrashes(instantAt(0));
  [-10_000, 10_000].forEach((clockErrorMs) => {
    const after = restart('vm-1', stored, instantAt(1_000, clockErrorMs));
    expect(after.verdict(CONTENT, 1_000).type).to.equal('refuse');
  });
});

it('evidence is written again only after a further crash that the entry VM saw itself', () => {
  const first = quarantineOf('vm-1');
  const second = quarantineOf('vm-2');
  crashThreeServers(first);
  const [evidence] = first.unsavedCrashes(instantAt(0));
  first.recordSaved(evidence as StoredCrashes);
  second.merge(first.flushReports(0), 0);
  second.recordCrash(CONTENT, 's4@a', 1);
  first.merge(second.flushReports(2), 2);
  expect(first.unsavedCrashes(instantAt(3))).to.be.empty;
  expect(second.unsavedCrashes(instantAt(3))).to.have.length(1);
  first.recordCrash(CONTENT, 's5@a', 4);
  expect(first.unsavedCrashes(instantAt(5))).to.have.length(1);
});

it('stored evidence is obsolete once the content has run to an end, or is too old', () => {
  const before = quarantineOf('vm-1');
  crashThreeServers(before);
  const stored = before.unsavedCrashes(instantAt(0));
  const released = restart('vm-1', stored, instantAt(0));
  released.recordCompletion(CONTENT, 1);
  expect(released.obsoleteCrashes(2)).to.deep.equal([CONTENT]);
  const aged = restart('vm-1', stored, instantAt(0));
  expect(aged.obsoleteCrashes(MINUTE_MS)).to.be.empty;
  aged.tick(31 * MINUTE_MS);
  expect(aged.obsoleteCrashes(31 * MINUTE_MS)).to.deep.equal([CONTENT]);
  aged.recordRemoved(CONTENT);
  aged.tick(31 * MINUTE_MS);
  expect(aged.size).to.equal(0);
});

it('evidence is bounded in number and age, and reports in size', () => {
  const quarantine = quarantineOf('vm-1');
  crashThreeServers(quarantine);
  for (let i = 0; i < 5_000; i += 1) quarantine.recordCrash(fingerprintOf(i), `s${i}@a`, 0);
  for (let i = 0; i < 50; i += 1) quarantine.recordCrash(CONTENT, `t${i}@a`, 0);
  expect(quarantine.size).to.be.at.most(1_000);
  expect(quarantine.verdict(CONTENT, 1).type).to.equal('refuse');
  const reports = quarantine.flushReports(1);
  expect(reports).to.have.length(MAX_CRASH_REPORTS);
  expect(reports[0]?.fingerprint).to.equal(CONTENT);
  expect(reports[0]?.crashes).to.have.length(MAX_CRASHES_KEPT);
  quarantine.tick(31 * MINUTE_MS);
  expect(quarantine.size).to.equal(0);
});

// Guards against entry VMs that keep sending each other the same evidence.
it('reports in any order give the same verdict everywhere and come to rest', () => {
  const process = fc.integer({ min: 0, max: 9 }).map((i) => `s${i}@a`);
  const event = fc.record({ vm: fc.nat(2), process, completed: fc.boolean() });
  const order = fc.shuffledSubarray([0, 1, 2], { minLength: 3 });
  const property = fc.property(
    fc.array(event, { maxLength: 30 }),
    fc.array(order, { minLength: 40, maxLength: 40 }),
    (events, orders) => {
      const vms = ['vm-1', 'vm-2', 'vm-3'].map(quarantineOf);
      events.forEach((evt) => {
        if (evt.completed) vms[evt.vm]?.recordCompletion(CONTENT, 0);
        else vms[evt.vm]?.recordCrash(CONTENT, evt.process, 0);
      });
      orders.forEach((senders) =>
        senders.forEach((sender) => {
          const reports = vms[sender]?.flushReports(0) as readonly CrashReport[];
          vms.forEach((vm) => vm.merge(reports, 0));
        }),
      );
      const verdicts = vms.map((vm) => vm.verdict(CONTENT, 1).type);
      expect(new Set(verdicts).size).to.equal(1);
      vms.forEach((vm) => expect(vm.flushReports(0)).to.deep.equal([]));
    },
  );
  fc.assert(property, { seed: 20, numRuns: 500 });
});
