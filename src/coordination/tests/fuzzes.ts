/**
 * Stateful fuzzing of simulated entry VMs. The oracle knows only the runs per request id, the outcomes
 * that callers received, the requests in flight per backend server and the splits over time.
 */
import fc from 'fast-check';
import { RANKS } from '../../state/index.js';
import type { Rank } from '../../state/index.js';
import { splitDistance } from '../index.js';
import type { DomainShare } from '../index.js';
import { Simulation } from './simulations.js';
import type { SimulatedRequest, Server, Vm } from './simulations.js';

const DOMAINS = ['a', 'b', 'c'];
const VMS_PER_DOMAIN = 2;
const SERVERS_PER_DOMAIN = 2;
const SLOTS = 2;

/** The shift cap of the fuzzed service. */
export const SHIFT_CAP = { maxShare: 0.2, intervalMs: 2_000 };

/** Time after a server is marked as leaving within which it may still get new requests. */
const DRAIN_GRACE_MS = 3_000;

/** Maximum time that passes after a command. */
const MAX_PAUSE_MS = 250;

interface SplitSample {
  readonly atMs: number;
  readonly split: readonly DomainShare[];
}

/** The simulation under test and the state of the oracle. */
export class FuzzHarness {
  readonly simulation: Simulation;

  readonly requests: SimulatedRequest[] = [];

  /** Time at which each server was first marked as leaving. */
  readonly leavingSinceMs = new Map<Server, number>();

  readonly #samples = new Map<string, SplitSample[]>();

  constructor(seed: number) {
    this.simulation = new Simulation({
      seed,
      domains: DOMAINS,
      vmsPerDomain: VMS_PER_DOMAIN,
      serversPerDomain: SERVERS_PER_DOMAIN,
      slots: SLOTS,
      settleMs: 300,
      service: { shift: { ...SHIFT_CAP, planned: [] }, deadlineMs: 1_000 },
    });
    this.simulation.tickMs = 50;
    this.simulation.advance(600);
  }

  vm(index: number): Vm {
    return this.simulation.vms[index % this.simulation.vms.length] as Vm;
  }

  server(index: number): Server {
    return this.simulation.servers[index % this.simulation.servers.length] as Server;
  }

  /** Advances in steps of 50 ms and checks the invariants after each. */
  advance(durationMs: number): void {
    for (let remainingMs = durationMs; remainingMs > 0; remainingMs -= 50) {
      this.simulation.advance(Math.min(50, remainingMs));
      this.checkInvariants();
    }
  }

  checkInvariants(): void {
    this.requests.forEach((request) => this.#checkRequest(request));
    this.simulation.servers.forEach((server) => this.#checkServer(server));
    this.simulation.vms.filter((vm) => vm.alive).forEach((vm) => this.#checkSplits(vm));
  }

  #checkRequest(request: SimulatedRequest): void {
    const { id, outcomes: received, runs } = request;
    if (!request.idempotent && id !== undefined && runs > 1) {
      throw new Error(`non-idempotent request ${id} ran ${runs} times`);
    }
    // A request whose outcomes are all `notRun` must not run, neither before nor after.
    const allNotRun = received.length > 0 && received.every((outcome) => outcome === 'notRun');
    if (allNotRun && runs > 0 && received.length === request.sendCount) {
      throw new Error(`request ${id} was reported as not run but ran ${runs} times`);
    }
    if (received.includes('answered') && runs === 0)
      throw new Error(`request ${id} was answered without a run`);
  }

  #checkServer(server: Server): void {
    if (server.running.size > server.slots) {
      throw new Error(
        `server ${server.id} runs ${server.running.size} requests on ${server.slots} slots`,
      );
    }
    const leavingSinceMs = this.leavingSinceMs.get(server);
    if (leavingSinceMs !== undefined && server.lastRunStartMs > leavingSinceMs + DRAIN_GRACE_MS) {
      throw new Error(
        `server ${server.id} got a new request ${server.lastRunStartMs - leavingSinceMs} ms after it was marked as leaving`,
      );
    }
  }

  #checkSplits(vm: Vm): void {
    vm.machine.splits().forEach(({ home, split }) => {
      const key = `${vm.incarnation}|${home}`;
      const samples = this.#samples.get(key) ?? [];
      const { nowMs } = this.simulation;
      const recent = samples.filter((sample) => sample.atMs >= nowMs - SHIFT_CAP.intervalMs);
      recent.push({ atMs: nowMs, split });
      this.#samples.set(key, recent);
      recent.forEach((sample) => {
        const movedShare = splitDistance(sample.split, split);
        if (movedShare > SHIFT_CAP.maxShare + 1e-6) {
          throw new Error(
            `split of ${key} moved a share of ${movedShare} within ${nowMs - sample.atMs} ms`,
          );
        }
      });
    });
  }
}

