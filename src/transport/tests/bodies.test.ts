/** Bodies of requests that come slowly, or never whole. */
import { once } from 'node:events';
import net from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import { fleetOf } from './fleets.js';
import type { FleetVm, TestFleet } from './fleets.js';

/** Deadline of the callers, and the time after it in which they must have an end, in milliseconds. */
const DEADLINE_MS = 1_000;
const LATE_MS = 500;

const BODY_BYTES = 10;

/** A caller that sends the head of a deposit and a part of its body. */
class SlowCaller {
  readonly #socket: net.Socket;

  readonly #startedMs = performance.now();

  readonly #answered: Promise<unknown[]>;

  constructor({ callers }: FleetVm, path: string, headers: readonly string[] = []) {
    const [host, port] = callers.split(':');
    this.#socket = net.connect({ host, port: Number(port) }).on('error', () => undefined);
    this.#answered = once(this.#socket, 'data');
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

  /** What the caller is told, and how long after its first byte. */
  async end(): Promise<{ readonly text: string; readonly tookMs: number }> {
    const [bytes] = (await this.#answered) as [Buffer];
    return { text: bytes.toString(), tookMs: performance.now() - this.#startedMs };
  }

  closed(): Promise<unknown[]> {
    return once(this.#socket, 'close');
  }
}

function runsOf(fleet: TestFleet, path: string): number {
  return [...fleet.backends.values()]
    .flatMap((servers) => servers.flatMap((server) => server.runs))
    .filter((run) => run.url.startsWith(path)).length;
}

// Guards against a request that is held on for minutes since nothing bounds the reading of its body.
it('a caller of an entry whose body does not end is answered at its deadline', async () => {
  const fleet = await fleetOf({ domains: ['a'] });
  const [vm] = fleet.vms as [FleetVm];
  const caller = new SlowCaller(vm, '/deposits/1');
  const closed = caller.closed();
  const { text, tookMs } = await caller.end();
  expect(tookMs).to.be.below(DEADLINE_MS + LATE_MS);
  expect(text)
    .to.match(/^HTTP\/1.1 503/)
    .and.to.match(/lovagesail-code: deadline/i);
  await closed;
  expect(runsOf(fleet, '/deposits/1')).to.equal(0);
  await fleet.close();
});

// An earlier sending of the same id may have run.
it('a repeat whose body does not end is not called not run', async () => {
  const fleet = await fleetOf({ domains: ['a'] });
  const [vm] = fleet.vms as [FleetVm];
  const { text } = await new SlowCaller(vm, '/deposits/2', ['Idempotency-Key: r-2']).end();
  expect(text)
    .to.match(/^HTTP\/1.1 504/)
    .and.to.match(/lovagesail-code: deadline/i);
  await fleet.close();
});

// Guards against a deadline that begins only when the body has been read.
it('the time in which a body comes counts against the deadline', async () => {
  const fleet = await fleetOf({ domains: ['a'] });
  const [vm] = fleet.vms as [FleetVm];
  const caller = new SlowCaller(vm, `/deposits/3?ms=${3 * DEADLINE_MS}`);
  await pause(0.8 * DEADLINE_MS);
  caller.sendRest();
  const { text, tookMs } = await caller.end();
  expect(tookMs).to.be.below(DEADLINE_MS + LATE_MS);
  expect(text).to.match(/^HTTP\/1.1 504/);
  expect(runsOf(fleet, '/deposits/3')).to.equal(1);
  await fleet.close();
});
