/** Connections to backend servers of an entry VM. */
import net from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { Endpoint } from '../../state/index.js';
import { AnswerMemory } from '../answermemories.js';
import { Upstream } from '../upstreams.js';

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
  const upstream = new Upstream(Endpoint.parse(`127.0.0.1:${port}`), {
    memory: new AnswerMemory(),
    connectTimeoutMs: 1_000,
    onConnected: () => undefined,
    isClean: () => true,
    nowMs: () => performance.now(),
  });
  const request = { method: 'GET', path: '/', headers: {}, body: undefined, repeatable: true };
  const call = upstream.send(request, () => undefined);
  cancel = () => call.cancel();
  expect(await ended).to.equal('ECONNRESET');
  upstream.close();
  server.close();
});
