/** Simulates many agents that exchange messages through one event queue, for tests and benchmarks. */
import { Endpoint, EntryVmId, FailureDomainId, Incarnation } from '../../state/index.js';
import type { ReplicaKey } from '../../state/index.js';
import { AgentMachine, HEARTBEAT_INTERVAL_MS } from '../index.js';
import type { AgentEffect, PeerMessage } from '../index.js';
import { EventQueue } from './eventqueues.js';
import { randomFrom } from './simulations.js';

const LATENCY_MS = 2;

/** Number of agents that each agent gets as seeds for discovery. */
const SEED_COUNT = 3;

export interface SimulatedAgent {
  readonly id: EntryVmId;
  readonly domain: FailureDomainId;
  readonly address: Endpoint;
  machine: AgentMachine;
  alive: boolean;
  watching: boolean;
  wallOffsetMs: number;
  sentMessages: number;
  sentBytes: number;
}

export interface AgentSimulationOptions {
  readonly domains: number;
  readonly perDomain: number;
  readonly seed?: number;
  /** Returns the encoded size of a message in bytes. */
  readonly sizeOf?: (message: unknown) => number;
}

export class AgentSimulation extends EventQueue {
  dropRatio = 0;

  readonly agents: SimulatedAgent[] = [];

  readonly #random: () => number;

  readonly #sizeOf: ((message: unknown) => number) | undefined;

  readonly #byAddress = new Map<Endpoint, SimulatedAgent>();

  readonly #partitionedDomains = new Set<FailureDomainId>();

  constructor(options: AgentSimulationOptions) {
    super();
    this.#random = randomFrom(options.seed ?? 1);
    this.#sizeOf = options.sizeOf;
    for (let d = 0; d < options.domains; d += 1) {
      for (let i = 0; i < options.perDomain; i += 1) this.#addAgent(d, i);
    }
    this.agents.forEach((agent) => this.#startTicks(agent));
  }

  #addAgent(domainIndex: number, agentIndex: number): void {
    const domain = FailureDomainId.parse(`d-${domainIndex}`);
    const id = EntryVmId.parse(`vm-${domainIndex}-${agentIndex}`);
    const address = Endpoint.parse(
      `10.${domainIndex}.${Math.floor(agentIndex / 250)}.${(agentIndex % 250) + 1}:1`,
    );
    const agent: SimulatedAgent = {
      id,
      domain,
      address,
      machine: this.#createMachine(id, domain, address, 0),
      alive: true,
      watching: false,
      wallOffsetMs: 0,
      sentMessages: 0,
      sentBytes: 0,
    };
    this.agents.push(agent);
    this.#byAddress.set(address, agent);
  }

  #createMachine(
    id: EntryVmId,
    domain: FailureDomainId,
    address: Endpoint,
    wallMs: number,
  ): AgentMachine {
    const self = {
      id,
      failureDomain: domain,
      callerAddress: address,
      peerAddress: address,
      agentAddress: address,
      heartbeat: Math.max(0, wallMs),
      revision: 0,
      incarnation: Incarnation.parse(String(this.nextNumber()).padStart(8, '0')),
      phase: 'serving' as const,
      epoch: 0,
      dispatching: [],
    };
    const seeds = this.agents.slice(0, SEED_COUNT).map((agent) => agent.address);
    return new AgentMachine(self, this.#random, { seeds });
  }

  #instant(agent: SimulatedAgent): { readonly nowMs: number; readonly wallMs: number } {
    return { nowMs: this.nowMs, wallMs: Math.max(0, 1e9 + this.nowMs + agent.wallOffsetMs) };
  }

  #startTicks(agent: SimulatedAgent): void {
    const { machine } = agent;
    const tick = (): void => {
      if (!agent.alive || agent.machine !== machine) return;
      this.#perform(agent, machine.handle({ type: 'tick' }, this.#instant(agent)));
      this.schedule(HEARTBEAT_INTERVAL_MS, tick);
    };
    this.schedule(this.#random() * HEARTBEAT_INTERVAL_MS, tick);
  }

  /** Delivers an item to one agent, as the platform would. */
  store(
    to: SimulatedAgent | undefined,
    key: ReplicaKey,
    version: number,
    body: unknown = null,
  ): void {
    if (to === undefined) return;
    const items = [{ key, version, body }];
    this.#perform(to, to.machine.handle({ type: 'stored', items }, this.#instant(to)));
  }

  /** Advances until every live agent holds a version. @returns the time in milliseconds, or Infinity. */
  timeToConvergeMs(key: ReplicaKey, version: number, limitMs: number): number {
    const startMs = this.nowMs;
    while (this.nowMs - startMs <= limitMs) {
      const alive = this.agents.filter((agent) => agent.alive);
      if (alive.every((agent) => agent.machine.item(key)?.version === version)) {
        return this.nowMs - startMs;
      }
      this.advance(10);
    }
    return Infinity;
  }

  kill(index: number): void {
    const agent = this.agents[index];
    if (agent !== undefined) Object.assign(agent, { alive: false, watching: false });
  }

  /** Replaces an agent with a new one of the same id, without its state. */
  replace(index: number, options: { readonly wallOffsetMs?: number } = {}): void {
    const agent = this.agents[index];
    if (agent === undefined) return;
    const wallOffsetMs = options.wallOffsetMs ?? 0;
    const { id, domain, address } = agent;
    const machine = this.#createMachine(id, domain, address, 1e9 + this.nowMs + wallOffsetMs);
    Object.assign(agent, { machine, wallOffsetMs, alive: true, watching: false });
    this.#startTicks(agent);
  }

  partitionDomain(index: number): void {
    this.#partitionedDomains.add(FailureDomainId.parse(`d-${index}`));
  }

  healDomain(index: number): void {
    this.#partitionedDomains.delete(FailureDomainId.parse(`d-${index}`));
  }

  #perform(agent: SimulatedAgent, effects: readonly AgentEffect[]): void {
    effects.forEach((effect) => {
      if (effect.type === 'send') this.#send(agent, effect.to, effect.message);
      if (effect.type === 'watch') Object.assign(agent, { watching: effect.on });
    });
  }

  #isDelivered(a: SimulatedAgent, b: SimulatedAgent): boolean {
    const partitioned =
      a.domain !== b.domain &&
      (this.#partitionedDomains.has(a.domain) || this.#partitionedDomains.has(b.domain));
    return !partitioned && this.#random() >= this.dropRatio;
  }

  #recordSent(agent: SimulatedAgent, message: unknown): void {
    const sender = agent;
    sender.sentMessages += 1;
    sender.sentBytes += this.#sizeOf?.(message) ?? 0;
  }

  #send(from: SimulatedAgent, to: Endpoint, message: PeerMessage): void {
    const target = this.#byAddress.get(to);
    const { machine } = from;
    this.#recordSent(from, message);
    if (target === undefined || !this.#isDelivered(from, target)) return;
    this.schedule(LATENCY_MS, () => {
      if (!target.alive) return;
      const { reply, effects } = target.machine.receive(message, this.#instant(target));
      this.#perform(target, effects);
      this.#recordSent(target, reply);
      if (!this.#isDelivered(target, from)) return;
      this.schedule(LATENCY_MS, () => {
        if (!from.alive || from.machine !== machine) return;
        const event = { type: 'reply', to, reply } as const;
        this.#perform(from, machine.handle(event, this.#instant(from)));
      });
    });
  }
}
