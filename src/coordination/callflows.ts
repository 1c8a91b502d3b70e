/**
 * The way of a request through an entry: routed, dispatched here or forwarded, repeated where that is
 * safe, and ended once.
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
} from '../state/index.js';
import type { Call, DispatchOrder, EntryEffect, EntryEvent } from './calls.js';
import { fail, forwardFailure, mayRouteAgain, ownerFailure } from './callstates.js';
import type { CallState } from './callstates.js';
import type { CrashWatch } from './crashwatches.js';
import type { Dispatcher } from './dispatchers.js';
import type { OwnedRequests } from './owned.js';
import type { Placement } from './placements.js';
import { domainDistance } from './places.js';
import { SendingLog } from './sendings.js';
import type { DispatchEffect, RunId, RunResult, Ticket, Work } from './works.js';

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

/** Times a request is routed anew after it surely did not run. */
const MAX_ROUTES = 3;

/** Time kept back for the way between two entry VMs, in milliseconds. */
const HOP_MARGIN_MS = 5;

/** Most of the time left that is kept back for the way. */
const MAX_MARGIN_SHARE = 0.25;

export class CallFlow {
  /** The time of the event that is being handled. */
  instant: Instant;

  /** Requests under way. */
  readonly calls = new Map<Ticket, CallState>();

  /** Which dispatcher started a run. */
  readonly runs = new Map<RunId, Dispatcher>();

  readonly #self: EntrySelf;

  readonly #placement: Placement;

  readonly #owned: OwnedRequests;

  readonly #crashes: CrashWatch;

  readonly #sendings: SendingLog;

  constructor(
    self: EntrySelf,
    placement: Placement,
    owned: OwnedRequests,
    crashes: CrashWatch,
    start: Instant,
  ) {
    this.#self = self;
    this.#placement = placement;
    this.#owned = owned;
    this.#crashes = crashes;
    this.instant = start;
    this.#sendings = new SendingLog(start.nowMs);
  }

  /** Routes a request that may run. */
  admit(state: CallState): readonly EntryEffect[] {
    this.calls.set(state.call.ticket, state);
    const ctx = this.#placement.context(state.call.service, this.instant.nowMs);
    if (ctx === undefined) return this.end(state, notRun('unknown_service'));
    this.#placement.router(state.call.service).arrived(state.home, ctx);
    return this.#route(state);
  }

  #route(state: CallState): readonly EntryEffect[] {
    const ctx = this.#placement.context(state.call.service, this.instant.nowMs);
    if (ctx === undefined) return this.end(state, notRun('unknown_service'));
    const router = this.#placement.router(state.call.service);
    const route = router.route(state.home, state.class.rank, state.excluded, ctx);
    if (route.type === 'none') {
      router.refused(state.home, ctx);
      return this.end(state, notRun(route.code));
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
    return [this.forwardEffect(state, member, order)];
  }

