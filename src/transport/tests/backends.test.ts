/** Connections from an entry VM to backend servers. */
import net from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { BackendStandIn } from '../../../standins/backends.js';
import { ENDLESS_RESPONSE_HEAD } from '../../../standins/endlessresponses.js';
import { Endpoint } from '../../state/index.js';
import { waitForBodyEnd } from '../relayedresponses.js';
import { BackendPool } from '../backendpools.js';
import type { RunSpec } from '../backendpools.js';
import { systemClock } from '../clocks.js';

it('a health check opens a new connection instead of reusing an open one', async () => {
  const server = new BackendStandIn();
  const pool = new BackendPool(Endpoint.parse(await server.listen()), systemClock);
  expect(await pool.health()).to.equal('serving');
  server.silenceConnections();
  expect(await pool.health()).to.equal('serving');
  pool.close();
  server.close();
});

const IDEMPOTENT_REQUEST: RunSpec = {
  url: '/',
  method: 'GET',
  headers: {},
  body: { head: Buffer.alloc(0), rest: undefined },
  idempotent: true,
  leftMs: 5_000,
};

/** Runs a request. @returns whether its caller received a response that looks complete. */
function looksComplete(pool: BackendPool): Promise<boolean> {
  return new Promise((resolve) => {
    const run = pool.run(IDEMPOTENT_REQUEST, {
      onResponseStarted: () => {
        run.relay().then((response) => {
          if (response === undefined) return;
          waitForBodyEnd(response.body).then(({ whole }) => resolve(whole));
        });
      },
      onFinished: (_result, response) => {
        if (response === undefined) resolve(false);
      },
    });
  });
}

const ATTEMPTS = 10;

// Guards against callers that treat part of a response without a content length as complete: when a
// reset arrives together with the last bytes, the event loop reports a normal end of the connection.
it('a response without a content length does not look complete to callers after a connection reset', async () => {
  const bodyText = 'bytes';
  let endResponse = (socket: net.Socket): unknown =>
    socket.write(bodyText) && socket.resetAndDestroy();
  const server = net.createServer((socket) => {
    socket.once('data', () => {
      socket.write(ENDLESS_RESPONSE_HEAD);
      setTimeout(() => endResponse(socket), 1);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const pool = new BackendPool(Endpoint.parse(`127.0.0.1:${port}`), systemClock);
  for (let i = 0; i < ATTEMPTS; i += 1) expect(await looksComplete(pool)).to.equal(false);
  endResponse = (socket) => socket.end(bodyText);
  for (let i = 0; i < ATTEMPTS; i += 1) expect(await looksComplete(pool)).to.equal(true);
  pool.close();
  server.close();
});
