/** Placement of requests on backend servers. */
import { expect } from 'chai';
import type { BackendServerId, FailureDomainId, RegionId } from '../../state/index.js';
import type { Placement, LoadBalancer } from '../loadbalancers.js';
import { ServerLoad } from '../serverloads.js';
import { placeOf, placerOf, routeOf, serverOf, viewOf } from './fixtures.js';

function placeOrThrow(placer: LoadBalancer, key: string, nowMs = 0): Placement {
  const outcome = placer.place(placeOf(key), nowMs);
  if (outcome.type !== 'place') throw new Error(`expected a placement, got ${outcome.type}`);
  return outcome.placement;
}

const FOUR_SERVERS = ['s1', 's2', 's3', 's4'].map((id) => serverOf(id, 'a1'));
const OBJECT_KEYS = Array.from({ length: 60 }, (_, i) => `key-${i}`);

it('entry VMs of one region choose the same home server for an object', () => {
  const servers = [...FOUR_SERVERS, serverOf('s5', 'a2'), serverOf('s6', 'a2')];
  const first = placerOf(viewOf(servers), 'a1');
  const second = placerOf(viewOf(servers), 'a2');
  OBJECT_KEYS.forEach((key) => {
    const [one, two] = [placeOrThrow(first, key), placeOrThrow(second, key)];
    expect(one.server.record.id).to.equal(two.server.record.id);
  });
});

it('an added server takes over objects without moving others', () => {
  const before = placerOf(viewOf(FOUR_SERVERS));
  const after = placerOf(viewOf([...FOUR_SERVERS, serverOf('s5', 'a1')]));
  const moved = OBJECT_KEYS.filter((key) => {
    const now = placeOrThrow(after, key).server.record.id;
    return now !== placeOrThrow(before, key).server.record.id && now !== 's5';
  });
  expect(moved).to.deep.equal([]);
});

it('a busy home server is left only when its queue costs more than a cold run elsewhere', () => {
  const placer = placerOf(viewOf(FOUR_SERVERS));
  const home = placeOrThrow(placer, 'key').server.record.id;
  const load = placer.load(home);
  load.recordSent();
  load.recordSent();
  expect(placeOrThrow(placer, 'key').server.record.id).to.equal(home);
  Array.from({ length: 3 }, () => load.recordSent());
  expect(placeOrThrow(placer, 'key').server.record.id).not.to.equal(home);
});

it('without spare slots a request that is late at its home server is not placed elsewhere', () => {
  const placer = placerOf(viewOf(FOUR_SERVERS));
  const home = placeOrThrow(placer, 'key').server.record.id;
  FOUR_SERVERS.filter(({ id }) => id !== home).forEach(({ id }) => {
    placer.load(id).recordSent();
    placer.load(id).recordSent();
  });
  Array.from({ length: 6 }, () => placer.load(home).recordSent());
  expect(placer.place(placeOf('key'), 0).type).to.equal('late');
});

it('an ejected server and a failing server are avoided', () => {
  const placer = placerOf(viewOf(FOUR_SERVERS));
  const home = placeOrThrow(placer, 'key').server.record.id;
  placer.load(home).eject(1_000);
  expect(placeOrThrow(placer, 'key', 10).server.record.id).not.to.equal(home);
  const other = placerOf(viewOf(FOUR_SERVERS));
  Array.from({ length: 6 }, () => other.load(home).recordOutcome('failed', 0));
  expect(placeOrThrow(other, 'key', 1).server.record.id).not.to.equal(home);
});

it('the most urgent request is placed where a less urgent one has to wait', () => {
  const servers = [serverOf('s1', 'a1')];
  const urgent = routeOf({ objectiveMs: 1_000 });
  const bulk = routeOf({ name: 'bulk', pathPrefix: '/bulk/', priority: 2, objectiveMs: 1_500 });
  const view = viewOf(servers, {
    ...viewOf([]).snapshot().plan!,
    version: 2,
    routes: [urgent, bulk],
  });
  const placer = placerOf(view);
  Array.from({ length: 5 }, () => placer.load('s1' as BackendServerId).recordSent());
  expect(placer.place(placeOf('k', { route: urgent }), 0).type).to.equal('place');
  expect(placer.place(placeOf('k', { route: bulk }), 0).type).to.equal('wait');
  const aged = placeOf('k', { route: bulk, waitedMs: 460 });
  expect(placer.place(aged, 460).type).to.equal('place');
});

it('load reported by another entry VM diverts requests until the report is old', () => {
  const placer = placerOf(viewOf(FOUR_SERVERS));
  const home = placeOrThrow(placer, '7').server.record.id;
  placer.loads.recordPeerReports([{ server: home, work: 6, ageMs: 100 }], 1_000);
  expect(placeOrThrow(placer, '7', 1_000).server.record.id).not.to.equal(home);
  expect(placeOrThrow(placer, '7', 20_000).server.record.id).to.equal(home);
});

