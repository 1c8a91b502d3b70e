/** Which requests a stopping process accepts and sends. */
import { expect } from 'chai';
import { DRAIN_NOTICE_MS, Shutdown } from '../shutdowns.js';

const GRACE_MS = 6_000;

function begun(): Shutdown {
  const shutdown = new Shutdown();
  shutdown.begin(GRACE_MS, 0);
  return shutdown;
}

it('a process that does not stop accepts and starts all requests', () => {
  const shutdown = new Shutdown();
  expect(shutdown.stopping).to.equal(false);
  expect(shutdown.mayAccept(60_000, 0)).to.equal(true);
  expect(shutdown.mayStart(60_000, 60_000, 0)).to.equal(true);
});

it('requests are accepted until callers had time to move, then only if they end in time', () => {
  const shutdown = begun();
  expect(shutdown.mayAccept(9_000, DRAIN_NOTICE_MS - 1)).to.equal(true);
  expect(shutdown.mayAccept(9_000, DRAIN_NOTICE_MS)).to.equal(false);
  expect(shutdown.mayAccept(500, DRAIN_NOTICE_MS)).to.equal(true);
  expect(shutdown.mayAccept(500, shutdown.endMs - 400)).to.equal(false);
});

// Guards against requests that waited, are sent late in the grace period and are cut at its end.
it('an accepted request is sent only if its response is expected in time', () => {
  const shutdown = begun();
  expect(shutdown.mayStart(2_000, 9_000, 2_400)).to.equal(true);
  expect(shutdown.mayStart(2_000, 9_000, 4_000)).to.equal(false);
  expect(shutdown.mayStart(2_000, 1_000, 4_000)).to.equal(true);
});

it('the last responses have time before the process is killed', () => {
  expect(begun().endMs).to.be.lessThan(GRACE_MS - 500);
});
