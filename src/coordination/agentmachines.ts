/**
 * The agent's state machine: gossip membership and replication of items between agents. Pure: time
 * and random numbers are passed in.
 *
 * An agent advertises a new version at once to a few agents, which pull the items they lack and
 * advertise them in turn. Anti-entropy repairs what this misses: agents periodically compare digests
 * with a random peer. Per failure domain, a few delegates gossip with other domains, and a few
 * watchers watch the platform.
 */
import * as z from 'zod';
import {
  EntryVmId,
  FailureDomainId,
  MemberHeartbeat,
  MemberRecord,
  ReplicaItem,
  ReplicaKey,
  ReplicaTable,
  ReplicaVersion,
} from '../state/index.js';
import type { Endpoint } from '../state/index.js';
import type { Instant } from './callhandlers.js';
import { MemberTable } from './membertables.js';
import { rendezvousTop } from './rendezvous.js';

/** A message between agents. */
export const PeerMessage = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('heartbeat'),
    pulses: z.array(MemberHeartbeat),
    /** Requests the members of this failure domain, which is the sender's own. */
    peersOf: FailureDomainId.optional(),
  }),
  z.object({ type: z.literal('members'), members: z.array(MemberRecord) }),
  z.object({ type: z.literal('advert'), versions: z.array(ReplicaVersion) }),
  z.object({ type: z.literal('items'), items: z.array(ReplicaItem) }),
  z.object({ type: z.literal('digest'), digest: z.array(z.number()) }),
  z.object({ type: z.literal('pull'), keys: z.array(ReplicaKey) }),
]);
export type PeerMessage = z.infer<typeof PeerMessage>;

/** The reply to a message. */
export const PeerReply = z.discriminatedUnion('type', [
  z.object({ type: z.literal('ok') }),
  z.object({ type: z.literal('wanted'), keys: z.array(ReplicaKey) }),
  z.object({
    type: z.literal('wantedMembers'),
    ids: z.array(EntryVmId),
    /** Members of the requested failure domain. */
    peers: z.array(MemberRecord),
  }),
  z.object({
    type: z.literal('versions'),
    digest: z.array(z.number()),
    versions: z.array(ReplicaVersion),
  }),
  z.object({ type: z.literal('items'), items: z.array(ReplicaItem) }),
]);
export type PeerReply = z.infer<typeof PeerReply>;

/** A report of the entry process to the agent on its VM. */
export const EntryReport = z.object({
  incarnation: MemberRecord.shape.incarnation,
  phase: MemberRecord.shape.phase,
  epoch: MemberRecord.shape.epoch,
  callerAddress: MemberRecord.shape.callerAddress,
  peerAddress: MemberRecord.shape.peerAddress,
  dispatching: MemberRecord.shape.dispatching,
  items: z.array(ReplicaItem),
});
export type EntryReport = z.infer<typeof EntryReport>;

export type AgentEvent =
  | { readonly type: 'tick' }
  | { readonly type: 'reply'; readonly to: Endpoint; readonly reply: PeerReply }
  | { readonly type: 'entryReport'; readonly report: EntryReport }
  | { readonly type: 'entryGone' }
  /** The address the agent listens on. Its port may differ from the configured one. */
  | { readonly type: 'listening'; readonly address: Endpoint }
  /** Items read from the platform, or written to it. */
  | { readonly type: 'stored'; readonly items: readonly ReplicaItem[] };

export type AgentEffect =
  | { readonly type: 'send'; readonly to: Endpoint; readonly message: PeerMessage }
  | { readonly type: 'publishItems'; readonly items: readonly ReplicaItem[] }
  | { readonly type: 'publishMembers'; readonly members: readonly MemberRecord[] }
  | { readonly type: 'watch'; readonly on: boolean };

/** The reply to a message and the effects of receiving it. */
export interface ReceiveResult {
  readonly reply: PeerReply;
  readonly effects: readonly AgentEffect[];
}

export interface AgentOptions {
  readonly failureTimeoutMs?: number;
  /** Agents to contact before any member is known. */
  readonly seeds?: readonly Endpoint[];
}

export const HEARTBEAT_INTERVAL_MS = 500;

const HEARTBEATS_PER_DIGEST = 4;

/** Heartbeats between attempts to reach an unresponsive member. */
const HEARTBEATS_PER_RECONNECT = 2;

