/**
 * The agent's state machine: membership, and copies of replicated items that spread from agent to
 * agent. Pure: time and random numbers are passed in.
 *
 * A new version is advertised at once to a few agents, who ask for the items they lack and advertise
 * in turn. What that misses, a comparison of digests with a random agent repairs. A few agents of
 * each failure domain, its delegates, talk to other domains and watch the platform.
 */
import { z } from 'zod';
import {
  EntryVmId,
  FailureDomainId,
  MemberPulse,
  MemberRecord,
  ReplicaItem,
  ReplicaKey,
  ReplicaTable,
  ReplicaVersion,
} from '../state/index.js';
import type { Endpoint } from '../state/index.js';
import type { Instant } from './callflows.js';
import { MemberTable } from './members.js';
import { rendezvousTop } from './rendezvous.js';

/** A message from agent to agent. */
export const PeerMessage = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('heartbeat'),
    pulses: z.array(MemberPulse),
    /** Asks for members of this failure domain, the sender's own, that it may not know. */
    peersOf: FailureDomainId.optional(),
  }),
  z.object({ type: z.literal('members'), members: z.array(MemberRecord) }),
  z.object({ type: z.literal('advert'), versions: z.array(ReplicaVersion) }),
  z.object({ type: z.literal('items'), items: z.array(ReplicaItem) }),
  z.object({ type: z.literal('digest'), digest: z.array(z.number()) }),
  z.object({ type: z.literal('pull'), keys: z.array(ReplicaKey) }),
]);
export type PeerMessage = z.infer<typeof PeerMessage>;

