/** Runs the agent's state machine: owns its sockets and timers, and carries out its effects as I/O. */
import type http2 from 'node:http2';
import {
  AgentMachine,
  HEARTBEAT_INTERVAL_MS,
  authorize,
  crashKey,
  parseCrashItem,
  authorizesAnyPath,
  vmKey,
  writeSettings,
} from '../coordination/index.js';
import type { AgentEffect } from '../coordination/index.js';
import { SETTINGS_ROOT, VMS_ROOT } from '../protocol/index.js';
import type {
  AgentConfig,
  AgentUpdate,
  EntryReport,
  OperatorReply,
  OperatorRequest,
  PeerMessage,
  PeerReply,
  PlatformObject,
} from '../protocol/index.js';
import {
  Incarnation,
  SettingsPath,
  SettingsView,
  StoredSettings,
  checkSettings,
  settingsKey,
  settingsPathOf,
} from '../state/index.js';
import type { Endpoint, MemberRecord, ReplicaItem } from '../state/index.js';
import { pause, systemClock } from './clocks.js';
import type { Clock } from './clocks.js';
import type { Logger } from './logs.js';
import { AgentClient, boundEndpoint, serveAgent } from './agentrpcs.js';
import { PlatformClient } from './platformclients.js';
import { UpdateStream } from './updatestreams.js';

/** Backoff after the first failed watch, in milliseconds; doubles up to `MAX_BACKOFF_MS`. */
const INITIAL_BACKOFF_MS = 500;

const MAX_BACKOFF_MS = 15_000;

/** Maximum time a report or change waits for other agents to be notified, in milliseconds. */
const NOTIFY_PEERS_TIMEOUT_MS = 200;

export class AgentTask {
  readonly #cfg: AgentConfig;

  readonly #log: Logger;

  readonly #clock: Clock;

  readonly #machine: AgentMachine;

  readonly #platform: PlatformClient;

  /** Settings in force; changes are validated against them. */
  readonly #settingsView = new SettingsView();

  readonly #peerClients = new Map<Endpoint, AgentClient>();

  readonly #subscribers = new Set<UpdateStream<AgentUpdate>>();

  #watchController: AbortController | undefined;

  #server: http2.Http2Server | undefined;

  #tickTimer: NodeJS.Timeout | undefined;

  #loggedMembers = '';

