/** An entry VM's process: connects the fact watcher, peer synchronisation, proxy and HTTP servers. */
import { randomBytes } from 'node:crypto';
import type { Server } from 'node:http';
import {
  CrashQuarantine,
  DRAIN_NOTICE_MS,
  FleetView,
  LoadBalancer,
  PeerView,
  RetryBudget,
  Shutdown,
} from '../coordination/index.js';
import type { PeerRecord } from '../coordination/index.js';
import type { Dialect, FactStore, NodeConfig } from '../protocol/index.js';
import { Incarnation } from '../state/index.js';
import type { BackendServerId, FailureDomainId, RegionId } from '../state/index.js';
import { PeerSync } from './peersyncs.js';
import { RequestProxy } from './requestproxies.js';
import { pause, systemClock } from './clocks.js';
import type { Clock } from './clocks.js';
import { CrashArchive } from './crasharchives.js';
import { CrashGuard } from './crashguards.js';
import { FactWatcher } from './factwatches.js';
import {
  applyCallerLimits,
  startCallerServer,
  startLookupServer,
  startMetricsServer,
  startReadinessServer,
} from './httpservers.js';
import type { LookupOrigin } from './httpservers.js';
import type { Logger } from './logs.js';
import { NodeMetrics } from './nodemetrics.js';
import { NoticeRecorder } from './noticerecorders.js';
import { UpstreamPool } from './pools.js';
import { eventLoopMeter } from './utilizationmeters.js';
import type { UtilizationMeter } from './utilizationmeters.js';

/** Interval of the checks whether a stopping process has drained. */
const DRAIN_POLL_MS = 50;

/** Interval at which traffic shares, removals and the store assignment are brought up to date. */
const REFRESH_INTERVAL_MS = 500;

/**
 * Time after the start in which other entry VMs are discovered, before this one decides whether to watch
 * the store: somewhat more than one heartbeat interval.
 */
const PEER_DISCOVERY_MS = 1_000;

/** Maximum time for which callers may cache a look-up. */
const MAX_LOOKUP_TTL_MS = 2_000;

/** Time for which the last responses of a stopping process may still be sent. */
const LAST_RESPONSES_MS = 300;

/** Processor utilization from which callers wait noticeably. */
const BUSY_THRESHOLD = 0.7;

/** Mean pause between two attempts to announce this entry VM in the store. */
const ANNOUNCE_RETRY_MS = 1_000;

export interface EntryNodeOptions {
  readonly store: FactStore;
  readonly dialect: Dialect;
  readonly log: Logger;
  readonly clock?: Clock;
  readonly utilizationMeter?: UtilizationMeter;
}

export class EntryNode {
  #cfg: NodeConfig;

  readonly #options: Required<EntryNodeOptions>;

  readonly #self: PeerRecord;

  readonly #view = new FleetView();

  readonly #peers: PeerView;

  readonly #loadBalancer: LoadBalancer;

  readonly #budget: RetryBudget;

  readonly #pool: UpstreamPool;

  readonly #metrics: NodeMetrics;

  readonly #quarantine: CrashQuarantine;

  readonly #crashArchive: CrashArchive;

  readonly #proxy: RequestProxy;

  readonly #peerSync: PeerSync;

  readonly #factWatcher: FactWatcher;

  #servers: Server[] = [];

  #callerServer: Server | undefined;

  #timers: NodeJS.Timeout[] = [];

  readonly #shutdown = new Shutdown();

  /** Whether utilization exceeded the threshold at the last measurement. */
  #processorShort = false;

  #startedMs = Infinity;

