/** The order in which requests begin when the processor is short. */
import { expect } from 'chai';
import { Arrivals } from '../arrivals.js';

it('the most urgent request begins first, those of one rank in order', () => {
  const arrivals = new Arrivals<string>();
  arrivals.add('guide', 2, 0);
  arrivals.add('price 1', 0, 1);
  arrivals.add('price 2', 0, 2);
  const order = [arrivals.next(3), arrivals.next(3), arrivals.next(3)];
  expect(order.map((turn) => turn?.item)).to.deep.equal(['price 1', 'price 2', 'guide']);
  expect(arrivals.next(3)).to.equal(undefined);
});

it('the least urgent begin as well while urgent ones keep coming', () => {
  const arrivals = new Arrivals<string>();
  arrivals.add('guide', 2, 0);
  const begun: (string | undefined)[] = [];
  for (let i = 0; i < 10; i += 1) {
    arrivals.add('price', 0, i);
    arrivals.add('price', 0, i);
    begun.push(arrivals.next(i)?.item);
  }
  expect(begun).to.include('guide');
});

it('what waited too long is late, less urgent work sooner', () => {
  const arrivals = new Arrivals<string>();
  arrivals.add('price', 0, 0);
  arrivals.add('guide', 2, 0);
  arrivals.turned(1, 10);
  expect(arrivals.next(150)).to.deep.equal({ item: 'guide', waitedMs: 150, late: true });
  expect(arrivals.next(150)).to.deep.equal({ item: 'price', waitedMs: 150, late: false });
  arrivals.add('price', 0, 0);
  arrivals.turned(1, 10);
  expect(arrivals.next(300)?.late).to.equal(true);
});

// Turns longer than the patience made all requests late, and nothing was served (docs/incidents/03).
it('what was read in one long turn is not late in the next', () => {
  const arrivals = new Arrivals<string>();
  arrivals.turned(1, 400);
  arrivals.add('price', 0, 0);
  arrivals.add('guide', 2, 0);
  expect(arrivals.next(400)).to.deep.equal({ item: 'price', waitedMs: 400, late: false });
  arrivals.turned(1, 400);
  expect(arrivals.next(800)?.late).to.equal(true);
});

it('no more requests wait than have their turn in time, fewer of less urgent ones', () => {
  const arrivals = new Arrivals<string>();
  for (let i = 0; i < 50; i += 1) arrivals.turned(2, 40);
  const admitted = (priority: number): number => {
    let count = 0;
    while (arrivals.admits(priority)) {
      arrivals.add('request', priority, 0);
      count += 1;
    }
    return count;
  };
  // One begins in 20 ms: 11 wait up to 200 ms.
  expect(admitted(0)).to.equal(11);
  expect(admitted(2)).to.equal(0);
});

it('requests that are about to wait count as well', () => {
  const arrivals = new Arrivals<string>();
  for (let i = 0; i < 50; i += 1) arrivals.turned(1, 20);
  expect(arrivals.admits(0, 9)).to.equal(true);
  expect(arrivals.admits(0, 11)).to.equal(false);
});

it('a request is admitted when none waits, however long turns took before', () => {
  const arrivals = new Arrivals<string>();
  arrivals.turned(1, 10_000);
  expect(arrivals.admits(3)).to.equal(true);
});

// Guards against refusals after a stall: one long turn made callers' few requests look like overload.
it('one long turn does not refuse a few requests that come together after it', () => {
  const arrivals = new Arrivals<string>();
  for (let i = 0; i < 20; i += 1) arrivals.turned(1, 2);
  arrivals.turned(1, 100);
  expect(arrivals.admits(1, 5)).to.equal(true);
});
