/** Region shares, retry budgets, wait lists, counts of new objects and live peers. */
import { expect } from 'chai';
import fc from 'fast-check';
import type {
  BackendServerId,
  Endpoint,
  EntryVmId,
  FailureDomainId,
  Incarnation,
  RegionId,
} from '../../state/index.js';
import { KeyReuseEstimator } from '../keyreuseestimators.js';
import { PeerView } from '../peerviews.js';
import type { Heartbeat, PeerRecord } from '../peerviews.js';
import { RegionShares } from '../regionshares.js';
import type { RegionCapacity } from '../regionshares.js';
import { RetryBudget } from '../retrybudgets.js';
import { WarmupLimiter } from '../warmuplimiters.js';
import { Waitlist } from '../waitlists.js';
import { SERVICE } from './fixtures.js';

const A = 'a' as RegionId;
const B = 'b' as RegionId;

function regionLoad(region: RegionId, change: Partial<RegionCapacity> = {}): RegionCapacity {
  return { region, slots: 30, utilization: 0.3, extraCostMs: region === A ? 0 : 44, ...change };
}

const OPTIONS = { home: A, demand: 0.5, maxShift: 0.15 };

it('a region with its share of the slots runs all of its own requests', () => {
  const shares = new RegionShares(OPTIONS);
  shares.update([regionLoad(A), regionLoad(B)], 300, 0);
  expect(shares.shares.get(A)).to.equal(1);
});

it('a region with few slots sends the excess to another region', () => {
  const shares = new RegionShares(OPTIONS);
  shares.update([regionLoad(A, { slots: 10 }), regionLoad(B, { slots: 50 })], 300, 0);
  expect(shares.shares.get(A)).to.be.closeTo(1 / 3, 0.001);
  expect(shares.shares.get(B)).to.be.closeTo(2 / 3, 0.001);
});

it('no more than the cap shifts between regions within two seconds at any load', () => {
  const loads = fc.array(fc.tuple(fc.double({ min: 0, max: 3, noNaN: true }), fc.nat(700)), {
    minLength: 30,
    maxLength: 60,
  });
  fc.assert(
    fc.property(loads, (steps) => {
      const shares = new RegionShares(OPTIONS);
      const samples: { atMs: number; share: number }[] = [];
      let atMs = 0;
      steps.forEach(([utilization, pauseMs]) => {
        atMs += pauseMs;
        shares.update([regionLoad(A, { utilization }), regionLoad(B)], 300, atMs);
        samples.push({ atMs, share: shares.shares.get(A) ?? 0 });
      });
      samples.forEach((sample) =>
        samples
          .filter((other) => other.atMs >= sample.atMs && other.atMs - sample.atMs < 2_000)
          .forEach((other) => expect(Math.abs(other.share - sample.share)).to.be.at.most(0.15)),
      );
    }),
    { seed: 20261204, numRuns: 100 },
  );
});

it('shares add up to one when a region closes and reopens', () => {
  const shares = new RegionShares(OPTIONS);
  const sum = (): number => [...shares.shares.values()].reduce((a, b) => a + b, 0);
  shares.update([regionLoad(A), regionLoad(B)], 300, 0);
  shares.update([regionLoad(B)], 300, 100);
  expect(shares.shares.get(B)).to.equal(1);
  shares.update([regionLoad(A), regionLoad(B, { utilization: 2 })], 300, 700);
  expect(sum()).to.be.closeTo(1, 1e-9);
  expect(shares.shares.get(A) ?? 0).to.be.greaterThan(0);
});

it('retries of all entry VMs together stay within the ratio and the burst of the retry budget', () => {
  const bounds = { ratio: 0.2, burst: 60, windowMs: 10_000 };
  const budgets = Array.from({ length: 10 }, () => new RetryBudget(bounds));
  const times = Array.from({ length: 1_000 }, (_, i) => i * 10);
  const granted = times.flatMap((ms) =>
    budgets.filter((budget) => {
      if (ms % 100 === 0) budget.recordRequest(SERVICE, ms);
      return budget.trySpend(SERVICE, 10, ms);
    }),
  );
  const retries = granted.length;
  expect(retries).to.be.at.most(0.2 * 1_000 + 60);
  expect(retries).to.be.at.least(50);
});

