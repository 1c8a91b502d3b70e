/**
 * Dispatches the requests of one service to the backend servers that this entry VM has claimed.
 *
 * Each rank has one queue, which is fair between callers. The dispatcher alone counts slots. The
 * most urgent rank goes first. Lower ranks have a guaranteed floor of slots and a hard ceiling, so
 * long-running requests can never hold every slot. The class does no I/O and reads no clock.
 */
import { FairQueue, RANKS, toUnknownFailure, notRunFailure } from '../state/index.js';
import type {
  BackendServerId,
  Failure,
  Fingerprint,
  NotRunCode,
  Rank,
  ServiceName,
  ServiceSettings,
} from '../state/index.js';
import { RatioBudget } from './budgets.js';
import type { CrashVerdict } from './crashes.js';
import { createActiveRequest, failEffect, stopRunEffect } from './dispatchstates.js';
import type { ActiveRequest, Run, RunningRequest } from './dispatchstates.js';
import { RunDurations } from './rundurations.js';
import { ServerPool } from './serverpools.js';
import type { ServerSlots } from './slots.js';
import { floorSlots, nextRankToRun, isUnderCeiling } from './rankschedules.js';
import type { RankLoads } from './rankschedules.js';
import { failureOfRun, slotHeldUntilMs, mayHaveExecuted } from './dispatchrequests.js';
import type {
  ClaimedServer,
  DispatchEffect,
  RunId,
  RunResult,
  Ticket,
  DispatchRequest,
} from './dispatchrequests.js';

/** Most runs of one request, hedges not counted. */
const MAX_ATTEMPTS = 4;

/** Most retries that the retry budget accumulates. */
const RETRY_BURST = 10;

/** Hedges allowed, as a share of first runs. */
const HEDGE_SHARE = 0.02;

const HEDGE_BURST = 3;

/** Minimum age at which a run is hedged. */
const MIN_HEDGE_DELAY_MS = 15;

/** Minimum time without a response byte after which the server is probed. */
const MIN_PROBE_DELAY_MS = 300;

/** Time without a response byte after which the server is probed while no run duration is known. */
const INITIAL_PROBE_DELAY_MS = 1_000;

/** Multiple of the slow-run threshold after which a silent run's server is probed. */
const PROBE_DELAY_FACTOR = 3;

/** Time that must be left to start a run, as a share of the mean run duration. */
const MIN_TIME_LEFT_SHARE = 0.5;

export class Dispatcher {
  #service: ServiceSettings;

  readonly #crashVerdict: (fingerprint: Fingerprint) => CrashVerdict;

  readonly #servers = new ServerPool();

