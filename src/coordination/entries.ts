/**
 * The entry's state machine: takes requests in, routes them, dispatches those for its own backend
 * servers, and says how each ended. Pure: every input is an event with the time, every output an
 * effect.
 */
import { asUnknown, notRun, unknown } from '../state/index.js';
import type {
  BackendServerId,
  EntryVmId,
  Failure,
  FailureDomainId,
  Incarnation,
  KeptAnswer,
  MemberRecord,
  NotRunCode,
  RecordLimits,
  ReplicaItem,
  ReplicaKey,
  RequestId,
  SettingsView,
} from '../state/index.js';
import type {
  Call,
  DispatchOrder,
  EntryEffect,
  EntryEvent,
  ForwardResult,
  SplitReport,
} from './calls.js';
import { CrashGuard } from './crashes.js';
import type { CrashRecord } from './crashes.js';
import type { Dispatcher, DispatchEffect, RunId, RunResult, Ticket, Work } from './dispatchers.js';
import { crashKey, crashOfItem } from './items.js';
import { OwnedRequests } from './owned.js';
import { decideOwner } from './owners.js';
import { Placement } from './placements.js';
import { domainDistance } from './places.js';
import { classify } from './ranks.js';
import type { Classification } from './ranks.js';
import { SendingLog } from './sendings.js';

/** Who this entry is. */
export interface EntrySelf {
  readonly id: EntryVmId;
  readonly incarnation: Incarnation;
  readonly failureDomain: FailureDomainId;
}

/** Time as an entry sees it. */
export interface Instant {
  /** Monotonic, in milliseconds. */
  readonly nowMs: number;
  /** Wall time, in milliseconds since 1970. */
  readonly wallMs: number;
}

export interface EntryOptions {
  readonly records?: RecordLimits;
  readonly settleMs?: number;
}

/** Stages of a request in this entry. */
type Stage = 'waiting' | 'dispatched' | 'forwarded';

interface CallState {
  readonly call: Call;
  readonly class: Classification;
  readonly home: FailureDomainId;
  readonly deadlineMs: number;
  /** The id whose record this request has, when it is owned here. */
  readonly ownedId: RequestId | undefined;
  /** Set when another entry VM chose this one to dispatch. */
  readonly order: DispatchOrder | undefined;
  stage: Stage;
  /** Whether the caller still waits. */
  open: boolean;
  excluded: EntryVmId[];
  /** An earlier try may have run. */
  mayHaveRun: boolean;
  target:
    | { readonly to: EntryVmId; readonly domain: FailureDomainId; readonly granted: boolean }
    | undefined;
}

/** Times a request is routed anew after it surely did not run. */
const MAX_ROUTES = 3;

/** Time kept back for the way between two entry VMs, in milliseconds. */
const HOP_MARGIN_MS = 5;

/** Most of the time left that is kept back for the way. */
const MAX_MARGIN_SHARE = 0.25;

/** Time for which an answer is awaited after its caller was told `unknown`, in milliseconds. */
const LINGER_MS = 30_000;

/** Time without a tick after which claims are settled anew, in milliseconds. */
const PAUSE_MS = 1_000;

/** Time for which content is refused when its service is gone, in milliseconds. */
const DEFAULT_QUARANTINE_MS = 600_000;

/** Time between two steps of routing and grants, in milliseconds. */
const CONTROL_MS = 500;

/** Failures after which a request surely did not run and may do so elsewhere. */
const ELSEWHERE: ReadonlySet<string> = new Set<NotRunCode>([
  'no_entry_vm',
  'no_grant',
  'no_server',
  'overloaded',
  'queue_full',
  'unreachable',
  'wrong_incarnation',
]);

export class EntryMachine {
  readonly #self: EntrySelf;

  readonly #owned: OwnedRequests;

  readonly #guard: CrashGuard;

  readonly #sendings: SendingLog;

  readonly #placement: Placement;

  readonly #calls = new Map<Ticket, CallState>();

  /** Versions of the items held, so that none goes back. */
  readonly #versions = new Map<ReplicaKey, number>();

  /** Which dispatcher started a run. */
  readonly #runs = new Map<RunId, Dispatcher>();

  /** Runs whose crash was counted when another run on the same server ended. */
  readonly #countedCrashes = new Set<RunId>();

  #instant: Instant;

  #controlAtMs: number;

  #stopping = false;

