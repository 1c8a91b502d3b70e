/** Keeps an entry VM's facts up to date with the platform's store. */
import { FACT_KINDS, RevisionLedger } from '../coordination/index.js';
import type { FactKind, FleetView } from '../coordination/index.js';
import type { Fact, FactBatch, FactStore, StoreFailure } from '../protocol/index.js';
import type { BackendServerId, SteeringPlan } from '../state/index.js';
import type { Clock } from './clocks.js';
import { pause } from './clocks.js';
import type { Logger } from './logs.js';
import type { NodeMetrics } from './nodemetrics.js';

/** Shortest and longest time for which a watch waits, in milliseconds: the store keeps 20 s of history. */
const MIN_HOLD_MS = 13_000;
const MAX_HOLD_MS = 19_000;

/**
 * Time from one question for the store's revision to the next, in milliseconds, if the answer is there by
 * then. A watch whose connection has gone silent is found out by then; asking anew must still fit into the
 * two seconds or so in which a change is to be in force.
 */
const CHECK_MS = 1_200;

/**
 * Time for a change that the store has told of elsewhere to arrive on a watch that works, in
 * milliseconds: longer than a watch pauses after a change.
 */
const ARRIVING_MS = 300;

/** Time after a change in which more are expected; one call then brings them all, in milliseconds. */
const GATHER_MS = 250;

/** First and longest pause after a failure, in milliseconds. */
const FIRST_PAUSE_MS = 250;
const LONGEST_PAUSE_MS = 1_500;

/** Outage after which entries may have lapsed, in milliseconds: less than any lease. */
const LAPSING_OUTAGE_MS = 2_000;

/**
 * Time after the store's return in which entries that lapsed meanwhile may come back, in
 * milliseconds: servers renew theirs within about two seconds.
 */
const LAPSE_GRACE_MS = 2_000;

/** A watch that waits for the store. */
interface Waiting {
  readonly call: AbortController;
  /** When the call was made, monotonic, in milliseconds. */
  readonly sinceMs: number;
}

/** A call whose failure is noted: a kind's list or watch, or the question for the store's revision. */
type StoreCall = FactKind | 'revision';

export interface FactWatchOptions {
  readonly store: FactStore;
  readonly view: FleetView;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: NodeMetrics;
  /** Told of backend servers that are gone. */
  readonly onGone: (server: BackendServerId) => void;
  /** Told when facts have changed. */
  readonly onChange: () => void;
}

export class FactWatch {
  readonly #options: FactWatchOptions;

  readonly #ended = new AbortController();

  readonly #waiting = new Map<FactKind, Waiting>();

  /** Ends each kind's present call, or its pause after a failed one. */
  readonly #turns = new Map<FactKind, AbortController>();

  readonly #ledger = new RevisionLedger();

  /** Kinds that are to be listed, since their watch may have missed a change. */
  readonly #unsure = new Set<FactKind>();

  /** Ends the pause before the next question for the store's revision. */
  #checkSoon = new AbortController();

  /** Calls that failed last time, and when the store was last known not to answer them. */
  readonly #lost = new Map<StoreCall, number>();

  #returnedMs = -Infinity;

  #assigned = false;

  /** Continues what waits for this entry VM to be assigned. */
  #resume: (() => void)[] = [];

  constructor(options: FactWatchOptions) {
    this.#options = options;
  }

  start(): void {
    FACT_KINDS.forEach((kind) => this.#follow(kind));
    this.#check();
  }

  stop(): void {
    this.#ended.abort();
    this.#checkSoon.abort();
    FACT_KINDS.forEach((kind) => this.#askAnew(kind));
  }

  get assigned(): boolean {
    return this.#assigned;
  }

  /** Whether it watches the store and every kind's last call was answered. */
  get working(): boolean {
    return this.#assigned && this.#options.view.informed && this.#lost.size === 0;
  }

  /** Takes up or gives up watching. Without it, others of the failure domain hand over facts. */
  assign(assigned: boolean): void {
    if (this.#assigned === assigned) return;
    this.#assigned = assigned;
    this.#options.log(assigned ? 'watchStarted' : 'watchEnded', {
      revisions: this.#options.view.revisions,
    });
    if (assigned) {
      this.#resume.forEach((resume) => resume());
      this.#resume = [];
    } else {
      this.#lost.clear();
      this.#waiting.forEach(({ call }) => call.abort());
    }
  }

  /** Ends the waiting of a watch that misses what others have learnt; it asks anew. */
  renew(kind: FactKind): void {
    this.#waiting.get(kind)?.call.abort();
  }

  /** Ends a call that hangs, or a pause after one that failed. */
  #askAnew(kind: FactKind): void {
    this.#turns.get(kind)?.abort();
  }

