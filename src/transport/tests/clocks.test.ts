/** Pauses that an abort signal can end. */
import { getEventListeners } from 'node:events';
import { expect } from 'chai';
import { pause } from '../clocks.js';

it('a completed pause leaves no listener on its abort signal', async () => {
  const { signal } = new AbortController();
  await pause(1, signal);
  expect(getEventListeners(signal, 'abort')).to.have.length(0);
});

it('an abort signal ends a pause immediately', async () => {
  const controller = new AbortController();
  const paused = pause(60_000, controller.signal);
  controller.abort();
  await paused;
});
