/** Connections of an entry to backend servers. */
import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import { BackendStandIn } from '../../../standins/backends.js';
import { PlatformServerStandIn } from '../../../standins/platformservers.js';
import { RelayStandIn } from '../../../standins/relays.js';
import { Endpoint } from '../../state/index.js';
import { drained } from '../answers.js';
import { BackendPool } from '../backends.js';
import type { RunSpec } from '../backends.js';
import { systemClock } from '../clocks.js';

it('a health check does not go over a connection that was open before', async () => {
  const server = new BackendStandIn();
  const pool = new BackendPool(Endpoint.parse(await server.listen()), systemClock);
  expect(await pool.health()).to.equal('serving');
  server.silenceConnections();
  expect(await pool.health()).to.equal('serving');
  pool.close();
  server.close();
});

const IDEMPOTENT: RunSpec = {
  url: '/',
  method: 'GET',
  headers: {},
  body: { head: Buffer.alloc(0), rest: undefined },
  idempotent: true,
  leftMs: 5_000,
};

/** Runs a request. @returns whether its caller was given an answer that looks whole. */
function looksWhole(pool: BackendPool): Promise<boolean> {
  return new Promise((resolve) => {
    const run = pool.run(IDEMPOTENT, {
      onBegun: () => {
        run.relay().then((answer) => {
          if (answer === undefined) return;
          drained(answer.body).then(({ whole }) => resolve(whole));
          if (!Buffer.isBuffer(answer.body)) answer.body.resume();
        });
      },
      onFinished: (_result, answer) => {
        if (answer === undefined) resolve(false);
      },
    });
  });
}

/** Tries of which some see a reset together with the last bytes. */
const RESETS = 150;

// Guards against a part of an answer without length that a caller takes for the whole after a reset.
it('an answer without a length that is reset does not look whole to callers of an entry', async () => {
  const server = new PlatformServerStandIn();
  const relay = new RelayStandIn(await server.start());
  const pool = new BackendPool(Endpoint.parse(await relay.start()), systemClock);
  for (let i = 0; i < RESETS; i += 1) {
    server.answers.push('endlessBody');
    const whole = looksWhole(pool);
    await pause(5 + (i % 20));
    relay.reset();
    expect(await whole).to.equal(false);
  }
  server.answers.splice(0, Infinity, 'unframed');
  expect(await looksWhole(pool)).to.equal(true);
  pool.close();
  relay.stop();
  server.stop();
});