  constructor(cfg: AgentConfig, log: Logger, clock: Clock = systemClock) {
    this.#cfg = cfg;
    this.#log = log;
    this.#clock = clock;
    this.#platform = new PlatformClient(cfg.platform, cfg.platformCallsPerSecond, clock);
    const { id, failureDomain, callerAddress, peerAddress, agentAddress } = cfg;
    this.#machine = new AgentMachine(
      {
        id,
        failureDomain,
        callerAddress,
        peerAddress,
        agentAddress,
        heartbeat: Math.floor(clock().wallMs),
        revision: 0,
        incarnation: Incarnation.parse('00000000'),
        phase: 'starting',
        epoch: 0,
        dispatching: [],
      },
      Math.random,
      { seeds: cfg.seeds.filter((seed) => seed !== agentAddress) },
    );
  }

  async start(): Promise<void> {
    this.#server = await serveAgent(this.#cfg.agentAddress, {
      subscribe: (req, signal) => this.#subscribe(signal),
      report: (report) => this.#handleReport(report),
      exchange: (message) => this.#handlePeerMessage(message),
      operate: (req) => this.#handleOperatorRequest(req),
    });
    const address = boundEndpoint(this.#server, this.#cfg.agentAddress);
    this.#performEffects(this.#machine.handle({ type: 'listening', address }, this.#clock()));
    this.#tickTimer = setInterval(() => this.#tick(), HEARTBEAT_INTERVAL_MS);
    this.#tick();
    this.#log('processStarted', { address });
  }

  /** The listen address. */
  get address(): Endpoint {
    return this.#machine.self.agentAddress;
  }

  /**
   * Stops at once, without a handover: other agents detect it by missing heartbeats and have replicas of
   * all items.
   */
  stop(): void {
    clearInterval(this.#tickTimer);
    this.#watchController?.abort();
    this.#subscribers.forEach((stream) => stream.end());
    this.#server?.close();
    this.#log('processStopped');
  }

  #tick(): void {
    this.#performEffects(this.#machine.handle({ type: 'tick' }, this.#clock()));
  }

  #handlePeerMessage(message: PeerMessage): PeerReply {
    const { reply, effects } = this.#machine.receive(message, this.#clock());
    this.#performEffects(effects);
    return reply;
  }

  /** Handles an entry's report. One with items waits briefly until other agents are notified. */
  async #handleReport(report: EntryReport): Promise<void> {
    const effects = this.#machine.handle({ type: 'entryReport', report }, this.#clock());
    const peersNotified = this.#performEffects(effects);
    if (report.items.length > 0)
      await Promise.race([peersNotified, pause(NOTIFY_PEERS_TIMEOUT_MS)]);
  }

  async *#subscribe(signal: AbortSignal): AsyncIterable<AgentUpdate> {
    const stream = new UpdateStream<AgentUpdate>();
    signal.addEventListener('abort', () => stream.end());
    this.#subscribers.add(stream);
    stream.push({ type: 'items', items: [...this.#machine.items()] });
    stream.push({ type: 'members', members: [...this.#machine.members(this.#clock().nowMs)] });
    yield* stream;
    this.#subscribers.delete(stream);
    if (this.#subscribers.size > 0) return;
    this.#performEffects(this.#machine.handle({ type: 'entryGone' }, this.#clock()));
  }

  /** Performs effects. Resolves when every message has a reply or has failed. */
  async #performEffects(effects: readonly AgentEffect[]): Promise<void> {
    const sends = effects.map((effect) => this.#performEffect(effect));
    await Promise.all(sends);
  }

  async #performEffect(effect: AgentEffect): Promise<void> {
    switch (effect.type) {
      case 'send':
        await this.#send(effect.to, effect.message);
        break;
      case 'publishItems':
        effect.items.forEach((item) => this.#applyItem(item));
        this.#publish({ type: 'items', items: [...effect.items] });
        break;
      case 'publishMembers':
        this.#logMembers(effect.members);
        this.#publish({ type: 'members', members: [...effect.members] });
        break;
      case 'watch':
        if (effect.on) this.#startWatch();
        else this.#stopWatch();
        break;
      default:
        effect satisfies never;
    }
  }

  async #send(to: Endpoint, message: PeerMessage): Promise<void> {
    const client = this.#peerClients.get(to) ?? new AgentClient(to);
    this.#peerClients.set(to, client);
    const reply = await client.exchange(message);
    if (reply.isErr()) {
      this.#log('peerUnreachable', { to, reason: reply.error.message });
      return;
    }
    const event = { type: 'reply', to, reply: reply.value } as const;
    await this.#performEffects(this.#machine.handle(event, this.#clock()));
  }

  #publish(update: AgentUpdate): void {
    this.#subscribers.forEach((stream) => stream.push(update));
  }

  #logMembers(members: readonly MemberRecord[]): void {
    const live = members.map((member) => `${member.id} ${member.phase}`).sort();
    if (live.join() === this.#loggedMembers) return;
    this.#loggedMembers = live.join();
    this.#log('membersChanged', { live });
  }

  #applyItem(item: ReplicaItem): void {
    const path = settingsPathOf(item.key);
    if (path === undefined) {
      const crash = parseCrashItem(item);
      if (crash !== undefined && crash.crashes === 0) {
        this.#log('contentReleased', { fingerprint: crash.fingerprint });
      }
      return;
    }
    const applied = this.#settingsView.apply(item);
    this.#log(applied ? 'settingsInForce' : 'settingsRejected', { path, version: item.version });
  }

  #startWatch(): void {
    const controller = new AbortController();
    this.#watchController = controller;
    this.#log('watchStarted');
    this.#watchLoop(controller.signal);
  }

  #stopWatch(): void {
    this.#watchController?.abort();
    this.#watchController = undefined;
    this.#log('watchEnded');
  }

  async #watchLoop(signal: AbortSignal): Promise<void> {
    let since = 0;
    let backoffMs = INITIAL_BACKOFF_MS;
    while (!signal.aborted) {
      const changes = await this.#platform.watch([SETTINGS_ROOT, VMS_ROOT], since, signal);
      if (signal.aborted) return;
      if (changes.isErr()) {
        this.#log('watchFailed', { backoffMs });

        await pause(Math.random() * backoffMs, signal);
        backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
      } else {
        backoffMs = INITIAL_BACKOFF_MS;
        since = changes.value.version;
        const items = changes.value.objects.flatMap((object) => toReplicaItem(object) ?? []);
        this.#performEffects(this.#machine.handle({ type: 'stored', items }, this.#clock()));
      }
    }
  }

  async #handleOperatorRequest(req: OperatorRequest): Promise<OperatorReply> {
    switch (req.type) {
      case 'apply':
        return this.#applySettings(req);
      case 'get':
        return this.#getSettings(req.path);
      case 'release':
        return this.#releaseContent(req);
      case 'status':
        return this.#status();
      default:
        return req satisfies never;
    }
  }

  async #applySettings(req: Extract<OperatorRequest, { type: 'apply' }>): Promise<OperatorReply> {
    const refuse = (code: Extract<OperatorReply, { type: 'refused' }>['code']): OperatorReply => {
      this.#log('changeRefused', { path: req.path, who: req.who, code, changeId: req.changeId });
      return { type: 'refused', code, changeId: req.changeId };
    };
    const team = authorize(this.#settingsView.fleet, req.path, req.key);
    if (team.isErr()) return refuse(team.error);
    const settings = checkSettings(req.path, req.settings, {
      fleet: this.#settingsView.fleet,
      services: this.#settingsView.servicePaths,
    });
    if (settings.isErr()) {
      return {
        type: 'invalid',
        issues: settings.error.map((issue) => ({ ...issue, path: [...issue.path] })),
      };
    }
    const written = await writeSettings(this.#platform, {
      path: req.path,
      settings: settings.value,
      changeId: req.changeId,
      who: `${team.value}:${req.who}`,
      atMs: this.#clock().wallMs,
      ifVersion: req.ifVersion,
    });
    if (written.isErr()) {
      const { error } = written;
      if (error.code !== 'conflict') return refuse(error.code);
      this.#log('changeRefused', { path: req.path, who: req.who, code: error.code });
      return { type: 'conflict', version: error.version, differences: [...error.differences] };
    }
    const { version, body } = written.value;
    this.#log('changeAccepted', { path: req.path, who: req.who, version, changeId: req.changeId });
    const item = { key: settingsKey(req.path), version, body };
    const peersNotified = this.#performEffects(
      this.#machine.handle({ type: 'stored', items: [item] }, this.#clock()),
    );
    await Promise.race([peersNotified, pause(NOTIFY_PEERS_TIMEOUT_MS)]);
    return { type: 'applied', version, changeId: req.changeId };
  }

  #getSettings(path: SettingsPath): OperatorReply {
    const item = this.#machine.item(settingsKey(path));
    const stored = StoredSettings.safeParse(item?.body);
    if (item === undefined || !stored.success) return { type: 'absent', path };
    const { settings, history } = stored.data;
    return { type: 'object', path, version: item.version, settings, history };
  }

  async #releaseContent(
    req: Extract<OperatorRequest, { type: 'release' }>,
  ): Promise<OperatorReply> {
    if (!authorizesAnyPath(this.#settingsView.fleet, req.key)) {
      this.#log('changeRefused', { path: 'release', who: req.who, code: 'wrong_key' });
      return { type: 'refused', code: 'wrong_key' };
    }
    const currentItem = this.#machine.item(crashKey(req.fingerprint));
    const crash = currentItem === undefined ? undefined : parseCrashItem(currentItem);
    if (currentItem === undefined || crash === undefined)
      return { type: 'refused', code: 'not_known' };
    const { wallMs } = this.#clock();
    const version = Math.max(Math.floor(wallMs), currentItem.version + 1);
    const item = { ...currentItem, version, body: { ...crash, crashes: 0, untilMs: wallMs } };
    await this.#performEffects(
      this.#machine.handle({ type: 'stored', items: [item] }, this.#clock()),
    );
    this.#log('contentReleased', { fingerprint: req.fingerprint, who: req.who });
    return { type: 'applied', version: item.version, changeId: req.fingerprint };
  }

  #status(): OperatorReply {
    const settings = this.#machine.items().flatMap((item) => {
      const path = settingsPathOf(item.key);
      return path === undefined ? [] : [{ path, version: item.version }];
    });
    const suspects = this.#machine
      .items()
      .flatMap((item) => parseCrashItem(item) ?? [])
      .filter((record) => record.crashes > 0 && record.untilMs > this.#clock().wallMs)
      .map(({ fingerprint, crashes }) => ({ fingerprint, crashes }));
    const members = [...this.#machine.members(this.#clock().nowMs)];
    return { type: 'status', self: this.#machine.self, members, settings, suspects };
  }
}

/** Converts a platform object to a replicated item. Undefined when it is not a VM or settings. */
function toReplicaItem(object: PlatformObject): ReplicaItem | undefined {
  const { version, body } = object;
  if (object.path.startsWith(VMS_ROOT)) {
    return { key: vmKey(object.path.slice(VMS_ROOT.length)), version, body };
  }
  const path = SettingsPath.safeParse(object.path.slice(SETTINGS_ROOT.length));
  return path.success ? { key: settingsKey(path.data), version, body } : undefined;
}
