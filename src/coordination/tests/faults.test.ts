/** Fault injection: each test causes one failure and checks its effect on callers and servers. */
import { expect } from 'chai';
import { SettingsPath, settingsKey } from '../../state/index.js';
import { SERVICE, Simulation } from './simulations.js';
import type { SimulatedRequest, Server, Vm } from './simulations.js';

function sendAtSteadyRate(
  simulation: Simulation,
  options: { perSecond: number; seconds: number; vm?: number; home?: string; idempotent?: boolean },
): SimulatedRequest[] {
  const requests: SimulatedRequest[] = [];
  for (let i = 0; i < options.perSecond * options.seconds; i += 1) {
    simulation.schedule((i * 1000) / options.perSecond, () => {
      const vm = simulation.vms[options.vm ?? i % simulation.vms.length] as Vm;
      const idempotent = options.idempotent ?? true;
      const id = `${simulation.requestIdPrefixOf(vm)}s${i}`;
      const request = simulation.createRequest({
        id,
        rank: idempotent ? 'interactive' : 'urgent',
        idempotent,
      });
      requests.push(request);
      simulation.send(vm, request, options.home === undefined ? {} : { home: options.home });
    });
  }
  return requests;
}

function countByOutcome(requests: readonly SimulatedRequest[], outcome: string): number {
  return requests.filter((request) => request.outcomes[0] === outcome).length;
}

it('a request that crashes servers crashes at most two, or one if it is not idempotent', () => {
  [true, false].forEach((idempotent) => {
    const simulation = new Simulation({ serversPerDomain: 5 });
    simulation.advance(500);
    const [vm] = simulation.vms as [Vm];
    for (let i = 0; i < 10; i += 1) {
      const id = `${simulation.requestIdPrefixOf(vm)}p${i}`;
      simulation.send(vm, simulation.createRequest({ id, idempotent, poison: true }));
      simulation.advance(1_500);
    }
    const crashes = simulation.servers.reduce((sum, server) => sum + server.crashes, 0);
    expect(crashes).to.equal(idempotent ? 2 : 1);
  });
});

it('requests in flight beside one that crashes their server are cleared of suspicion and answered', () => {
  const simulation = new Simulation({
    serversPerDomain: 3,
    runMs: { urgent: 50, interactive: 50, bulk: 50 },
  });
  simulation.advance(500);
  const [vm] = simulation.vms as [Vm];
  const concurrent = Array.from({ length: 6 }, (_, i) =>
    simulation.createRequest({
      id: `${simulation.requestIdPrefixOf(vm)}b${i}`,
      rank: 'interactive',
      idempotent: true,
    }),
  );
  concurrent.forEach((request) => simulation.send(vm, request));
  simulation.send(
    vm,
    simulation.createRequest({ rank: 'interactive', idempotent: true, poison: true }),
  );
  simulation.advance(2_000);
  expect(countByOutcome(concurrent, 'answered')).to.equal(6);
  expect(vm.machine.crashes.filter((record) => record.crashes > 0)).to.have.length(1);
});

it('quarantined content is run again after the quarantine period', () => {
  const simulation = new Simulation({ serversPerDomain: 3, service: { quarantineMs: 5_000 } });
  simulation.advance(500);
  const [vm] = simulation.vms as [Vm];
  const send = (): SimulatedRequest => {
    const request = simulation.createRequest({ poison: true });
    simulation.send(vm, request);
    simulation.advance(1_000);
    return request;
  };
  send();
  expect(send().outcomes).to.deep.equal(['notRun']);
  simulation.advance(6_000);
  expect(send().runs).to.equal(1);
});

it('a draining server gets no new request after 3 s in any failure domain and loses none', () => {
  const simulation = new Simulation({ domains: ['a', 'b'], vmsPerDomain: 2, serversPerDomain: 3 });
  simulation.advance(500);
  const requests = sendAtSteadyRate(simulation, { perSecond: 200, seconds: 8 });
  const [server] = simulation.servers as [Server];
  const backendServers = simulation.service.backendServers as { id: string }[];
  simulation.advance(3_000);
  simulation.changeService({
    backendServers: backendServers.map((candidate) =>
      candidate.id === server.id ? { ...candidate, leaving: true } : candidate,
    ),
  });
  const drainStartMs = simulation.nowMs;
  simulation.advance(6_000);
  expect(server.lastRunStartMs).to.be.greaterThan(0);
  expect(server.lastRunStartMs).to.be.at.most(drainStartMs + 3_000);
  expect(countByOutcome(requests, 'answered')).to.equal(requests.length);
});

