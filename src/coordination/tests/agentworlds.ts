/** A driver for tests and measurements: many agent machines joined by one queue of messages. */
import { Endpoint, EntryVmId, FailureDomainId, Incarnation } from '../../state/index.js';
import type { ReplicaKey } from '../../state/index.js';
import { AgentMachine, HEARTBEAT_MS } from '../index.js';
import type { AgentEffect, PeerMessage } from '../index.js';
import { EventQueue } from './eventqueues.js';
import { randomFrom } from './worlds.js';

const LATENCY_MS = 2;

/** Agents that every new agent is told of. */
const SEEDS = 3;

export interface WorldAgent {
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

export interface AgentWorldOptions {
  readonly domains: number;
  readonly perDomain: number;
  readonly seed?: number;
  /** Counts bytes of messages by this codec. */
  readonly sizeOf?: (message: unknown) => number;
}

export class AgentWorld extends EventQueue {
  dropShare = 0;

  readonly agents: WorldAgent[] = [];

  readonly #random: () => number;

  readonly #sizeOf: ((message: unknown) => number) | undefined;

  readonly #byAddress = new Map<Endpoint, WorldAgent>();

  readonly #cut = new Set<FailureDomainId>();

  constructor(options: AgentWorldOptions) {
    super();
    this.#random = randomFrom(options.seed ?? 1);
    this.#sizeOf = options.sizeOf;
    for (let d = 0; d < options.domains; d += 1) {
      for (let i = 0; i < options.perDomain; i += 1) this.#addAgent(d, i);
    }
    this.agents.forEach((agent) => this.#startTicks(agent));
  }

  #addAgent(d: number, i: number): void {
    const domain = FailureDomainId.parse(`d-${d}`);
    const id = EntryVmId.parse(`vm-${d}-${i}`);
    const address = Endpoint.parse(`10.${d}.${Math.floor(i / 250)}.${(i % 250) + 1}:1`);
    const agent: WorldAgent = {
      id,
      domain,
      address,
      machine: this.#newMachine(id, domain, address, 0),
      alive: true,
      watching: false,
      wallOffsetMs: 0,
      sentMessages: 0,
      sentBytes: 0,
    };
    this.agents.push(agent);
    this.#byAddress.set(address, agent);
  }

  #newMachine(
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
      incarnation: Incarnation.parse(String(this.number()).padStart(8, '0')),
      phase: 'serving' as const,
      epoch: 0,
      dispatching: [],
    };
    const seeds = this.agents.slice(0, SEEDS).map((each) => each.address);
    return new AgentMachine(self, this.#random, { seeds });
  }

  #instant(agent: WorldAgent): { readonly nowMs: number; readonly wallMs: number } {
    return { nowMs: this.nowMs, wallMs: Math.max(0, 1e9 + this.nowMs + agent.wallOffsetMs) };
  }

  #startTicks(agent: WorldAgent): void {
    const { machine } = agent;
    const tick = (): void => {
      if (!agent.alive || agent.machine !== machine) return;
      this.#perform(agent, machine.handle({ type: 'tick' }, this.#instant(agent)));
      this.at(HEARTBEAT_MS, tick);
    };
    this.at(this.#random() * HEARTBEAT_MS, tick);
  }

  /** Gives one agent an item, as the platform would. */
  store(to: WorldAgent | undefined, key: ReplicaKey, version: number, body: unknown = null): void {
    if (to === undefined) return;
    const items = [{ key, version, body }];
    this.#perform(to, to.machine.handle({ type: 'stored', items }, this.#instant(to)));
  }

  /** Advances until every live agent holds a version. @returns the time it took, or Infinity. */
  timeUntilAll(key: ReplicaKey, version: number, limitMs: number): number {
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

  /** Puts a new agent in the place of another, which is killed. */
  replace(index: number, options: { readonly wallOffsetMs?: number } = {}): void {
    const agent = this.agents[index];
    if (agent === undefined) return;
    const wallOffsetMs = options.wallOffsetMs ?? 0;
    const { id, domain, address } = agent;
    const machine = this.#newMachine(id, domain, address, 1e9 + this.nowMs + wallOffsetMs);
    Object.assign(agent, { machine, wallOffsetMs, alive: true, watching: false });
    this.#startTicks(agent);
  }

  cutDomain(index: number): void {
    this.#cut.add(FailureDomainId.parse(`d-${index}`));
  }

  healDomain(index: number): void {
    this.#cut.delete(FailureDomainId.parse(`d-${index}`));
  }

  #perform(agent: WorldAgent, effects: readonly AgentEffect[]): void {
    effects.forEach((effect) => {
      if (effect.type === 'send') this.#send(agent, effect.to, effect.message);
      if (effect.type === 'watch') Object.assign(agent, { watching: effect.on });
    });
  }

  #passes(a: WorldAgent, b: WorldAgent): boolean {
    const cut = a.domain !== b.domain && (this.#cut.has(a.domain) || this.#cut.has(b.domain));
    return !cut && this.#random() >= this.dropShare;
  }

  #count(agent: WorldAgent, message: unknown): void {
    const counted = agent;
    counted.sentMessages += 1;
    counted.sentBytes += this.#sizeOf?.(message) ?? 0;
  }

  #send(from: WorldAgent, to: Endpoint, message: PeerMessage): void {
    const target = this.#byAddress.get(to);
    const { machine } = from;
    this.#count(from, message);
    if (target === undefined || !this.#passes(from, target)) return;
    this.at(LATENCY_MS, () => {
      if (!target.alive) return;
      const { reply, effects } = target.machine.receive(message, this.#instant(target));
      this.#perform(target, effects);
      this.#count(target, reply);
      if (!this.#passes(target, from)) return;
      this.at(LATENCY_MS, () => {
        if (!from.alive || from.machine !== machine) return;
        const event = { type: 'reply', to, reply } as const;
        this.#perform(from, machine.handle(event, this.#instant(from)));
      });
    });
  }
}
