/**
 * Stateful fuzzing of entries joined by a queue, against an oracle that knows only runs per request
 * id, what callers were told, work in flight per backend server and splits over time.
 */
import fc from 'fast-check';
import { RANKS } from '../../state/index.js';
import type { Rank } from '../../state/index.js';
import { distance } from '../index.js';
import type { DomainShare } from '../index.js';
import { World } from './worlds.js';
import type { Asked, Server, Vm } from './worlds.js';

const DOMAINS = ['a', 'b', 'c'];
const VMS_PER_DOMAIN = 2;
const SERVERS_PER_DOMAIN = 2;
const SLOTS = 2;

/** The cap under which all fuzzing runs. */
export const CAP = { maxShare: 0.2, intervalMs: 2_000 };

/** Time after a sign of leaving within which new work may still come, in milliseconds. */
const LEAVING_MS = 3_000;

/** Most time that passes after a command, in milliseconds. */
const MAX_GAP_MS = 250;

interface SplitSample {
  readonly atMs: number;
  readonly split: readonly DomainShare[];
}

/** The system under test and all that the oracle counts. */
export class Fuzzed {
  readonly world: World;

  readonly asked: Asked[] = [];

  /** When each server was first said to be leaving. */
  readonly leavingMs = new Map<Server, number>();

  readonly #samples = new Map<string, SplitSample[]>();

  constructor(seed: number) {
    this.world = new World({
      seed,
      domains: DOMAINS,
      vmsPerDomain: VMS_PER_DOMAIN,
      serversPerDomain: SERVERS_PER_DOMAIN,
      slots: SLOTS,
      settleMs: 300,
      service: { shift: { ...CAP, planned: [] }, deadlineMs: 1_000 },
    });
    this.world.tickMs = 50;
    this.world.advance(600);
  }

  vm(index: number): Vm {
    return this.world.vms[index % this.world.vms.length] as Vm;
  }

  server(index: number): Server {
    return this.world.servers[index % this.world.servers.length] as Server;
  }

  /** Advances in small steps and looks at what must hold after each. */
  advance(ms: number): void {
    for (let left = ms; left > 0; left -= 50) {
      this.world.advance(Math.min(50, left));
      this.check();
    }
  }

  check(): void {
    this.asked.forEach((asked) => this.#checkRequest(asked));
    this.world.servers.forEach((server) => this.#checkServer(server));
    this.world.vms.filter((vm) => vm.alive).forEach((vm) => this.#checkSplits(vm));
  }

  #checkRequest(asked: Asked): void {
    const { id, told, runs } = asked;
    if (!asked.idempotent && id !== undefined && runs > 1) {
      throw new Error(`${id} ran ${runs} times`);
    }
    // Whoever was only ever told `notRun` must not have been run, then or later.
    const allNotRun = told.length > 0 && told.every((each) => each === 'notRun');
    if (allNotRun && runs > 0 && told.length === asked.sendings) {
      throw new Error(`${id} was told not run and ran ${runs} times`);
    }
    if (told.includes('answered') && runs === 0) throw new Error(`${id} answered without a run`);
  }

  #checkServer(server: Server): void {
    if (server.running.size > server.slots) {
      throw new Error(`${server.id} runs ${server.running.size} on ${server.slots} slots`);
    }
    const leavingMs = this.leavingMs.get(server);
    if (leavingMs !== undefined && server.lastRunMs > leavingMs + LEAVING_MS) {
      throw new Error(`${server.id} got work ${server.lastRunMs - leavingMs} ms after leaving`);
    }
  }

  #checkSplits(vm: Vm): void {
    vm.machine.splits().forEach(({ home, split }) => {
      const key = `${vm.incarnation}|${home}`;
      const samples = this.#samples.get(key) ?? [];
      const { nowMs } = this.world;
      const recent = samples.filter((each) => each.atMs >= nowMs - CAP.intervalMs);
      recent.push({ atMs: nowMs, split });
      this.#samples.set(key, recent);
      recent.forEach((each) => {
        const moved = distance(each.split, split);
        if (moved > CAP.maxShare + 1e-6) {
          throw new Error(`${key} moved ${moved} in ${nowMs - each.atMs} ms`);
        }
      });
    });
  }
}