it('a server that reports itself as leaving gets no new request', () => {
  const simulation = new Simulation({ serversPerDomain: 3 });
  simulation.advance(500);
  const requests = sendAtSteadyRate(simulation, { perSecond: 100, seconds: 4 });
  const [server] = simulation.servers as [Server];
  const [vm] = simulation.vms as [Vm];
  simulation.advance(1_000);
  simulation.deliverEvent(vm, { type: 'serverSign', server: server.id, leaving: true });
  const drainStartMs = simulation.nowMs;
  simulation.advance(4_000);
  expect(server.lastRunStartMs).to.be.at.most(drainStartMs);
  expect(countByOutcome(requests, 'answered')).to.equal(requests.length);
});

it('an entry VM that stops leaves no request with an unknown outcome and hands its servers over', () => {
  const simulation = new Simulation({ vmsPerDomain: 2, serversPerDomain: 4, settleMs: 300 });
  simulation.advance(1_000);
  const [first, second] = simulation.vms as [Vm, Vm];
  const before = sendAtSteadyRate(simulation, {
    perSecond: 100,
    seconds: 3,
    vm: 0,
    idempotent: false,
  });
  simulation.advance(1_500);
  simulation.deliverEvent(first, { type: 'stop' });
  simulation.advance(5_000);
  const after = sendAtSteadyRate(simulation, {
    perSecond: 100,
    seconds: 2,
    vm: 1,
    idempotent: false,
  });
  simulation.advance(4_000);
  expect(countByOutcome(before, 'unknown')).to.equal(0);
  expect(countByOutcome(after, 'answered')).to.equal(after.length);
  expect(second.machine.dispatching()).to.have.length(4);
  expect(first.machine.dispatching()).to.have.length(0);
});

it('failover of a lost failure domain stays within the shift cap and then serves every request', () => {
  const cap = { maxShare: 0.25, intervalMs: 2_000 };
  const simulation = new Simulation({
    domains: ['a', 'b', 'c'],
    vmsPerDomain: 2,
    serversPerDomain: 4,
    service: { shift: { ...cap, planned: [] } },
  });
  simulation.advance(1_000);
  const sender = simulation.vms.findIndex((vm) => vm.domain === 'b');
  const requests = sendAtSteadyRate(simulation, {
    perSecond: 100,
    seconds: 30,
    vm: sender,
    home: 'a',
  });
  simulation.advance(2_000);
  const startMs = simulation.nowMs;
  simulation.vms.filter((vm) => vm.domain === 'a').forEach((vm) => simulation.kill(vm));
  simulation.advance(29_500);
  const inWindow = (fromMs: number, toMs: number) =>
    requests.filter(
      (request) => request.sentMs >= startMs + fromMs && request.sentMs < startMs + toMs,
    );
  const earlyRequests = inWindow(0, 1_900);
  expect(countByOutcome(earlyRequests, 'answered') / earlyRequests.length).to.be.at.most(
    cap.maxShare,
  );
  const lateRequests = inWindow(20_000, 26_000);
  expect(countByOutcome(lateRequests, 'answered')).to.equal(lateRequests.length);
});

it('failover of a lost failure domain serves the most urgent requests first', () => {
  const simulation = new Simulation({
    domains: ['a', 'b'],
    serversPerDomain: 4,
    service: { shift: { maxShare: 0.25, intervalMs: 4_000, planned: [] } },
  });
  simulation.advance(1_000);
  const [lostVm, sender] = simulation.vms as [Vm, Vm];
  simulation.kill(lostVm);
  simulation.advance(1_000);
  const requests = Array.from({ length: 400 }, (_, i) =>
    simulation.createRequest({ rank: i % 3 === 0 ? 'urgent' : 'bulk', idempotent: true }),
  );
  requests.forEach((request, i) =>
    simulation.schedule(i * 5, () => simulation.send(sender, request, { home: 'a' })),
  );
  simulation.advance(4_000);
  const answeredOfRank = (rank: string) =>
    countByOutcome(
      requests.filter((request) => request.rank === rank),
      'answered',
    );
  expect(answeredOfRank('urgent')).to.be.greaterThan(20);
  expect(answeredOfRank('urgent')).to.be.at.least(5 * answeredOfRank('bulk'));
});

