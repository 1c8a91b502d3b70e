/** Heartbeats between entry VMs over UDP, and the handing over of facts over TCP. */
import dgram from 'node:dgram';
import http from 'node:http';
import { decode, encode } from '@msgpack/msgpack';
import type {
  FleetView,
  Heartbeat,
  LoadSighting,
  Merged,
  PeerRecord,
  PeerView,
  Revisions,
} from '../coordination/index.js';
import {
  HeartbeatMessage,
  MAX_VOUCHED,
  SnapshotMessage,
  queryToRevisions,
  revisionsToQuery,
} from '../protocol/index.js';
import type { Endpoint, Incarnation } from '../state/index.js';
import { MAX_ANSWER_BYTES, boundedGot } from './clients.js';
import type { Clock } from './clocks.js';
import type { Logger } from './logs.js';
import type { NodeMetrics } from './nodemetrics.js';
import { splitEndpoint } from './peers.js';

/** Time between two heartbeats, in milliseconds: four fit into the silence that counts as death. */
const BEAT_MS = 600;

/** Entry VMs of other regions that get each heartbeat. */
const FAR_PEERS = 2;

/** Entry VMs of the own failure domain, and others of its region, that get each heartbeat at most. */
const OWN_PEERS = 64;
const NEAR_PEERS = 24;

/** Time for which newer facts elsewhere may be on their way from the store to a watcher, in ms. */
const BEHIND_MS = 500;

/** Time for another entry VM to hand over its facts, in milliseconds. */
const FACTS_TIMEOUT_MS = 1_000;

const FACTS_PATH = '/v1/facts';

/** Keeps no connection: one that has gone silent would cost the time of a whole call. */
const asking = boundedGot(MAX_ANSWER_BYTES).extend({
  agent: { http: new http.Agent({ keepAlive: false }) },
  retry: { limit: 0 },
  timeout: { request: FACTS_TIMEOUT_MS },
});

export interface BeaconOptions {
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
  /** Whether the platform's store is watched from here, and whether it answers. */
  readonly assigned: () => boolean;
  readonly watching: () => boolean;
  /** What servers said of their load since the last heartbeat. */
  readonly sightings: (nowMs: number) => readonly LoadSighting[];
  /** Told what servers said to others. */
  readonly onSightings: (sightings: readonly LoadSighting[], nowMs: number) => void;
  /** Told when the live entry VMs have changed. */
  readonly onLive: () => void;
  /** Told what another entry VM knew better. */
  readonly onMerged: (merged: Merged) => void;
}

export class Beacon {
  readonly #options: BeaconOptions;

  readonly #socket = dgram.createSocket('udp4');

  readonly #server: http.Server;

  #timer: NodeJS.Timeout | undefined;

  #liveBefore = '';

  #behindSinceMs: number | undefined;

  #asking = false;

