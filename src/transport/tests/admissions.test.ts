/** Admission of requests between turns of the event loop. */
import type { IncomingMessage } from 'node:http';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { expect } from 'chai';
import { AdmissionController } from '../admissions.js';

/** Time by which an event loop turn and a request advance the simulated clock. */
const TURN_MS = 1;
const REQUEST_COST_MS = 5;

const PENDING_CONNECTIONS = 60;

/** One turn per connection, the same time again for requests, and one more turn with its request. */
const MAX_ACCEPT_MS = PENDING_CONNECTIONS * 2 * TURN_MS + TURN_MS + REQUEST_COST_MS;

/** Minimum share of time for requests: a third goes to accepting connections, a third to other work. */
const MIN_REQUEST_SHARE = 1 / 3;

const OPEN_CONNECTION = { socket: { destroyed: false, readableEnded: false } } as IncomingMessage;

// Guards against new callers that wait for all requests that start: a turn accepts one connection, so
// starting a request after every turn delays each pending connection.
it('pending connections are accepted without starting a request after each one', async () => {
  let nowMs = 0;
  let startedRequests = 0;
  const admissions = new AdmissionController(() => ({ nowMs, wallMs: nowMs }));
  const admitRequest = (): void => {
    admissions.admit(OPEN_CONNECTION, 0, () => {
      nowMs += REQUEST_COST_MS;
      startedRequests += 1;
    });
  };
  admitRequest();
  admitRequest();
  for (let pending = PENDING_CONNECTIONS; pending > 0; pending -= 1) {
    await nextTurn();
    nowMs += TURN_MS;
    admissions.connectionAccepted();
    if (admissions.size < 2) admitRequest();
  }
  expect(nowMs).to.be.at.most(MAX_ACCEPT_MS);
  expect(startedRequests * REQUEST_COST_MS).to.be.at.least(MIN_REQUEST_SHARE * nowMs);
});