type Model = Record<string, never>;

type Step = fc.Command<Model, Fuzzed>;

/** A command that may run at any time. */
function step(text: string, act: (fuzzed: Fuzzed) => void): Step {
  return {
    check: () => true,
    run: (_, fuzzed) => {
      act(fuzzed);
      // Mostly short, so that faults fall into requests under way.
      fuzzed.advance(fuzzed.world.random() ** 3 * MAX_GAP_MS);
      fuzzed.check();
    },
    toString: () => text,
  };
}

function sendNew(
  fuzzed: Fuzzed,
  vmIndex: number,
  rank: Rank,
  idempotent: boolean,
  poison: boolean,
): void {
  const vm = fuzzed.vm(vmIndex);
  const id = `${fuzzed.world.prefixOf(vm)}${fuzzed.asked.length}`;
  const asked = fuzzed.world.ask({ id, rank, idempotent: idempotent || rank !== 'urgent', poison });
  fuzzed.asked.push(asked);
  fuzzed.world.send(vm, asked);
}

function sendAgain(fuzzed: Fuzzed, index: number, vmIndex: number): void {
  const asked = fuzzed.asked.at(-1 - (index % Math.max(1, fuzzed.asked.length)));
  if (asked !== undefined) fuzzed.world.send(fuzzed.vm(vmIndex), asked);
}

/** Every caller without an answer sends again, as callers do. */
function insist(fuzzed: Fuzzed, vmIndex: number): void {
  fuzzed.asked
    .filter((asked) => asked.told.length > 0 && !asked.told.includes('answered'))
    .forEach((asked) => fuzzed.world.send(fuzzed.vm(vmIndex), asked));
}

function drain(fuzzed: Fuzzed, index: number): void {
  const server = fuzzed.server(index);
  const servers = fuzzed.world.service.backendServers as { id: string }[];
  const changed = servers.map((each) =>
    each.id === server.id ? { ...each, leaving: true } : each,
  );
  fuzzed.world.changeService({ backendServers: changed });
  if (!fuzzed.leavingMs.has(server)) fuzzed.leavingMs.set(server, fuzzed.world.nowMs);
}

function plan(fuzzed: Fuzzed, from: number, to: number, share: number): void {
  const shift = {
    ...CAP,
    planned: [{ from: DOMAINS[from % 3], to: DOMAINS[to % 3], share }],
  };
  fuzzed.world.changeService({ shift });
}

/** Lets much time pass, with coarser ticks. */
function waitLong(fuzzed: Fuzzed, ms: number): void {
  const { tickMs } = fuzzed.world;
  Object.assign(fuzzed.world, { tickMs: 900 });
  fuzzed.world.advance(ms);
  Object.assign(fuzzed.world, { tickMs });
}

const index = () => fc.nat({ max: 11 });