/** Heartbeats between a delegate's attempts to reach a seed that is not a live member. */
const HEARTBEATS_PER_SEED_RETRY = 20;

/** Heartbeats between a delegate's requests for members of its own failure domain. */
const HEARTBEATS_PER_PEER_REQUEST = 4;

/** Agents of the own failure domain that receive each heartbeat. */
const DOMAIN_FANOUT = 2;

/** Agents of other failure domains that receive each heartbeat of a delegate. */
const REMOTE_FANOUT = 2;

/** Agents that receive an advert, both in the own failure domain and in others. */
const ADVERT_FANOUT = 4;

/** Agents per failure domain that gossip with other domains. */
const DELEGATES_PER_DOMAIN = 2;

/** Agents per failure domain that watch the platform. */
export const WATCHERS_PER_DOMAIN = 2;

const OK: PeerReply = { type: 'ok' };

export class AgentMachine {
  readonly #replicas = new ReplicaTable();

  readonly #members: MemberTable;

  readonly #random: () => number;

  readonly #seeds: readonly Endpoint[];

  #heartbeats = 0;

  #watching = false;

  #publishedMemberRevisions = '';

  /** @param random - uniform in [0, 1). */
  constructor(self: MemberRecord, random: () => number, options: AgentOptions = {}) {
    this.#members = new MemberTable(self, options.failureTimeoutMs);
    this.#random = random;
    this.#seeds = options.seeds ?? [];
  }

  get self(): MemberRecord {
    return this.#members.self;
  }

  /** All replicated items. */
  items(): readonly ReplicaItem[] {
    return this.#replicas.items();
  }

  item(key: ReplicaKey): ReplicaItem | undefined {
    return this.#replicas.get(key);
  }

  members(nowMs: number): readonly MemberRecord[] {
    return this.#members.live(nowMs);
  }

  handle(event: AgentEvent, instant: Instant): readonly AgentEffect[] {
    switch (event.type) {
      case 'tick':
        return this.#onTick(instant);
      case 'reply':
        return this.#onReply(event.to, event.reply, instant);
      case 'entryReport':
        return this.#onEntryReport(event.report, instant);
      case 'listening':
        this.#members.advanceHeartbeat({ agentAddress: event.address }, instant.wallMs);
        return [];
      case 'entryGone':
        this.#members.advanceHeartbeat({ phase: 'starting', dispatching: [] }, instant.wallMs);
        return this.#publishMembers(instant.nowMs);
      case 'stored':
        return this.#mergeItems(event.items, instant.nowMs);
      default:
        return event satisfies never;
    }
  }

