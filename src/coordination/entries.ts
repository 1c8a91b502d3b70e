/**
 * The entry's state machine: takes requests in, routes them, dispatches those for its own backend
 * servers, and says how each ended. Pure: every input is an event with the time, every output an
 * effect.
 */
import { notRun, unknown } from '../state/index.js';
import type {
  BackendServerId,
  EntryVmId,
  MemberRecord,
  RecordLimits,
  ReplicaItem,
  RequestId,
  SettingsView,
} from '../state/index.js';
import { CallFlow } from './callflows.js';
import type { EntrySelf, Instant } from './callflows.js';
import type { Call, DispatchOrder, EntryEffect, EntryEvent, SplitReport } from './calls.js';
import { fail } from './callstates.js';
import type { CallState } from './callstates.js';
import type { CrashRecord } from './crashes.js';
import { CrashWatch } from './crashwatches.js';
import { OwnedRequests } from './owned.js';
import { decideOwner } from './owners.js';
import { Placement } from './placements.js';
import { classify } from './ranks.js';
import type { Ticket } from './works.js';

export interface EntryOptions {
  readonly records?: RecordLimits;
  readonly settleMs?: number;
}

/** Time for which an answer is awaited after its caller was told `unknown`, in milliseconds. */
const LINGER_MS = 30_000;

/** Time without a tick after which claims are settled anew, in milliseconds. */
const PAUSE_MS = 1_000;

/** Time between two steps of routing and grants, in milliseconds. */
const CONTROL_MS = 500;

export class EntryMachine {
  readonly #self: EntrySelf;

  readonly #owned: OwnedRequests;

  readonly #crashes: CrashWatch;

  readonly #placement: Placement;

  readonly #flow: CallFlow;

  #controlAtMs: number;

  #stopping = false;

  /** @param random - uniform in [0, 1). */
  constructor(self: EntrySelf, random: () => number, start: Instant, options: EntryOptions = {}) {
    this.#self = self;
    this.#controlAtMs = start.nowMs;
    this.#owned = new OwnedRequests(start.nowMs, options.records);
    this.#crashes = new CrashWatch(self.id);
    this.#placement = new Placement({
      id: self.id,
      failureDomain: self.failureDomain,
      random,
      settleMs: options.settleMs,
      verdict: (fingerprint) => this.#crashes.verdict(fingerprint, this.#flow.instant.wallMs),
    });
    this.#flow = new CallFlow(self, this.#placement, this.#owned, this.#crashes, start);
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
    return this.#flow.calls.size;
  }

  /** Whether a request is still under way here. */
  knows(ticket: Ticket): boolean {
    return this.#flow.calls.has(ticket);
  }

  get stopping(): boolean {
    return this.#stopping;
  }

  get crashes(): readonly CrashRecord[] {
    return this.#crashes.records;
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
    return this.#placement.loadOf(call.service, order.domain, this.#flow.instant.nowMs);
  }

  /** Splits in force here, for entry VMs that come later. */
  splits(): readonly SplitReport[] {
    return this.#placement.splits();
  }

  /** Takes one event and returns what has to be done about it, in order. */
  handle(event: EntryEvent, instant: Instant): readonly EntryEffect[] {
    const pausedMs = instant.nowMs - this.#flow.instant.nowMs;
    this.#flow.instant = instant;
    const resumed =
      pausedMs > PAUSE_MS ? this.#flow.apply(this.#placement.resettle(instant.nowMs)) : [];
    return [...resumed, ...this.#handle(event)];
  }

  #handle(event: EntryEvent): readonly EntryEffect[] {
    switch (event.type) {
      case 'call':
        return this.#onCall(event.call, event.fromPeer);
      case 'dispatch':
        return this.#flow.dispatch(event.call, event.order);
      case 'runBegun':
        return this.#flow.runBegun(event.runId);
      case 'runFinished':
        return this.#flow.runFinished(event.runId, event.ticket, event.result, event.answer);
      case 'forwardFinished':
        return this.#flow.forwardFinished(event);
      case 'cancelled':
        return this.#flow.cancel(event.ticket);
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
        const probed = this.#flow.runs.get(event.runId);
        return this.#flow.apply(
          probed?.probed(event.runId, event.alive, this.#flow.instant.nowMs) ?? [],
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
    return this.#flow.apply(this.#placement.configure(this.#flow.instant.nowMs));
  }

  /** Takes an item in unless it is older than the one held: an agent may be behind another. */
  #onItem(item: ReplicaItem): readonly EntryEffect[] {
    if (this.#crashes.learn(item)) return [];
    return this.#placement.learn(item) ? this.#configure() : [];
  }

  #onGrantAsked(event: Extract<EntryEvent, { type: 'grantAsked' }>): EntryEffect {
    const { askId, from, service, domain, want } = event;
    const slots = this.#stopping
      ? 0
      : this.#placement.grant(from, service, domain, want, this.#flow.instant.nowMs);
    return { type: 'grant', askId, slots };
  }

  #onTick(): readonly EntryEffect[] {
    const { nowMs, wallMs } = this.#flow.instant;
    const effects = [...this.#flow.apply(this.#placement.tick(nowMs)), ...this.#expireCalls(nowMs)];
    if (nowMs - this.#controlAtMs < CONTROL_MS) return effects;
    this.#controlAtMs = nowMs;
    this.#crashes.expire(wallMs);
    return [...effects, ...this.#configure(), ...this.#placement.control(nowMs)];
  }

  /** Tells callers whose deadline passed; what can't be stopped is awaited a while longer. */
  #expireCalls(nowMs: number): readonly EntryEffect[] {
    const late = [...this.#flow.calls.values()].filter((state) => state.deadlineMs <= nowMs);
    return late.flatMap((state) => {
      if (state.open) {
        state.open = false;
        const told = fail(state.call.ticket, unknown('deadline'));
        if (state.stage === 'waiting') return [told, ...this.#flow.cancel(state.call.ticket)];
        return [told, ...this.#flow.abandon(state)];
      }
      if (state.deadlineMs + LINGER_MS > nowMs) return [];
      return this.#flow.end(state, unknown('deadline'));
    });
  }

  #onCall(call: Call, fromPeer: boolean): readonly EntryEffect[] {
    const service = this.view.service(call.service);
    if (service === undefined) return [fail(call.ticket, notRun('unknown_service'))];
    const classification = classify(service, call.method, call.path);
    const deadlineMs = this.#flow.instant.nowMs + (call.leftMs ?? service.deadlineMs);
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
      return this.#flow.admit(state(undefined));
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
    const start = this.#owned.begin(ticket, id, epoch, fingerprint, this.#flow.instant.nowMs);
    if (start.type === 'end') return [start.effect];
    if (start.type === 'run') return this.#flow.admit(state);
    this.#flow.calls.set(ticket, state);
    return [];
  }

  #forwardToOwner(state: CallState, to: EntryVmId): readonly EntryEffect[] {
    const member = this.#placement.member(to);
    if (member === undefined) return [fail(state.call.ticket, unknown('owner_gone'))];
    this.#flow.calls.set(state.call.ticket, state);
    state.stage = 'forwarded';
    state.target = undefined;
    return [this.#flow.forwardEffect(state, member, undefined)];
  }
}
