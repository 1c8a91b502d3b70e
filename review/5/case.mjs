/** All machines are killed at once after a request has crashed backends; then the request comes again. */
import {
  Backend,
  BROKEN,
  HELD,
  HOST,
  Machine,
  NOT_RUN,
  Store,
  TROUBLE,
  call,
  configOf,
  newId,
  route,
  runCase,
  sleep,
} from '../lib/kit.mjs';

const BACKENDS = 14;
const MACHINES = 3;
const DOWN_MS = 2_500;
const COLD_MS = 3_000;
const RESTART_MS = 500;
const DEADLINE_MS = 2_500;
const CRASHING_PATH = '/prices/crash';

await runCase(import.meta.url, async (test) => {
  const store = new Store(test);
  await store.start();
  /** Times at which the request crashed a backend, in seconds. */
  const crashes = [];
  const lostOrders = [];
  const running = new Map();
  const addBackend = async (i) => {
    const backend = new Backend(test, { id: `i-${i}`, service: 'orders-desk', workMs: 250 });
    backend.zone = i % 2 === 0 ? 'perth-north' : 'perth-south';
    backend.onRun = (run) => {
      const here = running.get(backend) ?? new Set();
      running.set(backend, here);
      if (run.url !== CRASHING_PATH) {
        here.add(run.requestId);
        return true;
      }
      crashes.push(test.now);
      const { port } = backend;
      test.record(`${backend.id} crashes; running there: ${[...here].join(' ') || 'nothing else'}`);
      lostOrders.push(...here);
      here.clear();
      backend.close();
      setTimeout(async () => {
        await backend.start(port);
        // Slow for the first seconds, as a backend is that starts during traffic.
        store.put('servers', backend.id, backend.entry({ ColdRemainingS: COLD_MS / 1000 }));
        test.record(`${backend.id} is back`);
        setTimeout(() => {
          if (backend.running) store.put('servers', backend.id, backend.entry({ Sequence: 2 }));
        }, COLD_MS);
      }, DOWN_MS);
      return false;
    };
    backend.answer = (run) => {
      running.get(backend)?.delete(run.requestId);
      return undefined;
    };
    await backend.start();
    store.put('servers', backend.id, backend.entry());
  };
  for (let i = 1; i <= BACKENDS; i += 1) await addBackend(i);
  const routes = [
    route('r-prices', '/prices/', 'idempotent', 'orders-desk', 2),
    route('r-confirm', '/confirm/', 'non_idempotent', 'orders-desk', 2),
  ];
  store.put('config', 'main', configOf(1, routes, ['orders-desk']));
  const machines = Array.from(
    { length: MACHINES },
    (_, i) =>
      new Machine(test, {
        name: `edge-${i + 1}`,
        zone: i % 2 === 0 ? 'perth-north' : 'perth-south',
        storeAddress: store.address,
      }),
  );
  for (const machine of machines) await machine.start();
  await Promise.all(machines.map((machine) => machine.untilReady()));
  const stableMs = machines[0].bounds.StableS * 1000;
  const send = async (machine, method, path) => {
    const id = newId();
    try {
      const { status } = await call({
        host: machine.ip,
        port: machine.ports.Front,
        method,
        path,
        headers: { Host: HOST, 'Request-Id': id, 'Deadline-Ms': String(DEADLINE_MS) },
        body: method === 'POST' ? 'an order' : undefined,
      });
      test.record(`client: ${id} ${path} at ${machine.name} is answered ${status}`);
    } catch (err) {
      test.record(`client: ${id} ${path} at ${machine.name} ends without an answer: ${err.code}`);
    }
  };
  let stopped = false;
  const orders = machines.map(async (machine) => {
    while (!stopped) {
      await Promise.all([send(machine, 'POST', '/confirm/'), sleep(120)]);
    }
  });
  const sendToAll = () => Promise.all(machines.map((m) => send(m, 'GET', CRASHING_PATH)));
  await sleep(stableMs + 1_000);
  for (let i = 0; i < 3; i += 1) {
    await sendToAll();
    await sleep(1_000);
  }
  test.record(`the request has crashed ${crashes.length} backends so far`);
  if (crashes.length < 3) return NOT_RUN;
  await sleep(stableMs);
  if (TROUBLE) {
    await Promise.all(machines.map((machine) => machine.kill('SIGKILL')));
    await sleep(RESTART_MS);
    for (const machine of machines) await machine.start();
    await Promise.all(machines.map((machine) => machine.untilReady()));
  }
  await sleep(stableMs + 2_000);
  const dueS = test.now;
  test.record(
    `all machines are in touch; the third crash was ${(dueS - crashes[2]).toFixed(1)} s ago`,
  );
  const lostBefore = lostOrders.length;
  for (let i = 0; i < 3; i += 1) {
    await sendToAll();
    await sleep(1_000);
  }
  stopped = true;
  await Promise.all(orders);
  const late = crashes.filter((atS) => atS > dueS);
  test.record(`the request reached backends ${late.length} times later than that and crashed them`);
  test.record(`orders that ran there and were lost: ${lostOrders.slice(lostBefore).join(' ')}`);
  return late.length > 3 ? BROKEN : HELD;
});