  /** Processes a message of another agent. */
  receive(message: PeerMessage, instant: Instant): ReceiveResult {
    switch (message.type) {
      case 'heartbeat':
        return this.#onHeartbeat(message, instant.nowMs);
      case 'members':
        message.members.forEach((member) => this.#members.merge(member, instant.nowMs));
        return { reply: OK, effects: this.#publishMembers(instant.nowMs) };
      case 'advert':
        return {
          reply: { type: 'wanted', keys: this.#missingKeys(message.versions) },
          effects: [],
        };
      case 'items':
        return { reply: OK, effects: this.#mergeItems(message.items, instant.nowMs) };
      case 'digest':
        return {
          reply: {
            type: 'versions',
            digest: [...this.#replicas.digest()],
            versions: [...this.#replicas.versionsInDifferingBuckets(message.digest)],
          },
          effects: [],
        };
      case 'pull':
        return { reply: { type: 'items', items: this.#itemsFor(message.keys) }, effects: [] };
      default:
        return message satisfies never;
    }
  }

  #onTick(instant: Instant): readonly AgentEffect[] {
    const { nowMs, wallMs } = instant;
    this.#heartbeats += 1;
    this.#members.advanceHeartbeat({}, wallMs);
    this.#members.expire(nowMs);
    const domainPeers = this.#domainPeers(nowMs);
    const remotePeers = this.#isElected('delegate', DELEGATES_PER_DOMAIN, nowMs)
      ? this.#remotePeers(nowMs)
      : [];
    const targets = [
      ...this.#pickRandom(domainPeers, DOMAIN_FANOUT),
      ...this.#pickRandom(remotePeers, REMOTE_FANOUT),
    ].map((member) => member.agentAddress);
    targets.push(...this.#pickRandom(this.#reconnectTargets(nowMs), 1));
    const heartbeat: PeerMessage = {
      type: 'heartbeat',
      pulses: this.#members.freshestPulses(nowMs),
      ...(this.#shouldRequestPeers(nowMs) ? { peersOf: this.self.failureDomain } : {}),
    };
    const sends = targets.map((to): AgentEffect => ({ type: 'send', to, message: heartbeat }));
    return [
      ...sends,
      ...this.#compareDigests([...domainPeers, ...remotePeers], nowMs),
      ...this.#updateWatch(nowMs),
      ...this.#publishMembers(nowMs),
    ];
  }

  /**
   * Whether this heartbeat requests members of the own failure domain. Groups of its agents that do
   * not know each other could stay partitioned forever. Agents of other domains know some members
   * of each group, so delegates ask them periodically, and an agent without peers always does.
   */
  #shouldRequestPeers(nowMs: number): boolean {
    if (this.#domainPeers(nowMs).length === 0) return true;
    return (
      this.#heartbeats % HEARTBEATS_PER_PEER_REQUEST === 1 &&
      this.#isElected('delegate', DELEGATES_PER_DOMAIN, nowMs)
    );
  }

  /** Compares digests with a random agent periodically; an agent without items does so at once. */
  #compareDigests(peers: readonly MemberRecord[], nowMs: number): readonly AgentEffect[] {
    if (this.#heartbeats % HEARTBEATS_PER_DIGEST !== 1 && this.#replicas.size > 0) return [];
    const addresses = peers.map((member) => member.agentAddress);
    const message: PeerMessage = { type: 'digest', digest: [...this.#replicas.digest()] };
    return this.#pickRandom(
      addresses.length > 0 ? addresses : this.#unconnectedAddresses(nowMs),
      1,
    ).map((to) => ({
      type: 'send',
      to,
      message,
    }));
  }

  #updateWatch(nowMs: number): readonly AgentEffect[] {
    const on = this.#isElected('watch', WATCHERS_PER_DOMAIN, nowMs);
    if (on === this.#watching) return [];
    this.#watching = on;
    return [{ type: 'watch', on }];
  }

  #onHeartbeat(message: Extract<PeerMessage, { type: 'heartbeat' }>, nowMs: number): ReceiveResult {
    const outdated = message.pulses.filter((pulse) => this.#members.applyPulse(pulse, nowMs));
    const ids = outdated.map((pulse) => pulse.id);
    const peers = this.#members
      .live(nowMs)
      .filter((member) => member.failureDomain === message.peersOf);
    return { reply: { type: 'wantedMembers', ids, peers: [...peers] }, effects: [] };
  }

  #onReply(to: Endpoint, reply: PeerReply, instant: Instant): readonly AgentEffect[] {
    switch (reply.type) {
      case 'ok':
        return [];
      case 'wanted':
        return this.#sendItems(to, this.#itemsFor(reply.keys));
      case 'wantedMembers':
        reply.peers.forEach((peer) => this.#members.merge(peer, instant.nowMs));
        return this.#sendMembers(to, reply.ids);
      case 'versions': {
        const newer = this.#replicas.itemsNewerThan(reply.versions, reply.digest);
        const keys = this.#missingKeys(reply.versions);
        const pull: AgentEffect[] =
          keys.length === 0 ? [] : [{ type: 'send', to, message: { type: 'pull', keys } }];
        return [...this.#sendItems(to, newer), ...pull];
      }
      case 'items':
        return this.#mergeItems(reply.items, instant.nowMs);
      default:
        return reply satisfies never;
    }
  }

  #onEntryReport(report: EntryReport, instant: Instant): readonly AgentEffect[] {
    const { items, ...changes } = report;
    this.#members.advanceHeartbeat(changes, instant.wallMs);
    return [...this.#mergeItems(items, instant.nowMs), ...this.#publishMembers(instant.nowMs)];
  }

  /** Merges items, publishes the newer ones to the entry process and advertises them. */
  #mergeItems(items: readonly ReplicaItem[], nowMs: number): readonly AgentEffect[] {
    const newItems = items.filter((item) => this.#replicas.merge(item));
    if (newItems.length === 0) return [];
    const versions = newItems.map(({ key, version }) => ({ key, version }));
    const targets = [
      ...this.#pickRandom(this.#domainPeers(nowMs), ADVERT_FANOUT),
      ...this.#pickRandom(this.#remotePeers(nowMs), ADVERT_FANOUT),
    ];
    const adverts = targets.map((member): AgentEffect => ({
      type: 'send',
      to: member.agentAddress,
      message: { type: 'advert', versions },
    }));
    return [{ type: 'publishItems', items: newItems }, ...adverts];
  }

  #missingKeys(versions: readonly ReplicaVersion[]): ReplicaKey[] {
    return versions
      .filter((advertised) => advertised.version > this.#replicas.version(advertised.key))
      .map((advertised) => advertised.key);
  }

  #itemsFor(keys: readonly ReplicaKey[]): ReplicaItem[] {
    return keys.flatMap((key) => this.#replicas.get(key) ?? []);
  }

  #sendItems(to: Endpoint, items: readonly ReplicaItem[]): readonly AgentEffect[] {
    if (items.length === 0) return [];
    return [{ type: 'send', to, message: { type: 'items', items: [...items] } }];
  }

  #sendMembers(to: Endpoint, ids: readonly EntryVmId[]): readonly AgentEffect[] {
    const members = this.#members.records(ids);
    return members.length === 0
      ? []
      : [{ type: 'send', to, message: { type: 'members', members } }];
  }

  /** Publishes live members to the entry process if they changed in more than their heartbeats. */
  #publishMembers(nowMs: number): readonly AgentEffect[] {
    const members = this.#members.live(nowMs);
    const memberRevisions = members.map(({ id, revision }) => `${id}@${revision}`).join();
    if (memberRevisions === this.#publishedMemberRevisions) return [];
    this.#publishedMemberRevisions = memberRevisions;
    return [{ type: 'publishMembers', members }];
  }

  /** Whether rendezvous hashing assigns a duty of the failure domain to this agent. */
  #isElected(duty: string, count: number, nowMs: number): boolean {
    const ids: EntryVmId[] = this.#domainPeers(nowMs).map((member) => member.id);
    return rendezvousTop(duty, [this.self.id, ...ids], count).includes(this.self.id);
  }

  #domainPeers(nowMs: number): readonly MemberRecord[] {
    return this.#otherMembers(nowMs).filter(
      (member) => member.failureDomain === this.self.failureDomain,
    );
  }

  #remotePeers(nowMs: number): readonly MemberRecord[] {
    return this.#otherMembers(nowMs).filter(
      (member) => member.failureDomain !== this.self.failureDomain,
    );
  }

  #otherMembers(nowMs: number): readonly MemberRecord[] {
    return this.#members.live(nowMs).slice(1);
  }

  /**
   * Addresses to reconnect to at this heartbeat. Every agent retries unresponsive members; delegates
   * and agents without domain peers also retry the seeds.
   */
  #reconnectTargets(nowMs: number): readonly Endpoint[] {
    if (this.#heartbeats % HEARTBEATS_PER_RECONNECT !== 1) return [];
    if (this.#domainPeers(nowMs).length === 0) return this.#unconnectedAddresses(nowMs);
    const includeSeeds =
      this.#heartbeats % HEARTBEATS_PER_SEED_RETRY === 1 &&
      this.#isElected('delegate', DELEGATES_PER_DOMAIN, nowMs);
    return includeSeeds
      ? this.#unconnectedAddresses(nowMs)
      : this.#members.unresponsive(nowMs).map((member) => member.agentAddress);
  }

  /** Addresses of unresponsive members and seeds, except those of live members. */
  #unconnectedAddresses(nowMs: number): readonly Endpoint[] {
    const live = new Set(this.#members.live(nowMs).map((member) => member.agentAddress));
    const unresponsive = this.#members.unresponsive(nowMs).map((member) => member.agentAddress);
    return [...new Set([...unresponsive, ...this.#seeds])].filter((address) => !live.has(address));
  }

  /** Picks up to `count` distinct random candidates. */
  #pickRandom<Item>(candidates: readonly Item[], count: number): readonly Item[] {
    const pool = [...candidates];
    const picked: Item[] = [];
    while (picked.length < count && pool.length > 0) {
      picked.push(...pool.splice(Math.floor(this.#random() * pool.length), 1));
    }
    return picked;
  }
}
