/** The entry's task: turns effects of its state machine into I/O, and I/O into events. */
import { randomBytes } from 'node:crypto';
import { EntryMachine, LookupPlanner, splitItem } from '../coordination/index.js';
import type {
  Call,
  EntryEffect,
  EntryEvent,
  LookupAnswer,
  RunId,
  Ticket,
} from '../coordination/index.js';
import type { AgentUpdate, EntryConfig } from '../protocol/index.js';
import { Incarnation } from '../state/index.js';
import type {
  BackendServerId,
  Failure,
  KeptAnswer,
  MemberPhase,
  ReplicaItem,
  ServiceName,
} from '../state/index.js';
import type { Result } from 'ts-results-es';
import { AgentLink } from './agentlinks.js';
import { keep, replay } from './answers.js';
import type { Answer, Reply } from './answers.js';
import { BackendPool } from './backends.js';
import type { RunHandle } from './backends.js';
import { fingerprintOf } from './bodies.js';
import { pause, systemClock } from './clocks.js';
import type { Clock } from './clocks.js';
import { ForwardClient } from './forwards.js';
import type { ForwardHandle } from './forwards.js';
import { GrantClient } from './headroom.js';
import type { Accepted, EntryAddresses, Incoming } from './incomings.js';
import type { Logger } from './logs.js';

/** Time between two ticks of the state machine, in milliseconds. */
const TICK_MS = 20;

/** Time between two reports to the agent, and two checks of backend servers, in milliseconds. */
const REPORT_MS = 500;

const HEALTH_MS = 1_000;

/** Time for which a caller's failure waits until a crash was reported, in milliseconds. */
const CRASH_REPORT_WAIT_MS = 300;

interface Exchange {
  readonly incoming: Incoming;
  readonly call: Call;
  resolve: ((reply: Reply) => void) | undefined;
  forward: ForwardHandle | undefined;
}

interface RunState {
  readonly ticket: Ticket;
  readonly handle: RunHandle;
}

export class EntryTask {
  readonly incarnation = Incarnation.parse(randomBytes(8).toString('hex'));

  readonly #cfg: EntryConfig;

  readonly #log: Logger;

  readonly #clock: Clock;

  readonly #machine: EntryMachine;

  readonly #exchanges = new Map<Ticket, Exchange>();

  readonly #runs = new Map<RunId, RunState>();

  readonly #pools = new Map<string, BackendPool>();

  readonly #forwards = new ForwardClient();

  readonly #grants: GrantClient;

  readonly #agent: AgentLink;

  readonly #ended = new AbortController();

  readonly #leaving = new Set<BackendServerId>();

  #planner: LookupPlanner;

  readonly #reportedSplits = new Map<string, string>();

  #crashReport: Promise<unknown> = Promise.resolve();

  #timers: NodeJS.Timeout[] = [];

  #addresses: EntryAddresses;

  #tickets = 0;

  #informed = false;

  #reportedDuties = '';

