/** Connections of an entry to backend servers. */
import net from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { BackendStandIn } from '../../../standins/backends.js';
import { ENDLESS_HEAD } from '../../../standins/pours.js';
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
        });
      },
      onFinished: (_result, answer) => {
        if (answer === undefined) resolve(false);
      },
    });
  });
}

const TRIES = 10;

// Guards against a part of an answer without length that a caller takes for the whole after a reset: when
// the reset comes with the last bytes the event loop reports an end.
it('an answer without a length that is reset does not look whole to callers of an entry', async () => {
  const sent = 'bytes';
  let last = (socket: net.Socket): unknown => socket.write(sent) && socket.resetAndDestroy();
  const server = net.createServer((socket) => {
    socket.once('data', () => {
      socket.write(ENDLESS_HEAD);
      setTimeout(() => last(socket), 1);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const pool = new BackendPool(Endpoint.parse(`127.0.0.1:${port}`), systemClock);
  for (let i = 0; i < TRIES; i += 1) expect(await looksWhole(pool)).to.equal(false);
  last = (socket) => socket.end(sent);
  for (let i = 0; i < TRIES; i += 1) expect(await looksWhole(pool)).to.equal(true);
  pool.close();
  server.close();
});
