/** Runs an entry's state machine: carries out its effects as I/O, and feeds I/O back as events. */
import { randomBytes } from 'node:crypto';
import { EntryMachine, LookupPlanner, createSplitItem } from '../coordination/index.js';
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
import { toKeptAnswer, fromKeptAnswer } from './relayedresponses.js';
import type { RelayedResponse, RequestResult } from './relayedresponses.js';
import { BackendPool } from './backendpools.js';
import type { RunHandle } from './backendpools.js';
import { fingerprintOf } from './requestbodies.js';
import { pause, systemClock } from './clocks.js';
import type { Clock } from './clocks.js';
import { ForwardClient } from './forwardclients.js';
import type { ForwardHandle } from './forwardclients.js';
import { GrantClient } from './grantclients.js';
import type { AcceptedRequest, EntryAddresses, IncomingRequest } from './incomingrequests.js';
import type { Logger } from './logs.js';

/** Interval between ticks of the state machine, in milliseconds. */
const TICK_INTERVAL_MS = 20;

/** Interval between periodic reports to the agent, in milliseconds. */
const REPORT_INTERVAL_MS = 500;

/** Interval between health checks of backend servers, in milliseconds. */
const HEALTH_CHECK_INTERVAL_MS = 1_000;

/** Maximum time a failure response waits for the crash report to be sent, in milliseconds. */
const CRASH_REPORT_WAIT_MS = 300;

interface PendingRequest {
  readonly incoming: IncomingRequest;
  readonly call: Call;
  resolve: ((result: RequestResult) => void) | undefined;
  forward: ForwardHandle | undefined;
}

interface ActiveRun {
  readonly ticket: Ticket;
  readonly handle: RunHandle;
}

export class EntryTask {
  readonly incarnation = Incarnation.parse(randomBytes(8).toString('hex'));

  readonly #cfg: EntryConfig;

  readonly #log: Logger;

  readonly #clock: Clock;

  readonly #machine: EntryMachine;

  readonly #pendingRequests = new Map<Ticket, PendingRequest>();

  readonly #runs = new Map<RunId, ActiveRun>();

  readonly #pools = new Map<string, BackendPool>();

  readonly #forwardClient = new ForwardClient();

  readonly #grantClient: GrantClient;

  readonly #agentLink: AgentLink;

  readonly #stopController = new AbortController();

  readonly #leavingServers = new Set<BackendServerId>();

  #planner: LookupPlanner;

  readonly #reportedSplits = new Map<string, string>();

  #crashReport: Promise<unknown> = Promise.resolve();

  #timers: NodeJS.Timeout[] = [];

  #addresses: EntryAddresses;

  #lastTicket = 0;

  #membersReceived = false;

  #lastReportedState = '';

