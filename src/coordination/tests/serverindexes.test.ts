/** Hot objects in a region of hundreds of servers: where the requests go that their home can't take. */
import { expect } from 'chai';
import { placeOf, placerOf, serverOf, viewOf } from './fixtures.js';

const SERVERS = Array.from({ length: 300 }, (_, i) => serverOf(`s${i}`, i % 2 === 0 ? 'a1' : 'a2'));

/** Slots and queue of one server for urgent requests. */
const REQUESTS_PER_SERVER = 6;

// Guards against spill of a hot object that is cold on another server for each entry VM.
it('the requests of a hot object meet at the same few servers from all entry VMs', () => {
  const used = ['a1', 'a2'].map((home) => {
    const balancer = placerOf(viewOf(SERVERS), home);
    const servers = new Set<string>();
    for (let i = 0; i < 4 * REQUESTS_PER_SERVER; i += 1) {
      const outcome = balancer.place(placeOf('hot'), 0);
      if (outcome.type !== 'place') break;
      const { id } = outcome.placement.server.record;
      balancer.load(id).recordSent();
      servers.add(id);
    }
    return servers;
  });
  const [first = new Set(), second = new Set()] = used;
  const shared = [...first].filter((id) => second.has(id));
  expect(first.size).to.be.greaterThan(1);
  expect(shared.length).to.be.at.least(first.size / 2);
});

// Guards against a request that waits beside hundreds of idle servers because those ranked first are cold.
it('cold servers take no place among the candidates', () => {
  const cold = SERVERS.map((server, i) => (i % 3 === 0 ? server : { ...server, coldMs: 10_000 }));
  const balancer = placerOf(viewOf(cold));
  const outcomes = Array.from({ length: 100 }, (_, i) => balancer.place(placeOf(`key-${i}`), 0));
  const placed = outcomes.filter(({ type }) => type === 'place');
  expect(placed.length).to.be.at.least(95);
});

it('objects are spread evenly over hundreds of servers', () => {
  const balancer = placerOf(viewOf(SERVERS));
  const counts = new Map<string, number>();
  for (let i = 0; i < 3_000; i += 1) {
    const outcome = balancer.place(placeOf(`key-${i}`), 0);
    if (outcome.type === 'place') {
      const { id } = outcome.placement.server.record;
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
  }
  expect(counts.size).to.be.at.least(0.98 * SERVERS.length);
  expect(Math.max(...counts.values())).to.be.at.most(30);
});

it('a change of one server is seen by the next request', () => {
  const view = viewOf(SERVERS);
  const balancer = placerOf(view);
  const outcome = balancer.place(placeOf('key'), 0);
  if (outcome.type !== 'place') throw new Error(outcome.type);
  const { record } = outcome.placement.server;
  view.putServer({ ...record, draining: true, sequence: record.sequence + 1 }, 1);
  const next = balancer.place(placeOf('key'), 1);
  expect(next.type === 'place' && next.placement.server.record.id).not.to.equal(record.id);
});
