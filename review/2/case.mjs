/** A backend that fails part of its requests with 429 after it has run them; the client honours the promise. */
import {
  Backend,
  BROKEN,
  HELD,
  HOST,
  Machine,
  Store,
  TROUBLE,
  call,
  configOf,
  newId,
  route,
  runCase,
  sleep,
} from '../lib/kit.mjs';

const ORDERS = 160;
const CLIENTS = 4;
const BACKENDS = 8;
const FAILING_SHARE = 0.45;
const GREY_MS = 6_500;
const DEADLINE_MS = 2_500;
const PROMISES = new Set([408, 421, 429, 503]);

await runCase(import.meta.url, async (test) => {
  const store = new Store(test);
  await store.start();
  const backends = [];
  let greyUntilMs = Infinity;
  for (let i = 1; i <= BACKENDS; i += 1) {
    const isGrey = i === 1;
    let failed = 0;
    let seen = 0;
    const answer = () => {
      seen += 1;
      if (
        !TROUBLE ||
        !isGrey ||
        performance.now() > greyUntilMs ||
        failed + 1 > seen * FAILING_SHARE
      )
        return undefined;
      failed += 1;
      return { status: 429, body: Buffer.from('failed after it has run') };
    };
    const backend = new Backend(test, { id: `i-${i}`, service: 'orders-desk', answer });
    await backend.start();
    store.put('servers', backend.id, backend.entry());
    backends.push(backend);
  }
  const confirm = route('r-confirm', '/confirm/', 'non_idempotent', 'orders-desk', 1.2);
  store.put('config', 'main', configOf(1, [confirm], ['orders-desk']));
  const machine = new Machine(test, { name: 'edge-1', storeAddress: store.address });
  await machine.start();
  await machine.untilReady();
  await sleep(4_000);
  const attempts = [];
  const sendOrder = async (order) => {
    for (let attempt = 1; attempt <= 2; attempt += 1) {
      const id = newId();
      test.record(`client: sends ${id} for order ${order}, attempt ${attempt}`);
      const { status, headers } = await call({
        host: machine.ip,
        port: machine.ports.Front,
        method: 'POST',
        path: `/confirm/${order}`,
        headers: {
          Host: HOST,
          'Request-Id': id,
          'Deadline-Ms': String(DEADLINE_MS),
          'Affinity-Key': String(order),
        },
        body: `order ${order}`,
      });
      test.record(`client: ${id} is answered ${status}, retry-after ${headers['retry-after']}`);
      attempts.push({ order, id, status });
      if (!PROMISES.has(status)) return;
      await sleep(300);
    }
  };
  greyUntilMs = performance.now() + GREY_MS;
  let next = 0;
  const runClient = async () => {
    while (next < ORDERS) {
      next += 1;
      await sendOrder(next - 1);
    }
  };
  await Promise.all(Array.from({ length: CLIENTS }, runClient));
  const runIds = new Set(backends.flatMap(({ runs }) => runs.map(({ requestId }) => requestId)));
  const untrue = attempts.filter(({ id, status }) => PROMISES.has(status) && runIds.has(id));
  const runsOf = (order) =>
    backends.flatMap(({ runs }) => runs.filter(({ url }) => url === `/confirm/${order}`)).length;
  const twice = Array.from({ length: ORDERS }, (_, order) => order).filter(
    (order) => runsOf(order) > 1,
  );
  test.record(`${untrue.length} requests were answered with a promise and had run`);
  test.record(`orders that ran twice since their client repeated them: ${twice.join(' ')}`);
  return untrue.length > 0 ? BROKEN : HELD;
});