  /** The effect that forwards a request. @param order - undefined when it goes to its owner. */
  forwardEffect(state: CallState, to: MemberRecord, order: DispatchOrder | undefined): EntryEffect {
    const distanceMs = domainDistance(
      this.#placement.view,
      this.#self.failureDomain,
      to.failureDomain,
    );
    const leftHereMs = state.deadlineMs - this.instant.nowMs;
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

  /** Takes a request that another entry VM chose this one to dispatch. */
  dispatch(call: Call, order: DispatchOrder): readonly EntryEffect[] {
    if (order.incarnation !== this.#self.incarnation) {
      return [fail(call.ticket, notRun('wrong_incarnation'))];
    }
    if (!this.#sendings.first(order.sendingId, this.instant.nowMs)) {
      return [fail(call.ticket, unknown('connection_lost'))];
    }
    const { granted } = order;
    if (
      granted &&
      !this.#placement.ledger(call.service, order.domain).enter(order.from, this.instant.nowMs)
    ) {
      return [fail(call.ticket, notRun('no_grant'))];
    }
    const state: CallState = {
      call,
      class: { rank: order.rank, idempotent: order.idempotent },
      home: order.domain,
      deadlineMs: this.instant.nowMs + (call.leftMs ?? 0),
      ownedId: undefined,
      order,
      stage: 'dispatched',
      open: true,
      excluded: [],
      mayHaveRun: false,
      target: undefined,
    };
    this.calls.set(call.ticket, state);
    return this.#dispatchHere(state, order.domain);
  }

  #dispatchHere(state: CallState, domain: FailureDomainId): readonly EntryEffect[] {
    state.stage = 'dispatched';
    if (state.order === undefined && state.target?.granted === true) {
      const ledger = this.#placement.ledger(state.call.service, domain);
      if (!ledger.enter(this.#self.id, this.instant.nowMs)) {
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
    return this.apply(dispatcher.submit(work, this.instant.nowMs));
  }

  /** Turns what a dispatcher wants into effects of the entry. */
  apply(effects: readonly DispatchEffect[]): readonly EntryEffect[] {
    return effects.flatMap((effect): readonly EntryEffect[] => {
      if (effect.type === 'stopRun') return [effect];
      if (effect.type === 'probe') return this.#probe(effect.runId, effect.server);
      const state = this.calls.get(effect.ticket);
      if (state === undefined) return [];
      if (effect.type === 'fail') return this.#dispatchFailed(state, effect.failure);
      const dispatcher = this.#dispatcherOf(state);
      if (dispatcher !== undefined) this.runs.set(effect.runId, dispatcher);
      return [
        {
          type: 'run',
          ticket: effect.ticket,
          runId: effect.runId,
          service: state.call.service,
          server: effect.server,
          idempotent: state.class.idempotent,
          leftMs: Math.max(1, Math.floor(state.deadlineMs - this.instant.nowMs)),
          keep: state.ownedId !== undefined,
        },
      ];
    });
  }

  #probe(runId: RunId, server: BackendServerId): readonly EntryEffect[] {
    const service = this.runs.get(runId)?.service;
    return service === undefined ? [] : [{ type: 'probe', runId, service, server }];
  }

  #dispatchFailed(state: CallState, failure: Failure): readonly EntryEffect[] {
    if (state.order !== undefined) return this.end(state, failure);
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
    const ctx = this.#placement.context(state.call.service, this.instant.nowMs);
    const full = failure.code === 'overloaded' || failure.code === 'queue_full';
    if (ctx !== undefined && full) router.refused(state.home, ctx);
    const again =
      ctx !== undefined &&
      target !== undefined &&
      state.open &&
      state.call.replayable &&
      state.excluded.length + 1 < MAX_ROUTES &&
      this.instant.nowMs < state.deadlineMs &&
      mayRouteAgain(failure, state.class.idempotent, () => router.retries.spend());
    if (!again) return this.end(state, failure);
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
      ? this.#placement.loadOf(state.call.service, target.domain, this.instant.nowMs)
      : load;
    this.#placement.router(state.call.service).release(target.to, target.granted, known);
  }

  /** The first bytes of a run's answer are there. */
  runBegun(runId: RunId): readonly EntryEffect[] {
    const effects = this.runs.get(runId)?.begun(runId);
    if (effects === undefined) return [{ type: 'stopRun', runId }];
    return [{ type: 'relay', runId }, ...this.apply(effects)];
  }

  /** A run ended. */
  runFinished(
    runId: RunId,
    ticket: Ticket,
    result: RunResult,
    answer: KeptAnswer | undefined,
  ): readonly EntryEffect[] {
    const dispatcher = this.runs.get(runId);
    if (dispatcher === undefined) return [];
    this.runs.delete(runId);
    const state = this.calls.get(ticket);
    const reports = this.#noteCrash(dispatcher, runId, state, result);
    const effects = dispatcher.finished(runId, result, this.instant.nowMs);
    const ended =
      result.type === 'answered' && state !== undefined ? this.#answered(state, answer) : [];
    return [...reports, ...ended, ...this.apply(effects)];
  }

  /** Suspects or clears the content of a run that ended. */
  #noteCrash(
    dispatcher: Dispatcher,
    runId: RunId,
    state: CallState | undefined,
    result: RunResult,
  ): readonly EntryEffect[] {
    const { wallMs } = this.instant;
    const items =
      result.type === 'answered' && state !== undefined
        ? this.#crashes.answered(state.call.fingerprint, wallMs)
        : [];
    if (result.type === 'lost' && result.crashed) {
      const quarantineMs = this.#placement.view.service(dispatcher.service)?.quarantineMs;
      items.push(
        ...this.#crashes.crashed(runId, dispatcher.runsBeside(runId), quarantineMs, wallMs),
      );
    }
    return items.length === 0 ? [] : [{ type: 'reportCrashes', items }];
  }

  /** A forwarded request ended. */
  forwardFinished(event: Extract<EntryEvent, { type: 'forwardFinished' }>): readonly EntryEffect[] {
    const state = this.calls.get(event.ticket);
    if (state === undefined) return [];
    const { result } = event;
    if (event.bytes !== undefined) this.#chargeLink(state, event.bytes);
    if (result.type === 'answered') {
      this.#releaseTarget(state, event.load);
      return this.#answered(state, result.answer);
    }
    if (result.type === 'unreachable' && state.target !== undefined) {
      this.#placement.suspect(state.target.to, this.instant.nowMs);
    }
    const toOwner = state.target === undefined;
    if (toOwner) return this.end(state, ownerFailure(result));
    return this.#routeAgain(state, forwardFailure(result), event.load);
  }

  #chargeLink(state: CallState, bytes: number): void {
    this.#placement.links.learn(state.class.rank, bytes);
    const domain = state.target?.domain;
    const region = domain === undefined ? undefined : this.#placement.view.region(domain);
    if (region !== undefined) this.#placement.links.charge(region, bytes, this.instant.nowMs);
  }

  #answered(state: CallState, answer: KeptAnswer | undefined): readonly EntryEffect[] {
    this.#forget(state);
    if (state.ownedId === undefined) return [];
    return this.#releaseWaiters(this.#owned.answered(state.ownedId, answer));
  }

  /** Forgets the later sendings of a request that were told its end. */
  #releaseWaiters(effects: readonly EntryEffect[]): readonly EntryEffect[] {
    effects.forEach((effect) => {
      if ('ticket' in effect) this.calls.delete(effect.ticket);
    });
    return effects;
  }

  /** Ends a request without an answer. */
  end(state: CallState, ending: Failure): readonly EntryEffect[] {
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
    this.calls.delete(state.call.ticket);
  }

  /** The sender of a request is gone. */
  cancel(ticket: Ticket): readonly EntryEffect[] {
    const state = this.calls.get(ticket);
    if (state === undefined) return [];
    state.open = false;
    if (state.stage === 'waiting') {
      if (state.ownedId !== undefined) this.#owned.leave(state.ownedId, ticket);
      this.calls.delete(ticket);
      return [];
    }
    return this.abandon(state);
  }

  /** Stops what may be stopped: idempotent work anywhere, other work only while it waits. */
  abandon(state: CallState): readonly EntryEffect[] {
    const { ticket } = state.call;
    if (state.stage === 'dispatched') {
      const dispatcher = this.#dispatcherOf(state);
      return this.apply(dispatcher?.cancel(ticket, this.instant.nowMs) ?? []);
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