/** The answer to a message. */
export const PeerReply = z.discriminatedUnion('type', [
  z.object({ type: z.literal('ok') }),
  z.object({ type: z.literal('wanted'), keys: z.array(ReplicaKey) }),
  z.object({
    type: z.literal('wantedMembers'),
    ids: z.array(EntryVmId),
    /** Members of the failure domain that was asked for. */
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

/** What an entry tells the agent on its VM. */
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
  /** The agent listens there, which may be another port than its settings ask for. */
  | { readonly type: 'listening'; readonly address: Endpoint }
  /** Items read from the platform, or accepted by it. */
  | { readonly type: 'stored'; readonly items: readonly ReplicaItem[] };

export type AgentEffect =
  | { readonly type: 'send'; readonly to: Endpoint; readonly message: PeerMessage }
  | { readonly type: 'publishItems'; readonly items: readonly ReplicaItem[] }
  | { readonly type: 'publishMembers'; readonly members: readonly MemberRecord[] }
  | { readonly type: 'watch'; readonly on: boolean };

/** The answer to a message, and what else follows from it. */
export interface Received {
  readonly reply: PeerReply;
  readonly effects: readonly AgentEffect[];
}

export interface AgentOptions {
  readonly failureMs?: number;
  /** Agents to talk to before any member is known. */
  readonly seeds?: readonly Endpoint[];
}

/** Time between heartbeats, in milliseconds. */
export const HEARTBEAT_MS = 500;

/** Heartbeats between two comparisons of digests. */
const DIGEST_EVERY = 4;

/** Heartbeats between two tries to reach a lost member. */
const RECONNECT_EVERY = 2;

/** Heartbeats between two tries of a delegate to reach a seed that it does not hear of. */
const SEED_EVERY = 20;

/** Heartbeats of a delegate between two that ask others for members of its own domain. */
const PEERS_EVERY = 4;

/** Members of the own domain that get each heartbeat. */
const DOMAIN_FANOUT = 2;

/** Agents of other domains that get each heartbeat of a delegate. */
const REMOTE_FANOUT = 2;

/** Agents of each kind that get an advert. */
const ADVERT_FANOUT = 4;

/** Agents of each failure domain that talk to other domains. */
const DELEGATES = 2;

/** Agents of each failure domain that watch the platform. */
export const WATCHERS = 2;

const OK: PeerReply = { type: 'ok' };

export class AgentMachine {
  readonly #replicas = new ReplicaTable();

  readonly #members: MemberTable;

  readonly #random: () => number;

  readonly #seeds: readonly Endpoint[];

  #beats = 0;

  #watching = false;

  #publishedMembers = '';

  /** @param random - uniform in [0, 1). */
  constructor(self: MemberRecord, random: () => number, options: AgentOptions = {}) {
    this.#members = new MemberTable(self, options.failureMs);
    this.#random = random;
    this.#seeds = options.seeds ?? [];
  }

  get self(): MemberRecord {
    return this.#members.self;
  }

  /** All items held. */
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
        this.#members.beat({ agentAddress: event.address }, instant.wallMs);
        return [];
      case 'entryGone':
        this.#members.beat({ phase: 'starting', dispatching: [] }, instant.wallMs);
        return this.#publishMembers(instant.nowMs);
      case 'stored':
        return this.#learn(event.items, instant.nowMs);
      default:
        return event satisfies never;
    }
  }

  /** Takes a message of another agent. */
  receive(message: PeerMessage, instant: Instant): Received {
    switch (message.type) {
      case 'heartbeat':
        return this.#onHeartbeat(message, instant.nowMs);
      case 'members':
        message.members.forEach((member) => this.#members.merge(member, instant.nowMs));
        return { reply: OK, effects: this.#publishMembers(instant.nowMs) };
      case 'advert':
        return { reply: { type: 'wanted', keys: this.#lacking(message.versions) }, effects: [] };
      case 'items':
        return { reply: OK, effects: this.#learn(message.items, instant.nowMs) };
      case 'digest':
        return {
          reply: {
            type: 'versions',
            digest: [...this.#replicas.digest()],
            versions: [...this.#replicas.versionsWhereDiffers(message.digest)],
          },
          effects: [],
        };
      case 'pull':
        return { reply: { type: 'items', items: this.#held(message.keys) }, effects: [] };
      default:
        return message satisfies never;
    }
  }

  #onTick(instant: Instant): readonly AgentEffect[] {
    const { nowMs, wallMs } = instant;
    this.#beats += 1;
    this.#members.beat({}, wallMs);
    this.#members.expire(nowMs);
    const domainPeers = this.#domainPeers(nowMs);
    const remotePeers = this.#isOneOf('delegate', DELEGATES, nowMs) ? this.#remotePeers(nowMs) : [];
    const targets = [
      ...this.#pick(domainPeers, DOMAIN_FANOUT),
      ...this.#pick(remotePeers, REMOTE_FANOUT),
    ].map((member) => member.agentAddress);
    targets.push(...this.#pick(this.#reconnects(nowMs), 1));
    const heartbeat: PeerMessage = {
      type: 'heartbeat',
      pulses: this.#members.freshest(nowMs),
      ...(this.#asksForPeers(nowMs) ? { peersOf: this.self.failureDomain } : {}),
    };
    const sends = targets.map((to): AgentEffect => ({ type: 'send', to, message: heartbeat }));
    return [
      ...sends,
      ...this.#compare([...domainPeers, ...remotePeers], nowMs),
      ...this.#watchDuty(nowMs),
      ...this.#publishMembers(nowMs),
    ];
  }

  /**
   * Agents of one failure domain that do not know each other could stay apart for good. Others know
   * a few of each side, so they are asked now and then, and by whoever is alone.
   */
  #asksForPeers(nowMs: number): boolean {
    if (this.#domainPeers(nowMs).length === 0) return true;
    return this.#beats % PEERS_EVERY === 1 && this.#isOneOf('delegate', DELEGATES, nowMs);
  }

  /** Compares digests with a random agent now and then; a new agent does so at once. */
  #compare(peers: readonly MemberRecord[], nowMs: number): readonly AgentEffect[] {
    if (this.#beats % DIGEST_EVERY !== 1 && this.#replicas.size > 0) return [];
    const known = peers.map((member) => member.agentAddress);
    const message: PeerMessage = { type: 'digest', digest: [...this.#replicas.digest()] };
    return this.#pick(known.length > 0 ? known : this.#unheard(nowMs), 1).map((to) => ({
      type: 'send',
      to,
      message,
    }));
  }

  #watchDuty(nowMs: number): readonly AgentEffect[] {
    const on = this.#isOneOf('watch', WATCHERS, nowMs);
    if (on === this.#watching) return [];
    this.#watching = on;
    return [{ type: 'watch', on }];
  }

  #onHeartbeat(message: Extract<PeerMessage, { type: 'heartbeat' }>, nowMs: number): Received {
    const wanted = message.pulses.filter((pulse) => this.#members.pulse(pulse, nowMs));
    const ids = wanted.map((pulse) => pulse.id);
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
        return this.#sendItems(to, this.#held(reply.keys));
      case 'wantedMembers':
        reply.peers.forEach((peer) => this.#members.merge(peer, instant.nowMs));
        return this.#sendMembers(to, reply.ids);
      case 'versions': {
        const newer = this.#replicas.newerThan(reply.versions, reply.digest);
        const keys = this.#lacking(reply.versions);
        const pull: AgentEffect[] =
          keys.length === 0 ? [] : [{ type: 'send', to, message: { type: 'pull', keys } }];
        return [...this.#sendItems(to, newer), ...pull];
      }
      case 'items':
        return this.#learn(reply.items, instant.nowMs);
      default:
        return reply satisfies never;
    }
  }

  #onEntryReport(report: EntryReport, instant: Instant): readonly AgentEffect[] {
    const { items, ...changes } = report;
    this.#members.beat(changes, instant.wallMs);
    return [...this.#learn(items, instant.nowMs), ...this.#publishMembers(instant.nowMs)];
  }

  /** Merges items, hands the new ones to the entry and advertises them. */
  #learn(items: readonly ReplicaItem[], nowMs: number): readonly AgentEffect[] {
    const fresh = items.filter((item) => this.#replicas.merge(item));
    if (fresh.length === 0) return [];
    const versions = fresh.map(({ key, version }) => ({ key, version }));
    const targets = [
      ...this.#pick(this.#domainPeers(nowMs), ADVERT_FANOUT),
      ...this.#pick(this.#remotePeers(nowMs), ADVERT_FANOUT),
    ];
    const adverts = targets.map((member): AgentEffect => ({
      type: 'send',
      to: member.agentAddress,
      message: { type: 'advert', versions },
    }));
    return [{ type: 'publishItems', items: fresh }, ...adverts];
  }

  #lacking(versions: readonly ReplicaVersion[]): ReplicaKey[] {
    return versions
      .filter((each) => each.version > this.#replicas.version(each.key))
      .map((each) => each.key);
  }

  #held(keys: readonly ReplicaKey[]): ReplicaItem[] {
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

  /** Tells the entry who is live, when that or anything but heartbeats has changed. */
  #publishMembers(nowMs: number): readonly AgentEffect[] {
    const members = this.#members.live(nowMs);
    const text = members.map(({ id, revision }) => `${id}@${revision}`).join();
    if (text === this.#publishedMembers) return [];
    this.#publishedMembers = text;
    return [{ type: 'publishMembers', members }];
  }

  #isOneOf(job: string, count: number, nowMs: number): boolean {
    const ids: EntryVmId[] = this.#domainPeers(nowMs).map((member) => member.id);
    return rendezvousTop(job, [this.self.id, ...ids], count).includes(this.self.id);
  }

  #domainPeers(nowMs: number): readonly MemberRecord[] {
    return this.#others(nowMs).filter((each) => each.failureDomain === this.self.failureDomain);
  }

  #remotePeers(nowMs: number): readonly MemberRecord[] {
    return this.#others(nowMs).filter((each) => each.failureDomain !== this.self.failureDomain);
  }

  #others(nowMs: number): readonly MemberRecord[] {
    return this.#members.live(nowMs).slice(1);
  }

  /** Agents to try again now: lost ones often, seeds by those who are alone, or by delegates. */
  #reconnects(nowMs: number): readonly Endpoint[] {
    if (this.#beats % RECONNECT_EVERY !== 1) return [];
    if (this.#domainPeers(nowMs).length === 0) return this.#unheard(nowMs);
    const seedsToo = this.#beats % SEED_EVERY === 1 && this.#isOneOf('delegate', DELEGATES, nowMs);
    return seedsToo
      ? this.#unheard(nowMs)
      : this.#members.lost(nowMs).map((member) => member.agentAddress);
  }

  /** Agents that may exist but were not heard of lately. */
  #unheard(nowMs: number): readonly Endpoint[] {
    const live = new Set(this.#members.live(nowMs).map((member) => member.agentAddress));
    const lost = this.#members.lost(nowMs).map((member) => member.agentAddress);
    return [...new Set([...lost, ...this.#seeds])].filter((address) => !live.has(address));
  }

  /** Up to `count` random ones, each once. */
  #pick<Item>(from: readonly Item[], count: number): readonly Item[] {
    const pool = [...from];
    const picked: Item[] = [];
    while (picked.length < count && pool.length > 0) {
      picked.push(...pool.splice(Math.floor(this.#random() * pool.length), 1));
    }
    return picked;
  }
}
