/** Some backends spoil one byte in a few of their answers: the first digit of the status. */
import http from 'node:http';
import {
  Backend,
  BROKEN,
  HELD,
  HOST,
  Machine,
  Store,
  TROUBLE,
  configOf,
  newId,
  route,
  runCase,
  sleep,
} from '../lib/kit.mjs';

const BACKENDS = 6;
/** A third of the backends spoil one in fifty of their answers, for 5.5 s. */
const GARBLING = 2;
const ONE_IN = 50;
const GARBLE_S = 5.5;
const MACHINES = 2;
const REQUESTS_PER_S = 30;
const TIMEOUT_MS = 1_200;
const DEADLINE_MS = 2_500;
const HALF_A_SECOND_MS = 500;
const LEAST = 8;

await runCase(import.meta.url, async (test) => {
  const store = new Store(test);
  await store.start();
  let garbling = false;
  for (let i = 1; i <= BACKENDS; i += 1) {
    let answers = 0;
    const answer = ({ requestId }) => {
      answers += 1;
      if (!garbling || i > GARBLING || answers % ONE_IN !== 0) return undefined;
      return {
        raw: `HTTP/1.1 000 OK\r\nRequest-Id: ${requestId}\r\nResponse-Signature: sig\r\nContent-Length: 2\r\n\r\nok`,
      };
    };
    const backend = new Backend(test, { id: `i-${i}`, service: 'orders-desk', answer });
    await backend.start();
    store.put('servers', backend.id, backend.entry());
  }
  const routes = [
    route('r-status', '/status/', 'idempotent', 'orders-desk', TIMEOUT_MS / 1000),
    route('r-confirm', '/confirm/', 'non_idempotent', 'orders-desk', TIMEOUT_MS / 1000),
  ];
  store.put('config', 'main', configOf(1, routes, ['orders-desk']));
  const machines = Array.from(
    { length: MACHINES },
    (_, i) => new Machine(test, { name: `edge-${i + 1}`, storeAddress: store.address }),
  );
  for (const machine of machines) await machine.start();
  await Promise.all(machines.map((machine) => machine.untilReady()));
  await sleep(4_000);

  const requests = [];
  const agent = new http.Agent({ keepAlive: true });
  test.onEnd(() => agent.destroy());
  const send = (machine, isOrder) => {
    const entry = { id: newId(), machine: machine.name, sentMs: performance.now() };
    requests.push(entry);
    const req = http.request({
      host: machine.ip,
      port: machine.ports.Front,
      method: isOrder ? 'POST' : 'GET',
      path: isOrder ? '/confirm/' : '/status/',
      headers: {
        Host: HOST,
        'Request-Id': entry.id,
        'Deadline-Ms': String(DEADLINE_MS),
        'Affinity-Key': String(requests.length % 39),
      },
      agent,
    });
    test.record(`client: sends ${entry.id} to ${machine.name}`);
    const end = (text) => {
      clearTimeout(entry.timer);
      if (entry.tookMs !== undefined) return;
      entry.tookMs = performance.now() - entry.sentMs;
      test.record(`client: ${entry.id} ${text} after ${entry.tookMs.toFixed(0)} ms`);
    };
    entry.timer = setTimeout(() => {
      end('has no answer at its deadline');
      req.destroy();
    }, DEADLINE_MS);
    req.on('error', (err) => end(`ends with ${err.code}`));
    req.on('response', (res) => {
      res.resume();
      res.on('end', () => end(`is answered ${res.statusCode}`));
      res.on('error', () => end('breaks off'));
    });
    req.end(isOrder ? 'an order' : undefined);
  };
  let stopped = false;
  const traffic = machines.map(async (machine) => {
    for (let i = 0; !stopped; i += 1) {
      send(machine, i % 3 === 0);
      await sleep(1000 / REQUESTS_PER_S);
    }
  });
  let longestMs = 0;
  const checks = machines.map(async (machine) => {
    while (!stopped) {
      const startMs = performance.now();
      const ready = await machine.isReady();
      const tookMs = performance.now() - startMs;
      if (tookMs > longestMs) longestMs = tookMs;
      if (tookMs > 1_000)
        test.record(`platform: readyz of ${machine.name}: ${ready}, after ${tookMs.toFixed(0)} ms`);
      await sleep(1_000);
    }
  });
  await sleep(3_000);
  if (TROUBLE) {
    garbling = true;
    test.record('some backends begin to spoil answers');
  }
  await sleep(GARBLE_S * 1000);
  garbling = false;
  await sleep(8_000);
  stopped = true;
  await Promise.all([...traffic, ...checks]);
  await sleep(DEADLINE_MS + 200);

  const atTimeout = requests.filter(({ tookMs }) => tookMs > TIMEOUT_MS);
  const late = atTimeout.filter(({ tookMs }) => tookMs > TIMEOUT_MS + HALF_A_SECOND_MS);
  test.record(
    `${requests.length} requests, the slowest readiness check took ${longestMs.toFixed(0)} ms`,
  );
  test.record(
    `${atTimeout.length} were unanswered at their route's timeout, ${late.length} half a second later too`,
  );
  return late.length >= LEAST && late.length > atTimeout.length / 2 ? BROKEN : HELD;
});
