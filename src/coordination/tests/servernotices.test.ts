/** Notices of backend servers, and requests placed while they hold. */
import { expect } from 'chai';
import type { BackendServerId } from '../../state/index.js';
import { MAX_LEAVING_SERVERS, ServerNotices } from '../servernotices.js';
import { placeOf, placerOf, serverOf, viewOf } from './fixtures.js';

const SERVERS = ['s1', 's2'].map((id) => serverOf(id, 'a1'));
const [FIRST, SECOND] = SERVERS as [(typeof SERVERS)[0], (typeof SERVERS)[0]];

// Guards against requests to a server that has announced in a response that it leaves.
it('a leaving server gets no requests, and a later process with its id does', () => {
  const view = viewOf(SERVERS);
  const balancer = placerOf(view);
  balancer.notices.recordLeaving(FIRST, 0);
  const placedOn = (nowMs: number): Set<string> =>
    new Set(
      Array.from({ length: 30 }, (_, i) => {
        const outcome = balancer.place(placeOf(`key-${i}`), nowMs);
        return outcome.type === 'place' ? outcome.placement.server.record.id : outcome.type;
      }),
    );
  expect([...placedOn(0)]).to.deep.equal([SECOND.id]);
  expect([...placedOn(1_000_000)]).to.deep.equal([SECOND.id]);
  view.putServer({ ...FIRST, bornMs: FIRST.bornMs + 1, sequence: 0 }, 10);
  expect([...placedOn(10)]).to.include(FIRST.id);
});

it('the notice of an earlier process does not replace that of a later one', () => {
  const notices = new ServerNotices();
  notices.recordLeaving({ id: FIRST.id, bornMs: 20 }, 0);
  expect(notices.recordLeaving({ id: FIRST.id, bornMs: 10 }, 0)).to.equal(false);
  expect(notices.isLeaving({ id: FIRST.id, bornMs: 20 })).to.equal(true);
  expect(notices.isLeaving({ id: FIRST.id, bornMs: 10 })).to.equal(false);
});

it('a new notice is sent in a few heartbeats, and one of another entry VM is not sent on', () => {
  const notices = new ServerNotices();
  notices.recordLeaving(FIRST, 0);
  expect(notices.mergeLeaving([SECOND, FIRST], 0).map(({ id }) => id)).to.deep.equal([SECOND.id]);
  const sent = Array.from({ length: 5 }, () => notices.flushLeaving().map(({ id }) => id));
  expect(sent).to.deep.equal([[FIRST.id], [FIRST.id], [FIRST.id], [], []]);
});

it('many servers that leave together are sent in several heartbeats', () => {
  const notices = new ServerNotices();
  const ids = Array.from({ length: MAX_LEAVING_SERVERS * 2 }, (_, i) => `s${i}` as BackendServerId);
  ids.forEach((id) => notices.recordLeaving({ id, bornMs: 1 }, 0));
  const sent = Array.from({ length: 6 }, () => notices.flushLeaving());
  sent.forEach((servers) => expect(servers.length).to.be.at.most(MAX_LEAVING_SERVERS));
  expect(new Set(sent.flat().map(({ id }) => id)).size).to.equal(ids.length);
});

// Guards against requests to a server that has said for how long it wants none.
it('a server that is held off gets no requests until its time is over', () => {
  const balancer = placerOf(viewOf(SERVERS));
  balancer.notices.recordHoldOff(FIRST, 2_000, 0);
  const placed = Array.from({ length: 30 }, (_, i) => balancer.place(placeOf(`key-${i}`), 1_999));
  placed.forEach((outcome) => {
    expect(outcome.type).to.equal('place');
    if (outcome.type === 'place') expect(outcome.placement.server.record.id).to.equal(SECOND.id);
  });
});

// Guards against requests held until their deadline although no server wants them before it.
it('a request is rejected at once when all servers are held off, with the earliest end', () => {
  const balancer = placerOf(viewOf(SERVERS));
  balancer.notices.recordHoldOff(FIRST, 6_000, 0);
  balancer.notices.recordHoldOff(SECOND, 4_000, 0);
  expect(balancer.place(placeOf('key'), 1_000)).to.deep.equal({ type: 'heldOff', waitMs: 3_000 });
});

it('a shorter hold-off does not replace a longer one, and none holds for a later process', () => {
  const notices = new ServerNotices();
  notices.recordHoldOff(FIRST, 6_000, 0);
  notices.recordHoldOff(FIRST, 1_000, 10);
  notices.recordHoldOff(FIRST, 0, 20);
  expect(notices.holdOffMs(FIRST, 1_000)).to.equal(5_000);
  expect(notices.holdOffMs({ ...FIRST, bornMs: FIRST.bornMs + 1 }, 1_000)).to.equal(0);
});

// Guards against all waiting requests that reach a server in the moment in which its hold-off ends.
it('after a hold-off a server gets one request at a time until it has served one', () => {
  const balancer = placerOf(viewOf([FIRST]));
  balancer.notices.recordHoldOff(FIRST, 1_000, 0);
  expect(balancer.place(placeOf('a'), 1_000).type).to.equal('place');
  balancer.load(FIRST.id).recordSent();
  expect(balancer.place(placeOf('b'), 1_010).type).to.equal('wait');
  balancer.load(FIRST.id).recordOutcome('rejected', 1_020);
  expect(balancer.place(placeOf('b'), 1_030).type).to.equal('place');
  balancer.load(FIRST.id).recordSent();
  balancer.notices.recordServed(FIRST, 1_040);
  expect(balancer.place(placeOf('c'), 1_050).type).to.equal('place');
});

it('notices of servers that are no longer in use are dropped', () => {
  const notices = new ServerNotices();
  notices.recordLeaving(FIRST, 0);
  notices.recordHoldOff(FIRST, 1_000, 0);
  notices.tick(3_600_000);
  expect(notices.isLeaving(FIRST)).to.equal(false);
  expect(notices.isOnProbation(FIRST, 3_600_000)).to.equal(false);
});
