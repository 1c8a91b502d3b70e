/** Ranks, slots and floods: one failure domain at ten times what it can take. */
import { expect } from 'chai';
import { RANKS } from '../../state/index.js';
import type { Rank } from '../../state/index.js';
import { World } from './worlds.js';
import type { Asked } from './worlds.js';

const RUN_MS: Record<Rank, number> = { urgent: 20, interactive: 20, bulk: 200 };
const SERVERS = 5;
const SLOTS = 3;
const SECONDS = 20;

interface Flood {
  readonly asked: readonly Asked[];
  readonly world: World;
}

/** Sends ranks at fixed rates, in requests a second, for `SECONDS`. */
function flood(rates: Partial<Record<Rank, number>>, seed = 1): Flood {
  const world = new World({ seed, serversPerDomain: SERVERS, slots: SLOTS, runMs: RUN_MS });
  const [vm] = world.vms;
  const asked: Asked[] = [];
  RANKS.forEach((rank) => {
    const perSecond = rates[rank] ?? 0;
    for (let i = 0; i < perSecond * SECONDS; i += 1) {
      world.at((i * 1000) / perSecond + world.random() * 5, () => {
        if (vm === undefined) return;
        const each = world.ask({ rank, idempotent: true });
        asked.push(each);
        world.send(vm, each, { caller: `c${i % 50}` });
      });
    }
  });
  world.advance(SECONDS * 1000 + 3000);
  return { asked, world };
}

function answered(run: Flood, rank: Rank): readonly Asked[] {
  return run.asked.filter((each) => each.rank === rank && each.told[0] === 'answered');
}

function p99(run: Flood, rank: Rank): number {
  const times = answered(run, rank)
    .map((each) => each.tookMs ?? Infinity)
    .sort((a, b) => a - b);
  return times[Math.floor(times.length * 0.99)] ?? Infinity;
}

/** Requests a second that the slots can run, at the driver's 22 ms for a run of 20 ms. */
const SHORT_CAPACITY = (SERVERS * SLOTS * 1000) / (RUN_MS.urgent + 2);

it('a flood of documents leaves the urgent rank its latency', () => {
  const calm = flood({ urgent: 60, interactive: 60, bulk: 5 });
  const flooded = flood({ urgent: 60, interactive: 60, bulk: 750 });
  expect(p99(flooded, 'urgent') / p99(calm, 'urgent')).to.be.at.most(1.2);
  expect(answered(flooded, 'urgent')).to.have.length(60 * SECONDS);
});

it('a flood of price checks refuses no urgent work', () => {
  const flooded = flood({ urgent: 60, interactive: 6800, bulk: 5 });
  expect(answered(flooded, 'urgent')).to.have.length(60 * SECONDS);
});

it('a flood of urgent work keeps goodput and the floors', () => {
  const flooded = flood({ urgent: 6800, interactive: 100, bulk: 20 });
  const floorRate = (share: number, runMs: number) =>
    (Math.ceil(SERVERS * SLOTS * share) * 1000) / (runMs + 2);
  const bulkDone = answered(flooded, 'bulk').length / SECONDS;
  const interactiveDone = answered(flooded, 'interactive').length / SECONDS;
  const urgentDone = answered(flooded, 'urgent').length / SECONDS;
  expect(bulkDone).to.be.at.least(Math.min(20, floorRate(0.05, RUN_MS.bulk)) * 0.9);
  expect(interactiveDone).to.be.at.least(Math.min(100, floorRate(0.1, RUN_MS.interactive)) * 0.9);
  const slotTime = urgentDone * 22 + interactiveDone * 22 + bulkDone * 202;
  expect(slotTime / (SERVERS * SLOTS * 1000)).to.be.at.least(0.95);
  expect(urgentDone).to.be.below(SHORT_CAPACITY);
});

it('one caller that floods does not crowd out the others', () => {
  const world = new World({ serversPerDomain: SERVERS, slots: SLOTS, runMs: RUN_MS });
  const [vm] = world.vms;
  const quiet: Asked[] = [];
  for (let i = 0; i < 40_000; i += 1) {
    world.at(i / 4, () => {
      if (vm !== undefined) world.send(vm, world.ask({ idempotent: true }), { caller: 'loud' });
    });
  }
  for (let i = 0; i < 100; i += 1) {
    world.at(1000 + i * 90, () => {
      const each = world.ask({ idempotent: true });
      quiet.push(each);
      if (vm !== undefined) world.send(vm, each, { caller: 'quiet' });
    });
  }
  world.advance(14_000);
  expect(quiet.filter((each) => each.told[0] === 'answered')).to.have.length(100);
});

it('no server ever gets more than its slots', () => {
  const { world } = flood({ urgent: 3000, interactive: 3000, bulk: 300 });
  world.servers.forEach((server) => {
    expect(server.peak).to.be.at.most(SLOTS);
    expect(server.refused).to.equal(0);
  });
});