/** All commands, the plain ones more often than the faults. */
export const COMMANDS: fc.Arbitrary<Step>[] = [
  fc
    .tuple(index(), fc.constantFrom(...RANKS), fc.boolean())
    .map(([vm, rank, idempotent]) =>
      step(`send(${vm}, ${rank}, ${idempotent})`, (each) =>
        sendNew(each, vm, rank, idempotent, false),
      ),
    ),
  fc.tuple(index(), fc.nat({ max: 40 })).map(([vm, count]) =>
    step(`burst(${vm}, ${count})`, (each) => {
      for (let i = 0; i < count; i += 1) {
        sendNew(each, vm, RANKS[i % 3] ?? 'urgent', i % 2 === 0, false);
      }
    }),
  ),
  fc
    .tuple(fc.nat({ max: 200 }), index())
    .map(([request, vm]) =>
      step(`again(${request}, ${vm})`, (each) => sendAgain(each, request, vm)),
    ),
  index().map((vm) => step(`insist(${vm})`, (each) => insist(each, vm))),
  fc.nat({ max: 800 }).map((ms) => step(`advance(${ms})`, (each) => each.advance(ms))),
  index().map((vm) => step(`replace(${vm})`, (each) => each.world.replace(each.vm(vm)))),
  fc.tuple(index(), fc.nat({ max: 3_000 })).map(([vm, ms]) =>
    step(`kill(${vm}, ${ms})`, (each) => {
      const target = each.vm(vm);
      each.world.kill(target);
      each.world.at(ms, () => each.world.replace(target));
    }),
  ),
  fc.tuple(index(), fc.nat({ max: 4_000 })).map(([vm, ms]) =>
    step(`freeze(${vm}, ${ms})`, (each) => {
      each.vm(vm).frozenUntilMs = each.world.nowMs + ms;
    }),
  ),
  fc.tuple(index(), index(), fc.nat({ max: 2_000 })).map(([a, b, ms]) =>
    step(`cut(${a}, ${b}, ${ms})`, (each) => {
      const pair = `${each.vm(a).id}|${each.vm(b).id}`;
      each.world.cuts.add(pair);
      each.world.at(ms, () => each.world.cuts.delete(pair));
    }),
  ),
  fc.tuple(index(), index(), fc.nat({ max: 2_000 })).map(([a, b, ms]) =>
    step(`doubt(${a}, ${b}, ${ms})`, (each) => {
      const doubter = each.vm(a);
      const { id } = each.vm(b);
      if (doubter.id === id) return;
      doubter.doubts.add(id);
      each.world.at(ms, () => doubter.doubts.delete(id));
    }),
  ),
  fc
    .tuple(fc.constantFrom(0, 0.2, 0.5), fc.constantFrom(0, 0.3), fc.constantFrom(0, 20, 200))
    .map(([drop, duplicate, delayMs]) =>
      step(`network(${drop}, ${duplicate}, ${delayMs})`, (each) => {
        Object.assign(each.world.network, { drop, duplicate, delayMs });
      }),
    ),
  index().map((server) =>
    step(`crash(${server})`, (each) => each.world.crash(each.server(server))),
  ),
  fc.tuple(index(), fc.boolean()).map(([server, on]) =>
    step(`loseAnswers(${server}, ${on})`, (each) => {
      const { domain } = each.server(server);
      each.world.servers
        .filter((other) => other.domain === domain)
        .forEach((other) => Object.assign(other, { losesAnswers: on }));
    }),
  ),
  fc.tuple(index(), fc.constantFrom(1, 10, 100)).map(([server, factor]) =>
    step(`slow(${server}, ${factor})`, (each) => {
      each.server(server).runFactor = factor;
    }),
  ),
  index().map((vm) =>
    step(`poison(${vm})`, (each) => sendNew(each, vm, 'interactive', true, true)),
  ),
  index().map((server) => step(`drain(${server})`, (each) => drain(each, server))),
  fc
    .tuple(index(), index(), fc.constantFrom(0, 0.3, 1))
    .map(([from, to, share]) =>
      step(`plan(${from}, ${to}, ${share})`, (each) => plan(each, from, to, share)),
    ),
  fc.integer({ min: -3_600_000, max: 3_600_000 }).map((ms) =>
    step(`wallClock(${ms})`, (each) => {
      each.world.wallOffsetMs += ms;
    }),
  ),
  fc.constantFrom(60_000, 700_000).map((ms) => step(`wait(${ms})`, (each) => waitLong(each, ms))),
];

/** Options of a fuzzing run. */
export interface FuzzOptions {
  readonly seed: number;
  readonly runs: number;
  readonly commands: number;
  readonly path?: string;
}

/** Runs sequences of commands; throws with the shrunk sequence when something does not hold. */
export function fuzz(options: FuzzOptions): void {
  const sequences = fc.commands(COMMANDS, { maxCommands: options.commands, size: 'max' });
  const property = fc.property(sequences, fc.nat(), (commands, seed) => {
    fc.modelRun(() => {
      const real = new Fuzzed(seed);
      return { model: {}, real };
    }, [...commands, step('settle', (each) => each.advance(3_000))]);
  });
  fc.assert(property, {
    seed: options.seed,
    numRuns: options.runs,
    ...(options.path === undefined ? {} : { path: options.path }),
  });
}
