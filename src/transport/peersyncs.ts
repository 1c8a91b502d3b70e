/** Synchronises entry VMs: heartbeats by gossip over UDP, and transfer of newer facts over HTTP. */
import dgram from 'node:dgram';
import http from 'node:http';
import { decode, encode } from '@msgpack/msgpack';
import type {
  CrashReport,
  FactSnapshot,
  FleetView,
  Heartbeat,
  LeavingServer,
  LoadSighting,
  MergeResult,
  PeerRecord,
  PeerView,
  Revisions,
} from '../coordination/index.js';
import {
  HeartbeatMessage,
  MAX_NEAR_PEERS,
  SnapshotMessage,
  queryToRevisions,
  revisionsToQuery,
} from '../protocol/index.js';
import type { Endpoint, EntryVmId, Incarnation } from '../state/index.js';
import { MAX_RESPONSE_BYTES, createBoundedClient } from './httpclients.js';
import type { Clock } from './clocks.js';
import type { Logger } from './logs.js';
import type { NodeMetrics } from './nodemetrics.js';
import { splitEndpoint } from './agentrpcs.js';
import { splitTarget } from './httpservers.js';

/** Heartbeat interval: four heartbeats fit into the silence after which an entry VM counts as dead. */
const HEARTBEAT_INTERVAL_MS = 600;

/** Maximum number of entry VMs in other regions that receive each heartbeat. */
const MAX_FAR_RECIPIENTS = 2;

/** Maximum number of recipients of each heartbeat in the own failure domain, and in the rest of the region. */
const MAX_DOMAIN_RECIPIENTS = 64;
const MAX_REGION_RECIPIENTS = 6;

/** Maximum size of a datagram with changes; larger ones are fetched after an ordinary heartbeat. */
const MAX_CHANGES_BYTES = 8_000;

/** Maximum number of recipients of new crash reports in the own failure domain, and in the rest of the region. */
const MAX_DOMAIN_REPORT_RECIPIENTS = 4;
const MAX_REGION_REPORT_RECIPIENTS = 2;

/** Time that a watcher waits for its store to deliver facts that another entry VM already has. */
const WATCH_LAG_MS = 500;

/** Time that the others wait for the datagram with the changes, which may be behind another entry VM's heartbeat. */
const CHANGES_LAG_MS = 150;

/** Timeout of a request for another entry VM's facts. */
const FACTS_TIMEOUT_MS = 1_000;

const FACTS_PATH = '/v1/facts';

/** Keeps no connections alive: a silent one would cost the timeout of a whole call. */
const factsClient = createBoundedClient(MAX_RESPONSE_BYTES).extend({
  agent: { http: new http.Agent({ keepAlive: false }) },
  retry: { limit: 0 },
  timeout: { request: FACTS_TIMEOUT_MS },
});

export interface PeerSyncOptions {
  readonly self: PeerRecord;
  readonly incarnation: Incarnation;
  readonly seeds: readonly Endpoint[];
  readonly peers: PeerView;
  readonly view: FleetView;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: NodeMetrics;
  readonly ready: () => boolean;
  readonly stopping: () => boolean;
  /** Whether this entry VM is assigned to watch the platform's store. */
  readonly assigned: () => boolean;
  /** Whether it watches the store and the store answers. */
  readonly watching: () => boolean;
  /** Loads that backend servers have reported since the last heartbeat. */
  readonly sightings: (nowMs: number) => readonly LoadSighting[];
  /** Called with loads that backend servers have reported to other entry VMs. */
  readonly onSightings: (sightings: readonly LoadSighting[], nowMs: number) => void;
  /** Crash reports that are new, for one round of heartbeats. */
  readonly newCrashReports: (nowMs: number) => readonly CrashReport[];
  /** Crash reports of quarantined content, new or not. */
  readonly standingCrashReports: (nowMs: number) => readonly CrashReport[];
  /** Called with crash reports of another entry VM. */
  readonly onCrashReports: (
    reports: readonly CrashReport[],
    from: EntryVmId,
    nowMs: number,
  ) => void;
  /** Backend servers that newly announced that they leave, for one round of heartbeats. */
  readonly newLeaving: () => readonly LeavingServer[];
  /** Called with leaving servers that another entry VM reports. */
  readonly onLeaving: (servers: readonly LeavingServer[], from: EntryVmId) => void;
  /** Called when the set of live entry VMs has changed. */
  readonly onLiveChanged: () => void;
  /** Called with the changes after facts of another entry VM were merged. */
  readonly onMerged: (merged: MergeResult) => void;
}

export class PeerSync {
  readonly #options: PeerSyncOptions;

  readonly #socket = dgram.createSocket('udp4');

  readonly #server: http.Server;

  #timer: NodeJS.Timeout | undefined;

  #liveIds = '';

  #behindSinceMs: number | undefined;

  #fetching = false;

  /** Checks again when the time for facts to arrive otherwise is over. */
  #catchUpTimer: NodeJS.Timeout | undefined;

