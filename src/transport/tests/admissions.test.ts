/** Turns of the event loop between requests that begin. */
import type { IncomingMessage } from 'node:http';
import { setImmediate as turn } from 'node:timers/promises';
import { expect } from 'chai';
import { Admissions } from '../admissions.js';

/** What a turn and the work for a request take of the passed-in clock, in milliseconds. */
const TURN_MS = 1;
const WORK_MS = 5;

const WAITING_CONNECTIONS = 60;

/** Time in which all are accepted: a turn for each, as much again for work, and one turn with its work. */
const ACCEPTED_WITHIN_MS = WAITING_CONNECTIONS * 2 * TURN_MS + TURN_MS + WORK_MS;

/** Share of the time that goes to work at the least: a third is for connections, a third for the rest. */
const WORK_SHARE = 1 / 3;

const OPEN_CONNECTION = { socket: { destroyed: false, readableEnded: false } } as IncomingMessage;

// Work followed each turn, and a turn accepts one connection: new callers waited for all that began.
it('connections that wait are accepted without work for each', async () => {
  let nowMs = 0;
  let begun = 0;
  const admissions = new Admissions(() => ({ nowMs, wallMs: nowMs }));
  const press = (): void => {
    admissions.admit(OPEN_CONNECTION, 0, () => {
      nowMs += WORK_MS;
      begun += 1;
    });
  };
  press();
  press();
  for (let waiting = WAITING_CONNECTIONS; waiting > 0; waiting -= 1) {
    await turn();
    nowMs += TURN_MS;
    admissions.connected();
    if (admissions.size < 2) press();
  }
  expect(nowMs).to.be.at.most(ACCEPTED_WITHIN_MS);
  expect(begun * WORK_MS).to.be.at.least(WORK_SHARE * nowMs);
});
