/** Carries callers' requests to backend servers and their answers back. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Waitlist, afterAttempt } from '../coordination/index.js';
import type {
  AttemptEnd,
  FleetView,
  PlaceOutcome,
  Placement,
  Placer,
  RepeatBudget,
} from '../coordination/index.js';
import { endToEnd, statusOf } from '../protocol/index.js';
import type { Dialect } from '../protocol/index.js';
import { asUnknown, notRun, unknown } from '../state/index.js';
import type { Failure, NotRunCode } from '../state/index.js';
import { Admissions } from './admissions.js';
import type { Admission } from './admissions.js';
import { readWhole } from './bodies.js';
import { writeAnswer, writeFailure } from './callerreplies.js';
import type { Clock } from './clocks.js';
import { exchangeOf, isOwnFailure, judge, routeOf, runEndOf } from './exchanges.js';
import type { Arrival, Exchange, Try } from './exchanges.js';
import type { LogDetails, Logger } from './logs.js';
import type { NodeMetrics } from './nodemetrics.js';
import type { UpstreamPool } from './pools.js';
import type { UpstreamAnswer, UpstreamEnd } from './upstreams.js';

/** Time between two offers to waiting requests, in milliseconds. */
const TICK_MS = 25;

/** Requests that may wait for room in this entry VM. */
const MAX_WAITING = 200;

/** Time for callers that state no deadline on a route without a timeout, in milliseconds. */
const DEFAULT_LEFT_MS = 10_000;

/** Pause that a caller is asked for at least, and its random part, in milliseconds. */
const RETRY_AFTER_MS = 200;
const RETRY_AFTER_JITTER_MS = 400;

/** Characters of a caller's own text that a log line holds. */
const MAX_LOGGED = 120;

export interface CarrierOptions {
  readonly view: FleetView;
  readonly placer: Placer;
  readonly budget: RepeatBudget;
  readonly pool: UpstreamPool;
  readonly dialect: Dialect;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: NodeMetrics;
  /** Entry VMs that may be repeating work. */
  readonly entryVms: () => number;
  /** Whether this entry VM takes no more connections. */
  readonly stopping: () => boolean;
  /** When requests that begin now must have ended, monotonic, in ms; infinite while it goes on. */
  readonly mustEndMs: () => number;
}

export class Carrier {
  readonly #options: CarrierOptions;

  readonly #waitlist = new Waitlist<Exchange>();

  readonly #admissions: Admissions;

  #inFlight = 0;

  #timer: NodeJS.Timeout | undefined;

  constructor(options: CarrierOptions) {
    this.#options = options;
    this.#admissions = new Admissions(options.clock);
  }

  get inFlight(): number {
    return this.#inFlight;
  }

