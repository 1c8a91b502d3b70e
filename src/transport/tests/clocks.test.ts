/** Pauses that a signal may end. */
import { getEventListeners } from 'node:events';
import { expect } from 'chai';
import { pause } from '../clocks.js';

it('a pause leaves nothing behind at its signal', async () => {
  const { signal } = new AbortController();
  await pause(1, signal);
  expect(getEventListeners(signal, 'abort')).to.have.length(0);
});

it('a signal ends a pause at once', async () => {
  const ended = new AbortController();
  const paused = pause(60_000, ended.signal);
  ended.abort();
  await paused;
});
