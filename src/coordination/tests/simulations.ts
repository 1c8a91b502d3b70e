/**
 * Simulates entry VMs, callers and backend servers with one event queue and a simulated clock. The
 * simulation itself counts what the oracle needs, independently of the code under test.
 */
import {
  CallerId,
  EntryVmId,
  FailureDomainId,
  Incarnation,
  MemberRecord,
  RequestId,
  ServiceName,
  SettingsPath,
  settingsKey,
} from '../../state/index.js';
import type { Failure, Rank, ReplicaItem } from '../../state/index.js';
import { EntryMachine, formatRequestIdPrefix } from '../index.js';
import type { Call, EntryEffect, EntryEvent, ForwardResult, Ticket } from '../index.js';
import { EventQueue } from './eventqueues.js';
import { LATENCY_MS, fingerprintOf, randomFrom, forwardResultOf } from './simulationparts.js';
import type {
  SimulatedRequest,
  Server,
  Outcome,
  Vm,
  SimulationOptions,
} from './simulationparts.js';
import { SimulatedServers } from './simulatedservers.js';

export { randomFrom } from './simulationparts.js';
export type {
  SimulatedRequest,
  Server,
  Outcome,
  Vm,
  SimulationOptions,
} from './simulationparts.js';

export const SERVICE = ServiceName.parse('shop');

const GOSSIP_INTERVAL_MS = 250;

/** Time after which the sender of a dropped message gives up. */
const LOSS_TIMEOUT_MS = 400;

export class Simulation extends EventQueue {
  /** Interval between two ticks of the entry VMs. */
  tickMs = 20;

  /** Wall clock time minus simulated time. */
  wallOffsetMs = 1_700_000_000_000;

  readonly vms: Vm[] = [];

  readonly random: () => number;

  /** Probabilities that a message between entry VMs is dropped or duplicated, and its maximum extra delay. */
  readonly network = { drop: 0, duplicate: 0, delayMs: 0 };

  /** Pairs of entry VMs that cannot reach each other, as `a|b`. */
  readonly partitions = new Set<string>();

  /** Receives each effect before it is performed. */
  onEffect: ((vm: Vm, effect: EntryEffect) => void) | undefined;

  service: Record<string, unknown>;

  readonly #options: SimulationOptions;

  readonly #servers: SimulatedServers;

  readonly #domains: readonly FailureDomainId[];

  #version = 1;