  constructor(cfg: EntryConfig, log: Logger, clock: Clock = systemClock) {
    this.#cfg = cfg;
    this.#log = log;
    this.#clock = clock;
    this.#agentLink = new AgentLink(cfg.agentAddress, cfg.id, log);
    this.#grantClient = new GrantClient(cfg.id, clock);
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

  /** Whether settings and members are known and new requests are accepted. */
  get ready(): boolean {
    return (
      this.#membersReceived && this.#machine.view.fleet !== undefined && !this.#machine.stopping
    );
  }

  /** @param addresses - the listen addresses for callers and for other entry VMs. */
  start(addresses: EntryAddresses): void {
    this.#addresses = addresses;
    this.#timers = [
      setInterval(() => this.#handleEvent({ type: 'tick' }), TICK_INTERVAL_MS),
      setInterval(() => this.#report(), REPORT_INTERVAL_MS),
      setInterval(() => this.#checkServerHealth(), HEALTH_CHECK_INTERVAL_MS),
    ];
    this.#agentLink.subscribe((update) => this.#applyUpdate(update), this.#stopController.signal);
  }

  /**
   * Stops gracefully. Waits at least `stopMs`, so that records stay available, and until no request is in
   * flight.
   */
  async stop(): Promise<void> {
    this.#log('processStopping', { inFlight: this.#machine.inFlight });
    this.#handleEvent({ type: 'stop' });
    await this.#report();
    await pause(this.#cfg.stopMs);
    while (this.#machine.inFlight > 0) {
      await pause(TICK_INTERVAL_MS);
    }
    this.#timers.forEach((timer) => clearInterval(timer));
    this.#stopController.abort();
    this.#pools.forEach((pool) => pool.close());
    this.#forwardClient.close();
    this.#log('processStopped');
  }

  /** Plans the entry VMs for a caller's address. */
  lookup(address: string): Result<LookupAnswer, 'no_entry_vm'> {
    const home = this.#machine.view.homeDomainOf(address) ?? this.#cfg.failureDomain;
    return this.#planner.plan(address, home);
  }

  /** Accepts a request and starts to handle it. */
  accept(incoming: IncomingRequest): AcceptedRequest {
    this.#lastTicket += 1;
    const ticket = String(this.#lastTicket) as Ticket;
    const call = this.#toCall(ticket, incoming);
    const order = incoming.forwarded?.order;
    const result = new Promise<RequestResult>((resolve) => {
      this.#pendingRequests.set(ticket, { incoming, call, resolve, forward: undefined });
    });
    const event: EntryEvent =
      order === undefined
        ? { type: 'call', call, fromPeer: incoming.forwarded !== undefined }
        : { type: 'dispatch', call, order };
    this.#handleEvent(event);
    return {
      result,
      cancel: () => this.#handleEvent({ type: 'cancelled', ticket }),
      load: () => (order === undefined ? undefined : this.#machine.loadOf(order, call)),
    };
  }

  /** Logs a request that ends without a response. */
  logFailure(service: ServiceName | undefined, failure: Failure): void {
    const event = failure.outcome === 'unknown' ? 'requestUnknown' : 'requestNotRun';
    this.#log(event, { service, code: failure.code });
  }

  /** Grants headroom to another entry VM. */
  grantHeadroom(
    request: Omit<Extract<EntryEvent, { type: 'grantAsked' }>, 'type' | 'askId'>,
  ): number {
    let granted = 0;
    const event: EntryEvent = { type: 'grantAsked', askId: 'direct', ...request };
    this.#machine.handle(event, this.#clock()).forEach((effect) => {
      if (effect.type === 'grant') granted = effect.slots;
      else this.#performEffect(effect);
    });
    return granted;
  }

  #toCall(ticket: Ticket, incoming: IncomingRequest): Call {
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
      home: this.#machine.view.homeDomainOf(caller),
      replayable: body.rest === undefined,
    };
  }

  #handleEvent(event: EntryEvent): void {
    this.#machine.handle(event, this.#clock()).forEach((effect) => this.#performEffect(effect));
  }

  #performEffect(effect: EntryEffect): void {
    switch (effect.type) {
      case 'run':
        this.#startRun(effect);
        break;
      case 'stopRun':
        this.#runs.get(effect.runId)?.handle.stop();
        break;
      case 'relay':
        this.#relayResponse(effect.runId);
        break;
      case 'probe':
        this.#probeServer(effect);
        break;
      case 'forward':
        this.#forwardRequest(effect);
        break;
      case 'stopForward':
        this.#pendingRequests.get(effect.ticket)?.forward?.stop();
        break;
      case 'fail':
        this.#failRequest(effect);
        break;
      case 'replay':
        this.#complete(effect.ticket, { type: 'answer', response: fromKeptAnswer(effect.answer) });
        break;
      case 'askGrant':
        this.#grantClient.requestGrant(effect, (event) => this.#handleEvent(event));
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

  #startRun(effect: Extract<EntryEffect, { type: 'run' }>): void {
    const { runId, ticket } = effect;
    const request = this.#pendingRequests.get(ticket);
    const pool = this.#poolFor(effect.service, effect.server);
    if (request === undefined || pool === undefined) {
      const event = {
        type: 'runFinished',
        runId,
        ticket,
        result: { type: 'unreachable' },
      } as const;
      queueMicrotask(() => this.#handleEvent(event));
      return;
    }
    const { incoming } = request;
    const handle = pool.run(
      { ...incoming, idempotent: effect.idempotent, leftMs: effect.leftMs },
      {
        onResponseStarted: () => this.#handleEvent({ type: 'runBegun', runId }),
        onFinished: (result, response) => {
          const keptAnswer =
            effect.keepResponse && response !== undefined ? toKeptAnswer(response) : undefined;
          this.#runs.delete(runId);
          if (result.type === 'lost' && result.crashed) {
            this.#log('backendCrashed', { server: effect.server, url: incoming.url });
          }
          queueMicrotask(() =>
            this.#handleEvent({ type: 'runFinished', runId, ticket, result, answer: keptAnswer }),
          );
        },
      },
    );
    this.#runs.set(runId, { ticket, handle });
  }

  async #relayResponse(runId: RunId): Promise<void> {
    const run = this.#runs.get(runId);
    const response = await run?.handle.relay();
    if (run === undefined || response === undefined) return;
    this.#complete(run.ticket, { type: 'answer', response });
  }

  async #probeServer(effect: Extract<EntryEffect, { type: 'probe' }>): Promise<void> {
    const health = await this.#poolFor(effect.service, effect.server)?.health();
    const alive = health !== undefined && health !== 'unreachable';
    this.#handleEvent({ type: 'probed', runId: effect.runId, alive });
  }

