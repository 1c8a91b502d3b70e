/** Request bodies that arrive slowly or never completely. */
import { once } from 'node:events';
import net from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import { startFleet } from './fleets.js';
import type { FleetVm, TestFleet } from './fleets.js';

/** Deadline of the callers, and the time after it by which they must have a response. */
const DEADLINE_MS = 1_000;
const DEADLINE_TOLERANCE_MS = 500;

const BODY_BYTES = 10;

/** A caller that sends the headers of a non-idempotent request and one byte of its body. */
class SlowCaller {
  readonly #socket: net.Socket;

  readonly #startedMs = performance.now();

  readonly #firstBytes: Promise<unknown[]>;

  constructor({ callerAddress }: FleetVm, path: string, headers: readonly string[] = []) {
    const [host, port] = callerAddress.split(':');
    this.#socket = net.connect({ host, port: Number(port) }).on('error', () => undefined);
    this.#firstBytes = once(this.#socket, 'data');
    const lines = [
      `POST /v1/call/shop${path} HTTP/1.1`,
      'Host: vm',
      `Content-Length: ${BODY_BYTES}`,
      `Lovagesail-Deadline-Ms: ${DEADLINE_MS}`,
      ...headers,
    ];
    this.#socket.write(`${lines.join('\r\n')}\r\n\r\n1`);
  }

  sendRest(): void {
    this.#socket.write('2'.repeat(BODY_BYTES - 1));
  }

  /** @returns the first bytes of the response, and the time since the request started. */
  async response(): Promise<{ readonly text: string; readonly tookMs: number }> {
    const [bytes] = (await this.#firstBytes) as [Buffer];
    return { text: bytes.toString(), tookMs: performance.now() - this.#startedMs };
  }

  connectionClosed(): Promise<unknown[]> {
    return once(this.#socket, 'close');
  }
}

function countRuns(fleet: TestFleet, path: string): number {
  return [...fleet.backends.values()]
    .flatMap((servers) => servers.flatMap((server) => server.runs))
    .filter((run) => run.url.startsWith(path)).length;
}

// Guards against a request that stays open for minutes because nothing limits the time for reading its body.
it('a caller whose request body never ends gets a response at its deadline', async () => {
  const fleet = await startFleet({ domains: ['a'] });
  const [vm] = fleet.vms as [FleetVm];
  const caller = new SlowCaller(vm, '/deposits/1');
  const closed = caller.connectionClosed();
  const { text, tookMs } = await caller.response();
  expect(tookMs).to.be.below(DEADLINE_MS + DEADLINE_TOLERANCE_MS);
  expect(text)
    .to.match(/^HTTP\/1.1 503/)
    .and.to.match(/lovagesail-code: deadline/i);
  await closed;
  expect(countRuns(fleet, '/deposits/1')).to.equal(0);
  await fleet.close();
});

// An earlier attempt with the same idempotency key may have run.
it('a request with an idempotency key whose body never ends is not reported as not run', async () => {
  const fleet = await startFleet({ domains: ['a'] });
  const [vm] = fleet.vms as [FleetVm];
  const { text } = await new SlowCaller(vm, '/deposits/2', ['Idempotency-Key: r-2']).response();
  expect(text)
    .to.match(/^HTTP\/1.1 504/)
    .and.to.match(/lovagesail-code: deadline/i);
  await fleet.close();
});

// Guards against a deadline that starts only after the body has been read.
it('the time spent receiving the request body counts against the deadline', async () => {
  const fleet = await startFleet({ domains: ['a'] });
  const [vm] = fleet.vms as [FleetVm];
  const caller = new SlowCaller(vm, `/deposits/3?ms=${3 * DEADLINE_MS}`);
  await pause(0.8 * DEADLINE_MS);
  caller.sendRest();
  const { text, tookMs } = await caller.response();
  expect(tookMs).to.be.below(DEADLINE_MS + DEADLINE_TOLERANCE_MS);
  expect(text).to.match(/^HTTP\/1.1 504/);
  expect(countRuns(fleet, '/deposits/3')).to.equal(1);
  await fleet.close();
});
