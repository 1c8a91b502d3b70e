/** Keeps an entry VM's facts up to date with the platform's store. */
import { Ok } from 'ts-results-es';
import { FACT_KINDS } from '../coordination/index.js';
import type { FactKind, FleetView } from '../coordination/index.js';
import type { Fact, FactBatch, FactStore, StoreFailure } from '../protocol/index.js';
import type { BackendServerId, SteeringPlan } from '../state/index.js';
import type { Clock } from './clocks.js';
import { pause } from './clocks.js';
import type { Logger } from './logs.js';
import type { NodeMetrics } from './nodemetrics.js';

/** Shortest and longest time for which a watch waits, in milliseconds. Each call is priced. */
const MIN_HOLD_MS = 13_000;
const MAX_HOLD_MS = 19_000;

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

/** What a watch brings that was ended early. */
const NOTHING: FactBatch = { facts: [], revision: 0, changedAt: 0 };

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

  readonly #waiting = new Map<FactKind, AbortController>();

  /** Kinds whose last call failed, and when the store was last known not to answer it. */
  readonly #lost = new Map<FactKind, number>();

  #returnedMs = -Infinity;

  #assigned = false;

  /** Continues what waits for this entry VM to be assigned. */
  #resume: (() => void)[] = [];

  constructor(options: FactWatchOptions) {
    this.#options = options;
  }

  start(): void {
    FACT_KINDS.forEach((kind) => this.#follow(kind));
  }

  stop(): void {
    this.#ended.abort();
    this.#waiting.forEach((waiting) => waiting.abort());
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
      this.#waiting.forEach((waiting) => waiting.abort());
    }
  }

  /** Ends the waiting of a watch that misses what others have learnt; it asks anew. */
  renew(kind: FactKind): void {
    this.#waiting.get(kind)?.abort();
  }

  async #follow(kind: FactKind): Promise<void> {
    let known: number | undefined;
    let pauseMs = FIRST_PAUSE_MS;
    while (!this.#ended.signal.aborted) {
      if (!this.#assigned && this.#options.view.revisions[kind] > 0) {
        await this.#untilAssigned();
        known = this.#options.view.revisions[kind];
      }
      const batch: Awaited<ReturnType<FactStore['list']>> =
        known === undefined ? await this.#list(kind) : await this.#watch(kind, known);
      if (batch.isOk()) {
        known = batch.value.revision;
        pauseMs = FIRST_PAUSE_MS;
        if (batch.value.facts.length > 0) await pause(GATHER_MS, this.#ended.signal);
      } else if (batch.error === 'history_gone') {
        this.#options.log('historyGone', { kind, since: known });
        known = undefined;
      } else if (!this.#ended.signal.aborted) {
        await pause(pauseMs * (0.5 + Math.random()), this.#ended.signal);
        pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
      }
    }
  }

  #untilAssigned(): Promise<void> {
    return new Promise((resolve) => {
      this.#resume.push(resolve);
    });
  }

  async #list(kind: FactKind): ReturnType<FactStore['list']> {
    const calledMs = this.#now();
    const batch = await this.#options.store.list(kind);
    this.#note(kind, batch.isErr() ? batch.error : undefined, calledMs);
    if (batch.isOk()) this.#takeList(kind, batch.value, calledMs);
    return batch;
  }

  async #watch(kind: FactKind, since: number): ReturnType<FactStore['list']> {
    const waiting = new AbortController();
    this.#waiting.set(kind, waiting);
    const holdMs = Math.round(MIN_HOLD_MS + Math.random() * (MAX_HOLD_MS - MIN_HOLD_MS));
    const calledMs = this.#now();
    const batch = await this.#options.store.watch(kind, since, holdMs, waiting.signal);
    this.#waiting.delete(kind);
    if (waiting.signal.aborted && batch.isErr()) return Ok({ ...NOTHING, revision: since });
    this.#note(kind, batch.isErr() ? batch.error : undefined, calledMs);
    if (batch.isOk()) this.#takeChanges(kind, batch.value, calledMs);
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
    if (kind === 'evacuations') view.replaceEvacuations(domains, nowMs);
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
    view.advance(kind, batch.changedAt);
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

  #note(kind: FactKind, failure: StoreFailure | undefined, calledMs: number): void {
    const { log, metrics } = this.#options;
    metrics.storeCall(failure ?? 'done', this.#now());
    const down = failure !== undefined && failure !== 'history_gone';
    const lostMs = this.#lost.get(kind);
    if (down === (lostMs !== undefined)) return;
    const nowMs = this.#now();
    if (lostMs === undefined) {
      this.#lost.set(kind, failure === 'silent' ? calledMs : nowMs);
      log('storeLost', { kind, failure });
    } else {
      this.#lost.delete(kind);
      const outageMs = nowMs - lostMs;
      if (outageMs >= LAPSING_OUTAGE_MS) this.#returnedMs = nowMs;
      log('storeRegained', { kind, outageMs: Math.round(outageMs) });
    }
    // What one call has met, the others' connections may have met without noticing.
    FACT_KINDS.filter((other) => other !== kind).forEach((other) => this.renew(other));
  }

  #now(): number {
    return this.#options.clock().nowMs;
  }
}