  constructor(options: BeaconOptions) {
    this.#options = options;
    this.#socket.on('message', (bytes) => this.#heard(bytes));
    this.#socket.on('error', (err) => options.log('peerFailed', { reason: err.message }));
    this.#server = http.createServer((req, res) => {
      const url = new URL(req.url ?? '/', 'http://peer');
      if (url.pathname !== FACTS_PATH) res.writeHead(404).end();
      else {
        res.writeHead(200, { 'content-type': 'application/json' });
        res.end(JSON.stringify(options.view.snapshot(queryToRevisions(url.searchParams))));
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
    this.#timer = setInterval(() => this.#beat(), BEAT_MS);
    this.#beat();
  }

  /** Tells others at once, as when this entry VM begins to stop. */
  tell(): void {
    this.#beat();
  }

  /** Tells the own failure domain at once, as when facts have changed. */
  tellDomain(): void {
    const { self, peers } = this.#options;
    const bytes = encode(this.#heartbeat());
    const near = peers.records.filter((peer) => peer.failureDomain === self.failureDomain);
    near.forEach((peer) => this.#send(bytes, peer.peerAddress));
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#socket.close();
    this.#server.close();
  }

  #beat(): void {
    const { self, peers, ready, stopping, seeds } = this.#options;
    const nowMs = this.#now();
    const heartbeat = this.#heartbeat();
    const isOwn = (peer: PeerRecord): boolean => peer.failureDomain === self.failureDomain;
    const own = peers.records.filter(isOwn);
    const near = peers.records.filter((peer) => peer.region === self.region && !isOwn(peer));
    const far = peers.records.filter((peer) => peer.region !== self.region);
    const toOwn = encode({ ...heartbeat, sightings: this.#options.sightings(nowMs) });
    sample(own, OWN_PEERS).forEach((peer) => this.#send(toOwn, peer.peerAddress));
    const toNear = encode(heartbeat);
    sample(near, NEAR_PEERS).forEach((peer) => this.#send(toNear, peer.peerAddress));
    const vouched = sample(peers.near(nowMs, ready() && !stopping()), MAX_VOUCHED);
    const toFar = encode({ ...heartbeat, near: vouched });
    sample(far, FAR_PEERS).forEach((peer) => this.#send(toFar, peer.peerAddress));
    if (peers.records.length === 0) seeds.forEach((seed) => this.#send(toFar, seed));
    this.#noteLive(nowMs);
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
    };
  }

  #send(bytes: Uint8Array, to: Endpoint): void {
    const { host, port } = splitEndpoint(to);
    // A heartbeat that is not sent is like one that is lost: the next one follows.
    this.#socket.send(bytes, port, host, () => undefined);
  }

  #heard(bytes: Buffer): void {
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
    const isNew = this.#options.peers.heard(message.data, nowMs);
    if (isNew) this.#noteLive(nowMs);
    this.#options.onSightings(message.data.sightings, nowMs);
    if (!this.#options.assigned()) this.#catchUp(nowMs);
  }

  #noteLive(nowMs: number): void {
    const live = this.#options.peers.live(nowMs);
    const now = [...live].sort().join(' ');
    if (now === this.#liveBefore) return;
    this.#liveBefore = now;
    this.#options.log('membersChanged', { live: live.length, ids: now });
    this.#options.onLive();
  }

  /** Asks another entry VM for facts, a watcher only for those that the store does not tell. */
  #catchUp(nowMs: number): void {
    const { peers, view, assigned } = this.#options;
    const ahead = peers.ahead(view.revisions, nowMs);
    if (ahead === undefined) {
      this.#behindSinceMs = undefined;
      return;
    }
    if (this.#behindSinceMs === undefined) {
      this.#behindSinceMs = nowMs;
      this.#options.log('factsBehind', { peer: ahead.id, revisions: view.revisions });
    }
    const patienceMs = assigned() ? BEHIND_MS : 0;
    if (nowMs - this.#behindSinceMs >= patienceMs) this.#ask(ahead, view.revisions);
  }

  async #ask(peer: PeerRecord, known: Revisions): Promise<void> {
    if (this.#asking) return;
    this.#asking = true;
    const { view, peers, log, metrics, onMerged } = this.#options;
    try {
      const query = revisionsToQuery(known);
      const body = await asking(`http://${peer.peerAddress}${FACTS_PATH}?${query}`).json();
      const snapshot = SnapshotMessage.parse(body);
      const before = view.plan?.version;
      const nowMs = this.#now();
      const merged = view.merge(snapshot, nowMs);
      if (merged.kinds.length === 0) peers.failed(peer.id, nowMs);
      else {
        const behindMs = nowMs - (this.#behindSinceMs ?? nowMs);
        const { kinds, gone, planTaken } = merged;
        metrics.caughtUp(behindMs);
        log('factsFromPeer', {
          peer: peer.id,
          kinds,
          gone,
          servers: snapshot.servers.length,
          whole: snapshot.gone === undefined,
          revisions: snapshot.revisions,
          behindMs: Math.round(behindMs),
        });
        if (planTaken) {
          const plan = snapshot.plan?.version ?? 0;
          metrics.planInForce(plan, 'peer');
          const revision = snapshot.revisions.plan;
          log('planInForce', { plan, before, source: peer.id, revision });
        }
        onMerged(merged);
      }
    } catch (err) {
      log('peerFailed', { peer: peer.id, reason: String(err) });
      peers.failed(peer.id, this.#now());
    } finally {
      this.#asking = false;
    }
    // Another may have what this one did not hand over.
    this.#catchUp(this.#now());
  }

  #now(): number {
    return this.#options.clock().nowMs;
  }
}

function sample<Item>(items: readonly Item[], count: number): readonly Item[] {
  if (items.length <= count) return items;
  const start = Math.floor(Math.random() * items.length);
  return Array.from({ length: count }, (_, i) => items[(start + i) % items.length] as Item);
}
