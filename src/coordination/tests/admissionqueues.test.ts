/** Order and admission of requests when processor time is scarce. */
import { expect } from 'chai';
import { AdmissionQueue } from '../admissionqueues.js';

it('requests start by rank, most urgent first, and in arrival order within a rank', () => {
  const arrivals = new AdmissionQueue<string>();
  arrivals.add('guide', 2, 0);
  arrivals.add('price 1', 0, 1);
  arrivals.add('price 2', 0, 2);
  const order = [arrivals.dequeue(3), arrivals.dequeue(3), arrivals.dequeue(3)];
  expect(order.map((turn) => turn?.item)).to.deep.equal(['price 1', 'price 2', 'guide']);
  expect(arrivals.dequeue(3)).to.equal(undefined);
});

it('the least urgent requests also start while urgent ones keep arriving', () => {
  const arrivals = new AdmissionQueue<string>();
  arrivals.add('guide', 2, 0);
  const started: (string | undefined)[] = [];
  for (let i = 0; i < 10; i += 1) {
    arrivals.add('price', 0, i);
    arrivals.add('price', 0, i);
    started.push(arrivals.dequeue(i)?.item);
  }
  expect(started).to.include('guide');
});

it('a request that waited too long is late, and sooner when it is less urgent', () => {
  const arrivals = new AdmissionQueue<string>();
  arrivals.add('price', 0, 0);
  arrivals.add('guide', 2, 0);
  arrivals.recordBatch(1, 10);
  expect(arrivals.dequeue(150)).to.deep.equal({ item: 'guide', waitedMs: 150, late: true });
  expect(arrivals.dequeue(150)).to.deep.equal({ item: 'price', waitedMs: 150, late: false });
  arrivals.add('price', 0, 0);
  arrivals.recordBatch(1, 10);
  expect(arrivals.dequeue(300)?.late).to.equal(true);
});

// Guards against refusing every request: event-loop turns longer than the maximum wait made all of
// them late, and nothing was served (docs/incidents/03).
it('a request that was read in one long turn is not late in the next turn', () => {
  const arrivals = new AdmissionQueue<string>();
  arrivals.recordBatch(1, 400);
  arrivals.add('price', 0, 0);
  arrivals.add('guide', 2, 0);
  expect(arrivals.dequeue(400)).to.deep.equal({ item: 'price', waitedMs: 400, late: false });
  arrivals.recordBatch(1, 400);
  expect(arrivals.dequeue(800)?.late).to.equal(true);
});

it('only as many requests are admitted as can start in time, and fewer when less urgent', () => {
  const arrivals = new AdmissionQueue<string>();
  for (let i = 0; i < 50; i += 1) arrivals.recordBatch(2, 40);
  const admitted = (priority: number): number => {
    let count = 0;
    while (arrivals.admits(priority)) {
      arrivals.add('request', priority, 0);
      count += 1;
    }
    return count;
  };
  // A request starts every 20 ms, so 11 requests wait at most 200 ms.
  expect(admitted(0)).to.equal(11);
  expect(admitted(2)).to.equal(0);
});

it('requests that are about to be queued count against admission', () => {
  const arrivals = new AdmissionQueue<string>();
  for (let i = 0; i < 50; i += 1) arrivals.recordBatch(1, 20);
  expect(arrivals.admits(0, 9)).to.equal(true);
  expect(arrivals.admits(0, 11)).to.equal(false);
});

it('a request is admitted to an empty queue, however long earlier turns took', () => {
  const arrivals = new AdmissionQueue<string>();
  arrivals.recordBatch(1, 10_000);
  expect(arrivals.admits(3)).to.equal(true);
});

// Guards against refusals after a stall: one long event-loop turn raises the average time per request,
// so that a few requests look like overload.
it('a few concurrent requests are admitted after one long turn of the event loop', () => {
  const arrivals = new AdmissionQueue<string>();
  for (let i = 0; i < 20; i += 1) arrivals.recordBatch(1, 2);
  arrivals.recordBatch(1, 100);
  expect(arrivals.admits(1, 5)).to.equal(true);
});
