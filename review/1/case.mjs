/** Another writer leaves an entry among those of the backends; then the operator moves a route. */
import {
  Backend,
  BROKEN,
  HELD,
  HOST,
  Machine,
  Store,
  TROUBLE,
  ZONES,
  call,
  configOf,
  newId,
  route,
  runCase,
  sleep,
} from '../lib/kit.mjs';

const MACHINES = 3;
const REQUESTS = 40;
const DEADLINE_MS = 2_000;

/** Whole, but in nanoseconds, and of a service that no configuration names. */
const ODD_ENTRY = {
  Service: 'batch-import',
  Address: '127.1.1.1:8080',
  Zone: 'perth-north',
  Version: 'v1',
  Capacity: 1,
  State: 'ready',
  ColdRemainingS: 0,
  Sequence: 1,
};
const ODD_BORN = 1_771_085_769_493_000_000;

await runCase(import.meta.url, async (test) => {
  const store = new Store(test);
  await store.start();
  const backends = [];
  for (const service of ['old-desk', 'new-desk']) {
    for (let i = 1; i <= 3; i += 1) {
      const backend = new Backend(test, { id: `i-${service}-${i}`, service, workMs: 50 });
      await backend.start();
      store.put('servers', backend.id, backend.entry());
      backends.push(backend);
    }
  }
  const services = ['old-desk', 'new-desk'];
  const config = (version, service) =>
    configOf(version, [route('r-status', '/status/', 'idempotent', service, 1.2)], services);
  store.put('config', 'main', config(5, 'old-desk'));
  const zones = Object.keys(ZONES);
  const machines = Array.from(
    { length: MACHINES },
    (_, i) =>
      new Machine(test, {
        name: `edge-${i + 1}`,
        zone: zones[i % zones.length],
        storeAddress: store.address,
      }),
  );
  for (const machine of machines) await machine.start();
  await Promise.all(machines.map((machine) => machine.untilReady()));
  await sleep(6_000);
  if (TROUBLE) {
    store.put('servers', 'batch-import-1', ODD_ENTRY, ODD_BORN);
    test.record('another writer leaves the entry servers/batch-import-1');
  }
  await sleep(3_000);
  store.put('config', 'main', config(7, 'new-desk'));
  test.record('store: acknowledges version 00000007, which moves the route to new-desk');
  const acknowledgedS = test.now;
  const { ConfigApplyS } = machines[0].bounds;
  await sleep(ConfigApplyS * 1000 + 500);
  const sent = [];
  const sendAll = async () => {
    for (let i = 0; i < REQUESTS; i += 1) {
      await Promise.all(
        machines.map(async (machine) => {
          const id = newId();
          const afterS = test.now - acknowledgedS;
          const { status } = await call({
            host: machine.ip,
            port: machine.ports.Front,
            path: `/status/${i}`,
            headers: { Host: HOST, 'Request-Id': id, 'Deadline-Ms': String(DEADLINE_MS) },
          });
          const ranBy = backends.find(({ runs }) => runs.some(({ requestId }) => requestId === id));
          sent.push({ machine: machine.name, service: ranBy?.service, afterS });
          test.record(
            `client: ${id} at ${machine.name}, ${afterS.toFixed(1)} s after the acknowledgement: ${status}, run by ${ranBy?.service}`,
          );
        }),
      );
      await sleep(50);
    }
  };
  await sendAll();
  await sleep(20_000);
  await sendAll();
  const stale = sent.filter(({ service }) => service === 'old-desk');
  machines.forEach(({ name }) => {
    const ofMachine = stale.filter(({ machine }) => machine === name);
    const last = Math.max(0, ...ofMachine.map(({ afterS }) => afterS));
    test.record(
      `${name}: ${ofMachine.length} of ${2 * REQUESTS} requests ran by the old service, the last sent ${last.toFixed(1)} s after the acknowledgement`,
    );
  });
  return stale.length > 0 ? BROKEN : HELD;
});
