/** Versions, incarnations, removals and evacuations in the view of the fleet. */
import { expect } from 'chai';
import type { BackendServerId, FailureDomainId, ServiceName } from '../../state/index.js';
import { FleetView } from '../fleetviews.js';
import { SERVICE, planOf, routeOf, serverOf, viewOf } from './fixtures.js';

const S1 = 's1' as BackendServerId;
const A1 = 'a1' as FailureDomainId;

it('a plan is not replaced by an older version', () => {
  const view = viewOf([]);
  expect(view.setPlan(planOf(3))).to.equal(true);
  expect(view.setPlan(planOf(2))).to.equal(false);
  expect(view.plan?.version).to.equal(3);
});

it('a request takes the route of its host with the longest matching prefix', () => {
  const bulk = routeOf({ name: 'bulk', pathPrefix: '/prices/bulk/' });
  const view = viewOf([], planOf(1, [routeOf(), bulk, routeOf({ host: 'other.example' })]));
  expect(view.route('shop.example', '/prices/bulk/7')?.name).to.equal('bulk');
  expect(view.route('shop.example', '/prices/7')?.name).to.equal('prices');
  expect(view.route('shop.example', '/stock/7')).to.equal(undefined);
  expect(view.route('none.example', '/prices/7')).to.equal(undefined);
});

it('a traffic split follows the weights of its targets', () => {
  const targets = [
    { service: SERVICE, weight: 9 },
    { service: 'docs' as typeof SERVICE, weight: 1 },
  ];
  const route = routeOf({ targets });
  const view = viewOf([], planOf(1, [route]));
  const chosen = Array.from({ length: 100 }, () => view.nextService(route));
  expect(chosen.filter((service) => service === SERVICE)).to.have.length(90);
});

it('a target of weight 0 gets no request', () => {
  const targets = [
    { service: SERVICE, weight: 1 },
    { service: 'docs' as typeof SERVICE, weight: 0 },
  ];
  const route = routeOf({ targets });
  const view = viewOf([], planOf(1, [route]));
  const chosen = Array.from({ length: 20 }, () => view.nextService(route));
  expect(new Set(chosen)).to.deep.equal(new Set([SERVICE]));
});

it('older records and those of a replaced incarnation are ignored', () => {
  const view = viewOf([serverOf('s1', 'a1', { bornMs: 2_000, sequence: 5 })]);
  const older = serverOf('s1', 'a1', { bornMs: 2_000, sequence: 4, draining: true });
  const replaced = serverOf('s1', 'a1', { bornMs: 1_000, sequence: 9, draining: true });
  expect(view.putServer(older, 10)).to.equal(false);
  expect(view.putServer(replaced, 10)).to.equal(false);
  expect(view.isUsable(S1)).to.equal(true);
});

it('a late record of an earlier incarnation does not restore a removed server', () => {
  const view = viewOf([serverOf('s1', 'a1', { bornMs: 2_000 })]);
  view.removeServer(S1, 10);
  expect(view.putServer(serverOf('s1', 'a1', { bornMs: 1_000 }), 20)).to.equal(false);
  expect(view.putServer(serverOf('s1', 'a1', { bornMs: 3_000 }), 30)).to.equal(true);
});

it('a new incarnation under an old id is cold for its cold start period', () => {
  const view = viewOf([serverOf('s1', 'a1', { bornMs: 1_000 })]);
  view.putServer(serverOf('s1', 'a1', { bornMs: 2_000 }), 100);
  const server = view.server(S1);
  expect(server !== undefined && view.isCold(server, 3_000)).to.equal(true);
  expect(server !== undefined && view.isCold(server, 3_101)).to.equal(false);
});

it('draining, removed and evacuated servers are not usable', () => {
  const view = viewOf([serverOf('s1', 'a1'), serverOf('s2', 'a2'), serverOf('s3', 'b1')]);
  view.putServer(serverOf('s2', 'a2', { draining: true, sequence: 2 }), 10);
  view.removeServer('s3' as BackendServerId, 10);
  view.setEvacuated(A1, true, 10);
  expect(view.usableServers(SERVICE)).to.deep.equal([]);
});

it('the servers of a failure domain are cold after its evacuation ends', () => {
  const view = viewOf([serverOf('s1', 'a1')]);
  view.setEvacuated(A1, true, 0);
  view.setEvacuated(A1, false, 1_000);
  const server = view.server(S1);
  expect(server !== undefined && view.isCold(server, 3_900)).to.equal(true);
  expect(server !== undefined && view.isCold(server, 4_001)).to.equal(false);
});

it('an unlisted server stays usable for its grace period, and longer if it is listed again', () => {
  const view = viewOf([serverOf('s1', 'a1'), serverOf('s2', 'a1')]);
  view.replaceServers([], 100, 2_100);
  expect(view.isUsable(S1)).to.equal(true);
  view.putServer(serverOf('s1', 'a1', { sequence: 2 }), 1_000);
  expect(view.tick(2_100)).to.deep.equal(['s2']);
  expect(view.isUsable(S1)).to.equal(true);
});

it('a revision is not published while a removal is pending', () => {
  const view = viewOf([serverOf('s1', 'a1')]);
  view.removeServer(S1, 100, 2_100);
  view.advanceRevision('servers', 54);
  expect(view.revisions.servers).to.equal(1);
  view.tick(2_100);
  expect(view.revisions.servers).to.equal(54);
});

it('only newer facts of another entry VM are merged', () => {
  const view = viewOf([serverOf('s1', 'a1')]);
  const other = new FleetView();
  other.setPlan(planOf(2));
  other.advanceRevision('plan', 7);
  expect(view.merge(other.snapshot(), 10).kinds).to.deep.equal(['plan']);
  expect(view.plan?.version).to.equal(2);
  expect(view.isUsable(S1)).to.equal(true);
  expect(view.merge(other.snapshot(), 20).kinds).to.deep.equal([]);
});

// Guards against a traffic split that misses its weights when several entry VMs share few requests.
it('the targets of a split get their shares over several entry VMs, also after a change of weights', () => {
  const weights = [
    [90, 10],
    [50, 50],
    [20, 80],
  ] as const;
  const views = Array.from({ length: 10 }, () => new FleetView());
  weights.forEach(([first, second], i) => {
    const targets = [
      { service: SERVICE, weight: first },
      { service: 'other' as ServiceName, weight: second },
    ];
    const route = routeOf({ targets });
    views.forEach((view) => view.setPlan(planOf(i + 1, [route])));
    const chosen = views.flatMap((view) =>
      Array.from({ length: 20 }, () => view.nextService(route)),
    );
    const share = chosen.filter((service) => service === SERVICE).length / chosen.length;
    expect(share).to.be.closeTo(first / 100, 0.1);
  });
});

// Guards against changes that are merged without earlier ones, whose servers would then stay unknown.
it('a view includes only revisions that it has reached for every kind', () => {
  const view = viewOf([serverOf('s1', 'a1')]);
  view.advanceRevision('plan', 4);
  view.advanceRevision('servers', 7);
  view.advanceRevision('evacuations', 2);
  expect(view.includes({ plan: 4, servers: 7, evacuations: 2 })).to.equal(true);
  expect(view.includes({ plan: 4, servers: 8, evacuations: 2 })).to.equal(false);
  expect(view.includes({ plan: 5, servers: 7, evacuations: 2 })).to.equal(false);
});