it('grants to all senders together do not exceed the headroom of a failure domain', () => {
  const simulation = new Simulation({
    domains: ['a', 'b', 'c'],
    vmsPerDomain: 2,
    serversPerDomain: 2,
  });
  simulation.advance(1_000);
  const [vm] = simulation.vms as [Vm];
  const slots = simulation.servers.filter((server) => server.domain === 'a').length * 3;
  const grantedSlots = simulation.vms.flatMap((from) => {
    const ask = { type: 'grantAsked', askId: 'x', from: from.id, service: SERVICE } as const;
    const event = { ...ask, domain: vm.domain, want: 50 };
    return vm.machine
      .handle(event, simulation.instant())
      .flatMap((effect) => (effect.type === 'grant' ? [effect.slots] : []));
  });
  expect(grantedSlots.reduce((sum, granted) => sum + granted, 0)).to.be.within(1, slots * 0.9);
});

it('a planned shift moves no more than its cap within any interval', () => {
  const cap = { maxShare: 0.1, intervalMs: 2_000 };
  const simulation = new Simulation({
    domains: ['a', 'b'],
    serversPerDomain: 4,
    service: { shift: { ...cap, planned: [] } },
  });
  simulation.advance(1_000);
  sendAtSteadyRate(simulation, { perSecond: 200, seconds: 20, vm: 0, home: 'a' });
  const remoteRunTimesMs: number[] = [];
  simulation.onEffect = (vm, effect) => {
    if (effect.type === 'run' && vm.domain === 'b') remoteRunTimesMs.push(simulation.nowMs);
  };
  simulation.advance(1_000);
  const planned = [{ from: 'a', to: 'b', share: 1 }];
  simulation.changeService({ shift: { ...cap, planned } });
  const startMs = simulation.nowMs;
  simulation.advance(18_000);
  const runsInWindow = (fromMs: number) =>
    remoteRunTimesMs.filter(
      (at) => at >= startMs + fromMs && at < startMs + fromMs + cap.intervalMs,
    ).length;
  const requests = (200 * cap.intervalMs) / 1000;
  expect(runsInWindow(0) / requests).to.be.at.most(cap.maxShare + 3 / requests);
  for (let from = cap.intervalMs; from < 16_000; from += 500) {
    const addedRuns = runsInWindow(from) - runsInWindow(from - cap.intervalMs);
    expect(addedRuns / requests).to.be.at.most(cap.maxShare + 3 / requests);
  }
  expect(runsInWindow(14_000) / requests).to.be.greaterThan(0.4);
});

it('a slow server is avoided, so that p99 latency stays below 50 ms', () => {
  const simulation = new Simulation({ serversPerDomain: 4 });
  simulation.advance(500);
  const requests = sendAtSteadyRate(simulation, { perSecond: 200, seconds: 10 });
  (simulation.servers[0] as Server).runTimeFactor = 20;
  simulation.advance(12_000);
  const timesMs = requests.map((request) => request.tookMs ?? Infinity).sort((a, b) => a - b);
  expect(countByOutcome(requests, 'answered')).to.equal(requests.length);
  expect(timesMs[Math.floor(timesMs.length * 0.99)]).to.be.below(50);
});

it('an entry VM that resumes after a freeze starts no request that was reported as notRun', () => {
  const simulation = new Simulation({ vmsPerDomain: 2, serversPerDomain: 2, settleMs: 300 });
  simulation.advance(1_000);
  const requests = sendAtSteadyRate(simulation, {
    perSecond: 50,
    seconds: 2,
    vm: 0,
    idempotent: false,
  });
  simulation.advance(500);
  (simulation.vms[0] as Vm).frozenUntilMs = simulation.nowMs + 5_000;
  (simulation.vms[1] as Vm).excludedMembers.add((simulation.vms[0] as Vm).id);
  simulation.advance(12_000);
  requests.forEach((request) => expect(request.runs).to.be.at.most(1));
  requests
    .filter((request) => request.outcomes.includes('notRun'))
    .forEach((request) => expect(request.runs).to.equal(0));
});

it('an older version of settings that arrives late is not applied', () => {
  const simulation = new Simulation();
  simulation.advance(500);
  const [vm] = simulation.vms as [Vm];
  const item = (version: number, deadlineMs: number) => ({
    type: 'item' as const,
    item: {
      key: settingsKey(SettingsPath.parse(`team/${SERVICE}`)),
      version,
      body: { settings: { ...simulation.service, deadlineMs }, history: [] },
    },
  });
  simulation.deliverEvent(vm, item(9, 900));
  simulation.deliverEvent(vm, item(8, 800));
  expect(vm.machine.view.service(SERVICE)?.deadlineMs).to.equal(900);
});
