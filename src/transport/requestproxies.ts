/** Reverse proxy of an entry VM: forwards callers' requests to backend servers and returns the responses. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Waitlist, decideAfterAttempt } from '../coordination/index.js';
import type {
  AttemptOutcome,
  ContentVerdict,
  FleetView,
  PlacementOutcome,
  Placement,
  Shutdown,
  LoadBalancer,
  RetryBudget,
} from '../coordination/index.js';
import { endToEndHeaders, httpStatusOf } from '../protocol/index.js';
import type { Dialect } from '../protocol/index.js';
import { toUnknownFailure, notRunFailure, unknownFailure } from '../state/index.js';
import type { Failure, NotRunCode } from '../state/index.js';
import { AdmissionController } from './admissions.js';
import type { AdmissionDecision } from './admissions.js';
import { readWholeBody } from './requestbodies.js';
import { writeFailure, writeResponse } from './callerresponses.js';
import type { Clock } from './clocks.js';
import type { CrashGuard } from './crashguards.js';
import {
  classifyEnd,
  createExchange,
  findRoute,
  fingerprintOfArrival,
  isServerFailure,
  toRunEnd,
} from './exchanges.js';
import type { Arrival, Attempt, Exchange } from './exchanges.js';
import type { LogDetails, Logger } from './logs.js';
import type { NodeMetrics } from './nodemetrics.js';
import type { NoticeRecorder } from './noticerecorders.js';
import type { UpstreamPool } from './pools.js';
import type { UpstreamEnd, UpstreamResponse } from './upstreams.js';

/** Interval at which waiting requests are placed again. */
const PLACEMENT_INTERVAL_MS = 25;

/** Maximum number of requests that wait in this entry VM for a backend server with capacity. */
const MAX_WAITING = 200;

/** Timeout of requests whose caller states no deadline; a shorter route timeout takes precedence. */
const DEFAULT_TIMEOUT_MS = 10_000;

/** Minimum `retry-after` of a response, and the random jitter added to it: the larger of the two. */
const MIN_RETRY_AFTER_MS = 200;
const RETRY_AFTER_JITTER_MS = 400;
const RETRY_AFTER_JITTER_RATIO = 0.25;

/** Maximum length of caller-supplied text in a log line. */
const MAX_LOGGED_CHARS = 120;

type RefusedContent = ContentVerdict & { readonly type: 'refuse' };

export interface RequestProxyOptions {
  readonly view: FleetView;
  readonly loadBalancer: LoadBalancer;
  readonly budget: RetryBudget;
  readonly pool: UpstreamPool;
  readonly crashGuard: CrashGuard;
  readonly noticeRecorder: NoticeRecorder;
  readonly dialect: Dialect;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: NodeMetrics;
  /** Number of entry VMs that share the retry budget. */
  readonly entryVms: () => number;
  /** While this entry VM shuts down, callers are told to close their connections. */
  readonly shutdown: Shutdown;
}

export class RequestProxy {
  readonly #options: RequestProxyOptions;

  readonly #waitlist = new Waitlist<Exchange>();

  readonly #admissionController: AdmissionController;

  readonly #exchanges = new Set<Exchange>();

  #placementTimer: NodeJS.Timeout | undefined;

  constructor(options: RequestProxyOptions) {
    this.#options = options;
    this.#admissionController = new AdmissionController(options.clock);
  }

  get inFlight(): number {
    return this.#exchanges.size;
  }

