/**
 * The entry VM's state machine: accepts requests, routes them, dispatches to the backend servers
 * claimed here, and reports each outcome. Pure: each input is an event with its time, each output
 * an effect.
 */
import { notRunFailure, unknownFailure } from '../state/index.js';
import type {
  BackendServerId,
  EntryVmId,
  MemberRecord,
  RequestRecordLimits,
  ReplicaItem,
  RequestId,
  SettingsView,
} from '../state/index.js';
import { CallHandler } from './callhandlers.js';
import type { EntryIdentity, Instant } from './callhandlers.js';
import type { Call, DispatchOrder, EntryEffect, EntryEvent, SplitReport } from './entryevents.js';
import { failEffect } from './callstates.js';
import type { CallState } from './callstates.js';
import type { CrashRecord } from './crashes.js';
import { CrashTracker } from './crashwatches.js';
import { OwnedRequests } from './ownedrequests.js';
import { decideOwner } from './requestowners.js';
import { RoutingState } from './routingstates.js';
import { classifyRequest } from './ranks.js';
import type { Ticket } from './dispatchrequests.js';

export interface EntryOptions {
  readonly records?: RequestRecordLimits;
  readonly settleMs?: number;
}

/** Time to wait for a late response after the caller got `unknown` for its deadline. */
const LATE_RESPONSE_WAIT_MS = 30_000;

/** Gap between events that counts as a process pause; claims must then settle again. */
const PAUSE_THRESHOLD_MS = 1_000;

/** Interval between adjustments of traffic splits and grants. */
const CONTROL_INTERVAL_MS = 500;

export class EntryMachine {
  readonly #self: EntryIdentity;

  readonly #ownedRequests: OwnedRequests;

  readonly #crashTracker: CrashTracker;

  readonly #placement: RoutingState;

  readonly #callHandler: CallHandler;

  #lastControlMs: number;

  #stopping = false;