it("a server's own load report is not replaced by an older one from another entry VM", () => {
  const load = new ServerLoad();
  load.recordReport({ running: 2, waiting: 0, slots: 3 }, 1_000);
  load.recordPeerReport(9, 900);
  expect(load.occupancy(1_000)).to.equal(2);
  load.recordPeerReport(9, 1_001);
  expect(load.occupancy(1_001)).to.equal(9);
});

it('load sightings are returned once, the newest of each server', () => {
  const placer = placerOf(viewOf([serverOf('s1', 'a1'), serverOf('s2', 'a1')]));
  const [one, two] = ['s1', 's2'] as [BackendServerId, BackendServerId];
  placer.loads.recordReport(one, { running: 1, waiting: 0, slots: 3 }, 0);
  placer.loads.recordReport(two, { running: 2, waiting: 0, slots: 3 }, 50);
  placer.loads.recordReport(one, { running: 3, waiting: 1, slots: 3 }, 90);
  expect(placer.loads.flushSightings(100)).to.deep.equal([
    { server: one, work: 4, ageMs: 10 },
    { server: two, work: 2, ageMs: 50 },
  ]);
  expect(placer.loads.flushSightings(100)).to.deep.equal([]);
});

it('a request that cannot finish in time is late at once', () => {
  const placer = placerOf(viewOf([serverOf('s1', 'a1')]));
  Array.from({ length: 30 }, () => placer.load('s1' as BackendServerId).recordSent());
  expect(placer.place(placeOf('k'), 0).type).to.equal('late');
});

it('a retry is not late because of the time that its first attempt took', () => {
  const placer = placerOf(viewOf(FOUR_SERVERS));
  const retry = placeOf('k', { waitedMs: 700, leftMs: 1_800, isRetry: true });
  expect(placer.place(retry, 700).type).to.equal('place');
  const hopeless = placeOf('k', { waitedMs: 2_400, leftMs: 100, isRetry: true });
  expect(placer.place(hopeless, 2_400).type).to.equal('late');
});

it('a first attempt is placed on an idle server even with little time left', () => {
  const placer = placerOf(viewOf([serverOf('s1', 'a1')]));
  expect(placer.place(placeOf('k', { leftMs: 30 }), 0).type).to.equal('place');
});

it('a route is placed only in its allowed regions', () => {
  const placer = placerOf(viewOf([serverOf('s1', 'a1'), serverOf('s2', 'b1')]));
  const route = routeOf({ allowedRegions: ['b' as RegionId] });
  OBJECT_KEYS.forEach((key) => {
    const outcome = placer.place(placeOf(key, { route }), 0);
    expect(outcome.type === 'place' && outcome.placement.server.record.id).to.equal('s2');
  });
  const nowhere = routeOf({ allowedRegions: ['c' as RegionId] });
  expect(placer.place(placeOf('k', { route: nowhere }), 0).type).to.equal('noServer');
});

it('a region whose failure domains are all evacuated gets no request', () => {
  const view = viewOf([serverOf('s1', 'a1'), serverOf('s2', 'b1')]);
  const placer = placerOf(view);
  placeOrThrow(placer, 'key');
  view.setEvacuated('a1' as FailureDomainId, true, 0);
  OBJECT_KEYS.forEach((key) => expect(placeOrThrow(placer, key).server.record.id).to.equal('s2'));
});

it('a cold server gets no more requests than its two senders may send', () => {
  const view = viewOf([serverOf('s1', 'a1', { coldMs: 10_000 })]);
  const placer = placerOf(view);
  const sent = Array.from({ length: 200 }, (_, i) => placer.place(placeOf('k'), i * 5)).filter(
    (outcome) => outcome.type === 'place',
  );
  // The server admits 2 requests per second, times 1.5, plus slack; this entry VM may use half of that.
  expect(sent.length).to.be.greaterThan(0).and.at.most(3);
});

// Guards against refusing a new route, of which no run has been recorded, while other routes are served.
it('a new route is placed at least a quarter as often as a known one on busy servers', () => {
  const placer = placerOf(viewOf(FOUR_SERVERS));
  const knownRoute = routeOf();
  const placement = placeOrThrow(placer, 'key');
  Array.from({ length: 50 }, (_, i) => placer.recordResponse(knownRoute, placement, 300, 500, i));
  const addedRoute = routeOf({ name: 'added', pathPrefix: '/added/' });
  const countPlaced = (route: typeof knownRoute): number =>
    OBJECT_KEYS.filter((key) => placer.place(placeOf(key, { route }), 100).type === 'place').length;
  const placedPerLoad = [0, 1, 2, 3, 4].map((requestsPerServer) => {
    if (requestsPerServer > 0) FOUR_SERVERS.forEach(({ id }) => placer.load(id).recordSent());
    return [countPlaced(knownRoute), countPlaced(addedRoute)] as const;
  });
  placedPerLoad.forEach(([before, after]) => expect(after).to.be.at.least(before / 4));
  expect(placedPerLoad[0]).to.deep.equal([OBJECT_KEYS.length, OBJECT_KEYS.length]);
  expect(placedPerLoad[3]?.[0]).to.be.greaterThan(0);
});