type Model = Record<string, never>;

type FuzzCommand = fc.Command<Model, FuzzHarness>;

/** Creates a command that may run in any state. */
function createCommand(description: string, action: (harness: FuzzHarness) => void): FuzzCommand {
  return {
    check: () => true,
    run: (_, harness) => {
      action(harness);
      // Cubing makes most pauses short, so that faults hit requests in flight.
      harness.advance(harness.simulation.random() ** 3 * MAX_PAUSE_MS);
      harness.checkInvariants();
    },
    toString: () => description,
  };
}

function sendNewRequest(
  harness: FuzzHarness,
  vmIndex: number,
  rank: Rank,
  idempotent: boolean,
  poison: boolean,
): void {
  const vm = harness.vm(vmIndex);
  const id = `${harness.simulation.requestIdPrefixOf(vm)}${harness.requests.length}`;
  const request = harness.simulation.createRequest({
    id,
    rank,
    idempotent: idempotent || rank !== 'urgent',
    poison,
  });
  harness.requests.push(request);
  harness.simulation.send(vm, request);
}

function resendRequest(harness: FuzzHarness, index: number, vmIndex: number): void {
  const request = harness.requests.at(-1 - (index % Math.max(1, harness.requests.length)));
  if (request !== undefined) harness.simulation.send(harness.vm(vmIndex), request);
}

/** Resends every request that has failed but never been answered, as callers do. */
function retryUnanswered(harness: FuzzHarness, vmIndex: number): void {
  harness.requests
    .filter((request) => request.outcomes.length > 0 && !request.outcomes.includes('answered'))
    .forEach((request) => harness.simulation.send(harness.vm(vmIndex), request));
}

function drain(harness: FuzzHarness, index: number): void {
  const server = harness.server(index);
  const servers = harness.simulation.service.backendServers as { id: string }[];
  const changed = servers.map((candidate) =>
    candidate.id === server.id ? { ...candidate, leaving: true } : candidate,
  );
  harness.simulation.changeService({ backendServers: changed });
  if (!harness.leavingSinceMs.has(server))
    harness.leavingSinceMs.set(server, harness.simulation.nowMs);
}

function planShift(harness: FuzzHarness, from: number, to: number, share: number): void {
  const shift = {
    ...SHIFT_CAP,
    planned: [{ from: DOMAINS[from % 3], to: DOMAINS[to % 3], share }],
  };
  harness.simulation.changeService({ shift });
}

/** Advances by a long time with coarser ticks, without checking invariants. */
function waitLong(harness: FuzzHarness, ms: number): void {
  const { tickMs } = harness.simulation;
  Object.assign(harness.simulation, { tickMs: 900 });
  harness.simulation.advance(ms);
  Object.assign(harness.simulation, { tickMs });
}

const index = () => fc.nat({ max: 11 });