  /** @param random - uniform in [0, 1). */
  constructor(self: EntrySelf, random: () => number, start: Instant, options: EntryOptions = {}) {
    this.#self = self;
    this.#instant = start;
    this.#controlAtMs = start.nowMs;
    this.#owned = new OwnedRequests(start.nowMs, options.records);
    this.#sendings = new SendingLog(start.nowMs);
    this.#guard = new CrashGuard(self.id);
    this.#placement = new Placement({
      id: self.id,
      failureDomain: self.failureDomain,
      random,
      settleMs: options.settleMs,
      verdict: (fingerprint) => this.#guard.verdict(fingerprint, this.#instant.wallMs),
    });
  }

  get view(): SettingsView {
    return this.#placement.view;
  }

  /** Entry VMs believed live. */
  get members(): readonly MemberRecord[] {
    return this.#placement.members;
  }

  /** Requests under way. */
  get load(): number {
    return this.#calls.size;
  }

  /** Whether a request is still under way here. */
  knows(ticket: Ticket): boolean {
    return this.#calls.has(ticket);
  }

  get stopping(): boolean {
    return this.#stopping;
  }

  get crashes(): readonly CrashRecord[] {
    return this.#guard.records;
  }

  /** The epoch in which ids are handed out. */
  epoch(nowMs: number): number {
    return this.#owned.epoch(nowMs);
  }

  /** Servers claimed, or still with work from here. */
  dispatching(): readonly BackendServerId[] {
    return this.#placement.dispatching();
  }

  /** Work over slots for a service in a domain; undefined where this entry does not dispatch. */
  loadOf(order: DispatchOrder, call: Call): number | undefined {
    return this.#placement.loadOf(call.service, order.domain, this.#instant.nowMs);
  }

  /** Splits in force here, for entry VMs that come later. */
  splits(): readonly SplitReport[] {
    return this.#placement.splits();
  }

  /** Takes one event and returns what has to be done about it, in order. */
  handle(event: EntryEvent, instant: Instant): readonly EntryEffect[] {
    const pausedMs = instant.nowMs - this.#instant.nowMs;
    this.#instant = instant;
    const resumed = pausedMs > PAUSE_MS ? this.#apply(this.#placement.resettle(instant.nowMs)) : [];
    return [...resumed, ...this.#handle(event)];
  }

  #handle(event: EntryEvent): readonly EntryEffect[] {
    switch (event.type) {
      case 'call':
        return this.#onCall(event.call, event.fromPeer);
      case 'dispatch':
        return this.#onDispatch(event.call, event.order);
      case 'runBegun':
        return this.#onRunBegun(event.runId);
      case 'runFinished':
        return this.#onRunFinished(event.runId, event.ticket, event.result, event.answer);
      case 'forwardFinished':
        return this.#onForwardFinished(event);
      case 'cancelled':
        return this.#onCancelled(event.ticket);
      case 'grantAsked':
        return [this.#onGrantAsked(event)];
      case 'grantReceived':
        this.#placement.router(event.service).grants.receive(event.to, event.slots, event.askedMs);
        return [];
      case 'item':
        return this.#onItem(event.item);
      case 'members':
        this.#placement.setMembers(event.members);
        return this.#configure();
      case 'serverSign':
        this.#placement.setLeaving(event.server, event.leaving);
        return this.#configure();
      case 'probed': {
        const probed = this.#runs.get(event.runId);
        return this.#apply(probed?.probed(event.runId, event.alive, this.#instant.nowMs) ?? []);
      }
      case 'stop':
        this.#stopping = true;
        return this.#configure();
      case 'tick':
        return this.#onTick();
      default:
        return event satisfies never;
    }
  }

  #configure(): readonly EntryEffect[] {
    return this.#apply(this.#placement.configure(this.#instant.nowMs));
  }

  /** Takes an item in unless it is older than the one held: an agent may be behind another. */
  #onItem(item: ReplicaItem): readonly EntryEffect[] {
    if (item.version <= (this.#versions.get(item.key) ?? 0)) return [];
    this.#versions.set(item.key, item.version);
    const crash = crashOfItem(item);
    if (crash !== undefined) this.#guard.learn(crash);
    return this.#placement.learn(item) ? this.#configure() : [];
  }

  #onGrantAsked(event: Extract<EntryEvent, { type: 'grantAsked' }>): EntryEffect {
    const { askId, from, service, domain, want } = event;
    const slots = this.#stopping
      ? 0
      : this.#placement.grant(from, service, domain, want, this.#instant.nowMs);
    return { type: 'grant', askId, slots };
  }

  #onTick(): readonly EntryEffect[] {
    const { nowMs, wallMs } = this.#instant;
    const effects = [...this.#apply(this.#placement.tick(nowMs)), ...this.#expireCalls(nowMs)];
    if (nowMs - this.#controlAtMs < CONTROL_MS) return effects;
    this.#controlAtMs = nowMs;
    this.#guard.expire(wallMs);
    return [...effects, ...this.#configure(), ...this.#placement.control(nowMs)];
  }

  /** Tells callers whose deadline passed; what can't be stopped is awaited a while longer. */
  #expireCalls(nowMs: number): readonly EntryEffect[] {
    const late = [...this.#calls.values()].filter((state) => state.deadlineMs <= nowMs);
    return late.flatMap((state) => {
      if (state.open) {
        state.open = false;
        const told = fail(state.call.ticket, unknown('deadline'));
        if (state.stage === 'waiting') return [told, ...this.#onCancelled(state.call.ticket)];
        return [told, ...this.#abandon(state)];
      }
      if (state.deadlineMs + LINGER_MS > nowMs) return [];
      return this.#end(state, unknown('deadline'));
    });
  }

  #onCall(call: Call, fromPeer: boolean): readonly EntryEffect[] {
    const service = this.view.service(call.service);
    if (service === undefined) return [fail(call.ticket, notRun('unknown_service'))];
    const classification = classify(service, call.method, call.path);
    const deadlineMs = this.#instant.nowMs + (call.leftMs ?? service.deadlineMs);
    const home = call.home ?? this.#self.failureDomain;
    const state = (ownedId: RequestId | undefined): CallState => ({
      call,
      class: classification,
      home,
      deadlineMs,
      ownedId,
      order: undefined,
      stage: 'waiting',
      open: true,
      excluded: [],
      mayHaveRun: false,
      target: undefined,
    });
    if (classification.idempotent || call.requestId === undefined) {
      return this.#admit(state(undefined));
    }
    const decision = decideOwner(call.requestId, this.#self, this.members);
    if (decision.type === 'fail') return [fail(call.ticket, decision.failure)];
    if (decision.type === 'forward') {
      if (fromPeer) return [fail(call.ticket, unknown('owner_gone'))];
      return this.#forwardToOwner(state(undefined), decision.to);
    }
    return this.#beginOwned(state(call.requestId), call.requestId, decision.epoch);
  }

  #beginOwned(state: CallState, id: RequestId, epoch: number): readonly EntryEffect[] {
    const { ticket, fingerprint } = state.call;
    const start = this.#owned.begin(ticket, id, epoch, fingerprint, this.#instant.nowMs);
    if (start.type === 'end') return [start.effect];
    if (start.type === 'run') return this.#admit(state);
    this.#calls.set(ticket, state);
    return [];
  }

  #forwardToOwner(state: CallState, to: EntryVmId): readonly EntryEffect[] {
    const member = this.#placement.member(to);
    if (member === undefined) return [fail(state.call.ticket, unknown('owner_gone'))];
    this.#calls.set(state.call.ticket, state);
    state.stage = 'forwarded';
    state.target = undefined;
    return [this.#forwardEffect(state, member, undefined)];
  }

  #admit(state: CallState): readonly EntryEffect[] {
    this.#calls.set(state.call.ticket, state);
    const ctx = this.#placement.context(state.call.service, this.#instant.nowMs);
    if (ctx === undefined) return this.#end(state, notRun('unknown_service'));
    this.#placement.router(state.call.service).arrived(state.home, ctx);
    return this.#route(state);
  }

  #route(state: CallState): readonly EntryEffect[] {
    const ctx = this.#placement.context(state.call.service, this.#instant.nowMs);
    if (ctx === undefined) return this.#end(state, notRun('unknown_service'));
    const router = this.#placement.router(state.call.service);
    const route = router.route(state.home, state.class.rank, state.excluded, ctx);
    if (route.type === 'none') {
      router.refused(state.home, ctx);
      return this.#end(state, notRun(route.code));
    }
    state.target = route;
    router.sent(route.to);
    if (route.to === this.#self.id) return this.#dispatchHere(state, route.domain);
    const member = this.#placement.member(route.to);
    if (member === undefined) return this.#routeAgain(state, notRun('no_entry_vm'), undefined);
    state.stage = 'forwarded';
    const order: DispatchOrder = {
      from: this.#self.id,
      sendingId: `${this.#self.incarnation}.${state.call.ticket}.${state.excluded.length}`,
      incarnation: member.incarnation,
      domain: route.domain,
      rank: state.class.rank,
      idempotent: state.class.idempotent,
      granted: route.granted,
    };
    return [this.#forwardEffect(state, member, order)];
  }

  #forwardEffect(
    state: CallState,
    to: MemberRecord,
    order: DispatchOrder | undefined,
  ): EntryEffect {
    const distanceMs = domainDistance(this.view, this.#self.failureDomain, to.failureDomain);
    const leftHereMs = state.deadlineMs - this.#instant.nowMs;
    const marginMs = Math.min(HOP_MARGIN_MS + 2 * distanceMs, leftHereMs * MAX_MARGIN_SHARE);
    const leftMs = leftHereMs - marginMs;
    return {
      type: 'forward',
      ticket: state.call.ticket,
      to,
      order,
      leftMs: Math.max(1, Math.floor(leftMs)),
      keep: state.ownedId !== undefined,
    };
  }

  #onDispatch(call: Call, order: DispatchOrder): readonly EntryEffect[] {
    if (order.incarnation !== this.#self.incarnation) {
      return [fail(call.ticket, notRun('wrong_incarnation'))];
    }
    if (!this.#sendings.first(order.sendingId, this.#instant.nowMs)) {
      return [fail(call.ticket, unknown('connection_lost'))];
    }
    const { granted } = order;
    if (
      granted &&
      !this.#placement.ledger(call.service, order.domain).enter(order.from, this.#instant.nowMs)
    ) {
      return [fail(call.ticket, notRun('no_grant'))];
    }
    const state: CallState = {
      call,
      class: { rank: order.rank, idempotent: order.idempotent },
      home: order.domain,
      deadlineMs: this.#instant.nowMs + (call.leftMs ?? 0),
      ownedId: undefined,
      order,
      stage: 'dispatched',
      open: true,
      excluded: [],
      mayHaveRun: false,
      target: undefined,
    };
    this.#calls.set(call.ticket, state);
    return this.#dispatchHere(state, order.domain);
  }

  #dispatchHere(state: CallState, domain: FailureDomainId): readonly EntryEffect[] {
    state.stage = 'dispatched';
    if (state.order === undefined && state.target?.granted === true) {
      const ledger = this.#placement.ledger(state.call.service, domain);
      if (!ledger.enter(this.#self.id, this.#instant.nowMs)) {
        return this.#routeAgain(state, notRun('no_grant'), undefined);
      }
    }
    const dispatcher = this.#placement.dispatcher(state.call.service, domain);
    if (dispatcher === undefined) return this.#dispatchFailed(state, notRun('no_server'));
    const work: Work = {
      ticket: state.call.ticket,
      caller: state.call.caller,
      rank: state.class.rank,
      idempotent: state.class.idempotent,
      fingerprint: state.call.fingerprint,
      replayable: state.call.replayable,
      deadlineMs: state.deadlineMs,
    };
    return this.#apply(dispatcher.submit(work, this.#instant.nowMs));
  }

  /** Turns what a dispatcher wants into effects of the entry. */
  #apply(effects: readonly DispatchEffect[]): readonly EntryEffect[] {
    return effects.flatMap((effect): readonly EntryEffect[] => {
      if (effect.type === 'stopRun') return [effect];
      if (effect.type === 'probe') return this.#probe(effect.runId, effect.server);
      const state = this.#calls.get(effect.ticket);
      if (state === undefined) return [];
      if (effect.type === 'fail') return this.#dispatchFailed(state, effect.failure);
      const dispatcher = this.#dispatcherOf(state);
      if (dispatcher !== undefined) this.#runs.set(effect.runId, dispatcher);
      return [
        {
          type: 'run',
          ticket: effect.ticket,
          runId: effect.runId,
          service: state.call.service,
          server: effect.server,
          idempotent: state.class.idempotent,
          leftMs: Math.max(1, Math.floor(state.deadlineMs - this.#instant.nowMs)),
          keep: state.ownedId !== undefined,
        },
      ];
    });
  }

  #probe(runId: RunId, server: BackendServerId): readonly EntryEffect[] {
    const service = this.#runs.get(runId)?.service;
    return service === undefined ? [] : [{ type: 'probe', runId, service, server }];
  }

  #dispatchFailed(state: CallState, failure: Failure): readonly EntryEffect[] {
    if (state.order !== undefined) return this.#end(state, failure);
    return this.#routeAgain(state, failure, undefined);
  }

  /** Routes a request anew if it surely did not run, or is idempotent and within the budget. */
  #routeAgain(
    state: CallState,
    failure: Failure,
    load: number | undefined,
  ): readonly EntryEffect[] {
    const router = this.#placement.router(state.call.service);
    const { target } = state;
    if (failure.outcome === 'unknown') state.mayHaveRun = true;
    this.#releaseTarget(state, load);
    const ctx = this.#placement.context(state.call.service, this.#instant.nowMs);
    const full = failure.code === 'overloaded' || failure.code === 'queue_full';
    if (ctx !== undefined && full) router.refused(state.home, ctx);
    const again =
      ctx !== undefined &&
      target !== undefined &&
      state.open &&
      state.call.replayable &&
      state.excluded.length + 1 < MAX_ROUTES &&
      this.#instant.nowMs < state.deadlineMs &&
      mayRouteAgain(failure, state.class.idempotent, () => router.retries.spend());
    if (!again) return this.#end(state, failure);
    state.excluded.push(target.to);
    return this.#route(state);
  }

  /** Gives back the route that a request holds, and its place in the own ledger. */
  #releaseTarget(state: CallState, load: number | undefined): void {
    const { target } = state;
    if (target === undefined) return;
    state.target = undefined;
    const here = target.to === this.#self.id;
    if (here && target.granted)
      this.#placement.ledger(state.call.service, target.domain).leave(target.to);
    const known = here
      ? this.#placement.loadOf(state.call.service, target.domain, this.#instant.nowMs)
      : load;
    this.#placement.router(state.call.service).release(target.to, target.granted, known);
  }

  #onRunBegun(runId: RunId): readonly EntryEffect[] {
    const effects = this.#runs.get(runId)?.begun(runId);
    if (effects === undefined) return [{ type: 'stopRun', runId }];
    return [{ type: 'relay', runId }, ...this.#apply(effects)];
  }

  #onRunFinished(
    runId: RunId,
    ticket: Ticket,
    result: RunResult,
    answer: KeptAnswer | undefined,
  ): readonly EntryEffect[] {
    const dispatcher = this.#runs.get(runId);
    if (dispatcher === undefined) return [];
    this.#runs.delete(runId);
    const state = this.#calls.get(ticket);
    const reports = this.#noteCrash(dispatcher, runId, state, result);
    const effects = dispatcher.finished(runId, result, this.#instant.nowMs);
    const ended =
      result.type === 'answered' && state !== undefined ? this.#answered(state, answer) : [];
    return [...reports, ...ended, ...this.#apply(effects)];
  }

  #noteCrash(
    dispatcher: Dispatcher,
    runId: RunId,
    state: CallState | undefined,
    result: RunResult,
  ): readonly EntryEffect[] {
    const { wallMs } = this.#instant;
    if (result.type === 'answered' && state !== undefined) {
      const cleared = this.#guard.finished(state.call.fingerprint, wallMs);
      return cleared === undefined ? [] : [this.#reportCrashes([cleared])];
    }
    if (result.type !== 'lost' || !result.crashed) return [];
    if (this.#countedCrashes.delete(runId)) return [];
    const beside = dispatcher.runsBeside(runId);
    beside
      .filter((run) => run.runId !== runId)
      .forEach((run) => this.#countedCrashes.add(run.runId));
    const service = state === undefined ? undefined : this.view.service(state.call.service);
    const records = this.#guard.crashed(
      `${this.#self.id}.${runId}`,
      beside.map((run) => run.work),
      service?.quarantineMs ?? DEFAULT_QUARANTINE_MS,
      wallMs,
    );
    return [this.#reportCrashes(records)];
  }

  /** Tells the other entry VMs, under a version above the one held here whatever the clock says. */
  #reportCrashes(records: readonly CrashRecord[]): EntryEffect {
    const items = records.map((record) => {
      const key = crashKey(record.fingerprint);
      const version = Math.max(
        Math.floor(this.#instant.wallMs),
        (this.#versions.get(key) ?? 0) + 1,
      );
      this.#versions.set(key, version);
      return { key, version, body: record };
    });
    return { type: 'reportCrashes', items };
  }

  #onForwardFinished(
    event: Extract<EntryEvent, { type: 'forwardFinished' }>,
  ): readonly EntryEffect[] {
    const state = this.#calls.get(event.ticket);
    if (state === undefined) return [];
    const { result } = event;
    if (event.bytes !== undefined) this.#chargeLink(state, event.bytes);
    if (result.type === 'answered') {
      this.#releaseTarget(state, event.load);
      return this.#answered(state, result.answer);
    }
    if (result.type === 'unreachable' && state.target !== undefined) {
      this.#placement.suspect(state.target.to, this.#instant.nowMs);
    }
    const toOwner = state.target === undefined;
    if (toOwner) return this.#end(state, ownerFailure(result));
    return this.#routeAgain(state, forwardFailure(result), event.load);
  }

  #chargeLink(state: CallState, bytes: number): void {
    this.#placement.links.learn(state.class.rank, bytes);
    const domain = state.target?.domain;
    const region = domain === undefined ? undefined : this.view.region(domain);
    if (region !== undefined) this.#placement.links.charge(region, bytes, this.#instant.nowMs);
  }

  #answered(state: CallState, answer: KeptAnswer | undefined): readonly EntryEffect[] {
    this.#forget(state);
    if (state.ownedId === undefined) return [];
    return this.#releaseWaiters(this.#owned.answered(state.ownedId, answer));
  }

  /** Forgets the later sendings of a request that were told its end. */
  #releaseWaiters(effects: readonly EntryEffect[]): readonly EntryEffect[] {
    effects.forEach((effect) => {
      if ('ticket' in effect) this.#calls.delete(effect.ticket);
    });
    return effects;
  }

  /** Ends a request without an answer. */
  #end(state: CallState, ending: Failure): readonly EntryEffect[] {
    const failure = state.mayHaveRun ? asUnknown(ending) : ending;
    this.#forget(state);
    const own: readonly EntryEffect[] = state.open ? [fail(state.call.ticket, failure)] : [];
    if (state.ownedId === undefined) return own;
    return [...own, ...this.#releaseWaiters(this.#owned.failed(state.ownedId, failure))];
  }

  #forget(state: CallState): void {
    this.#releaseTarget(state, undefined);
    if (state.order?.granted === true) {
      this.#placement.ledger(state.call.service, state.order.domain).leave(state.order.from);
    }
    this.#calls.delete(state.call.ticket);
  }

  #onCancelled(ticket: Ticket): readonly EntryEffect[] {
    const state = this.#calls.get(ticket);
    if (state === undefined) return [];
    state.open = false;
    if (state.stage === 'waiting') {
      if (state.ownedId !== undefined) this.#owned.leave(state.ownedId, ticket);
      this.#calls.delete(ticket);
      return [];
    }
    return this.#abandon(state);
  }

  /** Stops what may be stopped: idempotent work anywhere, other work only while it waits. */
  #abandon(state: CallState): readonly EntryEffect[] {
    const { ticket } = state.call;
    if (state.stage === 'dispatched') {
      const dispatcher = this.#dispatcherOf(state);
      return this.#apply(dispatcher?.cancel(ticket, this.#instant.nowMs) ?? []);
    }
    if (!state.class.idempotent) return [];
    return [{ type: 'stopForward', ticket }];
  }

  #dispatcherOf(state: CallState): Dispatcher | undefined {
    const domain = state.order?.domain ?? state.target?.domain;
    if (domain === undefined) return undefined;
    return this.#placement.dispatcher(state.call.service, domain);
  }
}

function fail(ticket: Ticket, failure: Failure): EntryEffect {
  return { type: 'fail', ticket, failure };
}

/** What surely did not run may go elsewhere; what may have run only if it is idempotent. */
function mayRouteAgain(failure: Failure, idempotent: boolean, spendRetry: () => boolean): boolean {
  if (failure.outcome === 'notRun') return ELSEWHERE.has(failure.code);
  return idempotent && failure.code === 'connection_lost' && spendRetry();
}

/** The failure of a request that was sent to the entry VM that dispatches. */
function forwardFailure(result: Exclude<ForwardResult, { type: 'answered' }>): Failure {
  if (result.type === 'failed') return result.failure;
  if (result.type === 'unreachable') return notRun('unreachable');
  return unknown(result.type === 'truncated' && result.relayed ? 'truncated' : 'connection_lost');
}

/**
 * The failure of a request that was sent to the owner of its id. An owner that can't be reached may
 * have run an earlier sending of it.
 */
function ownerFailure(result: Exclude<ForwardResult, { type: 'answered' }>): Failure {
  return result.type === 'unreachable' ? unknown('owner_gone') : forwardFailure(result);
}
