/** Shares of regions, budgets of repeats, waiting requests, live peers. */
import { expect } from 'chai';
import fc from 'fast-check';
import type {
  Endpoint,
  EntryVmId,
  FailureDomainId,
  Incarnation,
  RegionId,
} from '../../state/index.js';
import { KeyCount } from '../keycounts.js';
import { PeerView } from '../peerviews.js';
import type { Heartbeat, PeerRecord } from '../peerviews.js';
import { RegionShares } from '../regionshares.js';
import type { RegionRoom } from '../regionshares.js';
import { RepeatBudget } from '../repeats.js';
import { Waitlist } from '../waitlists.js';
import { SERVICE } from './plans.js';

const A = 'a' as RegionId;
const B = 'b' as RegionId;

function room(region: RegionId, change: Partial<RegionRoom> = {}): RegionRoom {
  return { region, slots: 30, utilization: 0.3, distanceMs: region === A ? 0 : 44, ...change };
}

const OPTIONS = { home: A, demand: 0.5, maxShift: 0.15 };

it('a region with its part of the slots keeps its work', () => {
  const shares = new RegionShares(OPTIONS);
  shares.update([room(A), room(B)], 300, 0);
  expect(shares.shares.get(A)).to.equal(1);
});

it('a region with few slots sends away what it can not hold', () => {
  const shares = new RegionShares(OPTIONS);
  shares.update([room(A, { slots: 10 }), room(B, { slots: 50 })], 300, 0);
  expect(shares.shares.get(A)).to.be.closeTo(1 / 3, 0.001);
  expect(shares.shares.get(B)).to.be.closeTo(2 / 3, 0.001);
});

it('no more than the cap changes region within two seconds, whatever the load does', () => {
  const loads = fc.array(fc.tuple(fc.double({ min: 0, max: 3, noNaN: true }), fc.nat(700)), {
    minLength: 30,
    maxLength: 60,
  });
  fc.assert(
    fc.property(loads, (steps) => {
      const shares = new RegionShares(OPTIONS);
      const seen: { atMs: number; share: number }[] = [];
      let atMs = 0;
      steps.forEach(([utilization, pauseMs]) => {
        atMs += pauseMs;
        shares.update([room(A, { utilization }), room(B)], 300, atMs);
        seen.push({ atMs, share: shares.shares.get(A) ?? 0 });
      });
      seen.forEach((one) =>
        seen
          .filter((other) => other.atMs >= one.atMs && other.atMs - one.atMs < 2_000)
          .forEach((other) => expect(Math.abs(other.share - one.share)).to.be.at.most(0.15)),
      );
    }),
    { seed: 20261204, numRuns: 100 },
  );
});

it('shares add up to one when a region closes and comes back', () => {
  const shares = new RegionShares(OPTIONS);
  const sum = (): number => [...shares.shares.values()].reduce((a, b) => a + b, 0);
  shares.update([room(A), room(B)], 300, 0);
  shares.update([room(B)], 300, 100);
  expect(shares.shares.get(B)).to.equal(1);
  shares.update([room(A), room(B, { utilization: 2 })], 300, 700);
  expect(sum()).to.be.closeTo(1, 1e-9);
  expect(shares.shares.get(A) ?? 0).to.be.greaterThan(0);
});

it('repeats of all entry VMs together stay within the ratio and the burst', () => {
  const bounds = { ratio: 0.2, burst: 60, windowMs: 10_000 };
  const budgets = Array.from({ length: 10 }, () => new RepeatBudget(bounds));
  const times = Array.from({ length: 1_000 }, (_, i) => i * 10);
  const taken = times.flatMap((ms) =>
    budgets.filter((budget) => {
      if (ms % 100 === 0) budget.requested(SERVICE, ms);
      return budget.take(SERVICE, 10, ms);
    }),
  );
  const repeats = taken.length;
  expect(repeats).to.be.at.most(0.2 * 1_000 + 60);
  expect(repeats).to.be.at.least(50);
});