// Guards against a budget that is earned by requests of a window which is over when the retries are sent.
it('retries stay within the budget of every window when traffic rises and falls', () => {
  const windowMs = 10_000;
  const stepMs = 250;
  const entryVms = 4;
  const requestsPerStep = fc.integer({ min: 0, max: 40 });
  const phases = fc.array(fc.tuple(requestsPerStep, fc.integer({ min: 1, max: 60 })), {
    minLength: 2,
    maxLength: 6,
  });
  const property = fc.property(phases, (traffic) => {
    const budgets = Array.from(
      { length: entryVms },
      () => new RetryBudget({ ratio: 0.2, burst: 60, windowMs }),
    );
    const loads = traffic.flatMap(([requests, steps]) => Array<number>(steps).fill(requests));
    const retries = loads.map((requests, step) => {
      const nowMs = step * stepMs;
      for (let i = 0; i < requests; i += 1) budgets[i % entryVms]?.recordRequest(SERVICE, nowMs);
      let granted = 0;
      budgets.forEach((budget) => {
        for (let i = 0; i < 30; i += 1) if (budget.trySpend(SERVICE, entryVms, nowMs)) granted += 1;
      });
      return granted;
    });
    const window = windowMs / stepMs;
    const sum = (counts: readonly number[], from: number): number =>
      counts.slice(Math.max(0, from), Math.max(0, from + window)).reduce((a, b) => a + b, 0);
    loads.forEach((_, from) => {
      const earned = Math.max(
        ...[from, from - window, from - window / 2].map((start) => sum(loads, start)),
      );
      expect(sum(retries, from)).to.be.at.most(0.2 * earned + 60);
    });
  });
  fc.assert(property, { seed: 20, numRuns: 300 });
});

it('waiting requests are offered by rank, then by age', () => {
  const waitlist = new Waitlist<string>();
  waitlist.add('bulk', 2);
  waitlist.add('price 1', 0);
  waitlist.add('document', 1);
  waitlist.add('price 2', 0);
  const offered: string[] = [];
  waitlist.offer((item) => {
    offered.push(item);
    return item.startsWith('price');
  });
  expect(offered).to.deep.equal(['price 1', 'price 2', 'document', 'bulk']);
  expect(waitlist.size).to.equal(2);
});

it('the share of new objects falls when objects are requested again', () => {
  const count = new KeyReuseEstimator();
  for (let i = 0; i < 4_000; i += 1) count.add(`key-${i % 20}`, i * 10);
  expect(count.newKeyRatio(1, 40_000)).to.be.within(0.009, 0.011);
});

it('objects requested again at other entry VMs of the failure domain count as known', () => {
  const count = new KeyReuseEstimator();
  for (let i = 0; i < 400; i += 1) count.add(`key-${(i * 7) % 40}`, i * 1_000);
  const alone = count.newKeyRatio(1, 400_000);
  expect(alone).to.be.within(0.7, 0.9);
  expect(count.newKeyRatio(10, 400_000)).to.be.within(0.1, 0.3);
});

it('a rare object counts as new while few requests have been recorded', () => {
  const count = new KeyReuseEstimator();
  count.add('key-1', 0);
  expect(count.newKeyRatio(1, 20_000)).to.equal(1);
});

function peerOf(id: string, domain: string, region: string): PeerRecord {
  return {
    id: id as EntryVmId,
    failureDomain: domain as FailureDomainId,
    region: region as RegionId,
    callerAddress: `10.0.0.${id.length}:80` as Endpoint,
    peerAddress: `10.0.0.${id.length}:90` as Endpoint,
  };
}

function heartbeatOf(record: PeerRecord, change: Partial<Heartbeat> = {}): Heartbeat {
  return {
    peer: record,
    incarnation: 'abcdefgh' as Incarnation,
    ready: true,
    stopping: false,
    watching: true,
    revisions: { plan: 1, servers: 1, evacuations: 1 },
    near: [],
    sightings: [],
    crashReports: [],
    leaving: [],
    ...change,
  };
}

const SELF = peerOf('self', 'a1', 'a');
const SAME_DOMAIN = peerOf('near-1', 'a1', 'a');
const SAME_REGION = peerOf('next-door', 'a2', 'a');
const OTHER_REGION = peerOf('far-away-1', 'b1', 'b');