  readonly #queues: Readonly<Record<Rank, FairQueue<ActiveRequest>>> = {
    urgent: new FairQueue<ActiveRequest>(),
    interactive: new FairQueue<ActiveRequest>(),
    bulk: new FairQueue<ActiveRequest>(),
  };

  readonly #slotsInUse: Record<Rank, number> = { urgent: 0, interactive: 0, bulk: 0 };

  readonly #requests = new Map<Ticket, ActiveRequest>();

  readonly #runs = new Map<RunId, Run>();

  readonly #retryBudget = new RatioBudget(RETRY_BURST);

  readonly #hedgeBudget = new RatioBudget(HEDGE_BURST);

  readonly #runDurations = new RunDurations();

  #isolationQueue: ActiveRequest[] = [];

  #lastRunNumber = 0;

  /** @param crashVerdict - tells whether content is suspected of crashing servers. */
  constructor(service: ServiceSettings, crashVerdict: (fingerprint: Fingerprint) => CrashVerdict) {
    this.#service = service;
    this.#crashVerdict = crashVerdict;
  }

  get service(): ServiceName {
    return this.#service.name;
  }

  /** Slots that are currently open. */
  slots(nowMs: number): number {
    return this.#servers.openSlots(nowMs);
  }

  /** Runs in flight. */
  get running(): number {
    return this.#runs.size;
  }

  queued(rank: Rank): number {
    return this.#queues[rank].size;
  }

  get waiting(): number {
    return RANKS.reduce((sum, rank) => sum + this.queued(rank), this.#isolationQueue.length);
  }

  /** Servers with runs of this dispatcher in flight. */
  busyServers(): readonly BackendServerId[] {
    return this.#servers.busyServers();
  }

  /** All runs on the server of the given run, including that run. */
  runsOnSameServer(runId: RunId): readonly RunningRequest[] {
    const server = this.#runs.get(runId)?.server;
    return [...this.#runs.values()]
      .filter((run) => run.server === server)
      .map((run) => ({ runId: run.runId, work: run.request }));
  }

  /** Applies new settings and claims. */
  configure(
    service: ServiceSettings,
    claimed: readonly ClaimedServer[],
    nowMs: number,
  ): readonly DispatchEffect[] {
    this.#service = service;
    this.#servers.configure(claimed, service.rampMs, nowMs);
    return this.#fillSlots(nowMs);
  }

  /** Queues or starts a request, or fails it as not run. */
  submit(request: DispatchRequest, nowMs: number): readonly DispatchEffect[] {
    const slots = this.slots(nowMs);
    if (slots === 0 && this.#servers.size === 0) return [failEffect(request, 'no_server')];
    const activeRequest = createActiveRequest(request);
    const crashEffects = this.#applyCrashVerdict(activeRequest);
    if (crashEffects !== undefined) return [...crashEffects, ...this.#fillSlots(nowMs)];
    if (this.#estimateWaitMs(request, slots) > request.deadlineMs - nowMs)
      return [failEffect(request, 'overloaded')];
    this.#requests.set(request.ticket, activeRequest);
    const maxQueued = Math.max(1, slots) * this.#service.queuePerSlot;
    const evicted = this.#queues[request.rank].push(activeRequest, maxQueued);
    const effects = evicted === undefined ? [] : [this.#failNotRun(evicted, 'queue_full')];
    return [...effects, ...this.#fillSlots(nowMs)];
  }

  /** Refuses or isolates content suspected of a crash; undefined if there is no suspicion. */
  #applyCrashVerdict(request: ActiveRequest): readonly DispatchEffect[] | undefined {
    const verdict = this.#crashVerdict(request.fingerprint);
    if (verdict === 'allow') return undefined;
    if (verdict === 'refuse') return [this.#failNotRun(request, 'quarantined')];
    request.needsIsolation = true;
    this.#requests.set(request.ticket, request);
    this.#isolationQueue.push(request);
    return [];
  }

  /** Cancels a request whose caller is gone: drops it if queued, stops its runs if idempotent. */
  cancel(ticket: Ticket, nowMs: number): readonly DispatchEffect[] {
    const request = this.#requests.get(ticket);
    if (request === undefined) return [];
    request.cancelled = true;
    if (request.runs.size === 0) {
      this.#removeQueued((queuedRequest) => queuedRequest === request);
      return [this.#failNotRun(request, 'cancelled')];
    }
    const stops = request.idempotent ? [...request.runs].map((run) => stopRunEffect(run)) : [];
    return [...stops, ...this.#fillSlots(nowMs)];
  }

  /**
   * Handles the first bytes of a successful response. Stops the other runs of the request.
   *
   * @returns `undefined` if another run responded first and this response must be dropped.
   */
  responseStarted(runId: RunId): readonly DispatchEffect[] | undefined {
    const run = this.#runs.get(runId);
    if (run === undefined) return undefined;
    const others = [...run.request.runs].filter((other) => other !== run);
    if (others.some((other) => other.responseStarted)) return undefined;
    run.responseStarted = true;
    return others.map((other) => stopRunEffect(other));
  }

  /** Handles the end of a run. */
  runFinished(runId: RunId, result: RunResult, nowMs: number): readonly DispatchEffect[] {
    const run = this.#runs.get(runId);
    if (run === undefined) return [];
    this.#endRun(run, result, nowMs);
    return [...this.#handleRunResult(run, result, nowMs), ...this.#fillSlots(nowMs)];
  }

  /** Fails expired requests, hedges slow runs, probes silent ones and fills newly opened slots. */
  tick(nowMs: number): readonly DispatchEffect[] {
    const expired = this.#removeQueued((request) => request.deadlineMs <= nowMs);
    const unservable = this.#servers.size === 0 ? this.#removeQueued(() => true) : [];
    const effects = [
      ...expired.map((request) => this.#failNotRun(request, 'deadline')),
      ...unservable.map((request) => this.#failNotRun(request, 'no_server')),
    ];
    return [
      ...effects,
      ...this.#hedgeSlowRuns(nowMs),
      ...this.#probeSilentRuns(nowMs),
      ...this.#fillSlots(nowMs),
    ];
  }

  /**
   * Handles the result of a probe, which uses a new connection. If the server answered, abandons
   * the silent run; a request's only remaining run is abandoned only within the retry budget. If
   * it did not, the server gets no new requests until its backoff ends.
   */
  probeFinished(runId: RunId, alive: boolean, nowMs: number): readonly DispatchEffect[] {
    const run = this.#runs.get(runId);
    if (run === undefined || run.responseStarted) return [];
    if (!alive) {
      run.server.recordUnreachable(nowMs);
      return [];
    }
    const isLastRun = run.request.runs.size === 1;
    if (isLastRun && !this.#retryBudget.trySpend()) return [];
    this.#endRun(run, { type: 'silent' }, nowMs);
    if (isLastRun) this.#queues[run.request.rank].unshift(run.request);
    return [stopRunEffect(run), ...this.#fillSlots(nowMs)];
  }

  #probeSilentRuns(nowMs: number): DispatchEffect[] {
    return [...this.#runs.values()].flatMap((run): DispatchEffect[] => {
      const { request } = run;
      if (
        run.responseStarted ||
        !request.idempotent ||
        !request.replayable ||
        request.needsIsolation
      )
        return [];
      const slowMs = this.#runDurations.slowAfterMs(request.rank);
      const probeDelayMs = Number.isFinite(slowMs)
        ? Math.max(MIN_PROBE_DELAY_MS, slowMs * PROBE_DELAY_FACTOR)
        : INITIAL_PROBE_DELAY_MS;
      if (nowMs - run.lastProbeMs < probeDelayMs) return [];
      run.lastProbeMs = nowMs;
      return [{ type: 'probe', runId: run.runId, server: run.server.id }];
    });
  }

  /** Releases all servers because the service was removed. Runs in flight continue to their end. */
  release(nowMs: number): readonly DispatchEffect[] {
    return this.configure(this.#service, [], nowMs);
  }

  /** Whether the dispatcher has neither servers nor requests. */
  get isIdle(): boolean {
    return this.#servers.size === 0 && this.#requests.size === 0;
  }

  /** Estimates the queueing delay of a new request, plus the least time that it needs to run. */
  #estimateWaitMs(request: DispatchRequest, slots: number): number {
    const meanMs = this.#runDurations.meanMs(request.rank);
    if (meanMs === undefined || slots === 0) return 0;
    const rankIndex = RANKS.indexOf(request.rank);
    const higherRanks = RANKS.slice(0, rankIndex);
    const higherQueued = higherRanks.reduce((sum, rank) => sum + this.queued(rank), 0);
    const aheadInRank = this.#queues[request.rank].countAhead(request.caller);
    const higherInUse = higherRanks.reduce((sum, rank) => sum + this.#slotsInUse[rank], 0);
    const sharedRounds = (higherQueued + aheadInRank) / Math.max(slots - higherInUse, 1);
    // The floor serves a rank regardless of what is queued in higher ranks.
    const floor = floorSlots(this.#service, request.rank, slots);
    const floorRounds = floor === 0 ? Infinity : aheadInRank / floor;
    return Math.min(sharedRounds, floorRounds) * meanMs + meanMs * MIN_TIME_LEFT_SHARE;
  }

  #rankLoads(): RankLoads {
    return {
      urgent: { queued: this.queued('urgent'), slotsInUse: this.#slotsInUse.urgent },
      interactive: { queued: this.queued('interactive'), slotsInUse: this.#slotsInUse.interactive },
      bulk: { queued: this.queued('bulk'), slotsInUse: this.#slotsInUse.bulk },
    };
  }

  #fillSlots(nowMs: number): DispatchEffect[] {
    const effects = this.#startIsolatedRuns(nowMs);
    const slots = this.slots(nowMs);
    for (;;) {
      const server = this.#servers.leastLoaded(nowMs);
      const rank =
        server === undefined ? undefined : nextRankToRun(this.#service, this.#rankLoads(), slots);
      if (server === undefined || rank === undefined) return effects;
      const request = this.#queues[rank].shift();
      if (request === undefined) return effects;
      const minTimeLeftMs = (this.#runDurations.meanMs(rank) ?? 0) * MIN_TIME_LEFT_SHARE;
      const crashEffects = this.#applyCrashVerdict(request);
      if (crashEffects !== undefined) effects.push(...crashEffects);
      else if (request.deadlineMs - nowMs <= minTimeLeftMs)
        effects.push(this.#failNotRun(request, 'deadline'));
      else effects.push(this.#startRun(request, server, false, nowMs));
    }
  }

  /** Starts suspected content on idle servers and reserves each server for that run. */
  #startIsolatedRuns(nowMs: number): DispatchEffect[] {
    const started: DispatchEffect[] = [];
    this.#isolationQueue = this.#isolationQueue.filter((request) => {
      const sameContentRunning = [...this.#runs.values()].some(
        (run) => run.request.fingerprint === request.fingerprint,
      );
      if (sameContentRunning) return true;
      const server = this.#servers.findIdle(nowMs);
      if (server === undefined) return true;
      const effect = this.#startRun(request, server, false, nowMs);
      if (effect.type === 'run') server.exclusiveRunId = effect.runId;
      started.push(effect);
      return false;
    });
    return started;
  }

  #startRun(
    request: ActiveRequest,
    server: ServerSlots,
    hedge: boolean,
    nowMs: number,
  ): DispatchEffect {
    this.#lastRunNumber += 1;
    const runId = `${request.ticket}#${this.#lastRunNumber}` as RunId;
    const run: Run = {
      runId,
      request,
      server,
      startedMs: nowMs,
      hedge,
      responseStarted: false,
      lastProbeMs: nowMs,
    };
    request.runs.add(run);
    if (request.attempts === 0) {
      this.#retryBudget.earn(this.#service.retryShare);
      this.#hedgeBudget.earn(HEDGE_SHARE);
    }
    if (!hedge) request.attempts += 1;
    server.startRun(runId, request.rank);
    this.#slotsInUse[request.rank] += 1;
    this.#runs.set(runId, run);
    return { type: 'run', ticket: request.ticket, runId, server: server.id };
  }

  #endRun(run: Run, result: RunResult, nowMs: number): void {
    this.#runs.delete(run.runId);
    run.request.runs.delete(run);
    if (mayHaveExecuted(result)) run.request.mayHaveRun = true;
    this.#slotsInUse[run.request.rank] -= 1;
    run.server.endRun(run.runId, slotHeldUntilMs(result, run.request.deadlineMs, nowMs));
    if (result.type === 'answered') {
      const relativeDuration = this.#runDurations.record(run.request.rank, nowMs - run.startedMs);
      run.server.recordSuccess(relativeDuration);
    }
    if (result.type === 'refused') run.server.refused(result.retryAfterMs, nowMs);
    if (result.type === 'unreachable') run.server.recordUnreachable(nowMs);
    if (result.type === 'lost' && result.crashed) run.server.recordUnreachable(nowMs);
    this.#servers.removeIfDrained(run.server);
  }

  #handleRunResult(run: Run, result: RunResult, nowMs: number): DispatchEffect[] {
    const { request } = run;
    if (result.type === 'answered') {
      this.#requests.delete(request.ticket);
      return [...request.runs].map((otherRun) => stopRunEffect(otherRun));
    }
    if (request.runs.size > 0) return [];
    if (!this.#requests.has(request.ticket)) return [];
    const failure = failureOfRun(result, request.cancelled && request.idempotent);
    if (request.cancelled) return [this.#failRequest(request, failure)];
    if (this.#canRetryIsolated(request, result, nowMs))
      return [...(this.#applyCrashVerdict(request) ?? [])];
    if (!this.#canRetry(request, result, nowMs)) return [this.#failRequest(request, failure)];
    if (request.needsIsolation) this.#isolationQueue.push(request);
    else this.#queues[request.rank].unshift(request);
    return [];
  }

  /** Allows retries of requests that certainly did not run, and of idempotent ones within the budget. */
  #canRetry(request: ActiveRequest, result: RunResult, nowMs: number): boolean {
    if (!request.replayable) return false;
    if (request.attempts >= MAX_ATTEMPTS || request.deadlineMs <= nowMs) return false;
    if (result.type === 'refused' || result.type === 'unreachable') return true;
    if (!request.idempotent || request.needsIsolation) return false;
    if (result.type === 'truncated' && result.relayed) return false;
    if (result.type === 'lost' && result.crashed) return false;
    return this.#retryBudget.trySpend();
  }

  /** Allows one more run, alone on a server, of idempotent content whose server crashed. */
  #canRetryIsolated(request: ActiveRequest, result: RunResult, nowMs: number): boolean {
    const crashed = result.type === 'lost' && result.crashed;
    if (!crashed || !request.idempotent || !request.replayable) return false;
    return request.deadlineMs > nowMs && this.#crashVerdict(request.fingerprint) === 'isolate';
  }

  #hedgeSlowRuns(nowMs: number): DispatchEffect[] {
    if (this.waiting > 0) return [];
    const effects: DispatchEffect[] = [];
    this.#runs.forEach((run) => {
      const { request } = run;
      if (!request.idempotent || !request.replayable || request.needsIsolation || request.cancelled)
        return;
      if (run.responseStarted || run.hedge || request.runs.size > 1) return;
      const ageMs = nowMs - run.startedMs;
      if (ageMs < Math.max(MIN_HEDGE_DELAY_MS, this.#runDurations.slowAfterMs(request.rank)))
        return;
      const server = this.#servers.leastLoaded(nowMs, run.server);
      if (
        server === undefined ||
        !isUnderCeiling(this.#service, request.rank, this.#rankLoads(), this.slots(nowMs))
      )
        return;
      if (!this.#hedgeBudget.trySpend()) return;
      effects.push(this.#startRun(request, server, true, nowMs));
    });
    return effects;
  }

  #removeQueued(matches: (request: ActiveRequest) => boolean): ActiveRequest[] {
    const isolated = this.#isolationQueue.filter(matches);
    this.#isolationQueue = this.#isolationQueue.filter((request) => !matches(request));
    return [...isolated, ...RANKS.flatMap((rank) => this.#queues[rank].remove(matches))];
  }

  #failNotRun(request: ActiveRequest, code: NotRunCode): DispatchEffect {
    return this.#failRequest(request, notRunFailure(code));
  }

  #failRequest(request: ActiveRequest, failure: Failure): DispatchEffect {
    this.#requests.delete(request.ticket);
    const reportedFailure = request.mayHaveRun ? toUnknownFailure(failure) : failure;
    return { type: 'fail', ticket: request.ticket, failure: reportedFailure };
  }
}