  constructor(options: SimulationOptions = {}) {
    super();
    this.#options = options;
    this.random = randomFrom(options.seed ?? 1);
    this.#servers = new SimulatedServers({
      queue: this,
      runMs: options.runMs,
      deliverEvent: (vm, event) => this.deliverEvent(vm, event),
      complete: (vm, ticket, outcome) => this.#complete(vm, ticket, outcome),
    });
    this.#domains = (options.domains ?? ['a']).map((id) => FailureDomainId.parse(id));
    const backendServers = this.#domains.flatMap((domain) =>
      Array.from({ length: options.serversPerDomain ?? 2 }, (_, i) =>
        this.#servers.add(domain, i, options.slots ?? 3),
      ),
    );
    this.service = {
      kind: 'service',
      name: SERVICE,
      rules: [
        { methods: ['POST'], path: '/urgent', rank: 'urgent', idempotent: false },
        { methods: ['GET'], path: '/urgent', rank: 'urgent', idempotent: true },
        { methods: ['GET'], path: '/interactive', rank: 'interactive', idempotent: true },
        { methods: ['GET'], path: '/bulk', rank: 'bulk', idempotent: true },
      ],
      backendServers,
      rampMs: 0,
      deadlineMs: 2_000,
      ...options.service,
    };
    this.#domains.forEach((domain) => {
      for (let i = 0; i < (options.vmsPerDomain ?? 1); i += 1) this.#addVm(domain, i);
    });
    this.#tick();
    this.#gossip();
  }

  get servers(): readonly Server[] {
    return this.#servers.servers;
  }

  /** Crashes a server: all its runs are lost. It is available again after 1 s. */
  crash(server: Server): void {
    this.#servers.crash(server);
  }

  /** Publishes members at a fixed interval, as agents would. */
  #gossip(): void {
    this.publishMembers();
    this.schedule(GOSSIP_INTERVAL_MS, () => this.#gossip());
  }

  #addVm(domain: FailureDomainId, index: number): void {
    const id = EntryVmId.parse(`vm-${domain}-${index}`);
    const incarnation = this.#createIncarnation();
    const vm: Vm = {
      id,
      domain,
      incarnation,
      machine: this.#createMachine(id, incarnation, domain),
      alive: true,
      frozenUntilMs: 0,
      excludedMembers: new Set(),
      waiting: new Map(),
      calls: new Map(),
    };
    this.vms.push(vm);
    this.#publishSettings(vm);
  }

  #createIncarnation(): Incarnation {
    return Incarnation.parse(`inc${String(this.nextNumber()).padStart(9, '0')}`);
  }

  #createMachine(id: EntryVmId, incarnation: Incarnation, domain: FailureDomainId): EntryMachine {
    const self = { id, incarnation, failureDomain: domain };
    const settleMs = this.#options.settleMs ?? 0;
    return new EntryMachine(self, this.random, this.instant(), { settleMs });
  }

  instant(): { readonly nowMs: number; readonly wallMs: number } {
    return { nowMs: this.nowMs, wallMs: this.nowMs + this.wallOffsetMs };
  }

  /** Changes the settings of the service on all entry VMs. */
  changeService(changes: Readonly<Record<string, unknown>>): void {
    this.service = { ...this.service, ...changes };
    this.#version += 1;
    this.vms.forEach((vm) => this.#publishSettings(vm));
  }

  #publishSettings(vm: Vm): void {
    const fleet = {
      kind: 'fleet',
      regions: this.#domains.map((domain) => ({ id: `r-${domain}`, failureDomains: [domain] })),
    };
    const objects = [
      { path: 'fleet', settings: fleet },
      { path: `team/${SERVICE}`, settings: this.service },
    ];
    objects.forEach(({ path, settings }) => {
      const key = settingsKey(SettingsPath.parse(path));
      const item = { key, version: this.#version, body: { settings, history: [] } };
      this.deliverEvent(vm, { type: 'item', item });
    });
  }

  /** Sends every live entry VM the live members, except those that it excludes. */
  publishMembers(): void {
    const records = this.vms
      .filter((vm) => vm.alive)
      .map((vm) => ({
        id: vm.id,
        failureDomain: vm.domain,
        heartbeat: 1,
        revision: 0,
        incarnation: vm.incarnation,
        phase: vm.machine.stopping ? ('stopping' as const) : ('serving' as const),
        epoch: vm.machine.epoch(this.nowMs),
        callerAddress: '10.0.0.1:1',
        peerAddress: '10.0.0.1:2',
        agentAddress: '10.0.0.1:3',
        dispatching: [...vm.machine.dispatching()],
      }))
      .map((record) => MemberRecord.parse(record));
    this.vms.forEach((vm) => {
      const members = records.filter((member) => !vm.excludedMembers.has(member.id));
      this.deliverEvent(vm, { type: 'members', members });
    });
  }

  #tick(): void {
    this.schedule(this.tickMs, () => {
      this.vms.forEach((vm) => this.deliverEvent(vm, { type: 'tick' }));
      this.#tick();
    });
  }

  /** Delivers an event to an entry VM, after its freeze if it is frozen. A dead one gets no events. */
  deliverEvent(vm: Vm, event: EntryEvent): void {
    const { machine } = vm;
    if (!vm.alive) return;
    if (vm.frozenUntilMs > this.nowMs) {
      if (event.type !== 'tick') {
        this.schedule(vm.frozenUntilMs - this.nowMs, () => {
          if (vm.machine === machine) this.deliverEvent(vm, event);
        });
      }
      return;
    }
    machine.handle(event, this.instant()).forEach((effect) => {
      this.onEffect?.(vm, effect);
      this.#perform(vm, effect);
    });
  }

  kill(vm: Vm): void {
    const dead = vm;
    dead.alive = false;
    this.#servers.endRunsOf(dead);
    const waiting = [...dead.waiting.values()];
    dead.waiting.clear();
    waiting.forEach((onOutcome) => onOutcome('unknown', undefined));
  }

  /** Starts a replacement under the same id, without any state of its predecessor. */
  replace(vm: Vm): void {
    if (vm.alive) this.kill(vm);
    const replacement = vm;
    replacement.alive = true;
    replacement.frozenUntilMs = 0;
    replacement.incarnation = this.#createIncarnation();
    replacement.machine = this.#createMachine(vm.id, vm.incarnation, vm.domain);
    replacement.calls.clear();
    this.#publishSettings(replacement);
    this.publishMembers();
  }

  requestIdPrefixOf(vm: Vm): string {
    return formatRequestIdPrefix({
      entryVm: vm.id,
      incarnation: vm.incarnation,
      epoch: vm.machine.epoch(this.nowMs),
    });
  }

  /** Creates a request of a caller without sending it. */
  createRequest(options: {
    readonly id?: string;
    readonly rank?: Rank;
    readonly idempotent?: boolean;
    readonly poison?: boolean;
  }): SimulatedRequest {
    return {
      id: options.id === undefined ? undefined : RequestId.parse(options.id),
      rank: options.rank ?? 'urgent',
      idempotent: options.idempotent ?? false,
      poison: options.poison ?? false,
      outcomes: [],
      runs: 0,
      sendCount: 0,
      sentMs: this.nowMs,
      tookMs: undefined,
    };
  }

  /** Sends a request through an entry VM. */
  send(
    vm: Vm,
    request: SimulatedRequest,
    options: { caller?: string; home?: string; tag?: string } = {},
  ): void {
    if (!vm.alive) return;
    const sent = request;
    sent.sendCount += 1;
    const tag = options.tag ?? request.id ?? String(this.random());
    const call: Call = {
      ticket: this.#createTicket(),
      service: SERVICE,
      method: request.idempotent ? 'GET' : 'POST',
      path: `/${request.rank}`,
      caller: CallerId.parse(options.caller ?? 'caller'),
      requestId: request.id,
      fingerprint: fingerprintOf(request.poison ? 'poison' : tag),
      leftMs: undefined,
      home: options.home === undefined ? undefined : FailureDomainId.parse(options.home),
      replayable: true,
    };
    this.#receive(vm, call, request, { type: 'call', call, fromPeer: false }, (outcome) => {
      sent.outcomes.push(outcome);
      sent.tookMs ??= this.nowMs - sent.sentMs;
    });
  }

  #createTicket(): Ticket {
    return `t${this.nextNumber()}` as Ticket;
  }

  #receive(
    vm: Vm,
    call: Call,
    request: SimulatedRequest,
    event: EntryEvent,
    onOutcome: (outcome: Outcome, failure: Failure | undefined) => void,
  ): void {
    vm.waiting.set(call.ticket, onOutcome);
    vm.calls.set(call.ticket, { call, request });
    this.deliverEvent(vm, event);
  }

  #complete(vm: Vm, ticket: Ticket, outcome: Outcome, failure?: Failure): void {
    const onOutcome = vm.waiting.get(ticket);
    vm.waiting.delete(ticket);
    onOutcome?.(outcome, failure);
  }

  #perform(vm: Vm, effect: EntryEffect): void {
    switch (effect.type) {
      case 'run':
        this.#servers.run(vm, effect);
        break;
      case 'stopRun':
        this.#servers.stopRun(vm, effect.runId);
        break;
      case 'relay':
        this.#servers.relayResponse(vm, effect.runId);
        break;
      case 'forward':
        this.#forward(vm, effect);
        break;
      case 'fail':
        this.#complete(vm, effect.ticket, effect.failure.outcome, effect.failure);
        break;
      case 'replay':
        this.#complete(vm, effect.ticket, 'answered');
        break;
      case 'askGrant':
        this.#requestGrant(vm, effect);
        break;
      case 'reportCrashes':
        this.#publishItems(effect.items);
        break;
      case 'probe': {
        const alive = this.servers.some(
          (candidate) => candidate.id === effect.server && !candidate.down,
        );
        this.schedule(2 * LATENCY_MS, () =>
          this.deliverEvent(vm, { type: 'probed', runId: effect.runId, alive }),
        );
        break;
      }
      default:
        break;
    }
  }

  #publishItems(items: readonly ReplicaItem[]): void {
    items.forEach((item) =>
      this.vms.forEach((vm) =>
        this.schedule(LATENCY_MS, () => this.deliverEvent(vm, { type: 'item', item })),
      ),
    );
  }

  #canReach(a: EntryVmId, b: EntryVmId): boolean {
    return !this.partitions.has(`${a}|${b}`) && !this.partitions.has(`${b}|${a}`);
  }

  #delayMs(): number {
    return LATENCY_MS + this.random() * this.network.delayMs;
  }

  #forward(vm: Vm, effect: Extract<EntryEffect, { type: 'forward' }>): void {
    const { ticket, order } = effect;
    const record = vm.calls.get(ticket);
    if (record === undefined) throw new Error('cannot forward: unknown ticket');
    let ended = false;
    const finish = (result: ForwardResult): void => {
      if (ended) return;
      ended = true;
      const { machine } = vm;
      if (result.type === 'answered') this.#complete(vm, ticket, 'answered');
      if (vm.machine === machine)
        this.deliverEvent(vm, { type: 'forwardFinished', ticket, result });
    };
    const target = this.vms.find((candidate) => candidate.id === effect.to.id);
    if (target === undefined || !this.#canReach(vm.id, target.id)) {
      this.schedule(LOSS_TIMEOUT_MS, () => finish({ type: 'unreachable' }));
      return;
    }
    if (this.random() < this.network.drop) {
      this.schedule(LOSS_TIMEOUT_MS, () => finish({ type: 'lost' }));
      return;
    }
    const deliver = (): void => {
      if (!target.alive) {
        finish({ type: 'unreachable' });
        return;
      }
      const call: Call = { ...record.call, ticket: this.#createTicket(), leftMs: effect.leftMs };
      const event: EntryEvent =
        order === undefined
          ? { type: 'call', call, fromPeer: true }
          : { type: 'dispatch', call, order };
      this.#receive(target, call, record.request, event, (outcome, failure) => {
        const lost = !this.#canReach(vm.id, target.id) || this.random() < this.network.drop;
        this.schedule(lost ? LOSS_TIMEOUT_MS : this.#delayMs(), () =>
          finish(lost ? { type: 'lost' } : forwardResultOf(outcome, failure)),
        );
      });
    };
    this.schedule(this.#delayMs(), deliver);
    if (this.random() < this.network.duplicate) this.schedule(this.#delayMs() + 5, deliver);
  }

  #requestGrant(vm: Vm, effect: Extract<EntryEffect, { type: 'askGrant' }>): void {
    const target = this.vms.find((candidate) => candidate.id === effect.to.id);
    if (target === undefined || !this.#canReach(vm.id, target.id)) return;
    const requestedMs = this.nowMs;
    const { service, domain, want } = effect;
    this.schedule(this.#delayMs(), () => {
      if (!target.alive || target.frozenUntilMs > this.nowMs) return;
      const event = { type: 'grantAsked', askId: 'x', from: vm.id, service, domain, want } as const;
      target.machine.handle(event, this.instant()).forEach((reply) => {
        if (reply.type !== 'grant') return;
        const { slots } = reply;
        this.schedule(this.#delayMs(), () =>
          this.deliverEvent(vm, {
            type: 'grantReceived',
            to: target.id,
            service,
            slots,
            requestedMs,
          }),
        );
      });
    });
  }
}
