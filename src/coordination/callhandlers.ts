/**
 * Handles in-flight requests on an entry VM: routes each request, dispatches it locally or forwards
 * it, retries it where that is safe, and completes it exactly once.
 */
import { toUnknownFailure, notRunFailure, unknownFailure } from '../state/index.js';
import type {
  BackendServerId,
  EntryVmId,
  Failure,
  FailureDomainId,
  Incarnation,
  KeptAnswer,
  MemberRecord,
} from '../state/index.js';
import type { Call, DispatchOrder, EntryEffect, EntryEvent } from './entryevents.js';
import { failEffect, forwardFailure, mayReroute, ownerFailure } from './callstates.js';
import type { CallState } from './callstates.js';
import type { CrashTracker } from './crashwatches.js';
import type { Dispatcher } from './dispatchers.js';
import type { OwnedRequests } from './ownedrequests.js';
import type { RoutingState } from './routingstates.js';
import { domainLatencyMs } from './dispatcherindexes.js';
import { SendingDeduplicator } from './sendingdeduplicators.js';
import type {
  DispatchEffect,
  RunId,
  RunResult,
  Ticket,
  DispatchRequest,
} from './dispatchrequests.js';

/** Identifies this entry VM and its current process. */
export interface EntryIdentity {
  readonly id: EntryVmId;
  readonly incarnation: Incarnation;
  readonly failureDomain: FailureDomainId;
}

/** A monotonic and a wall-clock reading taken together. */
export interface Instant {
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
  /** Wall-clock time, in milliseconds since 1970. */
  readonly wallMs: number;
}

/** Most entry VMs tried for one request. */
const MAX_ROUTING_ATTEMPTS = 3;

/** Time reserved for a hop between two entry VMs, besides the network round trip. */
const HOP_MARGIN_MS = 5;

/** Largest share of the remaining time that is reserved for the hop. */
const MAX_MARGIN_SHARE = 0.25;

export class CallHandler {
  /** Time of the event being handled. */
  instant: Instant;

  /** In-flight requests. */
  readonly calls = new Map<Ticket, CallState>();

  /** The dispatcher that started each run. */
  readonly runs = new Map<RunId, Dispatcher>();

  readonly #self: EntryIdentity;

  readonly #placement: RoutingState;

  readonly #ownedRequests: OwnedRequests;

  readonly #crashTracker: CrashTracker;

  readonly #deduplicator: SendingDeduplicator;

  constructor(
    self: EntryIdentity,
    placement: RoutingState,
    ownedRequests: OwnedRequests,
    crashTracker: CrashTracker,
    start: Instant,
  ) {
    this.#self = self;
    this.#placement = placement;
    this.#ownedRequests = ownedRequests;
    this.#crashTracker = crashTracker;
    this.instant = start;
    this.#deduplicator = new SendingDeduplicator(start.nowMs);
  }

  /** Accepts a new request and routes it. */
  admit(state: CallState): readonly EntryEffect[] {
    this.calls.set(state.call.ticket, state);
    const ctx = this.#placement.routerContext(state.call.service, this.instant.nowMs);
    if (ctx === undefined) return this.failCall(state, notRunFailure('unknown_service'));
    this.#placement.router(state.call.service).recordArrival(state.home, ctx);
    return this.#route(state);
  }

  #route(state: CallState): readonly EntryEffect[] {
    const ctx = this.#placement.routerContext(state.call.service, this.instant.nowMs);
    if (ctx === undefined) return this.failCall(state, notRunFailure('unknown_service'));
    const router = this.#placement.router(state.call.service);
    const route = router.route(state.home, state.classification.rank, state.excluded, ctx);
    if (route.type === 'none') {
      router.recordRefusal(state.home, ctx);
      return this.failCall(state, notRunFailure(route.code));
    }
    state.target = route;
    router.recordDispatch(route.to);
    if (route.to === this.#self.id) return this.#dispatchLocally(state, route.domain);
    const member = this.#placement.member(route.to);
    if (member === undefined) return this.#reroute(state, notRunFailure('no_entry_vm'), undefined);
    state.stage = 'forwarded';
    const order: DispatchOrder = {
      from: this.#self.id,
      sendingId: `${this.#self.incarnation}.${state.call.ticket}.${state.excluded.length}`,
      incarnation: member.incarnation,
      domain: route.domain,
      rank: state.classification.rank,
      idempotent: state.classification.idempotent,
      granted: route.granted,
    };
    return [this.forwardEffect(state, member, order)];
  }

