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

/** Sends a request to a server that responds with the given bytes. */
async function receive(response: string): Promise<UpstreamEnd> {
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.write(response));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const upstream = createUpstream(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  const end = await new Promise<UpstreamEnd>((resolve) => {
    upstream.send(REQUEST, resolve);
  });
  upstream.close();
  server.close();
  return end;
}

/** A chunked response of `count` chunks of `size` bytes. */
function chunkedResponse(count: number, size: number): string {
  const chunk = `${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`;
  return `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${chunk.repeat(count)}0\r\n\r\n`;
}

function bodyBytes(end: UpstreamEnd): number | undefined {
  return end.type === 'answered' ? end.response.body.length : undefined;
}

// Guards against sound responses that are taken for bytes without end.
it('responses in small chunks, with a long head or after interim responses are whole', async () => {
  expect(bodyBytes(await receive(chunkedResponse(3_000, 1)))).to.equal(3_000);
  expect(bodyBytes(await receive(chunkedResponse(200_000, 32)))).to.equal(6_400_000);
  const field = `Filler: ${'x'.repeat(15_000)}\r\n`;
  const length = 'Content-Length: 2\r\n';
  expect(bodyBytes(await receive(`HTTP/1.1 200 OK\r\n${field}${length}\r\nok`))).to.equal(2);
  const interim = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'.repeat(50);
  expect(bodyBytes(await receive(`${interim}HTTP/1.1 200 OK\r\n${length}\r\nok`))).to.equal(2);
});

it('a response with many more bytes around its body than in it is lost', async () => {
  expect((await receive(chunkedResponse(30_000, 1))).type).to.equal('lost');
  const interim = 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(2_000);
  expect((await receive(interim)).type).to.equal('lost');
});

// Guards against requests that wait for the acknowledgement of earlier bytes before they are sent.
it('connections to backend servers send small writes at once', async () => {
  const { setNoDelay } = net.Socket.prototype;
  const enabled: (boolean | undefined)[] = [];
  net.Socket.prototype.setNoDelay = function record(enable): net.Socket {
    enabled.push(enable);
    return setNoDelay.call(this, enable);
  };
  await receive('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
  net.Socket.prototype.setNoDelay = setNoDelay;
  expect(enabled).to.include(true);
});