it('callers get the ready entry VMs of their failure domain, else of their region', () => {
  const view = new PeerView(SELF);
  [SAME_DOMAIN, SAME_REGION, OTHER_REGION].forEach((record) =>
    view.recordHeartbeat(heartbeatOf(record), 0),
  );
  const addresses = (domain: string, region: string): readonly string[] =>
    view.addressesFor(domain as FailureDomainId, region as RegionId, true, 100);
  expect(addresses('a1', 'a')).to.have.members([SAME_DOMAIN.callerAddress, SELF.callerAddress]);
  expect(addresses('a2', 'a')).to.deep.equal([SAME_REGION.callerAddress]);
  expect(addresses('b2', 'b')).to.deep.equal([OTHER_REGION.callerAddress]);
});

it('unresponsive and stopping entry VMs are not listed, and an isolated one lists itself', () => {
  const view = new PeerView(SELF);
  view.recordHeartbeat(heartbeatOf(SAME_DOMAIN), 0);
  view.recordHeartbeat(heartbeatOf(SAME_REGION, { stopping: true }), 0);
  const addresses = (nowMs: number, ready: boolean): readonly string[] =>
    view.addressesFor('a2' as FailureDomainId, A, ready, nowMs);
  expect(addresses(100, false)).to.deep.equal([SAME_DOMAIN.callerAddress]);
  expect(addresses(3_000, false)).to.deep.equal([SELF.callerAddress]);
});

it('an entry VM of another region is live when a peer of that region reports it', () => {
  const view = new PeerView(SELF);
  const other = peerOf('far-away-22', 'b2', 'b');
  view.addRecord(other);
  view.recordHeartbeat(heartbeatOf(OTHER_REGION, { near: [other.id] }), 0);
  expect(view.live(100)).to.include(other.id);
});

it('the peer with newer facts is found, one of the same region first', () => {
  const view = new PeerView(SELF);
  const newer = { plan: 1, servers: 9, evacuations: 1 };
  view.recordHeartbeat(heartbeatOf(OTHER_REGION, { revisions: newer }), 0);
  expect(view.findNewer({ plan: 1, servers: 1, evacuations: 1 }, 10)?.id).to.equal(OTHER_REGION.id);
  view.recordHeartbeat(heartbeatOf(SAME_DOMAIN, { revisions: newer }), 0);
  expect(view.findNewer({ plan: 1, servers: 1, evacuations: 1 }, 10)?.id).to.equal(SAME_DOMAIN.id);
  expect(view.findNewer(newer, 10)).to.equal(undefined);
});

const RESTARTED_VMS = Array.from({ length: 30 }, (_, i) => peerOf(`vm-${i}`, 'a1', 'a'));
const COLD_SERVER = 's1' as BackendServerId;

/** Requests per second that the cold server tolerates, and those above that count as a breach, in a second. */
const WARMUP_PER_S = 19.5;
const COLD_SLACK = 5;

// Guards against entry VMs that all restart, know no others yet, and each send to a cold server as if alone.
it('entry VMs that start together do not send more to a cold server than it tolerates', () => {
  const vms = RESTARTED_VMS.map((record, i) => {
    const view = new PeerView(record, 0);
    return { id: record.id, view, limiter: new WarmupLimiter(record.id), listedMs: i * 5 };
  });
  const sentMs: number[] = [];
  for (let nowMs = 0; nowMs < 4_000; nowMs += 5) {
    vms.forEach(({ id, view, limiter, listedMs }) => {
      if (nowMs === listedMs) view.addList(RESTARTED_VMS);
      if (nowMs % 600 === 595 && nowMs < 3_000) {
        RESTARTED_VMS.filter((record) => record.id !== id).forEach((record) =>
          view.recordHeartbeat(heartbeatOf(record), nowMs),
        );
      }
      const sharing = view.sharing(nowMs);
      if (limiter.tryTake(COLD_SERVER, WARMUP_PER_S, sharing, nowMs)) sentMs.push(nowMs);
    });
  }
  const inSecondFrom = (fromMs: number): number =>
    sentMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + 1_000).length;
  const most = Math.max(...sentMs.map(inSecondFrom));
  expect(most).to.be.greaterThan(0);
  expect(most).to.be.at.most(WARMUP_PER_S + COLD_SLACK);
});

it('an entry VM that has no list of the others counts only those that it has heard, once they had time', () => {
  const view = new PeerView(SELF, 1_000);
  view.recordHeartbeat(heartbeatOf(SAME_DOMAIN), 1_500);
  expect(view.sharing(1_600)).to.deep.equal([]);
  expect(view.sharing(3_600)).to.deep.equal([SELF.id, SAME_DOMAIN.id]);
});
