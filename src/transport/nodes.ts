/** The program of an entry VM: joins facts, heartbeats, carrier and servers. */
import { randomBytes } from 'node:crypto';
import type { Server } from 'node:http';
import { FleetView, PeerView, Placer, RepeatBudget } from '../coordination/index.js';
import type { PeerRecord } from '../coordination/index.js';
import type { Dialect, FactStore, NodeConfig } from '../protocol/index.js';
import { Incarnation } from '../state/index.js';
import type { BackendServerId, FailureDomainId, RegionId } from '../state/index.js';
import { Beacon } from './beacons.js';
import { Carrier } from './carriers.js';
import { pause, systemClock } from './clocks.js';
import type { Clock } from './clocks.js';
import { FactWatch } from './factwatches.js';
import { applyLimits, openCallers, openLookups, openMetrics, openReadiness } from './gateways.js';
import type { Lookup } from './gateways.js';
import type { Logger } from './logs.js';
import { NodeMetrics } from './nodemetrics.js';
import { UpstreamPool } from './pools.js';
import { eventLoopMeter } from './processors.js';
import type { BusyMeter } from './processors.js';

/** Time between two looks at the end of a stopping process, and at shares, in milliseconds. */
const TICK_MS = 50;
const STEER_MS = 500;

/**
 * Time after the start in which others are heard before it is settled who watches the store, in
 * milliseconds: one heartbeat of each and some.
 */
const SETTLE_MS = 1_000;

/** Time for which callers may keep a look-up, in milliseconds. */
const LOOKUP_TTL_MS = 2_000;

/** Time after SIGTERM in which callers learn to go elsewhere, in milliseconds. */
const LEAVE_MS = 2_500;

/** Time kept for the end of the process itself before it is killed, in milliseconds. */
const EXIT_MARGIN_MS = 700;

/** Share of the processor time from which callers wait for it noticeably. */
const SHORT_BUSY = 0.7;

/** Pause between two tries to announce this entry VM, in milliseconds. */
const ANNOUNCE_PAUSE_MS = 1_000;

export interface NodeOptions {
  readonly store: FactStore;
  readonly dialect: Dialect;
  readonly log: Logger;
  readonly clock?: Clock;
  readonly busyMeter?: BusyMeter;
}

export class EntryNode {
  #cfg: NodeConfig;

  readonly #options: Required<NodeOptions>;

  readonly #self: PeerRecord;

  readonly #view = new FleetView();

  readonly #peers: PeerView;

  readonly #placer: Placer;

  readonly #budget: RepeatBudget;

  readonly #pool: UpstreamPool;

  readonly #metrics: NodeMetrics;

  readonly #carrier: Carrier;

  readonly #beacon: Beacon;

  readonly #watch: FactWatch;

  #servers: Server[] = [];

  #callers: Server | undefined;

  #timers: NodeJS.Timeout[] = [];

  #stopping = false;

  /** Whether processor time was short when it was last measured. */
  #short = false;

  #startedMs = Infinity;

  /** When the process ends at the latest, once callers have had time to go elsewhere. */
  #mustEndMs = Infinity;