  constructor(cfg: NodeConfig, options: EntryNodeOptions) {
    this.#cfg = cfg;
    this.#options = { clock: systemClock, utilizationMeter: eventLoopMeter(), ...options };
    const { dialect, log, store } = options;
    const { clock } = this.#options;
    this.#self = {
      id: cfg.id,
      failureDomain: cfg.failureDomain,
      region: cfg.region,
      callerAddress: cfg.callerAddress,
      peerAddress: cfg.peerAddress,
    };
    this.#peers = new PeerView(this.#self, clock().nowMs);
    const { maxShift, coldOverage, retryRatio, retryBurst, retryWindowS } = cfg.bounds;
    const regions = new Map(Object.entries(cfg.regions) as [FailureDomainId, RegionId][]);
    const loadBalancerOptions = {
      self: cfg.id,
      home: cfg.failureDomain,
      regions,
      maxShift,
      coldOverage,
    };
    this.#loadBalancer = new LoadBalancer(this.#view, loadBalancerOptions);
    this.#budget = new RetryBudget({
      ratio: retryRatio,
      burst: retryBurst,
      windowMs: retryWindowS,
    });
    this.#metrics = new NodeMetrics(
      () => this.#proxy.inFlight,
      () => clock().nowMs,
    );
    this.#pool = new UpstreamPool({
      view: this.#view,
      loadBalancer: this.#loadBalancer,
      dialect,
      clock,
      log,
      onReachable: () => this.#proxy.placeWaiting(),
    });
    this.#quarantine = new CrashQuarantine(cfg.id);
    const crashGuard = new CrashGuard({
      self: cfg.id,
      quarantine: this.#quarantine,
      pool: this.#pool,
      clock,
      log,
      metrics: this.#metrics,
      onChange: () => this.#crashArchive.sync(),
    });
    this.#crashArchive = new CrashArchive({
      store,
      quarantine: this.#quarantine,
      crashGuard,
      clock,
      log,
      metrics: this.#metrics,
    });
    const noticeRecorder = new NoticeRecorder({
      notices: this.#loadBalancer.notices,
      clock,
      log,
      metrics: this.#metrics,
    });
    this.#proxy = new RequestProxy({
      view: this.#view,
      loadBalancer: this.#loadBalancer,
      budget: this.#budget,
      pool: this.#pool,
      crashGuard,
      noticeRecorder,
      dialect,
      clock,
      log,
      metrics: this.#metrics,
      entryVms: () => this.#peers.sharingBudgets,
      shutdown: this.#shutdown,
    });
    this.#factWatcher = new FactWatcher({
      store,
      view: this.#view,
      clock,
      log,
      metrics: this.#metrics,
      onServerGone: (id) => this.#removeServer(id),
      onChange: (before) => {
        this.#applyPlanLimits();
        this.#peerSync.sendChanges(before);
      },
    });
    this.#peerSync = new PeerSync({
      self: this.#self,
      incarnation: Incarnation.parse(randomBytes(8).toString('hex')),
      seeds: cfg.seeds,
      peers: this.#peers,
      view: this.#view,
      clock,
      log,
      metrics: this.#metrics,
      ready: () => this.ready,
      stopping: () => this.#shutdown.stopping,
      assigned: () => this.#factWatcher.assigned,
      watching: () => this.#factWatcher.healthy,
      sightings: (nowMs) => this.#loadBalancer.loads.flushSightings(nowMs),
      onSightings: (sightings, nowMs) => {
        const known = sightings.filter(({ server }) => this.#view.server(server) !== undefined);
        this.#loadBalancer.loads.recordPeerReports(known, nowMs);
      },
      newCrashReports: (nowMs) => this.#quarantine.flushReports(nowMs),
      standingCrashReports: (nowMs) => this.#quarantine.standingReports(nowMs),
      onCrashReports: (reports, from, nowMs) => crashGuard.merge(reports, from, nowMs),
      newLeaving: () => this.#loadBalancer.notices.flushLeaving(),
      onLeaving: (servers, from) => noticeRecorder.mergeLeaving(servers, from),
      onLiveChanged: () => {
        const { nowMs } = clock();
        this.#assignWatch(nowMs);
        this.#divideWork(nowMs);
      },
      onMerged: ({ kinds, gone }) => {
        kinds.forEach((kind) => this.#factWatcher.restartWatch(kind));
        gone.forEach((id) => this.#removeServer(id));
        this.#applyPlanLimits();
      },
    });
  }

  /** Whether this entry VM has the facts it needs and accepts new callers. */
  get ready(): boolean {
    return this.#view.initialized && !this.#shutdown.stopping;
  }

  async start(): Promise<void> {
    const { dialect, log } = this.#options;
    const cfg = this.#cfg;
    this.#startedMs = this.#options.clock().nowMs;
    this.#budget.withholdBurst(this.#startedMs);
    this.#factWatcher.start();
    this.#crashArchive.start();
    this.#announce();
    await this.#peerSync.start();
    this.#callerServer = await startCallerServer(this.#proxy, cfg.callerAddress);
    this.#servers = [
      this.#callerServer,
      await startLookupServer(dialect, (origin) => this.#answerLookup(origin), cfg.lookupAddress),
      await startReadinessServer(dialect, () => this.ready, cfg.readyAddress),
      await startMetricsServer(this.#metrics, cfg.metricsAddress),
    ];
    this.#timers = [setInterval(() => this.#refresh(), REFRESH_INTERVAL_MS)];
    this.#applyPlanLimits();
    log('processStarted', { address: cfg.callerAddress });
  }

  /** Shuts down gracefully: callers move to other entry VMs and in-flight requests complete. */
  async stop(): Promise<void> {
    if (this.#shutdown.stopping) return;
    const { log, clock } = this.#options;
    const startedMs = clock().nowMs;
    log('processStopping', { inFlight: this.#proxy.inFlight });
    this.#shutdown.begin(this.#cfg.bounds.graceS, startedMs);
    this.#peerSync.sendNow();
    await pause(DRAIN_NOTICE_MS);
    await this.#drainUntil(this.#shutdown.endMs);
    const unfinished = this.#proxy.inFlight;
    this.#proxy.endAll();
    await this.#drainUntil(this.#shutdown.endMs + LAST_RESPONSES_MS);
    this.#timers.forEach((timer) => clearInterval(timer));
    this.#factWatcher.stop();
    this.#crashArchive.stop();
    this.#peerSync.stop();
    this.#servers.forEach((server) => server.close());
    this.#pool.close();
    log('processStopped', { unfinished, tookMs: Math.round(clock().nowMs - startedMs) });
  }

  /** Applies changed settings. Addresses, failure domain and region take effect at the next start. */
  reload(cfg: NodeConfig): void {
    this.#cfg = { ...this.#cfg, bounds: cfg.bounds, seeds: cfg.seeds };
    const { retryRatio, retryBurst, retryWindowS } = cfg.bounds;
    this.#budget.setLimits({ ratio: retryRatio, burst: retryBurst, windowMs: retryWindowS });
    this.#options.log('settingsReloaded');
  }

  /** Waits until no caller is connected, at most until `endMs`. */
  async #drainUntil(endMs: number): Promise<void> {
    const { clock } = this.#options;
    while (clock().nowMs < endMs && !(await this.#isDrained())) await pause(DRAIN_POLL_MS);
  }

  /** Closes idle connections. Resolves to true if no caller is connected and no request is in flight. */
  #isDrained(): Promise<boolean> {
    this.#callerServer?.closeIdleConnections();
    return new Promise((resolve) => {
      this.#callerServer?.getConnections((_err, count) =>
        resolve(count === 0 && this.#proxy.inFlight === 0),
      );
    });
  }

  #answerLookup({ failureDomain, region }: LookupOrigin): unknown {
    this.#metrics.lookup();
    const { failureDomain: ownDomain, region: ownRegion, bounds } = this.#cfg;
    const addresses = this.#peers.addressesFor(
      failureDomain ?? ownDomain,
      region ?? ownRegion,
      this.ready,
      this.#options.clock().nowMs,
    );
    return this.#options.dialect.lookupBody(
      addresses,
      Math.min(MAX_LOOKUP_TTL_MS, bounds.lookupTtlS),
    );
  }

  #refresh(): void {
    const { nowMs } = this.#options.clock();
    this.#view.tick(nowMs).forEach((id) => {
      this.#options.log('serverGone', { server: id, revisions: this.#view.revisions });
      this.#removeServer(id);
    });
    this.#assignWatch(nowMs);
    this.#divideWork(nowMs);
    this.#loadBalancer.tick(nowMs);
    this.#quarantine.tick(nowMs);
    this.#crashArchive.sync();
    this.#measureUtilization();
  }

  /** Measures processor utilization and logs when it crosses the threshold. */
  #measureUtilization(): void {
    const utilization = this.#options.utilizationMeter();
    this.#metrics.setBusyRatio(utilization);
    if (utilization >= BUSY_THRESHOLD === this.#processorShort) return;
    this.#processorShort = !this.#processorShort;
    const details = { busy: Number(utilization.toFixed(2)), inFlight: this.#proxy.inFlight };
    this.#options.log(this.#processorShort ? 'processorShort' : 'processorEnough', details);
  }

  /** Starts or stops watching the store, depending on which entry VMs are live and reach the store. */
  #assignWatch(nowMs: number): void {
    if (this.#shutdown.stopping || nowMs - this.#startedMs < PEER_DISCOVERY_MS) return;
    const assigned = this.#peers.shouldWatch(nowMs);
    if (assigned && !this.#factWatcher.assigned) this.#crashArchive.refresh();
    this.#factWatcher.assign(assigned);
  }

  #divideWork(nowMs: number): void {
    const peers = this.#peers;
    this.#loadBalancer.setEntryVms(peers.sharing(nowMs), peers.countLiveInDomain(nowMs));
  }

  #removeServer(id: BackendServerId): void {
    this.#pool.remove(id);
  }

  #applyPlanLimits(): void {
    const limits = this.#view.plan?.limits;
    if (limits !== undefined && this.#callerServer !== undefined)
      applyCallerLimits(this.#callerServer, limits);
  }

  /** Writes this entry VM's addresses to the store and reads those of others, until both succeed. */
  async #announce(): Promise<void> {
    const { store } = this.#options;
    for (;;) {
      const written = await store.announce(this.#self);
      if (written.isOk() && written.value === 'created') this.#budget.releaseBurst();
      const listed = await store.peers();
      if (listed.isOk()) {
        this.#peers.addList(listed.value);
        this.#divideWork(this.#options.clock().nowMs);
      }
      if ((written.isOk() && listed.isOk()) || this.#shutdown.stopping) return;
      await pause(ANNOUNCE_RETRY_MS * (0.5 + Math.random()));
    }
  }
}