it('waiting requests are offered by urgency, then by age', () => {
  const list = new Waitlist<string>();
  list.add('bulk', 2);
  list.add('price 1', 0);
  list.add('document', 1);
  list.add('price 2', 0);
  const offered: string[] = [];
  list.offer((item) => {
    offered.push(item);
    return item.startsWith('price');
  });
  expect(offered).to.deep.equal(['price 1', 'price 2', 'document', 'bulk']);
  expect(list.size).to.equal(2);
});

it('the share of new objects falls when they come again', () => {
  const count = new KeyCount();
  for (let i = 0; i < 4_000; i += 1) count.add(`key-${i % 20}`, i * 10);
  expect(count.newShare(1, 40_000)).to.be.within(0.009, 0.011);
});

it('objects that come again to others of the failure domain count as known', () => {
  const count = new KeyCount();
  for (let i = 0; i < 400; i += 1) count.add(`key-${(i * 7) % 40}`, i * 1_000);
  const alone = count.newShare(1, 400_000);
  expect(alone).to.be.within(0.7, 0.9);
  expect(count.newShare(10, 400_000)).to.be.within(0.1, 0.3);
});

it('rare objects are taken for new before many were seen', () => {
  const count = new KeyCount();
  count.add('key-1', 0);
  expect(count.newShare(1, 20_000)).to.equal(1);
});

function peer(id: string, domain: string, region: string): PeerRecord {
  return {
    id: id as EntryVmId,
    failureDomain: domain as FailureDomainId,
    region: region as RegionId,
    callerAddress: `10.0.0.${id.length}:80` as Endpoint,
    peerAddress: `10.0.0.${id.length}:90` as Endpoint,
  };
}

function beat(record: PeerRecord, change: Partial<Heartbeat> = {}): Heartbeat {
  return {
    peer: record,
    incarnation: 'abcdefgh' as Incarnation,
    ready: true,
    stopping: false,
    watching: true,
    revisions: { plan: 1, servers: 1, evacuations: 1 },
    near: [],
    sightings: [],
    ...change,
  };
}

const SELF = peer('self', 'a1', 'a');
const NEAR = peer('near-1', 'a1', 'a');
const NEXT = peer('next-door', 'a2', 'a');
const FAR = peer('far-away-1', 'b1', 'b');

it('callers are told ready entry VMs of their failure domain, else of their region', () => {
  const view = new PeerView(SELF);
  [NEAR, NEXT, FAR].forEach((record) => view.heard(beat(record), 0));
  const told = (domain: string, region: string): readonly string[] =>
    view.addressesFor(domain as FailureDomainId, region as RegionId, true, 100);
  expect(told('a1', 'a')).to.have.members([NEAR.callerAddress, SELF.callerAddress]);
  expect(told('a2', 'a')).to.deep.equal([NEXT.callerAddress]);
  expect(told('b2', 'b')).to.deep.equal([FAR.callerAddress]);
});

it('silent and stopping entry VMs are not named, and one alone names itself', () => {
  const view = new PeerView(SELF);
  view.heard(beat(NEAR), 0);
  view.heard(beat(NEXT, { stopping: true }), 0);
  const told = (nowMs: number, ready: boolean): readonly string[] =>
    view.addressesFor('a2' as FailureDomainId, A, ready, nowMs);
  expect(told(100, false)).to.deep.equal([NEAR.callerAddress]);
  expect(told(3_000, false)).to.deep.equal([SELF.callerAddress]);
});

it('entry VMs of another region live by the word of one that hears them', () => {
  const view = new PeerView(SELF);
  const other = peer('far-away-22', 'b2', 'b');
  view.list(other);
  view.heard(beat(FAR, { near: [other.id] }), 0);
  expect(view.live(100)).to.include(other.id);
});

it('an entry VM with newer facts is found, one of the region first', () => {
  const view = new PeerView(SELF);
  const newer = { plan: 1, servers: 9, evacuations: 1 };
  view.heard(beat(FAR, { revisions: newer }), 0);
  expect(view.ahead({ plan: 1, servers: 1, evacuations: 1 }, 10)?.id).to.equal(FAR.id);
  view.heard(beat(NEAR, { revisions: newer }), 0);
  expect(view.ahead({ plan: 1, servers: 1, evacuations: 1 }, 10)?.id).to.equal(NEAR.id);
  expect(view.ahead(newer, 10)).to.equal(undefined);
});
