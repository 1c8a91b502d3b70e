/** Lists and watches the facts in the platform's store and applies them to the entry VM's view. */
import { FACT_KINDS, RevisionTracker } from '../coordination/index.js';
import type { FactKind, FleetView, Revisions } from '../coordination/index.js';
import type { Fact, FactBatch, FactStore, StoreFailure } from '../protocol/index.js';
import type { BackendServerId, SteeringPlan } from '../state/index.js';
import type { Clock } from './clocks.js';
import { pause } from './clocks.js';
import type { Logger } from './logs.js';
import type { NodeMetrics } from './nodemetrics.js';

/** Range of the time that a watch call is held open, in milliseconds: the store keeps 20 s of history. */
const MIN_HOLD_MS = 13_000;
const MAX_HOLD_MS = 19_000;

/**
 * Interval between calls for the store's revision, unless a call takes longer. It bounds the time until a
 * silent connection of a watch is detected. Listing again must still fit into the roughly two seconds
 * within which a change is to be in force.
 */
const CHECK_INTERVAL_MS = 1_200;

/**
 * Time for a change that the revision call has revealed to arrive on a working watch. It is longer than
 * the pause of a watch after a change.
 */
const ARRIVAL_GRACE_MS = 300;

/** Pause after a change, so that one call returns all changes that follow shortly after it. */
const BATCH_DELAY_MS = 250;

/** Initial and maximum backoff after a failed call. */
const INITIAL_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 1_500;

/** Duration of a store outage from which entries may have expired: less than any lease. */
const MIN_LAPSE_OUTAGE_MS = 2_000;

/**
 * Time after such an outage in which missing entries are kept, since servers may register again: they
 * renew their leases within about two seconds.
 */
const RENEWAL_GRACE_MS = 2_000;

/** A watch call that the store has not answered yet. */
interface OpenWatch {
  readonly call: AbortController;
  /** When the call was made, monotonic, in milliseconds. */
  readonly sinceMs: number;
}

/** A call whose outages are tracked: a kind's list or watch, or the call for the store's revision. */
type StoreCall = FactKind | 'revision';

export interface FactWatcherOptions {
  readonly store: FactStore;
  readonly view: FleetView;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: NodeMetrics;
  /** Called for each backend server that was removed. */
  readonly onServerGone: (server: BackendServerId) => void;
  /** Called when facts have changed, with the revisions before. */
  readonly onChange: (before: Revisions) => void;
}

export class FactWatcher {
  readonly #options: FactWatcherOptions;

  readonly #stopped = new AbortController();

  readonly #openWatches = new Map<FactKind, OpenWatch>();

  /** Aborts each kind's current call, or its backoff after a failed one. */
  readonly #calls = new Map<FactKind, AbortController>();

  readonly #ledger = new RevisionTracker();

  /** Kinds that were listed at least once. */
  readonly #listedKinds = new Set<FactKind>();

  /** Kinds to list again, because their watch may have missed a change. */
  readonly #relistKinds = new Set<FactKind>();

  /** Ends the pause before the next call for the store's revision. */
  #checkDelay = new AbortController();

  /** Calls whose last attempt failed, and when their outage began, monotonic, in milliseconds. */
  readonly #outages = new Map<StoreCall, number>();

  #storeReturnedMs = -Infinity;

  #assigned = false;

  /** Resolve functions of the loops that wait until this entry VM is assigned to watch. */
  #assignmentWaiters: (() => void)[] = [];

  constructor(options: FactWatcherOptions) {
    this.#options = options;
  }

  start(): void {
    FACT_KINDS.forEach((kind) => this.#syncKind(kind));
    this.#checkRevision();
  }

  stop(): void {
    this.#stopped.abort();
    this.#checkDelay.abort();
    FACT_KINDS.forEach((kind) => this.#restartCall(kind));
  }

  get assigned(): boolean {
    return this.#assigned;
  }

  /** Whether this entry VM watches the store and the last call of every kind succeeded. */
  get healthy(): boolean {
    return this.#assigned && this.#options.view.initialized && this.#outages.size === 0;
  }

  /** Starts or stops watching. An entry VM that does not watch gets facts from others of its failure domain. */
  assign(assigned: boolean): void {
    if (this.#assigned === assigned) return;
    this.#assigned = assigned;
    this.#options.log(assigned ? 'watchStarted' : 'watchEnded', {
      revisions: this.#options.view.revisions,
    });
    if (assigned) {
      this.#assignmentWaiters.forEach((resume) => resume());
      this.#assignmentWaiters = [];
    } else {
      this.#outages.clear();
      this.#openWatches.forEach(({ call }) => call.abort());
    }
  }

  /** Aborts an open watch call that lacks facts which other entry VMs have; a new call follows. */
  restartWatch(kind: FactKind): void {
    this.#openWatches.get(kind)?.call.abort();
  }

  /** Aborts a call that hangs, or the backoff after a failed one; a new call follows. */
  #restartCall(kind: FactKind): void {
    this.#calls.get(kind)?.abort();
  }

