/** Connections to backend servers of an entry VM. */
import net from 'node:net';
import type { AddressInfo } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import { PlatformServerStandIn } from '../../../standins/platformservers.js';
import { RelayStandIn } from '../../../standins/relays.js';
import { Endpoint } from '../../state/index.js';
import { AnswerMemory } from '../answermemories.js';
import { Upstream } from '../upstreams.js';
import type { UpstreamEnd } from '../upstreams.js';

const REQUEST = {
  method: 'GET',
  path: '/',
  headers: {},
  body: undefined,
  repeatable: true,
} as const;

function upstreamOf(address: string): Upstream {
  return new Upstream(Endpoint.parse(address), {
    memory: new AnswerMemory(),
    connectTimeoutMs: 1_000,
    onConnected: () => undefined,
    isClean: () => true,
    nowMs: () => performance.now(),
  });
}

/** Tries of which some see a reset together with the last bytes. */
const RESETS = 150;

// Guards against a part of an answer without length that is passed on as whole after a reset: when the
// reset comes with the last bytes the event loop reports an end.
it('an answer without a length that is reset is not taken for whole', async () => {
  const server = new PlatformServerStandIn();
  const relay = new RelayStandIn(await server.start());
  const upstream = upstreamOf(await relay.start());
  for (let i = 0; i < RESETS; i += 1) {
    server.answers.push('endlessBody');
    const ended = new Promise<UpstreamEnd>((resolve) => {
      upstream.send(REQUEST, resolve);
    });
    await pause(5 + (i % 20));
    relay.reset();
    expect((await ended).type).to.equal('lost');
  }
  server.answers.splice(0, Infinity, 'unframed');
  const end = await new Promise<UpstreamEnd>((resolve) => {
    upstream.send(REQUEST, resolve);
  });
  expect(end.type).to.equal('answered');
  upstream.close();
  relay.stop();
  server.stop();
});

it('a request that is cancelled is taken back: its connection is reset', async () => {
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
  const upstream = upstreamOf(`127.0.0.1:${port}`);
  const call = upstream.send(REQUEST, () => undefined);
  cancel = () => call.cancel();
  expect(await ended).to.equal('ECONNRESET');
  upstream.close();
  server.close();
});