  /** Takes a caller's request. */
  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { view, dialect, log } = this.#options;
    const fields = dialect.readCaller(req.headers);
    const arrivedMs = this.#now();
    const { plan } = view;
    const refuse = (code: NotRunCode, details: LogDetails = {}): void => {
      this.#fail(res, notRun(code), RETRY_AFTER_MS);
      log('requestNotRun', { request: fields.requestId, code, ...details });
    };
    if (plan === undefined || !view.informed) {
      refuse('no_settings');
      return;
    }
    const route = routeOf(view, req);
    const service = route === undefined ? undefined : view.nextService(route);
    if (route === undefined || service === undefined) {
      req.resume();
      refuse('unknown_service', {
        plan: plan.version,
        host: req.headers.host?.slice(0, MAX_LOGGED),
        path: req.url?.slice(0, MAX_LOGGED),
      });
      return;
    }
    const leftMs = Math.min(fields.leftMs ?? DEFAULT_LEFT_MS, route.timeoutMs);
    if (arrivedMs + leftMs > this.#options.mustEndMs()) {
      req.resume();
      refuse('stopping', { leftMs });
      return;
    }
    this.#options.budget.requested(service, arrivedMs);
    const read = await readWhole(req, plan.limits.maxBodyBytes, leftMs);
    if (read.type !== 'whole') {
      // What is left of the body would be taken for the next request.
      if (read.type !== 'left') res.setHeader('connection', 'close');
      if (read.type === 'too_large') this.#fail(res, notRun('too_large'));
      if (read.type === 'late') refuse('deadline', { leftMs });
      return;
    }
    const start = { req, res, fields, route, service, body: read.body, arrivedMs };
    if (this.#admissions.admits(route.priority)) {
      await this.#admissions.admit(req, route.priority, (turn) => this.#admitted(start, turn));
    } else this.#refuseShort(start, { queuedForProcessor: this.#admissions.size });
  }

  /** A request has its turn, or has none any more. */
  #admitted(start: Arrival, { type, waitedMs }: Admission): void {
    const { fields, service, route, arrivedMs } = start;
    if (type === 'admitted') this.#begin(start, waitedMs);
    else if (type === 'late') this.#refuseShort(start, { unreadMs: Math.round(waitedMs) });
    else {
      this.#options.metrics.ended(service, route.priority, 'cancelled', this.#now() - arrivedMs);
      this.#options.log('requestAbandoned', { request: fields.requestId, running: false });
    }
  }

  /**
   * Refuses a request for which the processor has no time. Its connection is closed: requests on open
   * connections are read before new callers are accepted, and would keep them waiting.
   */
  #refuseShort({ res, fields, service, route, arrivedMs }: Arrival, details: LogDetails): void {
    const { metrics, log } = this.#options;
    res.setHeader('connection', 'close');
    this.#fail(res, notRun('overloaded'), RETRY_AFTER_MS);
    metrics.ended(service, route.priority, 'overloaded', this.#now() - arrivedMs);
    log('requestNotRun', { request: fields.requestId, code: 'overloaded', ...details });
  }

  /** Offers room to those that wait; again after a while as long as there are any. */
  tick(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#waitlist.offer((exchange) => {
      if (!exchange.ended) this.#place(exchange);
      return exchange.ended || !exchange.waiting;
    });
    this.#tickLater();
  }

  #tickLater(): void {
    if (this.#waitlist.size === 0 || this.#timer !== undefined) return;
    this.#timer = setTimeout(() => this.tick(), TICK_MS);
  }

  /** @param unreadMs - time for which it waited here: about as long as it had been unread before. */
  #begin(start: Arrival, unreadMs: number): void {
    const { route, fields, arrivedMs, res } = start;
    const leftMs = Math.min(fields.leftMs ?? DEFAULT_LEFT_MS, route.timeoutMs) - unreadMs;
    const exchange = exchangeOf(start, arrivedMs + leftMs);
    this.#inFlight += 1;
    const { placer } = this.#options;
    const key = route.affinity ? fields.affinityKey : undefined;
    if (key !== undefined) placer.arrived(route, key, arrivedMs);
    exchange.timer = setTimeout(() => this.#expire(exchange), exchange.endsMs - this.#now());
    res.once('close', () => this.#gone(exchange));
    this.#place(exchange);
  }

  #place(exchange: Exchange): void {
    const { route, service, fields, arrivedMs, tried, runs } = exchange;
    const nowMs = this.#now();
    const outcome = this.#options.placer.place(
      {
        route,
        service,
        key: route.affinity ? fields.affinityKey : undefined,
        waitedMs: nowMs - arrivedMs,
        leftMs: exchange.endsMs - nowMs,
        repeated: exchange.tries > 0,
        tried,
        mayReuse: runs === 0 || route.idempotent,
      },
      nowMs,
    );
    if (outcome.type === 'place') this.#send(exchange, outcome.placement);
    else this.#notPlaced(exchange, outcome);
  }

  #notPlaced(exchange: Exchange, outcome: Exclude<PlaceOutcome, { type: 'place' }>): void {
    if (exchange.open.size > 0) return;
    if (outcome.type === 'wait' && exchange.waiting) return;
    if (outcome.type === 'wait' && this.#waitlist.size < MAX_WAITING) {
      exchange.waiting = true;
      this.#waitlist.add(exchange, exchange.route.priority);
      this.#tickLater();
      return;
    }
    const code = { wait: 'queue_full', late: 'overloaded', noServer: 'no_server' } as const;
    const failure = notRun(code[outcome.type]);
    const waitMs = outcome.type === 'late' ? outcome.waitMs : 0;
    this.#options.log('requestNotRun', {
      request: exchange.fields.requestId,
      code: failure.code,
      waitMs: Math.round(waitMs),
      expectedMs: outcome.type === 'late' ? Math.round(outcome.expectedMs) : undefined,
      leftMs: Math.round(exchange.endsMs - this.#now()),
      waiting: this.#waitlist.size,
    });
    if (exchange.failure !== undefined) this.#deliver(exchange, exchange.failure);
    else this.#finish(exchange, exchange.runs > 0 ? asUnknown(failure) : failure, waitMs);
  }

  #send(exchange: Exchange, placement: Placement): void {
    const { req, route, fields, body } = exchange;
    const { dialect, placer, pool, clock } = this.#options;
    const { record } = placement.server;
    const { nowMs } = clock();
    const attempt: Try = { placement, startedMs: nowMs, call: undefined, slow: undefined };
    exchange.waiting = false;
    exchange.tries += 1;
    exchange.runs += 1;
    exchange.tried.add(record.id);
    exchange.open.add(attempt);
    placer.load(record.id).sent();
    const headers = { ...endToEnd(req.headers) };
    delete headers['content-length'];
    Object.assign(headers, dialect.serverHeaders(record.id, exchange.endsMs - nowMs));
    this.#options.log('requestPlaced', {
      request: fields.requestId,
      key: fields.affinityKey,
      server: record.id,
      domain: record.failureDomain,
      warm: placement.warm,
      occupancy: Number(placer.load(record.id).occupancy(nowMs).toFixed(1)),
      expectedMs: Math.round(placement.expectedMs),
      tries: exchange.tries,
      plan: this.#options.view.plan?.version,
    });
    attempt.call = pool.get(placement.server).send(
      {
        method: req.method ?? 'GET',
        path: req.url ?? '/',
        headers,
        body: body !== undefined && body.length > 0 ? body : undefined,
        repeatable: route.idempotent,
      },
      (end) => this.#tryEnded(exchange, attempt, end),
    );
    if (route.idempotent) this.#watchSlow(exchange, attempt);
  }

  /** Tries idempotent work elsewhere as well when it takes much longer than expected. */
  #watchSlow(exchange: Exchange, attempt: Try): void {
    const { route } = exchange;
    attempt.slow = setTimeout(() => {
      if (exchange.ended || !exchange.open.has(attempt)) return;
      if (exchange.runs >= route.maxAttempts || exchange.open.size > 1) return;
      this.#again(exchange, 'slow');
    }, attempt.placement.slowMs);
  }

  /** Repeats a request if the budget allows it. */
  #again(exchange: Exchange, reason: string): boolean {
    const { service, fields } = exchange;
    const allowed = this.#options.budget.take(service, this.#options.entryVms(), this.#now());
    this.#options.log('requestRepeated', {
      request: fields.requestId,
      reason,
      allowed,
      tries: exchange.tries,
    });
    if (allowed) this.#place(exchange);
    return allowed;
  }

  #tryEnded(exchange: Exchange, attempt: Try, end: UpstreamEnd): void {
    clearTimeout(attempt.slow);
    exchange.open.delete(attempt);
    const nowMs = this.#now();
    const { record } = attempt.placement.server;
    const result = judge(this.#options.dialect, exchange.fields, end);
    const load = this.#options.placer.load(record.id);
    load.ended(runEndOf(result), nowMs);
    if (end.type === 'answered') this.#learn(exchange, attempt, end.answer, result, nowMs);
    if (end.type === 'unreachable') this.#options.pool.rest(record.id, end.reason);
    if (end.type === 'lost') {
      const request = exchange.fields.requestId;
      this.#options.log('answerLost', { request, server: record.id, reason: end.reason });
    }
    if (result.type === 'unreachable' || result.type === 'rejected') exchange.runs -= 1;
    if (!exchange.ended) this.#goOn(exchange, result, end);
    if (this.#waitlist.size > 0) this.tick();
  }

  #goOn(exchange: Exchange, result: AttemptEnd, end: UpstreamEnd): void {
    const { route, open, runs, tries } = exchange;
    const verdict = afterAttempt(result, {
      idempotent: route.idempotent,
      runs,
      tries,
      maxAttempts: route.maxAttempts,
      othersOpen: open.size > 0,
    });
    switch (verdict.type) {
      case 'deliver':
        if (end.type === 'answered') this.#deliver(exchange, end.answer);
        break;
      case 'again':
        if (!verdict.paid) this.#place(exchange);
        else {
          if (isOwnFailure(result) && end.type === 'answered') exchange.failure = end.answer;
          if (!this.#again(exchange, result.type)) this.#giveUp(exchange);
        }
        break;
      case 'wait':
        break;
      case 'notRun':
        this.#finish(exchange, notRun('overloaded'));
        break;
      case 'unknown':
        if (exchange.failure !== undefined) this.#deliver(exchange, exchange.failure);
        else this.#finish(exchange, unknown('connection_lost'));
        break;
      default:
        verdict satisfies never;
    }
  }

  /** Ends a request that would be repeated if the budget were not spent. */
  #giveUp(exchange: Exchange): void {
    if (exchange.open.size > 0) return;
    if (exchange.failure !== undefined) this.#deliver(exchange, exchange.failure);
    else
      this.#finish(
        exchange,
        exchange.runs === 0 ? notRun('overloaded') : unknown('connection_lost'),
      );
  }

  #learn(
    exchange: Exchange,
    attempt: Try,
    answer: UpstreamAnswer,
    result: AttemptEnd,
    nowMs: number,
  ): void {
    const { dialect, placer, view } = this.#options;
    const { placement, startedMs } = attempt;
    const { id } = placement.server.record;
    const said = dialect.readServer(answer.status, answer.headers);
    if (said.load !== undefined) placer.loads.reported(id, said.load, nowMs);
    if (said.otherServer) {
      this.#options.log('serverMisdirected', { server: id });
      view.removeServer(id, nowMs);
      this.#options.pool.forget(id);
      return;
    }
    if (result.type !== 'answered' || !result.genuine || answer.status >= 400) return;
    const key = exchange.fields.affinityKey;
    if (exchange.route.affinity && key !== undefined) {
      placer.handled(id, exchange.route, key, nowMs);
    }
    placer.learn(exchange.route, placement, nowMs - startedMs, answer.body.length, nowMs);
  }

  #deliver(exchange: Exchange, answer: UpstreamAnswer): void {
    const { res, req } = exchange;
    if (!this.#close(exchange, answer.status, undefined)) return;
    writeAnswer(req, res, answer, this.#options.stopping());
  }

  #finish(exchange: Exchange, failure: Failure, waitMs = 0): void {
    if (!this.#close(exchange, statusOf(failure), failure)) return;
    this.#fail(exchange.res, failure, Math.max(RETRY_AFTER_MS, waitMs));
  }

  /** Gives a request its final state; false if it has one. */
  #close(exchange: Exchange, status: number, failure: Failure | undefined): boolean {
    if (exchange.ended) return false;
    exchange.ended = true;
    this.#inFlight -= 1;
    clearTimeout(exchange.timer);
    if (exchange.waiting) this.#waitlist.remove(exchange);
    exchange.open.forEach((attempt) => this.#abandon(exchange, attempt));
    const tookMs = this.#now() - exchange.arrivedMs;
    const { service, route, fields } = exchange;
    this.#options.metrics.ended(service, route.priority, failure?.code ?? 'answered', tookMs);
    this.#options.log('requestEnded', {
      request: fields.requestId,
      service,
      route: route.name,
      status,
      code: failure?.code,
      timeoutMs: route.timeoutMs,
      servers: [...exchange.tried],
      tries: exchange.tries,
      mayHaveRun: exchange.runs > 0,
      tookMs: Math.round(tookMs),
      plan: this.#options.view.plan?.version,
    });
    return true;
  }

  #abandon(exchange: Exchange, attempt: Try): void {
    clearTimeout(attempt.slow);
    exchange.open.delete(attempt);
    attempt.call?.cancel();
    this.#options.placer.load(attempt.placement.server.record.id).ended('abandoned', this.#now());
  }

  /** The caller or the route gives up. */
  #expire(exchange: Exchange): void {
    this.#finish(exchange, exchange.runs > 0 ? unknown('deadline') : notRun('deadline'));
  }

  /** The caller has left. Work that must not be cut short runs on without it. */
  #gone(exchange: Exchange): void {
    if (exchange.ended) return;
    const running = exchange.open.size > 0 && !exchange.route.idempotent;
    this.#options.log('requestAbandoned', {
      request: exchange.fields.requestId,
      running,
    });
    if (!running) this.#close(exchange, 0, notRun('cancelled'));
  }

  #fail(res: ServerResponse, failure: Failure, waitMs = 0): void {
    const retryAfterMs = waitMs + Math.random() * RETRY_AFTER_JITTER_MS;
    writeFailure(res, failure, retryAfterMs, this.#options.stopping());
  }

  #now(): number {
    return this.#options.clock().nowMs;
  }
}
