/** Directed tests of failures: each brings one about and looks at what callers and servers saw. */
import { expect } from 'chai';
import { SettingsPath, settingsKey } from '../../state/index.js';
import { SERVICE, World } from './worlds.js';
import type { Asked, Server, Vm } from './worlds.js';

function steady(
  world: World,
  options: { perSecond: number; seconds: number; vm?: number; home?: string; idempotent?: boolean },
): Asked[] {
  const asked: Asked[] = [];
  for (let i = 0; i < options.perSecond * options.seconds; i += 1) {
    world.at((i * 1000) / options.perSecond, () => {
      const vm = world.vms[options.vm ?? i % world.vms.length] as Vm;
      const idempotent = options.idempotent ?? true;
      const id = `${world.prefixOf(vm)}s${i}`;
      const each = world.ask({ id, rank: idempotent ? 'interactive' : 'urgent', idempotent });
      asked.push(each);
      world.send(vm, each, options.home === undefined ? {} : { home: options.home });
    });
  }
  return asked;
}

function count(asked: readonly Asked[], told: string): number {
  return asked.filter((each) => each.told[0] === told).length;
}

it('a request that crashes servers crashes at most two, and one if it is not idempotent', () => {
  [true, false].forEach((idempotent) => {
    const world = new World({ serversPerDomain: 5 });
    world.advance(500);
    const [vm] = world.vms as [Vm];
    for (let i = 0; i < 10; i += 1) {
      const id = `${world.prefixOf(vm)}p${i}`;
      world.send(vm, world.ask({ id, idempotent, poison: true }));
      world.advance(1_500);
    }
    const crashes = world.servers.reduce((sum, server) => sum + server.crashes, 0);
    expect(crashes).to.equal(idempotent ? 2 : 1);
  });
});

it('content beside a crashing request is cleared and served again', () => {
  const world = new World({
    serversPerDomain: 3,
    runMs: { urgent: 50, interactive: 50, bulk: 50 },
  });
  world.advance(500);
  const [vm] = world.vms as [Vm];
  const beside = Array.from({ length: 6 }, (_, i) =>
    world.ask({ id: `${world.prefixOf(vm)}b${i}`, rank: 'interactive', idempotent: true }),
  );
  beside.forEach((each) => world.send(vm, each));
  world.send(vm, world.ask({ rank: 'interactive', idempotent: true, poison: true }));
  world.advance(2_000);
  expect(count(beside, 'answered')).to.equal(6);
  expect(vm.machine.crashes.filter((each) => each.crashes > 0)).to.have.length(1);
});

it('a quarantine ends by time', () => {
  const world = new World({ serversPerDomain: 3, service: { quarantineMs: 5_000 } });
  world.advance(500);
  const [vm] = world.vms as [Vm];
  const send = (): Asked => {
    const each = world.ask({ poison: true });
    world.send(vm, each);
    world.advance(1_000);
    return each;
  };
  send();
  expect(send().told).to.deep.equal(['notRun']);
  world.advance(6_000);
  expect(send().runs).to.equal(1);
});

it('a drained server gets no new work in any failure domain after 3 s, and loses none', () => {
  const world = new World({ domains: ['a', 'b'], vmsPerDomain: 2, serversPerDomain: 3 });
  world.advance(500);
  const asked = steady(world, { perSecond: 200, seconds: 8 });
  const [server] = world.servers as [Server];
  const others = world.service.backendServers as { id: string }[];
  world.advance(3_000);
  world.changeService({
    backendServers: others.map((each) =>
      each.id === server.id ? { ...each, leaving: true } : each,
    ),
  });
  const saidMs = world.nowMs;
  world.advance(6_000);
  expect(server.lastRunMs).to.be.greaterThan(0);
  expect(server.lastRunMs).to.be.at.most(saidMs + 3_000);
  expect(count(asked, 'answered')).to.equal(asked.length);
});

it("a server's own word drains it as well", () => {
  const world = new World({ serversPerDomain: 3 });
  world.advance(500);
  const asked = steady(world, { perSecond: 100, seconds: 4 });
  const [server] = world.servers as [Server];
  const [vm] = world.vms as [Vm];
  world.advance(1_000);
  world.feed(vm, { type: 'serverSign', server: server.id, leaving: true });
  const saidMs = world.nowMs;
  world.advance(4_000);
  expect(server.lastRunMs).to.be.at.most(saidMs);
  expect(count(asked, 'answered')).to.equal(asked.length);
});

it('an entry that stops cuts off nothing, and hands its servers over', () => {
  const world = new World({ vmsPerDomain: 2, serversPerDomain: 4, settleMs: 300 });
  world.advance(1_000);
  const [first, second] = world.vms as [Vm, Vm];
  const before = steady(world, { perSecond: 100, seconds: 3, vm: 0, idempotent: false });
  world.advance(1_500);
  world.feed(first, { type: 'stop' });
  world.advance(5_000);
  const after = steady(world, { perSecond: 100, seconds: 2, vm: 1, idempotent: false });
  world.advance(4_000);
  expect(count(before, 'unknown')).to.equal(0);
  expect(count(after, 'answered')).to.equal(after.length);
  expect(second.machine.dispatching()).to.have.length(4);
  expect(first.machine.dispatching()).to.have.length(0);
});