  /**
   * Regularly compares the store's revision with the changes received. An open watch does not prove that
   * nothing has changed: its connection may be silent.
   */
  async #checkRevision(): Promise<void> {
    const { store } = this.#options;
    let calledMs = this.#now();
    while (!this.#stopped.signal.aborted) {
      if (!this.#assigned) await this.#untilAssigned();
      const pauseMs = Math.max(INITIAL_BACKOFF_MS, calledMs + CHECK_INTERVAL_MS - this.#now());
      await pause(pauseMs, this.#checkDelay.signal);
      this.#checkDelay = new AbortController();
      calledMs = this.#now();
      const revision = await store.revision();
      this.#recordResult('revision', revision.isErr() ? revision.error : undefined, calledMs);
      if (revision.isOk() && this.#ledger.staleKinds(revision.value).length > 0) {
        await pause(ARRIVAL_GRACE_MS, this.#stopped.signal);
        this.#relistMissing(revision.value, calledMs);
      }
    }
  }

  /** Lists kinds again whose watch was open when the revision was read and has not returned all changes. */
  #relistMissing(revision: number, calledMs: number): void {
    const kinds = this.#ledger
      .staleKinds(revision)
      .filter((kind) => (this.#openWatches.get(kind)?.sinceMs ?? Infinity) < calledMs);
    if (kinds.length === 0) return;
    this.#options.log('changesMissed', { kinds, revision });
    kinds.forEach((kind) => {
      this.#relistKinds.add(kind);
      this.restartWatch(kind);
    });
  }

  async #syncKind(kind: FactKind): Promise<void> {
    let knownRevision: number | undefined;
    let backoffMs = INITIAL_BACKOFF_MS;
    while (!this.#stopped.signal.aborted) {
      if (!this.#assigned && this.#options.view.revisions[kind] > 0) {
        await this.#untilAssigned();
        knownRevision = this.#options.view.revisions[kind];
      }
      if (this.#relistKinds.delete(kind)) knownRevision = undefined;
      const call = new AbortController();
      this.#calls.set(kind, call);
      const batch: Awaited<ReturnType<FactStore['list']>> =
        knownRevision === undefined
          ? await this.#list(kind, call)
          : await this.#watch(kind, knownRevision, call);
      if (batch.isOk()) {
        knownRevision = batch.value.revision;
        backoffMs = INITIAL_BACKOFF_MS;
        if (batch.value.facts.length > 0) await pause(BATCH_DELAY_MS, this.#stopped.signal);
      } else if (batch.error === 'history_gone') {
        this.#options.log('historyGone', { kind, since: knownRevision });
        knownRevision = undefined;
      } else if (!call.signal.aborted) {
        await pause(backoffMs * (0.5 + Math.random()), call.signal);
        backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
      }
    }
  }

  #untilAssigned(): Promise<void> {
    return new Promise((resolve) => {
      this.#assignmentWaiters.push(resolve);
    });
  }

  async #list(kind: FactKind, { signal }: AbortController): ReturnType<FactStore['list']> {
    const calledMs = this.#now();
    // The watch or the other entry VMs bring what changed since a stale list, but a list that replaces a
    // watch has to show what the watch missed.
    const mayBeStale = !this.#listedKinds.has(kind);
    const batch = await this.#options.store.list(kind, { signal, mayBeStale });
    if (batch.isOk()) this.#listedKinds.add(kind);
    if (signal.aborted && batch.isErr()) return batch;
    this.#recordResult(kind, batch.isErr() ? batch.error : undefined, calledMs);
    if (batch.isOk()) {
      this.#ledger.recordList(kind, batch.value.revision);
      this.#applyList(kind, batch.value, calledMs);
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
    this.#openWatches.set(kind, { call, sinceMs: calledMs });
    const batch = await this.#options.store.watch(kind, since, holdMs, call.signal);
    this.#openWatches.delete(kind);
    if (call.signal.aborted && batch.isErr()) return batch;
    this.#recordResult(kind, batch.isErr() ? batch.error : undefined, calledMs);
    if (batch.isOk()) {
      this.#ledger.recordChanges(batch.value.changes);
      this.#applyChanges(kind, batch.value, calledMs);
    }
    return batch;
  }

  #applyList(kind: FactKind, batch: FactBatch, calledMs: number): void {
    const { view, log } = this.#options;
    // Another entry VM has sent newer facts meanwhile, which an older list would overwrite.
    if (batch.revision < view.revisions[kind]) return;
    const nowMs = this.#now();
    const revisionsBefore = { ...view.revisions };
    const records = batch.facts.flatMap((fact) => (fact.type === 'server' ? [fact.record] : []));
    const domains = batch.facts.flatMap((fact) =>
      fact.type === 'evacuation' && fact.active ? [fact.domain] : [],
    );
    if (kind === 'servers') {
      const before = view.servers.map((server) => server.record.id);
      view.replaceServers(records, nowMs, this.#removalTimeMs(nowMs));
      before
        .filter((id) => view.server(id) === undefined)
        .forEach((id) => this.#reportGone(id, batch));
    }
    if (kind === 'evacuations') {
      view.replaceEvacuations(domains, nowMs).forEach((domain) => {
        log('evacuationChanged', {
          domain,
          active: view.isEvacuated(domain),
          revision: batch.revision,
        });
      });
    }
    batch.facts.forEach((fact) => {
      if (fact.type === 'plan' || fact.type === 'unreadable')
        this.#applyFact(fact, batch, calledMs);
    });
    // Objects may have been removed after the newest one was written, so the list's revision counts.
    view.advanceRevision(kind, batch.revision);
    log('factsListed', { kind, revision: batch.revision, count: batch.facts.length });
    this.#options.onChange(revisionsBefore);
  }

  #applyChanges(kind: FactKind, batch: FactBatch, calledMs: number): void {
    const { view } = this.#options;
    if (batch.facts.length === 0) return;
    const revisionsBefore = { ...view.revisions };
    batch.facts.forEach((fact) => this.#applyFact(fact, batch, calledMs));
    view.advanceRevision(kind, Math.max(0, ...batch.changes));
    this.#options.onChange(revisionsBefore);
  }

  #applyFact(fact: Fact, { revision }: FactBatch, calledMs: number): void {
    const { view, log } = this.#options;
    const nowMs = this.#now();
    switch (fact.type) {
      case 'plan':
        this.#applyPlan(fact.plan, { revision, waitedMs: Math.round(nowMs - calledMs) });
        break;
      case 'server':
        if (view.putServer(fact.record, nowMs)) {
          const { id, service, draining, coldMs, bornMs } = fact.record;
          log('serverChanged', { server: id, service, draining, coldMs, bornMs, revision });
        }
        break;
      case 'serverGone':
        if (view.removeServer(fact.id, nowMs, this.#removalTimeMs(nowMs))) {
          this.#reportGone(fact.id, { revision });
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

  #applyPlan(
    plan: SteeringPlan,
    context: { readonly revision: number; readonly waitedMs: number },
  ): void {
    const { view, log, metrics } = this.#options;
    const before = view.plan?.version;
    const details = { plan: plan.version, before, source: 'store', ...context };
    if (view.setPlan(plan)) {
      metrics.planInForce(plan.version, 'store');
      log('planInForce', details);
    } else if (before !== undefined && plan.version < before) log('planOutdated', details);
  }

  #reportGone(id: BackendServerId, { revision }: Pick<FactBatch, 'revision'>): void {
    this.#options.log('serverGone', { server: id, revision });
    this.#options.onServerGone(id);
  }

  /** When an entry that is missing now is to be removed: after an outage, once servers had time to renew it. */
  #removalTimeMs(nowMs: number): number {
    return Math.max(nowMs, this.#storeReturnedMs + RENEWAL_GRACE_MS);
  }

  #recordResult(call: StoreCall, failure: StoreFailure | undefined, calledMs: number): void {
    const { log, metrics } = this.#options;
    metrics.countStoreCall(failure ?? 'done', this.#now());
    const isDown = failure !== undefined && failure !== 'history_gone';
    const outageStartMs = this.#outages.get(call);
    if (isDown === (outageStartMs !== undefined)) return;
    const nowMs = this.#now();
    if (outageStartMs === undefined) {
      this.#outages.set(call, failure === 'silent' ? calledMs : nowMs);
      log('storeLost', { call, failure });
      // The connections of other calls may have failed as well without an error, so check at once.
      if (call !== 'revision') this.#checkDelay.abort();
    } else {
      this.#outages.delete(call);
      const outageMs = nowMs - outageStartMs;
      if (outageMs >= MIN_LAPSE_OUTAGE_MS) this.#storeReturnedMs = nowMs;
      log('storeRegained', { call, outageMs: Math.round(outageMs) });
      FACT_KINDS.filter((kind) => kind !== call).forEach((kind) => this.#restartCall(kind));
    }
  }

  #now(): number {
    return this.#options.clock().nowMs;
  }
}
