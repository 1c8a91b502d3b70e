/** Connections from an entry VM to backend servers, on the level of sockets. */
import net from 'node:net';
import type { AddressInfo } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import { PlatformServerStandIn } from '../../../standins/platformservers.js';
import { RelayStandIn } from '../../../standins/relays.js';
import { Endpoint } from '../../state/index.js';
import { ResponseBufferPool } from '../responsebuffers.js';
import { Upstream } from '../upstreams.js';
import type { UpstreamEnd } from '../upstreams.js';

const REQUEST = {
  method: 'GET',
  path: '/',
  headers: {},
  body: undefined,
  retryable: true,
  fresh: false,
} as const;

function createUpstream(address: string): Upstream {
  return new Upstream(Endpoint.parse(address), {
    memory: new ResponseBufferPool(),
    connectTimeoutMs: 1_000,
    onConnected: () => undefined,
    isReusable: () => true,
    nowMs: () => performance.now(),
  });
}

/** Attempts, some of which get a reset together with the last bytes. */
const RESET_COUNT = 150;

// Guards against part of a response without a content length that is forwarded as complete: when a reset
// arrives together with the last bytes, the event loop reports a normal end of the connection.
it('a response without a content length is not treated as complete after a connection reset', async () => {
  const server = new PlatformServerStandIn();
  const relay = new RelayStandIn(await server.start());
  const upstream = createUpstream(await relay.start());
  for (let i = 0; i < RESET_COUNT; i += 1) {
    server.responses.push('endlessBody');
    const ended = new Promise<UpstreamEnd>((resolve) => {
      upstream.send(REQUEST, resolve);
    });
    await pause(5 + (i % 20));
    relay.resetConnections();
    expect((await ended).type).to.equal('lost');
  }
  server.responses.splice(0, Infinity, 'unframed');
  const end = await new Promise<UpstreamEnd>((resolve) => {
    upstream.send(REQUEST, resolve);
  });
  expect(end.type).to.equal('answered');
  upstream.close();
  relay.stop();
  server.stop();
});

it('cancelling a request resets its connection', async () => {
  let cancel = (): void => undefined;
  const server = net.createServer();
  const ended = new Promise<string>((resolve) => {
    server.on('connection', (socket) => {
      socket.once('data', () => cancel());
      socket.once('error', (err: NodeJS.ErrnoException) => resolve(err.code ?? ''));
      socket.once('end', () => resolve('closed'));
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const upstream = createUpstream(`127.0.0.1:${port}`);
  const sentRequest = upstream.send(REQUEST, () => undefined);
  cancel = () => sentRequest.cancel();
  expect(await ended).to.equal('ECONNRESET');
  upstream.close();
  server.close();
});
