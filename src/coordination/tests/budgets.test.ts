/** Link capacity, hedging budget, slow start, held slots and expiry of grants. */
import { expect } from 'chai';
import { EntryVmId, Fingerprint, CallerId, RegionId, ServiceSettings } from '../../state/index.js';
import { Dispatcher } from '../dispatchers.js';
import { GRANT_TTL_MS, ReceivedGrants, HeadroomLedger } from '../grants.js';
import { LinkBudgets } from '../linkbudgets.js';
import type { DispatchEffect, RunId, Ticket, DispatchRequest } from '../dispatchrequests.js';
import { Simulation } from './simulations.js';
import type { Server, Vm } from './simulations.js';

const FAR = RegionId.parse('far');
const [ONE, TWO] = ['vm-1', 'vm-2'].map((id) => EntryVmId.parse(id)) as [EntryVmId, EntryVmId];

it('a link admits no more bytes than its share of capacity and a burst of 0.25 s', () => {
  const links = new LinkBudgets();
  links.configure(FAR, 4_000, 2, 0);
  const bytesPerS = (4_000 * 1_000_000) / 8 / 2;
  const responseBytes = 5_000_000;
  links.recordResponseSize('bulk', responseBytes);
  let sent = 0;
  for (let nowMs = 0; nowMs < 10_000; nowMs += 1) {
    while (links.hasCapacity(FAR, 'bulk', nowMs)) {
      links.charge(FAR, responseBytes, nowMs);
      sent += responseBytes;
    }
  }
  expect(sent).to.be.within(bytesPerS * 9.9, bytesPerS * 10.25);
});

it('hedging adds at most 2% of the requests and a burst of three', () => {
  const simulation = new Simulation({ serversPerDomain: 4 });
  simulation.advance(500);
  const [vm] = simulation.vms as [Vm];
  const requests = 2_000;
  for (let i = 0; i < requests; i += 1) {
    simulation.schedule(i * 10, () => {
      const [slow] = simulation.servers as [Server];
      slow.runTimeFactor = i % 10 === 0 ? 30 : 1;
      simulation.send(vm, simulation.createRequest({ rank: 'interactive', idempotent: true }));
    });
  }
  let runs = 0;
  simulation.onEffect = (_, effect) => {
    if (effect.type === 'run') runs += 1;
  };
  simulation.advance(requests * 10 + 3_000);
  expect(runs - requests).to.be.within(1, requests * 0.02 + 3);
});

function dispatcherOf(rampMs: number, servers = 1): Dispatcher {
  const service = ServiceSettings.parse({
    kind: 'service',
    name: 'shop',
    backendServers: Array.from({ length: servers }, (_, i) => ({
      id: `s-${i + 1}`,
      failureDomain: 'a',
      address: `10.0.0.${i + 1}:80`,
      slots: 6,
    })),
    rampMs,
  });
  const dispatcher = new Dispatcher(service, () => 'allow');
  const claimedServers = service.backendServers.map((settings) => ({
    settings,
    phase: 'ready' as const,
  }));
  dispatcher.configure(service, claimedServers, 0);
  return dispatcher;
}

function requestOf(n: number): DispatchRequest {
  return {
    ticket: `t${n}` as Ticket,
    caller: CallerId.parse('caller'),
    rank: 'urgent',
    idempotent: true,
    fingerprint: Fingerprint.parse('0'.repeat(32)),
    replayable: true,
    deadlineMs: 60_000,
  };
}

it('the slots of a new server become available gradually over its slow start', () => {
  const dispatcher = dispatcherOf(6_000);
  expect([0, 2_000, 4_000, 6_000].map((nowMs) => dispatcher.slots(nowMs))).to.deep.equal([
    1, 2, 4, 6,
  ]);
  const startedRunIds = Array.from({ length: 6 }, (_, n) =>
    dispatcher.submit(requestOf(n), 0),
  ).flat();
  expect(startedRunIds.filter((effect) => effect.type === 'run')).to.have.length(1);
  const later = dispatcher.tick(6_000).filter((effect) => effect.type === 'run');
  expect(later).to.have.length(5);
});

it('the slot of a silent or lost run stays occupied until the deadline of its request', () => {
  ['silent', 'lost'].forEach((end) => {
    const dispatcher = dispatcherOf(0);
    const runs = Array.from({ length: 6 }, (_, n) => dispatcher.submit(requestOf(n), 0)).flat();
    const [firstRun] = runs;
    if (firstRun?.type !== 'run') throw new Error('the first effect is not a run');
    if (end === 'silent') dispatcher.probeFinished(firstRun.runId, true, 1_000);
    else dispatcher.runFinished(firstRun.runId, { type: 'lost', crashed: false }, 1_000);
    expect(dispatcher.running).to.equal(5);
    expect(dispatcher.submit(requestOf(7), 1_001)).to.have.length(0);
    expect(dispatcher.running).to.equal(5);
  });
});

it('a hedged request is retried on a new connection when all its connections are silent', () => {
  const dispatcher = dispatcherOf(0, 2);
  const started = (effects: readonly DispatchEffect[]): RunId[] =>
    effects.flatMap((effect) => (effect.type === 'run' ? [effect.runId] : []));
  const finish = (runId: RunId): void => {
    dispatcher.responseStarted(runId);
    dispatcher.runFinished(runId, { type: 'answered' }, 5);
  };
  started(dispatcher.submit(requestOf(1), 0)).forEach(finish);
  const first = started(dispatcher.submit(requestOf(2), 10));
  const hedge = started(dispatcher.tick(200));
  expect([first.length, hedge.length]).to.deep.equal([1, 1]);
  const retried = [...first, ...hedge].flatMap((runId) =>
    started(dispatcher.probeFinished(runId, true, 600)),
  );
  expect(retried).to.have.length(1);
  expect(dispatcher.running).to.equal(1);
});

it('a grant expires at the sender no later than at the receiver when messages stop', () => {
  const ledger = new HeadroomLedger();
  const book = new ReceivedGrants();
  const slots = ledger.grant(ONE, 4, { slots: 10, ownLoad: 2 }, 100);
  book.receive(TWO, slots, 50);
  expect(slots).to.equal(4);
  expect(book.freeSlots(TWO, 50 + GRANT_TTL_MS - 1)).to.equal(4);
  expect(book.freeSlots(TWO, 50 + GRANT_TTL_MS)).to.equal(0);
  expect(ledger.admit(ONE, 100 + GRANT_TTL_MS - 1)).to.equal(true);
  expect(ledger.admit(ONE, 100 + GRANT_TTL_MS)).to.equal(false);
});

it('grants reserve slots for recent peak load and shrink when load rises', () => {
  const ledger = new HeadroomLedger();
  expect(ledger.grant(ONE, 50, { slots: 10, ownLoad: 3 }, 0)).to.equal(6);
  expect(ledger.grant(TWO, 50, { slots: 10, ownLoad: 3 }, 0)).to.equal(0);
  expect(ledger.grant(ONE, 50, { slots: 10, ownLoad: 9 }, 500)).to.equal(0);
  expect(ledger.grant(ONE, 50, { slots: 10, ownLoad: 0 }, 1_000)).to.equal(0);
  expect(ledger.grant(ONE, 50, { slots: 10, ownLoad: 0 }, 3_000)).to.equal(9);
});