  /** Handles a caller's request until it is rejected or queued for admission. */
  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { view, dialect, log } = this.#options;
    const fields = dialect.parseCallerFields(req.headers);
    const arrivedMs = this.#now();
    const { plan } = view;
    const refuse = (code: NotRunCode, details: LogDetails = {}): void => {
      this.#sendFailure(res, notRunFailure(code), MIN_RETRY_AFTER_MS);
      log('requestNotRun', { request: fields.requestId, code, ...details });
    };
    if (plan === undefined || !view.initialized) {
      refuse('no_settings');
      return;
    }
    const route = findRoute(view, req);
    const service = route === undefined ? undefined : view.nextService(route);
    if (route === undefined || service === undefined) {
      req.resume();
      refuse('unknown_service', {
        plan: plan.version,
        host: req.headers.host?.slice(0, MAX_LOGGED_CHARS),
        path: req.url?.slice(0, MAX_LOGGED_CHARS),
      });
      return;
    }
    const leftMs = Math.min(fields.leftMs ?? DEFAULT_TIMEOUT_MS, route.timeoutMs);
    if (!this.#options.shutdown.mayAccept(leftMs, arrivedMs)) {
      req.resume();
      refuse('stopping', { leftMs });
      return;
    }
    this.#options.budget.recordRequest(service, arrivedMs);
    const bodyRead = await readWholeBody(req, plan.limits.maxBodyBytes, leftMs);
    if (bodyRead.type !== 'whole') {
      // The unread rest of the body would be parsed as the next request on the connection.
      if (bodyRead.type !== 'left') res.setHeader('connection', 'close');
      if (bodyRead.type === 'too_large') this.#sendFailure(res, notRunFailure('too_large'));
      if (bodyRead.type === 'late') refuse('deadline', { leftMs });
      return;
    }
    const { body } = bodyRead;
    const fingerprint = undefined;
    const arrival = { req, res, fields, route, service, body, arrivedMs, fingerprint };
    const verdict = this.#options.crashGuard.verdict(arrival);
    if (verdict.type === 'refuse') {
      this.#refuseSuspect(arrival, verdict);
      return;
    }
    if (this.#admissionController.canAdmit(route.priority)) {
      await this.#admissionController.admit(req, route.priority, (admission) =>
        this.#onAdmission(arrival, admission),
      );
    } else this.#shed(arrival, { queuedForProcessor: this.#admissionController.size });
  }

  /** Refuses a request whose content crashes backend servers. */
  #refuseSuspect(arrival: Arrival, { crashes, retryAfterMs }: RefusedContent): void {
    const { res, fields, service, route, arrivedMs } = arrival;
    const failure = notRunFailure('crash_suspect');
    this.#sendFailure(res, failure, Math.max(MIN_RETRY_AFTER_MS, retryAfterMs));
    const { metrics, log } = this.#options;
    metrics.observeRequest(service, route.priority, failure.code, this.#now() - arrivedMs);
    log('requestNotRun', {
      request: fields.requestId,
      code: failure.code,
      fingerprint: fingerprintOfArrival(arrival),
      crashes,
      retryAfterMs: Math.round(retryAfterMs),
    });
  }

  /** Starts a request that was admitted, or ends one that was not. */
  #onAdmission(arrival: Arrival, { type, waitedMs }: AdmissionDecision): void {
    const { fields, service, route, arrivedMs } = arrival;
    if (type === 'admitted') this.#startExchange(arrival, waitedMs);
    else if (type === 'late') this.#shed(arrival, { unreadMs: Math.round(waitedMs) });
    else {
      this.#options.metrics.observeRequest(
        service,
        route.priority,
        'cancelled',
        this.#now() - arrivedMs,
      );
      this.#options.log('requestAbandoned', { request: fields.requestId, running: false });
    }
  }

  /**
   * Sheds a request because this entry VM's CPU is overloaded. The connection is closed as well: requests
   * on open connections are read before new connections are accepted, so they would delay new callers.
   */
  #shed({ res, fields, service, route, arrivedMs }: Arrival, details: LogDetails): void {
    const { metrics, log } = this.#options;
    res.setHeader('connection', 'close');
    this.#sendFailure(res, notRunFailure('overloaded'), MIN_RETRY_AFTER_MS);
    metrics.observeRequest(service, route.priority, 'overloaded', this.#now() - arrivedMs);
    log('requestNotRun', { request: fields.requestId, code: 'overloaded', ...details });
  }

  /** Ends all requests with a response, before the process exits. */
  endAll(): void {
    this.#exchanges.forEach((exchange) =>
      this.#endWithFailure(
        exchange,
        exchange.runs > 0 ? unknownFailure('deadline') : notRunFailure('stopping'),
      ),
    );
  }

  /** Tries to place all waiting requests, and repeats this at an interval while any are left. */
  placeWaiting(): void {
    clearTimeout(this.#placementTimer);
    this.#placementTimer = undefined;
    this.#waitlist.offer((exchange) => {
      if (!exchange.ended) this.#place(exchange);
      return exchange.ended || !exchange.waiting;
    });
    this.#schedulePlacement();
  }

  #schedulePlacement(): void {
    if (this.#waitlist.size === 0 || this.#placementTimer !== undefined) return;
    this.#placementTimer = setTimeout(() => this.placeWaiting(), PLACEMENT_INTERVAL_MS);
  }

  /**
   * Starts an admitted request.
   *
   * @param queuedMs - time in the admission queue. The deadline is brought forward by this time, since the
   *   request had been unread in the socket for about as long before.
   */
  #startExchange(arrival: Arrival, queuedMs: number): void {
    const { route, fields, arrivedMs, res } = arrival;
    const leftMs = Math.min(fields.leftMs ?? DEFAULT_TIMEOUT_MS, route.timeoutMs) - queuedMs;
    const exchange = createExchange(arrival, arrivedMs + leftMs);
    this.#exchanges.add(exchange);
    const { loadBalancer: placer } = this.#options;
    const key = route.affinity ? fields.affinityKey : undefined;
    if (key !== undefined) placer.recordArrival(route, key, arrivedMs);
    exchange.deadlineTimer = setTimeout(
      () => this.#onDeadline(exchange),
      exchange.deadlineMs - this.#now(),
    );
    res.once('close', () => this.#onCallerDisconnect(exchange));
    this.#place(exchange);
  }

  #place(exchange: Exchange): void {
    const verdict = this.#options.crashGuard.verdict(exchange);
    if (verdict.type === 'refuse') {
      this.#endSuspect(exchange, verdict);
      return;
    }
    const { route, service, fields, arrivedMs, tried, runs } = exchange;
    const nowMs = this.#now();
    const outcome = this.#options.loadBalancer.place(
      {
        route,
        service,
        key: route.affinity ? fields.affinityKey : undefined,
        waitedMs: nowMs - arrivedMs,
        leftMs: exchange.deadlineMs - nowMs,
        isRetry: exchange.tries > 0,
        tried,
        mayReuse: runs === 0 || route.idempotent,
      },
      nowMs,
    );
    if (outcome.type !== 'place') this.#onNotPlaced(exchange, outcome);
    else if (this.#mayStart(exchange, outcome.placement, nowMs))
      this.#startAttempt(exchange, outcome.placement);
    else this.#onNotPlaced(exchange, { type: 'stopping' });
  }

  #mayStart({ deadlineMs }: Exchange, { hedgeDelayMs }: Placement, nowMs: number): boolean {
    return this.#options.shutdown.mayStart(hedgeDelayMs, deadlineMs - nowMs, nowMs);
  }

  #onNotPlaced(
    exchange: Exchange,
    outcome: Exclude<PlacementOutcome, { type: 'place' }> | { readonly type: 'stopping' },
  ): void {
    if (exchange.openAttempts.size > 0) return;
    if (outcome.type === 'wait' && exchange.waiting) return;
    if (outcome.type === 'wait' && this.#waitlist.size < MAX_WAITING) {
      exchange.waiting = true;
      this.#waitlist.add(exchange, exchange.route.priority);
      this.#schedulePlacement();
      return;
    }
    const codes = {
      wait: 'queue_full',
      late: 'overloaded',
      heldOff: 'held_off',
      noServer: 'no_server',
      stopping: 'stopping',
    } as const;
    const failure = notRunFailure(codes[outcome.type]);
    const waitMs = 'waitMs' in outcome ? outcome.waitMs : 0;
    this.#options.log('requestNotRun', {
      request: exchange.fields.requestId,
      code: failure.code,
      waitMs: Math.round(waitMs),
      expectedMs: outcome.type === 'late' ? Math.round(outcome.expectedMs) : undefined,
      leftMs: Math.round(exchange.deadlineMs - this.#now()),
      waiting: this.#waitlist.size,
    });
    if (exchange.failure !== undefined) this.#endWithResponse(exchange, exchange.failure);
    else
      this.#endWithFailure(
        exchange,
        exchange.runs > 0 ? toUnknownFailure(failure) : failure,
        waitMs,
      );
  }

  /** Ends a request whose content was quarantined after it began. An attempt in flight may still succeed. */
  #endSuspect(exchange: Exchange, { crashes, retryAfterMs }: RefusedContent): void {
    if (exchange.openAttempts.size > 0) return;
    const { fields, runs, failure } = exchange;
    if (runs === 0) {
      this.#options.log('requestNotRun', {
        request: fields.requestId,
        code: 'crash_suspect',
        fingerprint: fingerprintOfArrival(exchange),
        crashes,
      });
      this.#endWithFailure(exchange, notRunFailure('crash_suspect'), retryAfterMs);
    } else if (failure !== undefined) this.#endWithResponse(exchange, failure);
    else this.#endWithFailure(exchange, unknownFailure('backend_crashed'));
  }

  #startAttempt(exchange: Exchange, placement: Placement): void {
    const { req, route, fields, body } = exchange;
    const { dialect, loadBalancer: placer, pool, clock } = this.#options;
    const { record } = placement.server;
    const { nowMs } = clock();
    const attempt: Attempt = {
      placement,
      startedMs: nowMs,
      call: undefined,
      hedgeTimer: undefined,
    };
    exchange.waiting = false;
    exchange.tries += 1;
    exchange.runs += 1;
    exchange.tried.add(record.id);
    exchange.openAttempts.add(attempt);
    placer.load(record.id).recordSent();
    this.#options.crashGuard.recordSent(exchange);
    const headers = { ...endToEndHeaders(req.headers) };
    delete headers['content-length'];
    Object.assign(headers, dialect.serverHeaders(record.id, exchange.deadlineMs - nowMs));
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
        retryable: route.idempotent,
        fresh: exchange.openAttempts.size > 1,
      },
      (end) => this.#onAttemptEnd(exchange, attempt, end),
    );
    if (route.idempotent) this.#scheduleHedge(exchange, attempt);
  }

  /** Sends a hedged attempt to another server if an idempotent request takes much longer than expected. */
  #scheduleHedge(exchange: Exchange, attempt: Attempt): void {
    const { route } = exchange;
    attempt.hedgeTimer = setTimeout(() => {
      if (exchange.ended || !exchange.openAttempts.has(attempt)) return;
      if (exchange.runs >= route.maxAttempts || exchange.openAttempts.size > 1) return;
      this.#retry(exchange, 'slow');
    }, attempt.placement.hedgeDelayMs);
  }

  /** Retries a request if the retry budget allows it. */
  #retry(exchange: Exchange, reason: string): boolean {
    const { service, fields } = exchange;
    const { crashGuard, budget } = this.#options;
    const entryVms = this.#options.entryVms();
    const isRefused = crashGuard.verdict(exchange).type === 'refuse';
    const allowed = !isRefused && budget.trySpend(service, entryVms, this.#now());
    this.#options.metrics.retry(allowed);
    this.#options.log('requestRepeated', {
      request: fields.requestId,
      reason,
      allowed,
      crashSuspect: isRefused,
      entryVms,
      tries: exchange.tries,
    });
    if (allowed) this.#place(exchange);
    return allowed;
  }

  #onAttemptEnd(exchange: Exchange, attempt: Attempt, end: UpstreamEnd): void {
    clearTimeout(attempt.hedgeTimer);
    exchange.openAttempts.delete(attempt);
    const nowMs = this.#now();
    const { record } = attempt.placement.server;
    const result = classifyEnd(this.#options.dialect, exchange.fields, end);
    const load = this.#options.loadBalancer.load(record.id);
    load.recordOutcome(toRunEnd(result), nowMs);
    if (end.type === 'answered')
      this.#recordResponse(exchange, attempt, end.response, result, nowMs);
    if (end.type === 'unreachable') this.#options.pool.eject(record.id, end.reason);
    if (result.type === 'unreachable' || result.type === 'rejected') exchange.runs -= 1;
    if (end.type === 'lost') this.#onLost(exchange, attempt, result, end);
    else {
      this.#options.crashGuard.recordResult(exchange, result);
      this.#applyVerdict(exchange, result, end);
    }
    if (this.#waitlist.size > 0) this.placeWaiting();
  }

  /** Handles a lost response. If the content has crashed a server before, a retry waits for the check. */
  async #onLost(
    exchange: Exchange,
    attempt: Attempt,
    result: AttemptOutcome,
    end: UpstreamEnd & { readonly type: 'lost' },
  ): Promise<void> {
    const { log, crashGuard } = this.#options;
    const { server } = attempt.placement;
    const request = exchange.fields.requestId;
    log('answerLost', { request, server: server.record.id, reason: end.reason });
    const check = crashGuard.checkServer(exchange, server);
    if (exchange.route.idempotent && crashGuard.isSuspect(exchange)) await check;
    this.#applyVerdict(exchange, result, end);
  }

  #applyVerdict(exchange: Exchange, result: AttemptOutcome, end: UpstreamEnd): void {
    if (exchange.ended) return;
    const { route, openAttempts, runs, tries } = exchange;
    const verdict = decideAfterAttempt(result, {
      idempotent: route.idempotent,
      runs,
      tries,
      maxAttempts: route.maxAttempts,
      hasOpenAttempts: openAttempts.size > 0,
    });
    switch (verdict.type) {
      case 'deliver':
        if (end.type === 'answered') this.#endWithResponse(exchange, end.response);
        break;
      case 'again':
        if (!verdict.paid) this.#place(exchange);
        else {
          if (isServerFailure(result) && end.type === 'answered') exchange.failure = end.response;
          if (!this.#retry(exchange, result.type)) this.#endWithoutRetry(exchange);
        }
        break;
      case 'wait':
        break;
      case 'notRun':
        this.#endWithFailure(exchange, notRunFailure('overloaded'));
        break;
      case 'unknown':
        if (exchange.failure !== undefined) this.#endWithResponse(exchange, exchange.failure);
        else this.#endWithFailure(exchange, unknownFailure('connection_lost'));
        break;
      default:
        verdict satisfies never;
    }
  }

  /** Ends a request that would be retried if the retry budget were not exhausted. */
  #endWithoutRetry(exchange: Exchange): void {
    if (exchange.openAttempts.size > 0) return;
    if (exchange.failure !== undefined) this.#endWithResponse(exchange, exchange.failure);
    else
      this.#endWithFailure(
        exchange,
        exchange.runs === 0 ? notRunFailure('overloaded') : unknownFailure('connection_lost'),
      );
  }

  #recordResponse(
    exchange: Exchange,
    attempt: Attempt,
    response: UpstreamResponse,
    result: AttemptOutcome,
    nowMs: number,
  ): void {
    const { dialect, loadBalancer: placer, view } = this.#options;
    const { placement, startedMs } = attempt;
    const { id } = placement.server.record;
    const serverFields = dialect.parseServerFields(response.status, response.headers);
    if (serverFields.load !== undefined) placer.loads.recordReport(id, serverFields.load, nowMs);
    if (!serverFields.misdirected && result.type !== 'lost')
      this.#options.noticeRecorder.record(
        exchange.fields.requestId,
        placement.server,
        serverFields,
      );
    if (serverFields.misdirected) {
      this.#options.log('serverMisdirected', { server: id });
      view.removeServer(id, nowMs);
      this.#options.pool.remove(id);
      return;
    }
    if (result.type !== 'answered' || !result.genuine || response.status >= 400) return;
    placer.notices.recordServed(placement.server.record, nowMs);
    const key = exchange.fields.affinityKey;
    if (exchange.route.affinity && key !== undefined) {
      placer.markWarm(id, exchange.route, key, nowMs);
    }
    placer.recordResponse(
      exchange.route,
      placement,
      nowMs - startedMs,
      response.body.length,
      nowMs,
    );
  }

  #endWithResponse(exchange: Exchange, response: UpstreamResponse): void {
    const { res, req } = exchange;
    if (!this.#settle(exchange, response.status, undefined)) return;
    writeResponse(req, res, response, this.#options.shutdown.stopping);
  }

  #endWithFailure(exchange: Exchange, failure: Failure, waitMs = 0): void {
    if (!this.#settle(exchange, httpStatusOf(failure), failure)) return;
    this.#sendFailure(exchange.res, failure, Math.max(MIN_RETRY_AFTER_MS, waitMs));
  }

  /** Moves a request to its final state. Returns false if it has already ended. */
  #settle(exchange: Exchange, status: number, failure: Failure | undefined): boolean {
    if (exchange.ended) return false;
    exchange.ended = true;
    this.#exchanges.delete(exchange);
    clearTimeout(exchange.deadlineTimer);
    if (exchange.waiting) this.#waitlist.remove(exchange);
    exchange.openAttempts.forEach((attempt) => this.#cancelAttempt(exchange, attempt));
    const tookMs = this.#now() - exchange.arrivedMs;
    const { service, route, fields } = exchange;
    this.#options.metrics.observeRequest(
      service,
      route.priority,
      failure?.code ?? 'answered',
      tookMs,
    );
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

  #cancelAttempt(exchange: Exchange, attempt: Attempt): void {
    clearTimeout(attempt.hedgeTimer);
    exchange.openAttempts.delete(attempt);
    attempt.call?.cancel();
    this.#options.loadBalancer
      .load(attempt.placement.server.record.id)
      .recordOutcome('abandoned', this.#now());
  }

  /** Ends a request at the caller's or the route's deadline. */
  #onDeadline(exchange: Exchange): void {
    this.#endWithFailure(
      exchange,
      exchange.runs > 0 ? unknownFailure('deadline') : notRunFailure('deadline'),
    );
  }

  /** Handles a caller's disconnect. Attempts of requests that are not idempotent are left to complete. */
  #onCallerDisconnect(exchange: Exchange): void {
    if (exchange.ended) return;
    const running = exchange.openAttempts.size > 0 && !exchange.route.idempotent;
    this.#options.log('requestAbandoned', {
      request: exchange.fields.requestId,
      running,
    });
    if (!running) this.#settle(exchange, 0, notRunFailure('cancelled'));
  }

  #sendFailure(res: ServerResponse, failure: Failure, waitMs = 0): void {
    const jitterMs = Math.max(RETRY_AFTER_JITTER_MS, waitMs * RETRY_AFTER_JITTER_RATIO);
    const retryAfterMs = waitMs + Math.random() * jitterMs;
    writeFailure(res, failure, retryAfterMs, this.#options.shutdown.stopping);
  }

  #now(): number {
    return this.#options.clock().nowMs;
  }
}