  constructor(cfg: NodeConfig, options: NodeOptions) {
    this.#cfg = cfg;
    this.#options = { clock: systemClock, busyMeter: eventLoopMeter(), ...options };
    const { dialect, log, store } = options;
    const { clock } = this.#options;
    this.#self = {
      id: cfg.id,
      failureDomain: cfg.failureDomain,
      region: cfg.region,
      callerAddress: cfg.callerAddress,
      peerAddress: cfg.peerAddress,
    };
    this.#peers = new PeerView(this.#self);
    const { maxShift, coldOverage, retryRatio, retryBurst, retryWindowS } = cfg.bounds;
    const regions = new Map(Object.entries(cfg.regions) as [FailureDomainId, RegionId][]);
    const place = { self: cfg.id, home: cfg.failureDomain, regions, maxShift, coldOverage };
    this.#placer = new Placer(this.#view, place);
    this.#budget = new RepeatBudget({
      ratio: retryRatio,
      burst: retryBurst,
      windowMs: retryWindowS,
    });
    this.#metrics = new NodeMetrics(
      () => this.#carrier.inFlight,
      () => clock().nowMs,
    );
    this.#pool = new UpstreamPool({
      view: this.#view,
      placer: this.#placer,
      dialect,
      clock,
      log,
      onReached: () => this.#carrier.tick(),
    });
    this.#carrier = new Carrier({
      view: this.#view,
      placer: this.#placer,
      budget: this.#budget,
      pool: this.#pool,
      dialect,
      clock,
      log,
      metrics: this.#metrics,
      entryVms: () => this.#peers.records.length + 1,
      stopping: () => this.#stopping,
      mustEndMs: () => this.#mustEndMs,
    });
    this.#watch = new FactWatch({
      store,
      view: this.#view,
      clock,
      log,
      metrics: this.#metrics,
      onGone: (id) => this.#gone(id),
      onChange: () => {
        this.#changed();
        this.#beacon.tellDomain();
      },
    });
    this.#beacon = new Beacon({
      self: this.#self,
      incarnation: Incarnation.parse(randomBytes(8).toString('hex')),
      seeds: cfg.seeds,
      peers: this.#peers,
      view: this.#view,
      clock,
      log,
      metrics: this.#metrics,
      ready: () => this.ready,
      stopping: () => this.#stopping,
      assigned: () => this.#watch.assigned,
      watching: () => this.#watch.working,
      sightings: (nowMs) => this.#placer.loads.takeSightings(nowMs),
      onSightings: (sightings, nowMs) => {
        const known = sightings.filter(({ server }) => this.#view.server(server) !== undefined);
        this.#placer.loads.heard(known, nowMs);
      },
      onLive: () => {
        const { nowMs } = clock();
        this.#assign(nowMs);
        this.#placer.setLive(this.#peers.live(nowMs), this.#peers.sharers(nowMs));
      },
      onMerged: ({ kinds, gone }) => {
        kinds.forEach((kind) => this.#watch.renew(kind));
        gone.forEach((id) => this.#gone(id));
        this.#changed();
      },
    });
  }

  /** Whether it has facts to go by and takes new callers. */
  get ready(): boolean {
    return this.#view.informed && !this.#stopping;
  }

  async start(): Promise<void> {
    const { dialect, log } = this.#options;
    const cfg = this.#cfg;
    this.#startedMs = this.#options.clock().nowMs;
    this.#watch.start();
    this.#announce();
    await this.#beacon.start();
    this.#callers = await openCallers(this.#carrier, cfg.callerAddress);
    this.#servers = [
      this.#callers,
      await openLookups(dialect, (where) => this.#lookup(where), cfg.lookupAddress),
      await openReadiness(dialect, () => this.ready, cfg.readyAddress),
      await openMetrics(this.#metrics, cfg.metricsAddress),
    ];
    this.#timers = [setInterval(() => this.#steer(), STEER_MS)];
    this.#changed();
    log('processStarted', { address: cfg.callerAddress });
  }

  /** Ends gracefully: callers learn to go elsewhere, work in flight ends. */
  async stop(): Promise<void> {
    if (this.#stopping) return;
    const { log, clock } = this.#options;
    const startedMs = clock().nowMs;
    const age = (): number => clock().nowMs - startedMs;
    log('processStopping', { inFlight: this.#carrier.inFlight });
    this.#stopping = true;
    this.#beacon.tell();
    await pause(LEAVE_MS);
    const lastMs = this.#cfg.bounds.graceS - EXIT_MARGIN_MS;
    this.#mustEndMs = startedMs + lastMs;
    while (age() < lastMs && !(await this.#isQuiet())) await pause(TICK_MS);
    this.#timers.forEach((timer) => clearInterval(timer));
    this.#watch.stop();
    this.#beacon.stop();
    this.#servers.forEach((server) => server.close());
    this.#pool.close();
    log('processStopped', { inFlight: this.#carrier.inFlight, tookMs: Math.round(age()) });
  }

  /** Takes changed settings. Addresses and places stay until the next start. */
  reload(cfg: NodeConfig): void {
    this.#cfg = { ...this.#cfg, bounds: cfg.bounds, seeds: cfg.seeds };
    const { retryRatio, retryBurst, retryWindowS } = cfg.bounds;
    this.#budget.setBounds({ ratio: retryRatio, burst: retryBurst, windowMs: retryWindowS });
    this.#options.log('settingsReloaded');
  }

  /** Closes idle connections. True when no caller is connected any more. */
  #isQuiet(): Promise<boolean> {
    this.#callers?.closeIdleConnections();
    return new Promise((resolve) => {
      this.#callers?.getConnections((_err, count) =>
        resolve(count === 0 && this.#carrier.inFlight === 0),
      );
    });
  }

  #lookup({ failureDomain, region }: Lookup): unknown {
    this.#metrics.lookup();
    const { failureDomain: ownDomain, region: ownRegion, bounds } = this.#cfg;
    const addresses = this.#peers.addressesFor(
      failureDomain ?? ownDomain,
      region ?? ownRegion,
      this.ready,
      this.#options.clock().nowMs,
    );
    return this.#options.dialect.lookupBody(addresses, Math.min(LOOKUP_TTL_MS, bounds.lookupTtlS));
  }

  #steer(): void {
    const { nowMs } = this.#options.clock();
    this.#view.tick(nowMs).forEach((id) => {
      this.#options.log('serverGone', { server: id, revisions: this.#view.revisions });
      this.#gone(id);
    });
    this.#assign(nowMs);
    this.#placer.tick(nowMs);
    this.#measure();
  }

  /** Measures this entry VM's processor. */
  #measure(): void {
    const busy = this.#options.busyMeter();
    this.#metrics.busy(busy);
    if (busy >= SHORT_BUSY === this.#short) return;
    this.#short = !this.#short;
    const details = { busy: Number(busy.toFixed(2)), inFlight: this.#carrier.inFlight };
    this.#options.log(this.#short ? 'processorShort' : 'processorEnough', details);
  }

  /** Takes up or gives up the watch of the store, by which entry VMs live and get answers. */
  #assign(nowMs: number): void {
    if (this.#stopping || nowMs - this.#startedMs < SETTLE_MS) return;
    this.#watch.assign(this.#peers.isWatcher(nowMs));
  }

  #gone(id: BackendServerId): void {
    this.#pool.forget(id);
  }

  #changed(): void {
    const limits = this.#view.plan?.limits;
    if (limits !== undefined && this.#callers !== undefined) applyLimits(this.#callers, limits);
  }

  /** Writes to the store where this entry VM is, and reads where others are, until both work. */
  async #announce(): Promise<void> {
    const { store } = this.#options;
    for (;;) {
      const written = await store.announce(this.#self);
      const listed = await store.peers();
      if (listed.isOk()) listed.value.forEach((record) => this.#peers.list(record));
      if ((written.isOk() && listed.isOk()) || this.#stopping) return;
      await pause(ANNOUNCE_PAUSE_MS * (0.5 + Math.random()));
    }
  }
}