  /**
   * Compares the store's revision with what the watches have brought. A watch that waits proves nothing:
   * its connection may have gone silent.
   */
  async #check(): Promise<void> {
    const { store } = this.#options;
    let calledMs = this.#now();
    while (!this.#ended.signal.aborted) {
      if (!this.#assigned) await this.#untilAssigned();
      const pauseMs = Math.max(FIRST_PAUSE_MS, calledMs + CHECK_MS - this.#now());
      await pause(pauseMs, this.#checkSoon.signal);
      this.#checkSoon = new AbortController();
      calledMs = this.#now();
      const revision = await store.revision();
      this.#note('revision', revision.isErr() ? revision.error : undefined, calledMs);
      if (revision.isOk() && this.#ledger.missing(revision.value).length > 0) {
        await pause(ARRIVING_MS, this.#ended.signal);
        this.#listMissing(revision.value, calledMs);
      }
    }
  }

  /** Lists kinds whose watches were waiting when the store was asked and have not told of all changes. */
  #listMissing(revision: number, askedMs: number): void {
    const kinds = this.#ledger
      .missing(revision)
      .filter((kind) => (this.#waiting.get(kind)?.sinceMs ?? Infinity) < askedMs);
    if (kinds.length === 0) return;
    this.#options.log('changesMissed', { kinds, revision });
    kinds.forEach((kind) => {
      this.#unsure.add(kind);
      this.renew(kind);
    });
  }

  async #follow(kind: FactKind): Promise<void> {
    let known: number | undefined;
    let pauseMs = FIRST_PAUSE_MS;
    while (!this.#ended.signal.aborted) {
      if (!this.#assigned && this.#options.view.revisions[kind] > 0) {
        await this.#untilAssigned();
        known = this.#options.view.revisions[kind];
      }
      if (this.#unsure.delete(kind)) known = undefined;
      const turn = new AbortController();
      this.#turns.set(kind, turn);
      const batch: Awaited<ReturnType<FactStore['list']>> =
        known === undefined ? await this.#list(kind, turn) : await this.#watch(kind, known, turn);
      if (batch.isOk()) {
        known = batch.value.revision;
        pauseMs = FIRST_PAUSE_MS;
        if (batch.value.facts.length > 0) await pause(GATHER_MS, this.#ended.signal);
      } else if (batch.error === 'history_gone') {
        this.#options.log('historyGone', { kind, since: known });
        known = undefined;
      } else if (!turn.signal.aborted) {
        await pause(pauseMs * (0.5 + Math.random()), turn.signal);
        pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
      }
    }
  }

  #untilAssigned(): Promise<void> {
    return new Promise((resolve) => {
      this.#resume.push(resolve);
    });
  }

  async #list(kind: FactKind, { signal }: AbortController): ReturnType<FactStore['list']> {
    const calledMs = this.#now();
    const batch = await this.#options.store.list(kind, signal);
    if (signal.aborted && batch.isErr()) return batch;
    this.#note(kind, batch.isErr() ? batch.error : undefined, calledMs);
    if (batch.isOk()) {
      this.#ledger.listed(kind, batch.value.revision);
      this.#takeList(kind, batch.value, calledMs);
    }
    return batch;
  }

  async #watch(
    kind: FactKind,
    since: number,
    call: AbortController,
  ): ReturnType<FactStore['list']> {
    const holdMs = Math.round(MIN_HOLD_MS + Math.random() * (MAX_HOLD_MS - MIN_HOLD_MS));
    const calledMs = this.#now();
    this.#waiting.set(kind, { call, sinceMs: calledMs });
    const batch = await this.#options.store.watch(kind, since, holdMs, call.signal);
    this.#waiting.delete(kind);
    if (call.signal.aborted && batch.isErr()) return batch;
    this.#note(kind, batch.isErr() ? batch.error : undefined, calledMs);
    if (batch.isOk()) {
      this.#ledger.told(batch.value.changes);
      this.#takeChanges(kind, batch.value, calledMs);
    }
    return batch;
  }

  #takeList(kind: FactKind, batch: FactBatch, calledMs: number): void {
    const { view, log } = this.#options;
    // Another entry VM has told newer facts meanwhile: the list would undo them.
    if (batch.revision < view.revisions[kind]) return;
    const nowMs = this.#now();
    const records = batch.facts.flatMap((fact) => (fact.type === 'server' ? [fact.record] : []));
    const domains = batch.facts.flatMap((fact) =>
      fact.type === 'evacuation' && fact.active ? [fact.domain] : [],
    );
    if (kind === 'servers') {
      const before = view.servers.map((server) => server.record.id);
      view.replaceServers(records, nowMs, this.#goneAtMs(nowMs));
      before.filter((id) => view.server(id) === undefined).forEach((id) => this.#gone(id, batch));
    }
    if (kind === 'evacuations') {
      view.replaceEvacuations(domains, nowMs).forEach((domain) => {
        log('evacuationChanged', {
          domain,
          active: view.evacuated(domain),
          revision: batch.revision,
        });
      });
    }
    batch.facts.forEach((fact) => {
      if (fact.type === 'plan' || fact.type === 'unreadable') this.#take(fact, batch, calledMs);
    });
    // The newest object does not tell of those that were removed later.
    view.advance(kind, batch.revision);
    log('factsListed', { kind, revision: batch.revision, count: batch.facts.length });
    this.#options.onChange();
  }

  #takeChanges(kind: FactKind, batch: FactBatch, calledMs: number): void {
    const { view } = this.#options;
    if (batch.facts.length === 0) return;
    batch.facts.forEach((fact) => this.#take(fact, batch, calledMs));
    view.advance(kind, Math.max(0, ...batch.changes));
    this.#options.onChange();
  }

  #take(fact: Fact, { revision }: FactBatch, calledMs: number): void {
    const { view, log } = this.#options;
    const nowMs = this.#now();
    switch (fact.type) {
      case 'plan':
        this.#takePlan(fact.plan, { revision, waitedMs: Math.round(nowMs - calledMs) });
        break;
      case 'server':
        if (view.putServer(fact.record, nowMs)) {
          const { id, service, draining, coldMs, bornMs } = fact.record;
          log('serverChanged', { server: id, service, draining, coldMs, bornMs, revision });
        }
        break;
      case 'serverGone':
        if (view.removeServer(fact.id, nowMs, this.#goneAtMs(nowMs))) {
          this.#gone(fact.id, { revision });
        }
        break;
      case 'evacuation':
        if (view.setEvacuated(fact.domain, fact.active, nowMs)) {
          log('evacuationChanged', { domain: fact.domain, active: fact.active, revision });
        }
        break;
      case 'unreadable':
        log('factUnreadable', { name: fact.name, issue: fact.issue, revision });
        break;
      default:
        fact satisfies never;
    }
  }

  #takePlan(
    plan: SteeringPlan,
    how: { readonly revision: number; readonly waitedMs: number },
  ): void {
    const { view, log, metrics } = this.#options;
    const before = view.plan?.version;
    const details = { plan: plan.version, before, source: 'store', ...how };
    if (view.setPlan(plan)) {
      metrics.planInForce(plan.version, 'store');
      log('planInForce', details);
    } else if (before !== undefined && plan.version < before) log('planOutdated', details);
  }

  #gone(id: BackendServerId, { revision }: Pick<FactBatch, 'revision'>): void {
    this.#options.log('serverGone', { server: id, revision });
    this.#options.onGone(id);
  }

  /** When an entry that is missing now counts as gone. */
  #goneAtMs(nowMs: number): number {
    return Math.max(nowMs, this.#returnedMs + LAPSE_GRACE_MS);
  }

  #note(call: StoreCall, failure: StoreFailure | undefined, calledMs: number): void {
    const { log, metrics } = this.#options;
    metrics.storeCall(failure ?? 'done', this.#now());
    const down = failure !== undefined && failure !== 'history_gone';
    const lostMs = this.#lost.get(call);
    if (down === (lostMs !== undefined)) return;
    const nowMs = this.#now();
    if (lostMs === undefined) {
      this.#lost.set(call, failure === 'silent' ? calledMs : nowMs);
      log('storeLost', { call, failure });
      // What one call has met, the others' connections may have met without noticing.
      if (call !== 'revision') this.#checkSoon.abort();
    } else {
      this.#lost.delete(call);
      const outageMs = nowMs - lostMs;
      if (outageMs >= LAPSING_OUTAGE_MS) this.#returnedMs = nowMs;
      log('storeRegained', { call, outageMs: Math.round(outageMs) });
      FACT_KINDS.filter((kind) => kind !== call).forEach((kind) => this.#askAnew(kind));
    }
  }

  #now(): number {
    return this.#options.clock().nowMs;
  }
}