it('a lost failure domain is taken up under the cap', () => {
  const cap = { maxShare: 0.25, intervalMs: 2_000 };
  const world = new World({
    domains: ['a', 'b', 'c'],
    vmsPerDomain: 2,
    serversPerDomain: 4,
    service: { shift: { ...cap, planned: [] } },
  });
  world.advance(1_000);
  const sender = world.vms.findIndex((vm) => vm.domain === 'b');
  const asked = steady(world, { perSecond: 100, seconds: 30, vm: sender, home: 'a' });
  world.advance(2_000);
  const startMs = world.nowMs;
  world.vms.filter((vm) => vm.domain === 'a').forEach((vm) => world.kill(vm));
  world.advance(29_500);
  const inWindow = (from: number, to: number) =>
    asked.filter((each) => each.sentMs >= startMs + from && each.sentMs < startMs + to);
  const early = inWindow(0, 1_900);
  expect(count(early, 'answered') / early.length).to.be.at.most(cap.maxShare);
  const late = inWindow(20_000, 26_000);
  expect(count(late, 'answered')).to.equal(late.length);
});

it('of the work of a lost failure domain the most urgent is taken up first', () => {
  const world = new World({
    domains: ['a', 'b'],
    serversPerDomain: 4,
    service: { shift: { maxShare: 0.25, intervalMs: 4_000, planned: [] } },
  });
  world.advance(1_000);
  const [lost, sender] = world.vms as [Vm, Vm];
  world.kill(lost);
  world.advance(1_000);
  const asked = Array.from({ length: 400 }, (_, i) =>
    world.ask({ rank: i % 3 === 0 ? 'urgent' : 'bulk', idempotent: true }),
  );
  asked.forEach((each, i) => world.at(i * 5, () => world.send(sender, each, { home: 'a' })));
  world.advance(4_000);
  const done = (rank: string) =>
    count(
      asked.filter((each) => each.rank === rank),
      'answered',
    );
  expect(done('urgent')).to.be.greaterThan(20);
  expect(done('urgent')).to.be.at.least(5 * done('bulk'));
});

it('headroom granted to all senders never exceeds what a domain has', () => {
  const world = new World({ domains: ['a', 'b', 'c'], vmsPerDomain: 2, serversPerDomain: 2 });
  world.advance(1_000);
  const [vm] = world.vms as [Vm];
  const slots = world.servers.filter((server) => server.domain === 'a').length * 3;
  const granted = world.vms.flatMap((from) => {
    const ask = { type: 'grantAsked', askId: 'x', from: from.id, service: SERVICE } as const;
    const event = { ...ask, domain: vm.domain, want: 50 };
    return vm.machine
      .handle(event, world.instant())
      .flatMap((effect) => (effect.type === 'grant' ? [effect.slots] : []));
  });
  expect(granted.reduce((sum, each) => sum + each, 0)).to.be.within(1, slots * 0.9);
});

it('a planned shift moves no more than the cap in any interval', () => {
  const cap = { maxShare: 0.1, intervalMs: 2_000 };
  const world = new World({
    domains: ['a', 'b'],
    serversPerDomain: 4,
    service: { shift: { ...cap, planned: [] } },
  });
  world.advance(1_000);
  steady(world, { perSecond: 200, seconds: 20, vm: 0, home: 'a' });
  const runsAway: number[] = [];
  world.onEffect = (vm, effect) => {
    if (effect.type === 'run' && vm.domain === 'b') runsAway.push(world.nowMs);
  };
  world.advance(1_000);
  const planned = [{ from: 'a', to: 'b', share: 1 }];
  world.changeService({ shift: { ...cap, planned } });
  const startMs = world.nowMs;
  world.advance(18_000);
  const perWindow = (from: number) =>
    runsAway.filter((at) => at >= startMs + from && at < startMs + from + cap.intervalMs).length;
  const requests = (200 * cap.intervalMs) / 1000;
  expect(perWindow(0) / requests).to.be.at.most(cap.maxShare + 3 / requests);
  for (let from = cap.intervalMs; from < 16_000; from += 500) {
    const gained = perWindow(from) - perWindow(from - cap.intervalMs);
    expect(gained / requests).to.be.at.most(cap.maxShare + 3 / requests);
  }
  expect(perWindow(14_000) / requests).to.be.greaterThan(0.4);
});

it('a server that answers slowly is avoided', () => {
  const world = new World({ serversPerDomain: 4 });
  world.advance(500);
  const asked = steady(world, { perSecond: 200, seconds: 10 });
  (world.servers[0] as Server).runFactor = 20;
  world.advance(12_000);
  const times = asked.map((each) => each.tookMs ?? Infinity).sort((a, b) => a - b);
  expect(count(asked, 'answered')).to.equal(asked.length);
  expect(times[Math.floor(times.length * 0.99)]).to.be.below(50);
});

it('a frozen entry that wakes starts nothing of which its caller was told that it did not run', () => {
  const world = new World({ vmsPerDomain: 2, serversPerDomain: 2, settleMs: 300 });
  world.advance(1_000);
  const asked = steady(world, { perSecond: 50, seconds: 2, vm: 0, idempotent: false });
  world.advance(500);
  (world.vms[0] as Vm).frozenUntilMs = world.nowMs + 5_000;
  (world.vms[1] as Vm).doubts.add((world.vms[0] as Vm).id);
  world.advance(12_000);
  asked.forEach((each) => expect(each.runs).to.be.at.most(1));
  asked
    .filter((each) => each.told.includes('notRun'))
    .forEach((each) => expect(each.runs).to.equal(0));
});

it('an older version of settings that arrives late does not come into force', () => {
  const world = new World();
  world.advance(500);
  const [vm] = world.vms as [Vm];
  const item = (version: number, deadlineMs: number) => ({
    type: 'item' as const,
    item: {
      key: settingsKey(SettingsPath.parse(`team/${SERVICE}`)),
      version,
      body: { settings: { ...world.service, deadlineMs }, history: [] },
    },
  });
  world.feed(vm, item(9, 900));
  world.feed(vm, item(8, 800));
  expect(vm.machine.view.service(SERVICE)?.deadlineMs).to.equal(900);
});