  /** @param random - uniform in [0, 1). */
  constructor(
    self: EntryIdentity,
    random: () => number,
    start: Instant,
    options: EntryOptions = {},
  ) {
    this.#self = self;
    this.#lastControlMs = start.nowMs;
    this.#ownedRequests = new OwnedRequests(start.nowMs, options.records);
    this.#crashTracker = new CrashTracker(self.id);
    this.#placement = new RoutingState({
      id: self.id,
      failureDomain: self.failureDomain,
      random,
      settleMs: options.settleMs,
      crashVerdict: (fingerprint) =>
        this.#crashTracker.verdict(fingerprint, this.#callHandler.instant.wallMs),
    });
    this.#callHandler = new CallHandler(
      self,
      this.#placement,
      this.#ownedRequests,
      this.#crashTracker,
      start,
    );
  }

  get view(): SettingsView {
    return this.#placement.view;
  }

  /** Entry VMs considered live. */
  get members(): readonly MemberRecord[] {
    return this.#placement.members;
  }

  /** Number of in-flight requests. */
  get inFlight(): number {
    return this.#callHandler.calls.size;
  }

  /** Whether a request is in flight here. */
  hasCall(ticket: Ticket): boolean {
    return this.#callHandler.calls.has(ticket);
  }

  get stopping(): boolean {
    return this.#stopping;
  }

  get crashes(): readonly CrashRecord[] {
    return this.#crashTracker.records;
  }

  /** Current epoch for request-id prefixes. */
  epoch(nowMs: number): number {
    return this.#ownedRequests.epoch(nowMs);
  }

  /** Backend servers claimed by this entry VM, or still running its requests. */
  dispatching(): readonly BackendServerId[] {
    return this.#placement.dispatching();
  }

  /** Running and queued requests per slot; undefined if this entry VM does not dispatch there. */
  loadOf(order: DispatchOrder, call: Call): number | undefined {
    return this.#placement.loadOf(call.service, order.domain, this.#callHandler.instant.nowMs);
  }

  /** Current traffic splits, replicated so that new entry VMs can adopt them. */
  splits(): readonly SplitReport[] {
    return this.#placement.splits();
  }

  /** Processes one event and returns its effects in order. */
  handle(event: EntryEvent, instant: Instant): readonly EntryEffect[] {
    const sinceLastEventMs = instant.nowMs - this.#callHandler.instant.nowMs;
    this.#callHandler.instant = instant;
    const resettled =
      sinceLastEventMs > PAUSE_THRESHOLD_MS
        ? this.#callHandler.apply(this.#placement.restartSettling(instant.nowMs))
        : [];
    return [...resettled, ...this.#dispatchEvent(event)];
  }

  #dispatchEvent(event: EntryEvent): readonly EntryEffect[] {
    switch (event.type) {
      case 'call':
        return this.#onCall(event.call, event.fromPeer);
      case 'dispatch':
        return this.#callHandler.dispatchForPeer(event.call, event.order);
      case 'runBegun':
        return this.#callHandler.onRunBegun(event.runId);
      case 'runFinished':
        return this.#callHandler.onRunFinished(
          event.runId,
          event.ticket,
          event.result,
          event.answer,
        );
      case 'forwardFinished':
        return this.#callHandler.onForwardFinished(event);
      case 'cancelled':
        return this.#callHandler.onCancelled(event.ticket);
      case 'grantAsked':
        return [this.#onGrantRequest(event)];
      case 'grantReceived':
        this.#placement
          .router(event.service)
          .grants.receive(event.to, event.slots, event.requestedMs);
        return [];
      case 'item':
        return this.#onItem(event.item);
      case 'members':
        this.#placement.setMembers(event.members);
        return this.#configure();
      case 'serverSign':
        this.#placement.setServerLeaving(event.server, event.leaving);
        return this.#configure();
      case 'probed': {
        const dispatcher = this.#callHandler.runs.get(event.runId);
        return this.#callHandler.apply(
          dispatcher?.probeFinished(event.runId, event.alive, this.#callHandler.instant.nowMs) ??
            [],
        );
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
    return this.#callHandler.apply(this.#placement.configure(this.#callHandler.instant.nowMs));
  }

  /** Applies a replicated item. Stale versions are ignored, since agents may lag behind others. */
  #onItem(item: ReplicaItem): readonly EntryEffect[] {
    if (this.#crashTracker.applyItem(item)) return [];
    return this.#placement.applyItem(item) ? this.#configure() : [];
  }

  #onGrantRequest(event: Extract<EntryEvent, { type: 'grantAsked' }>): EntryEffect {
    const { askId, from, service, domain, want } = event;
    const slots = this.#stopping
      ? 0
      : this.#placement.grant(from, service, domain, want, this.#callHandler.instant.nowMs);
    return { type: 'grant', askId, slots };
  }

  #onTick(): readonly EntryEffect[] {
    const { nowMs, wallMs } = this.#callHandler.instant;
    const effects = [
      ...this.#callHandler.apply(this.#placement.tick(nowMs)),
      ...this.#expireCalls(nowMs),
    ];
    if (nowMs - this.#lastControlMs < CONTROL_INTERVAL_MS) return effects;
    this.#lastControlMs = nowMs;
    this.#crashTracker.expire(wallMs);
    return [...effects, ...this.#configure(), ...this.#placement.rebalance(nowMs)];
  }

  /** Fails requests past their deadline. Those that can't be stopped stay tracked for a while. */
  #expireCalls(nowMs: number): readonly EntryEffect[] {
    const expired = [...this.#callHandler.calls.values()].filter(
      (state) => state.deadlineMs <= nowMs,
    );
    return expired.flatMap((state) => {
      if (state.callerWaiting) {
        state.callerWaiting = false;
        const notification = failEffect(state.call.ticket, unknownFailure('deadline'));
        if (state.stage === 'waiting')
          return [notification, ...this.#callHandler.onCancelled(state.call.ticket)];
        return [notification, ...this.#callHandler.stopIfSafe(state)];
      }
      if (state.deadlineMs + LATE_RESPONSE_WAIT_MS > nowMs) return [];
      return this.#callHandler.failCall(state, unknownFailure('deadline'));
    });
  }

  #onCall(call: Call, fromPeer: boolean): readonly EntryEffect[] {
    const service = this.view.service(call.service);
    if (service === undefined) return [failEffect(call.ticket, notRunFailure('unknown_service'))];
    const classification = classifyRequest(service, call.method, call.path);
    const deadlineMs = this.#callHandler.instant.nowMs + (call.leftMs ?? service.deadlineMs);
    const home = call.home ?? this.#self.failureDomain;
    const createState = (ownedId: RequestId | undefined): CallState => ({
      call,
      classification,
      home,
      deadlineMs,
      ownedId,
      order: undefined,
      stage: 'waiting',
      callerWaiting: true,
      excluded: [],
      mayHaveRun: false,
      target: undefined,
    });
    if (classification.idempotent || call.requestId === undefined) {
      return this.#callHandler.admit(createState(undefined));
    }
    const decision = decideOwner(call.requestId, this.#self, this.members);
    if (decision.type === 'fail') return [failEffect(call.ticket, decision.failure)];
    if (decision.type === 'forward') {
      if (fromPeer) return [failEffect(call.ticket, unknownFailure('owner_gone'))];
      return this.#forwardToOwner(createState(undefined), decision.to);
    }
    return this.#beginOwnedRequest(createState(call.requestId), call.requestId, decision.epoch);
  }

  #beginOwnedRequest(state: CallState, id: RequestId, epoch: number): readonly EntryEffect[] {
    const { ticket, fingerprint } = state.call;
    const result = this.#ownedRequests.begin(
      ticket,
      id,
      epoch,
      fingerprint,
      this.#callHandler.instant.nowMs,
    );
    if (result.type === 'end') return [result.effect];
    if (result.type === 'run') return this.#callHandler.admit(state);
    this.#callHandler.calls.set(ticket, state);
    return [];
  }

  #forwardToOwner(state: CallState, to: EntryVmId): readonly EntryEffect[] {
    const member = this.#placement.member(to);
    if (member === undefined) return [failEffect(state.call.ticket, unknownFailure('owner_gone'))];
    this.#callHandler.calls.set(state.call.ticket, state);
    state.stage = 'forwarded';
    state.target = undefined;
    return [this.#callHandler.forwardEffect(state, member, undefined)];
  }
}
