/** More callers than the processor of an entry VM can serve. */
import { once } from 'node:events';
import { setTimeout as pause } from 'node:timers/promises';
import { expect } from 'chai';
import { ClosedLoopCaller, connectTo, totalServed } from '../../../standins/closedloopcallers.js';
import { blockEventLoop, nowMsWithoutCpuWait } from '../../../standins/eventlooploads.js';
import { startFleet } from './fleets.js';
import type { FleetVm } from './fleets.js';

/** Callers that send requests back to back, and the processor time of a request. */
const BUSY_CALLERS = 150;
const REQUEST_CPU_MS = 5;

/** Delay before a caller reconnects after its connection was closed. */
const RECONNECT_DELAY_MS = 2_000;

const NEW_CALLERS = 20;

/** Deadline that callers send. */
const DEADLINE_MS = 2_500;

const WARM_UP_MS = 1_500;
const MEASURED_MS = 3_000;

/** Minimum share of processor time for served requests, however many others are rejected. */
const MIN_SERVED_CPU_SHARE = 0.25;

function requestText(): string {
  return `GET /v1/call/shop/prices/1 HTTP/1.1\r\nHost: vm\r\nLovagesail-Deadline-Ms: ${DEADLINE_MS}\r\n\r\n`;
}

/** Makes an entry VM spend processor time on each request that it accepts. */
function addRequestCost({ entry }: FleetVm): void {
  const originalAccept = entry.accept.bind(entry);
  entry.accept = (incoming) => {
    blockEventLoop(REQUEST_CPU_MS);
    return originalAccept(incoming);
  };
}

// Guards against new connections that wait unaccepted: each turn of the event loop served all open
// connections first.
it('new callers get a response within their deadline while other callers overload the entry VM', async () => {
  const fleet = await startFleet({ domains: ['a'], serversPerDomain: 8, backend: { slots: 50 } });
  const [vm] = fleet.vms as [FleetVm];
  addRequestCost(vm);
  const busyCallers = Array.from(
    { length: BUSY_CALLERS },
    () =>
      new ClosedLoopCaller(vm.callerAddress, {
        text: requestText,
        reconnectDelayMs: RECONNECT_DELAY_MS,
      }),
  );
  await pause(WARM_UP_MS);
  const servedBefore = totalServed(busyCallers);
  const startedMs = nowMsWithoutCpuWait();
  const newConnections = Array.from({ length: NEW_CALLERS }, () => connectTo(vm.callerAddress));
  const responseTimesMs = await Promise.all(
    newConnections.map(async (socket) => {
      socket.write(requestText());
      await once(socket, 'data');
      return nowMsWithoutCpuWait() - startedMs;
    }),
  );
  await pause(Math.max(0, startedMs + MEASURED_MS - nowMsWithoutCpuWait()));
  const measuredMs = nowMsWithoutCpuWait() - startedMs;
  const served = totalServed(busyCallers) - servedBefore;
  newConnections.forEach((socket) => socket.destroy());
  busyCallers.forEach((caller) => caller.stop());
  await fleet.close();
  expect(Math.max(...responseTimesMs)).to.be.below(DEADLINE_MS);
  expect(served).to.be.above((MIN_SERVED_CPU_SHARE * measuredMs) / REQUEST_CPU_MS);
});