  #forwardRequest(effect: Extract<EntryEffect, { type: 'forward' }>): void {
    const { ticket, order } = effect;
    const request = this.#pendingRequests.get(ticket);
    if (request === undefined) return;
    const { incoming, call } = request;
    let keptAnswer: KeptAnswer | undefined;
    request.forward = this.#forwardClient.forward(
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
        onResponse: (response: RelayedResponse) => {
          if (effect.keepResponse) keptAnswer = toKeptAnswer(response);
          this.#complete(ticket, { type: 'answer', response });
        },
        onFinished: (result, load, bytes) => {
          const resultWithAnswer =
            result.type === 'answered' ? { ...result, answer: keptAnswer } : result;
          const event = {
            type: 'forwardFinished',
            ticket,
            result: resultWithAnswer,
            load,
            bytes,
          } as const;
          queueMicrotask(() => this.#handleEvent(event));
        },
      },
    );
  }

  async #failRequest(effect: Extract<EntryEffect, { type: 'fail' }>): Promise<void> {
    const { ticket, failure } = effect;
    if (failure.code === 'backend_crashed') {
      await Promise.race([this.#crashReport, pause(CRASH_REPORT_WAIT_MS)]);
    }
    this.logFailure(this.#pendingRequests.get(ticket)?.call.service, failure);
    this.#complete(ticket, { type: 'failure', failure });
  }

  /** Completes a request. A response that nobody waits for is still read to its end. */
  #complete(ticket: Ticket, result: RequestResult): void {
    const request = this.#pendingRequests.get(ticket);
    if (request?.resolve !== undefined) {
      request.resolve(result);
      request.resolve = undefined;
    } else if (result.type === 'answer' && !Buffer.isBuffer(result.response.body)) {
      result.response.body.resume();
    }
    this.#deleteWhenDone(ticket);
  }

  /** Deletes a pending request once the state machine no longer has it. */
  #deleteWhenDone(ticket: Ticket): void {
    queueMicrotask(() => {
      if (!this.#machine.hasCall(ticket)) this.#pendingRequests.delete(ticket);
    });
  }

  #poolFor(service: ServiceName, server: BackendServerId): BackendPool | undefined {
    const address = this.#machine.view.backendServer(service, server)?.address;
    if (address === undefined) return undefined;
    const pool = this.#pools.get(address) ?? new BackendPool(address, this.#clock);
    this.#pools.set(address, pool);
    return pool;
  }

  /** Checks the health of every backend server that this entry VM dispatches to. */
  #checkServerHealth(): void {
    const dispatchedServers = new Set(this.#machine.dispatching());
    this.#machine.view.services.forEach((service) => {
      service.backendServers
        .filter((server) => dispatchedServers.has(server.id))
        .forEach(async (server) => {
          const health = await this.#poolFor(service.name, server.id)?.health();
          if (health === undefined || health === 'unreachable') return;
          this.#setServerLeaving(server.id, health === 'draining');
        });
    });
    this.#pendingRequests.forEach((_, ticket) => this.#deleteWhenDone(ticket));
  }

  #setServerLeaving(server: BackendServerId, leaving: boolean): void {
    if (this.#leavingServers.has(server) === leaving) return;
    if (leaving) this.#leavingServers.add(server);
    else this.#leavingServers.delete(server);
    this.#log(leaving ? 'backendLeaving' : 'backendReturned', { server });
    this.#handleEvent({ type: 'serverSign', server, leaving });
  }

  #applyUpdate(update: AgentUpdate): void {
    if (!this.#membersReceived) this.#log('agentFound');
    if (update.type === 'members') {
      this.#handleEvent({ type: 'members', members: update.members });
      this.#membersReceived = true;
    } else {
      update.items.forEach((item) => this.#handleEvent({ type: 'item', item }));
    }
    this.#planner = new LookupPlanner(this.#machine.view, this.#machine.members);
    this.#reportIfStateChanged();
  }

  get #phase(): MemberPhase {
    if (this.#machine.stopping) return 'stopping';
    return this.#membersReceived ? 'serving' : 'starting';
  }

  /** Reports at once when the phase or dispatched servers change: other entry VMs wait for it. */
  #reportIfStateChanged(): void {
    const state = `${this.#phase} ${this.#machine.dispatching().join(' ')}`;
    if (state === this.#lastReportedState) return;
    this.#lastReportedState = state;
    this.#report();
  }

  async #report(): Promise<void> {
    const { nowMs, wallMs } = this.#clock();
    this.#agentLink.queueItems(this.#changedSplits(wallMs));
    await this.#agentLink.report({
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
      const current = JSON.stringify(report.split);
      const reported = this.#reportedSplits.get(key);
      if (reported === current || (reported === undefined && report.split.length === 1)) return [];
      this.#reportedSplits.set(key, current);
      return [createSplitItem(report, wallMs)];
    });
  }

  #reportCrashes(items: readonly ReplicaItem[]): void {
    this.#agentLink.queueItems(items);
    this.#crashReport = this.#report();
  }
}