/** All commands: requests, faults and changes of settings. */
export const COMMANDS: fc.Arbitrary<FuzzCommand>[] = [
  fc
    .tuple(index(), fc.constantFrom(...RANKS), fc.boolean())
    .map(([vm, rank, idempotent]) =>
      createCommand(`send(${vm}, ${rank}, ${idempotent})`, (harness) =>
        sendNewRequest(harness, vm, rank, idempotent, false),
      ),
    ),
  fc.tuple(index(), fc.nat({ max: 40 })).map(([vm, count]) =>
    createCommand(`burst(${vm}, ${count})`, (harness) => {
      for (let i = 0; i < count; i += 1) {
        sendNewRequest(harness, vm, RANKS[i % 3] ?? 'urgent', i % 2 === 0, false);
      }
    }),
  ),
  fc
    .tuple(fc.nat({ max: 200 }), index())
    .map(([request, vm]) =>
      createCommand(`resend(${request}, ${vm})`, (harness) => resendRequest(harness, request, vm)),
    ),
  index().map((vm) =>
    createCommand(`retryUnanswered(${vm})`, (harness) => retryUnanswered(harness, vm)),
  ),
  fc
    .nat({ max: 800 })
    .map((ms) => createCommand(`advance(${ms})`, (harness) => harness.advance(ms))),
  index().map((vm) =>
    createCommand(`replace(${vm})`, (harness) => harness.simulation.replace(harness.vm(vm))),
  ),
  fc.tuple(index(), fc.nat({ max: 3_000 })).map(([vm, ms]) =>
    createCommand(`kill(${vm}, ${ms})`, (harness) => {
      const target = harness.vm(vm);
      harness.simulation.kill(target);
      harness.simulation.schedule(ms, () => harness.simulation.replace(target));
    }),
  ),
  fc.tuple(index(), fc.nat({ max: 4_000 })).map(([vm, ms]) =>
    createCommand(`freeze(${vm}, ${ms})`, (harness) => {
      harness.vm(vm).frozenUntilMs = harness.simulation.nowMs + ms;
    }),
  ),
  fc.tuple(index(), index(), fc.nat({ max: 2_000 })).map(([a, b, ms]) =>
    createCommand(`cut(${a}, ${b}, ${ms})`, (harness) => {
      const pair = `${harness.vm(a).id}|${harness.vm(b).id}`;
      harness.simulation.partitions.add(pair);
      harness.simulation.schedule(ms, () => harness.simulation.partitions.delete(pair));
    }),
  ),
  fc.tuple(index(), index(), fc.nat({ max: 2_000 })).map(([a, b, ms]) =>
    createCommand(`excludeMember(${a}, ${b}, ${ms})`, (harness) => {
      const observer = harness.vm(a);
      const { id } = harness.vm(b);
      if (observer.id === id) return;
      observer.excludedMembers.add(id);
      harness.simulation.schedule(ms, () => observer.excludedMembers.delete(id));
    }),
  ),
  fc
    .tuple(fc.constantFrom(0, 0.2, 0.5), fc.constantFrom(0, 0.3), fc.constantFrom(0, 20, 200))
    .map(([drop, duplicate, delayMs]) =>
      createCommand(`network(${drop}, ${duplicate}, ${delayMs})`, (harness) => {
        Object.assign(harness.simulation.network, { drop, duplicate, delayMs });
      }),
    ),
  index().map((server) =>
    createCommand(`crash(${server})`, (harness) =>
      harness.simulation.crash(harness.server(server)),
    ),
  ),
  fc.tuple(index(), fc.boolean()).map(([server, on]) =>
    createCommand(`dropResponses(${server}, ${on})`, (harness) => {
      const { domain } = harness.server(server);
      harness.simulation.servers
        .filter((other) => other.domain === domain)
        .forEach((other) => Object.assign(other, { dropsResponses: on }));
    }),
  ),
  fc.tuple(index(), fc.constantFrom(1, 10, 100)).map(([server, factor]) =>
    createCommand(`slow(${server}, ${factor})`, (harness) => {
      harness.server(server).runTimeFactor = factor;
    }),
  ),
  index().map((vm) =>
    createCommand(`poison(${vm})`, (harness) =>
      sendNewRequest(harness, vm, 'interactive', true, true),
    ),
  ),
  index().map((server) => createCommand(`drain(${server})`, (harness) => drain(harness, server))),
  fc
    .tuple(index(), index(), fc.constantFrom(0, 0.3, 1))
    .map(([from, to, share]) =>
      createCommand(`planShift(${from}, ${to}, ${share})`, (harness) =>
        planShift(harness, from, to, share),
      ),
    ),
  fc.integer({ min: -3_600_000, max: 3_600_000 }).map((ms) =>
    createCommand(`wallClock(${ms})`, (harness) => {
      harness.simulation.wallOffsetMs += ms;
    }),
  ),
  fc
    .constantFrom(60_000, 700_000)
    .map((ms) => createCommand(`waitLong(${ms})`, (harness) => waitLong(harness, ms))),
];

/** Options of a fuzzing run. */
export interface FuzzOptions {
  readonly seed: number;
  readonly runs: number;
  readonly commands: number;
  readonly path?: string;
}

/** Runs random sequences of commands. Throws with the shrunk sequence if an invariant is broken. */
export function fuzz(options: FuzzOptions): void {
  const sequences = fc.commands(COMMANDS, { maxCommands: options.commands, size: 'max' });
  const property = fc.property(sequences, fc.nat(), (commands, seed) => {
    fc.modelRun(() => {
      const real = new FuzzHarness(seed);
      return { model: {}, real };
    }, [...commands, createCommand('settle', (harness) => harness.advance(3_000))]);
  });
  fc.assert(property, {
    seed: options.seed,
    numRuns: options.runs,
    ...(options.path === undefined ? {} : { path: options.path }),
  });
}