  /**
   * Builds the effect that forwards a request.
   *
   * @param order - undefined when the request goes to the owner of its id.
   */
  forwardEffect(state: CallState, to: MemberRecord, order: DispatchOrder | undefined): EntryEffect {
    const distanceMs = domainLatencyMs(
      this.#placement.view,
      this.#self.failureDomain,
      to.failureDomain,
    );
    const remainingMs = state.deadlineMs - this.instant.nowMs;
    const marginMs = Math.min(HOP_MARGIN_MS + 2 * distanceMs, remainingMs * MAX_MARGIN_SHARE);
    const forwardedMs = remainingMs - marginMs;
    return {
      type: 'forward',
      ticket: state.call.ticket,
      to,
      order,
      leftMs: Math.max(1, Math.floor(forwardedMs)),
      keepResponse: state.ownedId !== undefined,
    };
  }

  /** Dispatches a request that another entry VM routed to this one. */
  dispatchForPeer(call: Call, order: DispatchOrder): readonly EntryEffect[] {
    if (order.incarnation !== this.#self.incarnation) {
      return [failEffect(call.ticket, notRunFailure('wrong_incarnation'))];
    }
    if (!this.#deduplicator.addIfNew(order.sendingId, this.instant.nowMs)) {
      return [failEffect(call.ticket, unknownFailure('connection_lost'))];
    }
    const { granted } = order;
    if (
      granted &&
      !this.#placement.ledger(call.service, order.domain).admit(order.from, this.instant.nowMs)
    ) {
      return [failEffect(call.ticket, notRunFailure('no_grant'))];
    }
    const state: CallState = {
      call,
      classification: { rank: order.rank, idempotent: order.idempotent },
      home: order.domain,
      deadlineMs: this.instant.nowMs + (call.leftMs ?? 0),
      ownedId: undefined,
      order,
      stage: 'dispatched',
      callerWaiting: true,
      excluded: [],
      mayHaveRun: false,
      target: undefined,
    };
    this.calls.set(call.ticket, state);
    return this.#dispatchLocally(state, order.domain);
  }

  #dispatchLocally(state: CallState, domain: FailureDomainId): readonly EntryEffect[] {
    state.stage = 'dispatched';
    if (state.order === undefined && state.target?.granted === true) {
      const ledger = this.#placement.ledger(state.call.service, domain);
      if (!ledger.admit(this.#self.id, this.instant.nowMs)) {
        return this.#reroute(state, notRunFailure('no_grant'), undefined);
      }
    }
    const dispatcher = this.#placement.dispatcher(state.call.service, domain);
    if (dispatcher === undefined) return this.#onDispatchFailed(state, notRunFailure('no_server'));
    const request: DispatchRequest = {
      ticket: state.call.ticket,
      caller: state.call.caller,
      rank: state.classification.rank,
      idempotent: state.classification.idempotent,
      fingerprint: state.call.fingerprint,
      replayable: state.call.replayable,
      deadlineMs: state.deadlineMs,
    };
    return this.apply(dispatcher.submit(request, this.instant.nowMs));
  }

  /** Translates a dispatcher's effects into effects of the entry VM. */
  apply(effects: readonly DispatchEffect[]): readonly EntryEffect[] {
    return effects.flatMap((effect): readonly EntryEffect[] => {
      if (effect.type === 'stopRun') return [effect];
      if (effect.type === 'probe') return this.#probe(effect.runId, effect.server);
      const state = this.calls.get(effect.ticket);
      if (state === undefined) return [];
      if (effect.type === 'fail') return this.#onDispatchFailed(state, effect.failure);
      const dispatcher = this.#dispatcherOf(state);
      if (dispatcher !== undefined) this.runs.set(effect.runId, dispatcher);
      return [
        {
          type: 'run',
          ticket: effect.ticket,
          runId: effect.runId,
          service: state.call.service,
          server: effect.server,
          idempotent: state.classification.idempotent,
          leftMs: Math.max(1, Math.floor(state.deadlineMs - this.instant.nowMs)),
          keepResponse: state.ownedId !== undefined,
        },
      ];
    });
  }