  constructor(cfg: EntryConfig, log: Logger, clock: Clock = systemClock) {
    this.#cfg = cfg;
    this.#log = log;
    this.#clock = clock;
    this.#agent = new AgentLink(cfg.agentAddress, cfg.id, log);
    this.#grants = new GrantClient(cfg.id, clock);
    this.#machine = new EntryMachine(
      { id: cfg.id, incarnation: this.incarnation, failureDomain: cfg.failureDomain },
      Math.random,
      clock(),
    );
    this.#planner = new LookupPlanner(this.#machine.view, []);
    this.#addresses = { callerAddress: cfg.callerAddress, peerAddress: cfg.peerAddress };
  }

  get machine(): EntryMachine {
    return this.#machine;
  }

  /** Whether settings and members are known and it takes new work. */
  get ready(): boolean {
    return this.#informed && this.#machine.view.fleet !== undefined && !this.#machine.stopping;
  }

  /** @param addresses - where it listens for callers and for other entry VMs. */
  start(addresses: EntryAddresses): void {
    this.#addresses = addresses;
    this.#timers = [
      setInterval(() => this.#feed({ type: 'tick' }), TICK_MS),
      setInterval(() => this.#report(), REPORT_MS),
      setInterval(() => this.#checkServers(), HEALTH_MS),
    ];
    this.#agent.follow((update) => this.#learn(update), this.#ended.signal);
  }

  /** Stops gracefully: resolves when work has ended and records were kept long enough. */
  async stop(): Promise<void> {
    this.#log('processStopping', { inFlight: this.#machine.load });
    this.#feed({ type: 'stop' });
    await this.#report();
    await pause(this.#cfg.stopMs);
    while (this.#machine.load > 0) {
      await pause(TICK_MS);
    }
    this.#timers.forEach((timer) => clearInterval(timer));
    this.#ended.abort();
    this.#pools.forEach((pool) => pool.close());
    this.#forwards.close();
    this.#log('processStopped');
  }

  /** Answers a look-up for a caller's address. */
  lookup(address: string): Result<LookupAnswer, 'no_entry_vm'> {
    const home = this.#machine.view.homeOf(address) ?? this.#cfg.failureDomain;
    return this.#planner.plan(address, home);
  }

  /** Takes a request in. */
  accept(incoming: Incoming): Accepted {
    this.#tickets += 1;
    const ticket = String(this.#tickets) as Ticket;
    const call = this.#callOf(ticket, incoming);
    const order = incoming.forwarded?.order;
    const reply = new Promise<Reply>((resolve) => {
      this.#exchanges.set(ticket, { incoming, call, resolve, forward: undefined });
    });
    const event: EntryEvent =
      order === undefined
        ? { type: 'call', call, fromPeer: incoming.forwarded !== undefined }
        : { type: 'dispatch', call, order };
    this.#feed(event);
    return {
      reply,
      cancel: () => this.#feed({ type: 'cancelled', ticket }),
      load: () => (order === undefined ? undefined : this.#machine.loadOf(order, call)),
    };
  }

  /** Logs that a request ends without an answer. */
  noteFailure(service: ServiceName | undefined, failure: Failure): void {
    const event = failure.outcome === 'unknown' ? 'requestUnknown' : 'requestNotRun';
    this.#log(event, { service, code: failure.code });
  }

  /** Grants headroom to another entry VM. */
  grant(ask: Omit<Extract<EntryEvent, { type: 'grantAsked' }>, 'type' | 'askId'>): number {
    let granted = 0;
    const event: EntryEvent = { type: 'grantAsked', askId: 'direct', ...ask };
    this.#machine.handle(event, this.#clock()).forEach((effect) => {
      if (effect.type === 'grant') granted = effect.slots;
      else this.#perform(effect);
    });
    return granted;
  }

  #callOf(ticket: Ticket, incoming: Incoming): Call {
    const { service, method, url, body, caller, requestId, forwarded } = incoming;
    return {
      ticket,
      service,
      method,
      path: url.split('?')[0] ?? url,
      caller,
      requestId,
      fingerprint: forwarded?.fingerprint ?? fingerprintOf(method, `/${service}${url}`, body),
      leftMs: incoming.leftMs,
      home: this.#machine.view.homeOf(caller),
      replayable: body.rest === undefined,
    };
  }

  #feed(event: EntryEvent): void {
    this.#machine.handle(event, this.#clock()).forEach((effect) => this.#perform(effect));
  }

  #perform(effect: EntryEffect): void {
    switch (effect.type) {
      case 'run':
        this.#run(effect);
        break;
      case 'stopRun':
        this.#runs.get(effect.runId)?.handle.stop();
        break;
      case 'relay':
        this.#relay(effect.runId);
        break;
      case 'probe':
        this.#probe(effect);
        break;
      case 'forward':
        this.#forward(effect);
        break;
      case 'stopForward':
        this.#exchanges.get(effect.ticket)?.forward?.stop();
        break;
      case 'fail':
        this.#fail(effect);
        break;
      case 'replay':
        this.#settle(effect.ticket, { type: 'answer', answer: replay(effect.answer) });
        break;
      case 'askGrant':
        this.#grants.ask(effect, (event) => this.#feed(event));
        break;
      case 'grant':
        break;
      case 'reportCrashes':
        this.#reportCrashes(effect.items);
        break;
      default:
        effect satisfies never;
    }
  }

  #run(effect: Extract<EntryEffect, { type: 'run' }>): void {
    const { runId, ticket } = effect;
    const exchange = this.#exchanges.get(ticket);
    const pool = this.#pool(effect.service, effect.server);
    if (exchange === undefined || pool === undefined) {
      const event = {
        type: 'runFinished',
        runId,
        ticket,
        result: { type: 'unreachable' },
      } as const;
      queueMicrotask(() => this.#feed(event));
      return;
    }
    const { incoming } = exchange;
    const handle = pool.run(
      { ...incoming, idempotent: effect.idempotent, leftMs: effect.leftMs },
      {
        onBegun: () => this.#feed({ type: 'runBegun', runId }),
        onFinished: (result, whole) => {
          const answer = effect.keep && whole !== undefined ? keep(whole) : undefined;
          this.#runs.delete(runId);
          if (result.type === 'lost' && result.crashed) {
            this.#log('backendCrashed', { server: effect.server, url: incoming.url });
          }
          queueMicrotask(() => this.#feed({ type: 'runFinished', runId, ticket, result, answer }));
        },
      },
    );
    this.#runs.set(runId, { ticket, handle });
  }

  async #relay(runId: RunId): Promise<void> {
    const run = this.#runs.get(runId);
    const answer = await run?.handle.relay();
    if (run === undefined || answer === undefined) return;
    this.#settle(run.ticket, { type: 'answer', answer });
  }

  async #probe(effect: Extract<EntryEffect, { type: 'probe' }>): Promise<void> {
    const health = await this.#pool(effect.service, effect.server)?.health();
    const alive = health !== undefined && health !== 'unreachable';
    this.#feed({ type: 'probed', runId: effect.runId, alive });
  }

  #forward(effect: Extract<EntryEffect, { type: 'forward' }>): void {
    const { ticket, order } = effect;
    const exchange = this.#exchanges.get(ticket);
    if (exchange === undefined) return;
    const { incoming, call } = exchange;
    let kept: KeptAnswer | undefined;
    exchange.forward = this.#forwards.forward(
      {
        to: effect.to.peerAddress,
        url: `/v1/call/${incoming.service}${incoming.url}`,
        method: incoming.method,
        headers: incoming.headers,
        body: incoming.body,
        caller: incoming.caller,
        fingerprint: call.fingerprint,
        leftMs: effect.leftMs,
        order,
      },
      {
        onAnswer: (answer: Answer) => {
          if (effect.keep) kept = keep(answer);
          this.#settle(ticket, { type: 'answer', answer });
        },
        onFinished: (result, load, bytes) => {
          const ended = result.type === 'answered' ? { ...result, answer: kept } : result;
          const event = { type: 'forwardFinished', ticket, result: ended, load, bytes } as const;
          queueMicrotask(() => this.#feed(event));
        },
      },
    );
  }

  async #fail(effect: Extract<EntryEffect, { type: 'fail' }>): Promise<void> {
    const { ticket, failure } = effect;
    if (failure.code === 'backend_crashed') {
      await Promise.race([this.#crashReport, pause(CRASH_REPORT_WAIT_MS)]);
    }
    this.noteFailure(this.#exchanges.get(ticket)?.call.service, failure);
    this.#settle(ticket, { type: 'failure', failure });
  }

  /** Gives a request its end. An answer that nobody waits for is read to its end all the same. */
  #settle(ticket: Ticket, reply: Reply): void {
    const exchange = this.#exchanges.get(ticket);
    if (exchange?.resolve !== undefined) {
      exchange.resolve(reply);
      exchange.resolve = undefined;
    } else if (reply.type === 'answer' && !Buffer.isBuffer(reply.answer.body)) {
      reply.answer.body.resume();
    }
    this.#sweep(ticket);
  }

  /** Forgets an exchange once the machine has. */
  #sweep(ticket: Ticket): void {
    queueMicrotask(() => {
      if (!this.#machine.knows(ticket)) this.#exchanges.delete(ticket);
    });
  }

  #pool(service: ServiceName, server: BackendServerId): BackendPool | undefined {
    const address = this.#machine.view.backendServer(service, server)?.address;
    if (address === undefined) return undefined;
    const pool = this.#pools.get(address) ?? new BackendPool(address, this.#clock);
    this.#pools.set(address, pool);
    return pool;
  }

  /** Asks every server dispatched to from here whether it is leaving. */
  #checkServers(): void {
    const mine = new Set(this.#machine.dispatching());
    this.#machine.view.services.forEach((service) => {
      service.backendServers
        .filter((server) => mine.has(server.id))
        .forEach(async (server) => {
          const health = await this.#pool(service.name, server.id)?.health();
          if (health === undefined || health === 'unreachable') return;
          this.#noteLeaving(server.id, health === 'draining');
        });
    });
    this.#exchanges.forEach((_, ticket) => this.#sweep(ticket));
  }

  #noteLeaving(server: BackendServerId, leaving: boolean): void {
    if (this.#leaving.has(server) === leaving) return;
    if (leaving) this.#leaving.add(server);
    else this.#leaving.delete(server);
    this.#log(leaving ? 'backendLeaving' : 'backendReturned', { server });
    this.#feed({ type: 'serverSign', server, leaving });
  }

  #learn(update: AgentUpdate): void {
    if (!this.#informed) this.#log('agentFound');
    if (update.type === 'members') {
      this.#feed({ type: 'members', members: update.members });
      this.#informed = true;
    } else {
      update.items.forEach((item) => this.#feed({ type: 'item', item }));
    }
    this.#planner = new LookupPlanner(this.#machine.view, this.#machine.members);
    this.#reportChangedDuties();
  }

  get #phase(): MemberPhase {
    if (this.#machine.stopping) return 'stopping';
    return this.#informed ? 'serving' : 'starting';
  }

  /** Reports at once when others wait for it: servers taken over or given up, another phase. */
  #reportChangedDuties(): void {
    const duties = `${this.#phase} ${this.#machine.dispatching().join(' ')}`;
    if (duties === this.#reportedDuties) return;
    this.#reportedDuties = duties;
    this.#report();
  }

  async #report(): Promise<void> {
    const { nowMs, wallMs } = this.#clock();
    this.#agent.queue(this.#changedSplits(wallMs));
    await this.#agent.report({
      incarnation: this.incarnation,
      phase: this.#phase,
      epoch: this.#machine.epoch(nowMs),
      ...this.#addresses,
      dispatching: [...this.#machine.dispatching()],
    });
  }

  #changedSplits(wallMs: number): readonly ReplicaItem[] {
    return this.#machine.splits().flatMap((report) => {
      const key = `${report.service}|${report.home}`;
      const text = JSON.stringify(report.split);
      const known = this.#reportedSplits.get(key);
      if (known === text || (known === undefined && report.split.length === 1)) return [];
      this.#reportedSplits.set(key, text);
      return [splitItem(report, wallMs)];
    });
  }

  #reportCrashes(items: readonly ReplicaItem[]): void {
    this.#agent.queue(items);
    this.#crashReport = this.#report();
  }
}