  constructor(options: PeerSyncOptions) {
    this.#options = options;
    this.#socket.on('message', (bytes) => this.#onDatagram(bytes));
    this.#socket.on('error', (err) => options.log('peerFailed', { reason: err.message }));
    this.#server = http.createServer((req, res) => {
      const { path, query } = splitTarget(req.url ?? '/');
      if (path !== FACTS_PATH) res.writeHead(404).end();
      else {
        res.writeHead(200, { 'content-type': 'application/json' });
        res.end(JSON.stringify(options.view.snapshot(queryToRevisions(query))));
      }
    });
  }

  async start(): Promise<void> {
    const { host, port } = splitEndpoint(this.#options.self.peerAddress);
    await new Promise<void>((resolve) => {
      this.#socket.bind(port, host, resolve);
    });
    await new Promise<void>((resolve) => {
      this.#server.listen(port, host, resolve);
    });
    this.#timer = setInterval(() => this.#sendHeartbeats(), HEARTBEAT_INTERVAL_MS);
    this.#sendHeartbeats();
  }

  /** Sends a round of heartbeats immediately, for example when this entry VM begins to stop. */
  sendNow(): void {
    this.#sendHeartbeats();
  }

  /** Sends the changes since the given revisions to the region immediately. */
  sendChanges(since: Revisions): void {
    const { self, peers, view } = this.#options;
    const heartbeat = this.#heartbeat();
    const snapshot = view.snapshot(since);
    const whole = snapshot.gone === undefined;
    const withChanges = encodeMessage({
      ...heartbeat,
      changes: whole ? undefined : { since, snapshot },
    });
    const fits = withChanges.length <= MAX_CHANGES_BYTES;
    const bytes = fits ? withChanges : encodeMessage(heartbeat);
    peers.records
      .filter((peer) => peer.region === self.region)
      .forEach((peer) => this.#send(bytes, peer.peerAddress));
  }

  stop(): void {
    clearInterval(this.#timer);
    clearTimeout(this.#catchUpTimer);
    this.#socket.close();
    this.#server.close();
  }

  #sendHeartbeats(): void {
    const { self, peers, ready, stopping, watching, seeds } = this.#options;
    const nowMs = this.#now();
    const heartbeat = { ...this.#heartbeat(), leaving: this.#options.newLeaving() };
    const inOwnDomain = (peer: PeerRecord): boolean => peer.failureDomain === self.failureDomain;
    const own = peers.records.filter(inOwnDomain);
    const near = peers.records.filter((peer) => peer.region === self.region && !inOwnDomain(peer));
    const far = peers.records.filter((peer) => peer.region !== self.region);
    const selfReady = ready() && !stopping();
    const toOwn = encodeMessage({ ...heartbeat, sightings: this.#options.sightings(nowMs) });
    sample(own, MAX_DOMAIN_RECIPIENTS).forEach((peer) => this.#send(toOwn, peer.peerAddress));
    const domainIds = sample(peers.readyInDomain(nowMs, selfReady), MAX_NEAR_PEERS);
    const toNear = encodeMessage({ ...heartbeat, near: domainIds });
    // All of the region have to know at once who watches the store, and who stops.
    const nearRecipients = watching() || stopping() ? MAX_DOMAIN_RECIPIENTS : MAX_REGION_RECIPIENTS;
    sample(near, nearRecipients).forEach((peer) => this.#send(toNear, peer.peerAddress));
    const crashReports = this.#options.newCrashReports(nowMs);
    const standingReports = this.#options.standingCrashReports(nowMs);
    this.#sendCrashReports(heartbeat, crashReports, [
      ...sample(own, MAX_DOMAIN_REPORT_RECIPIENTS),
      ...sample(near, MAX_REGION_REPORT_RECIPIENTS),
    ]);
    this.#sendCrashReports(heartbeat, standingReports, sample([...own, ...near], 1));
    const regionIds = sample(peers.readyInRegion(nowMs, selfReady), MAX_NEAR_PEERS);
    const toFar = encodeMessage({ ...heartbeat, near: regionIds });
    const farRecipients = sample(far, MAX_FAR_RECIPIENTS);
    farRecipients.forEach((peer) => this.#send(toFar, peer.peerAddress));
    this.#sendCrashReports(heartbeat, crashReports, farRecipients);
    this.#sendCrashReports(heartbeat, standingReports, farRecipients);
    if (peers.records.length === 0) seeds.forEach((seed) => this.#send(toFar, seed));
    this.#updateLive(nowMs);
    this.#catchUp(nowMs);
  }

  #heartbeat(): Heartbeat {
    const { self, incarnation, view, ready, stopping, watching } = this.#options;
    return {
      peer: self,
      incarnation,
      ready: ready(),
      stopping: stopping(),
      watching: watching(),
      revisions: view.revisions,
      near: [],
      sightings: [],
      crashReports: [],
      leaving: [],
    };
  }

  /** Sends crash reports in datagrams of their own, since they go to fewer recipients. */
  #sendCrashReports(
    heartbeat: Heartbeat,
    crashReports: readonly CrashReport[],
    recipients: readonly PeerRecord[],
  ): void {
    if (crashReports.length === 0) return;
    const bytes = encodeMessage({ ...heartbeat, crashReports });
    recipients.forEach((peer) => this.#send(bytes, peer.peerAddress));
  }

  #send(bytes: Uint8Array, to: Endpoint): void {
    const { host, port } = splitEndpoint(to);
    // Send errors are ignored: the next heartbeat follows soon, as after a lost datagram.
    this.#socket.send(bytes, port, host, () => undefined);
  }

  #onDatagram(bytes: Buffer): void {
    let content: unknown;
    try {
      content = decode(bytes);
    } catch (err) {
      this.#options.log('peerFailed', { reason: String(err) });
      return;
    }
    const message = HeartbeatMessage.safeParse(content);
    if (!message.success) {
      this.#options.log('peerFailed', { reason: message.error.message });
      return;
    }
    const nowMs = this.#now();
    const becameLive = this.#options.peers.recordHeartbeat(message.data, nowMs);
    if (becameLive) this.#updateLive(nowMs);
    this.#options.onSightings(message.data.sightings, nowMs);
    this.#options.onCrashReports(message.data.crashReports, message.data.peer.id, nowMs);
    this.#options.onLeaving(message.data.leaving, message.data.peer.id);
    if (this.#options.assigned()) return;
    const { changes, peer } = message.data;
    if (changes !== undefined && this.#options.view.includes(changes.since))
      this.#merge(peer.id, changes.snapshot, 0);
    this.#catchUp(nowMs);
  }

  #updateLive(nowMs: number): void {
    const live = this.#options.peers.live(nowMs);
    const liveIds = [...live].sort().join(' ');
    if (liveIds === this.#liveIds) return;
    this.#liveIds = liveIds;
    this.#options.log('membersChanged', { live: live.length, ids: liveIds });
    this.#options.onLiveChanged();
  }

  /** Fetches newer facts from another entry VM if they have not arrived otherwise within a short time. */
  #catchUp(nowMs: number): void {
    const { peers, view, assigned, log } = this.#options;
    clearTimeout(this.#catchUpTimer);
    const newerPeer = peers.findNewer(view.revisions, nowMs);
    if (newerPeer === undefined) {
      this.#behindSinceMs = undefined;
      return;
    }
    this.#behindSinceMs ??= nowMs;
    const dueMs = this.#behindSinceMs + (assigned() ? WATCH_LAG_MS : CHANGES_LAG_MS);
    if (nowMs < dueMs) {
      this.#catchUpTimer = setTimeout(() => this.#catchUp(this.#now()), Math.ceil(dueMs - nowMs));
    } else if (!this.#fetching) {
      log('factsBehind', { peer: newerPeer.id, revisions: { ...view.revisions } });
      this.#fetchFacts(newerPeer, view.revisions);
    }
  }

  /** Merges facts of another entry VM. @returns whether any of them was new. */
  #merge(source: EntryVmId, snapshot: FactSnapshot, behindMs: number): boolean {
    const { view, log, metrics, onMerged } = this.#options;
    const before = view.plan?.version;
    const merged = view.merge(snapshot, this.#now());
    const { kinds, gone, planChanged } = merged;
    if (kinds.length === 0) return false;
    log('factsFromPeer', {
      peer: source,
      kinds,
      gone,
      servers: snapshot.servers.length,
      whole: snapshot.gone === undefined,
      revisions: snapshot.revisions,
      behindMs: Math.round(behindMs),
    });
    if (planChanged) {
      const plan = snapshot.plan?.version ?? 0;
      metrics.planInForce(plan, 'peer');
      log('planInForce', { plan, before, source, revision: snapshot.revisions.plan });
    }
    onMerged(merged);
    return true;
  }

  async #fetchFacts(peer: PeerRecord, knownRevisions: Revisions): Promise<void> {
    this.#fetching = true;
    const { peers, log, metrics } = this.#options;
    try {
      const query = revisionsToQuery(knownRevisions);
      const body = await factsClient(`http://${peer.peerAddress}${FACTS_PATH}?${query}`).json();
      const snapshot = SnapshotMessage.parse(body);
      const behindMs = this.#now() - (this.#behindSinceMs ?? this.#now());
      const merged = this.#merge(peer.id, snapshot, behindMs);
      if (merged) metrics.observeCatchUp(behindMs);
      else peers.recordFetchFailure(peer.id, this.#now());
    } catch (err) {
      log('peerFailed', { peer: peer.id, reason: String(err) });
      peers.recordFetchFailure(peer.id, this.#now());
    } finally {
      this.#fetching = false;
    }
    // Another entry VM may have facts that this one did not provide.
    this.#catchUp(this.#now());
  }

  #now(): number {
    return this.#options.clock().nowMs;
  }
}

/** Encodes a message; fields without a value are left out. */
function encodeMessage(message: Heartbeat): Uint8Array {
  return encode(message, { ignoreUndefined: true });
}

function sample<Item>(items: readonly Item[], count: number): readonly Item[] {
  if (items.length <= count) return items;
  const start = Math.floor(Math.random() * items.length);
  return Array.from({ length: count }, (_, i) => items[(start + i) % items.length] as Item);
}