  #probe(runId: RunId, server: BackendServerId): readonly EntryEffect[] {
    const service = this.runs.get(runId)?.service;
    return service === undefined ? [] : [{ type: 'probe', runId, service, server }];
  }

  #onDispatchFailed(state: CallState, failure: Failure): readonly EntryEffect[] {
    if (state.order !== undefined) return this.failCall(state, failure);
    return this.#reroute(state, failure, undefined);
  }

  /** Reroutes a request that did not run, or an idempotent one if the retry budget allows. */
  #reroute(state: CallState, failure: Failure, load: number | undefined): readonly EntryEffect[] {
    const router = this.#placement.router(state.call.service);
    const { target } = state;
    if (failure.outcome === 'unknown') state.mayHaveRun = true;
    this.#releaseTarget(state, load);
    const ctx = this.#placement.routerContext(state.call.service, this.instant.nowMs);
    const receiverFull = failure.code === 'overloaded' || failure.code === 'queue_full';
    if (ctx !== undefined && receiverFull) router.recordRefusal(state.home, ctx);
    const mayRetry =
      ctx !== undefined &&
      target !== undefined &&
      state.callerWaiting &&
      state.call.replayable &&
      state.excluded.length + 1 < MAX_ROUTING_ATTEMPTS &&
      this.instant.nowMs < state.deadlineMs &&
      mayReroute(failure, state.classification.idempotent, () => router.retryBudget.trySpend());
    if (!mayRetry) return this.failCall(state, failure);
    state.excluded.push(target.to);
    return this.#route(state);
  }

  /** Releases the request's route, and its slot in the local headroom ledger. */
  #releaseTarget(state: CallState, load: number | undefined): void {
    const { target } = state;
    if (target === undefined) return;
    state.target = undefined;
    const isLocal = target.to === this.#self.id;
    if (isLocal && target.granted)
      this.#placement.ledger(state.call.service, target.domain).release(target.to);
    const receiverLoad = isLocal
      ? this.#placement.loadOf(state.call.service, target.domain, this.instant.nowMs)
      : load;
    this.#placement.router(state.call.service).release(target.to, target.granted, receiverLoad);
  }

  /** Handles the first bytes of a run's response. */
  onRunBegun(runId: RunId): readonly EntryEffect[] {
    const effects = this.runs.get(runId)?.responseStarted(runId);
    if (effects === undefined) return [{ type: 'stopRun', runId }];
    return [{ type: 'relay', runId }, ...this.apply(effects)];
  }

  /** Handles the end of a run. */
  onRunFinished(
    runId: RunId,
    ticket: Ticket,
    result: RunResult,
    answer: KeptAnswer | undefined,
  ): readonly EntryEffect[] {
    const dispatcher = this.runs.get(runId);
    if (dispatcher === undefined) return [];
    this.runs.delete(runId);
    const state = this.calls.get(ticket);
    const crashReports = this.#updateSuspects(dispatcher, runId, state, result);
    const effects = dispatcher.runFinished(runId, result, this.instant.nowMs);
    const completion =
      result.type === 'answered' && state !== undefined ? this.#complete(state, answer) : [];
    return [...crashReports, ...completion, ...this.apply(effects)];
  }

  /** Updates the crash suspects after a run. */
  #updateSuspects(
    dispatcher: Dispatcher,
    runId: RunId,
    state: CallState | undefined,
    result: RunResult,
  ): readonly EntryEffect[] {
    const { wallMs } = this.instant;
    const items =
      result.type === 'answered' && state !== undefined
        ? this.#crashTracker.answered(state.call.fingerprint, wallMs)
        : [];
    if (result.type === 'lost' && result.crashed) {
      const quarantineMs = this.#placement.view.service(dispatcher.service)?.quarantineMs;
      items.push(
        ...this.#crashTracker.crashed(
          runId,
          dispatcher.runsOnSameServer(runId),
          quarantineMs,
          wallMs,
        ),
      );
    }
    return items.length === 0 ? [] : [{ type: 'reportCrashes', items }];
  }

  /** Handles the end of a forwarded request. */
  onForwardFinished(
    event: Extract<EntryEvent, { type: 'forwardFinished' }>,
  ): readonly EntryEffect[] {
    const state = this.calls.get(event.ticket);
    if (state === undefined) return [];
    const { result } = event;
    if (event.bytes !== undefined) this.#chargeLink(state, event.bytes);
    if (result.type === 'answered') {
      this.#releaseTarget(state, event.load);
      return this.#complete(state, result.answer);
    }
    if (result.type === 'unreachable' && state.target !== undefined) {
      this.#placement.markUnreachable(state.target.to, this.instant.nowMs);
    }
    const sentToOwner = state.target === undefined;
    if (sentToOwner) return this.failCall(state, ownerFailure(result));
    return this.#reroute(state, forwardFailure(result), event.load);
  }

  #chargeLink(state: CallState, bytes: number): void {
    this.#placement.links.recordResponseSize(state.classification.rank, bytes);
    const domain = state.target?.domain;
    const region = domain === undefined ? undefined : this.#placement.view.region(domain);
    if (region !== undefined) this.#placement.links.charge(region, bytes, this.instant.nowMs);
  }

  #complete(state: CallState, answer: KeptAnswer | undefined): readonly EntryEffect[] {
    this.#removeCall(state);
    if (state.ownedId === undefined) return [];
    return this.#removeWaiters(this.#ownedRequests.answered(state.ownedId, answer));
  }

  /** Removes the duplicate requests whose outcome the effects deliver. */
  #removeWaiters(effects: readonly EntryEffect[]): readonly EntryEffect[] {
    effects.forEach((effect) => {
      if ('ticket' in effect) this.calls.delete(effect.ticket);
    });
    return effects;
  }

  /** Fails a request and the duplicates that wait for its outcome. */
  failCall(state: CallState, cause: Failure): readonly EntryEffect[] {
    const failure = state.mayHaveRun ? toUnknownFailure(cause) : cause;
    this.#removeCall(state);
    const callerEffects: readonly EntryEffect[] = state.callerWaiting
      ? [failEffect(state.call.ticket, failure)]
      : [];
    if (state.ownedId === undefined) return callerEffects;
    return [
      ...callerEffects,
      ...this.#removeWaiters(this.#ownedRequests.failed(state.ownedId, failure)),
    ];
  }

  #removeCall(state: CallState): void {
    this.#releaseTarget(state, undefined);
    if (state.order?.granted === true) {
      this.#placement.ledger(state.call.service, state.order.domain).release(state.order.from);
    }
    this.calls.delete(state.call.ticket);
  }

  /** Handles the disconnect of a request's sender. */
  onCancelled(ticket: Ticket): readonly EntryEffect[] {
    const state = this.calls.get(ticket);
    if (state === undefined) return [];
    state.callerWaiting = false;
    if (state.stage === 'waiting') {
      if (state.ownedId !== undefined) this.#ownedRequests.removeWaiter(state.ownedId, ticket);
      this.calls.delete(ticket);
      return [];
    }
    return this.stopIfSafe(state);
  }

  /** Stops an idempotent request at any stage, any other only while it is queued here. */
  stopIfSafe(state: CallState): readonly EntryEffect[] {
    const { ticket } = state.call;
    if (state.stage === 'dispatched') {
      const dispatcher = this.#dispatcherOf(state);
      return this.apply(dispatcher?.cancel(ticket, this.instant.nowMs) ?? []);
    }
    if (!state.classification.idempotent) return [];
    return [{ type: 'stopForward', ticket }];
  }

  #dispatcherOf(state: CallState): Dispatcher | undefined {
    const domain = state.order?.domain ?? state.target?.domain;
    if (domain === undefined) return undefined;
    return this.#placement.dispatcher(state.call.service, domain);
  }
}
