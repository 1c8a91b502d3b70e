/** One run of the soak: entry VMs, a store, backend servers, callers, and what is done to them. */
import { randomUUID } from 'node:crypto';
import { mkdtempSync } from 'node:fs';
import http from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { FactStoreStandIn } from '../standins/factstores.js';
import type { StoreFaults } from '../standins/factstores.js';
import { configOf, entryOf, route } from '../standins/platformobjects.js';
import { PlatformServerStandIn } from '../standins/platformservers.js';
import type { PlatformAnswer } from '../standins/platformservers.js';
import { RelayStandIn } from '../standins/relays.js';
import type { Way } from '../standins/relays.js';
import { check } from './checks.js';
import type { Attempt, PlanChange, Probe, RunPlace } from './checks.js';
import { SoakNode } from './nodes.js';
import type { Disturbance } from './nodes.js';
import { randomOf } from './randoms.js';
import type { Random } from './randoms.js';

const REGIONS = { a1: 'a', a2: 'a', b1: 'b' } as const;
const DOMAINS = Object.keys(REGIONS);
const SERVERS_PER_DOMAIN = 2;
const SLOTS = 8;

/** Timeout of the routes that only one version of the plan has, in seconds. */
const TIMEOUT_S = 2;

/** Deadline that callers state, and time after which they close, in milliseconds. */
const DEADLINE_MS = 2_500;
const GIVE_UP_MS = 4_000;

const HOST = 'shop.example';
const BODY = 'the whole answer';
const UNAVAILABLE = 503;

/** Time of a run at a backend server, in milliseconds. */
const WORK_MS = 30;

/** Time between two requests of the callers, and between two probes of one entry VM, in milliseconds. */
const REQUEST_MS = 20;
const PROBE_MS = 300;

/** Time in which nothing is done at the start and at the end, in milliseconds. */
const START_MS = 4_000;
const CALM_MS = 6_000;

/** Longest time that a disturbance lasts, in milliseconds. */
const LONGEST_MS = 4_000;

/** Longest delay of bytes on a connection, in milliseconds. */
const LONGEST_DELAY_MS = 400;

/** Time for which the store tells watches nothing before it forgets its history, in milliseconds. */
const DEAF_MS = 1_000;

export interface SoakOptions {
  readonly seed: number;
  /** Entry VMs, spread over the failure domains. */
  readonly nodes: number;
  /** Time in which disturbances begin, in milliseconds. */
  readonly lengthMs: number;
  /** Disturbances that begin in that time. */
  readonly disturbances: number;
  /** What is done instead, so that it stays the same when there is more to draw from. */
  readonly script?: readonly ScriptedDisturbance[];
}

/** One of the disturbances whose names say all. */
export interface ScriptedDisturbance {
  /** From when disturbances may begin, in milliseconds. */
  readonly atMs: number;
  readonly name: string;
}

export interface SoakResult {
  readonly faults: readonly string[];
  readonly requests: number;
  readonly served: number;
  readonly done: readonly string[];
  /** Where the processes' logs are. */
  readonly directory: string;
}

interface KnownServer {
  readonly id: string;
  readonly domain: string;
  readonly standIn: PlatformServerStandIn;
  /** Between it and all entry VMs. */
  readonly relay: RelayStandIn;
  readonly address: string;
  /** What was done to its connections. */
  readonly disturbances: Disturbance[];
}

type Action = () => Promise<void> | void;

export class SoakWorld {
  readonly #options: SoakOptions;

  /** Of what is done, and of the callers: apart, so that the timing of requests changes nothing else. */
  readonly #random: Random;

  readonly #callerRandom: Random;

  readonly #startedMs = performance.now();

  readonly #directory = mkdtempSync(join(tmpdir(), 'lovagesail-soak-'));

  readonly #store = new FactStoreStandIn();

  readonly #storeDisturbances: Disturbance[] = [];

  /** Faults of the store that are under way; they may overlap. */
  readonly #storeFaults: (keyof StoreFaults)[] = [];

  readonly #nodes: SoakNode[] = [];

  readonly #servers: KnownServer[] = [];

  /** With those that have left. */
  readonly #allServers: KnownServer[] = [];

  readonly #attempts: Attempt[] = [];

  readonly #probes: Probe[] = [];

  readonly #changes: PlanChange[] = [];

  readonly #faults: string[] = [];

  readonly #done: string[] = [];

  #open = new Set<Promise<unknown>>();

  constructor(options: SoakOptions) {
    this.#options = options;
    this.#random = randomOf(options.seed);
    this.#callerRandom = randomOf(-options.seed);
  }

  async run(): Promise<SoakResult> {
    await this.#start();
    await pause(START_MS);
    const timers = [
      setInterval(() => this.#track(this.#request()), REQUEST_MS),
      setInterval(() => this.#nodes.forEach((node) => this.#track(this.#probe(node))), PROBE_MS),
    ];
    await this.#disturb();
    const calmMs = this.#now();
    await pause(CALM_MS);
    timers.forEach((timer) => clearInterval(timer));
    await Promise.all(this.#open);
    await Promise.all(this.#nodes.map((node) => node.stop()));
    this.#allServers.forEach(({ standIn }) => standIn.stop());
    this.#servers.forEach(({ relay }) => relay.stop());
    this.#store.stop();
    const runs = new Map<string, readonly RunPlace[]>();
    this.#allServers.forEach(({ standIn, disturbances }) =>
      standIn.runs
        .filter(({ answer }) => answer !== 'rejected')
        .forEach(({ requestId, answer }) => {
          const place = { disturbances, endless: answer.startsWith('endless') };
          runs.set(requestId, [...(runs.get(requestId) ?? []), place]);
        }),
    );
    const broken = check({
      attempts: this.#attempts,
      probes: this.#probes,
      changes: this.#changes,
      storeDisturbances: this.#storeDisturbances,
      runs,
      calmMs,
    });
    return {
      faults: [...this.#faults, ...broken],
      requests: this.#attempts.length,
      served: this.#attempts.filter(({ status }) => status === 200).length,
      done: this.#done,
      directory: this.#directory,
    };
  }

  #now(): number {
    return performance.now() - this.#startedMs;
  }

  async #start(): Promise<void> {
    const store = await this.#store.start();
    this.#changePlan();
    for (const domain of DOMAINS) {
      for (let i = 0; i < SERVERS_PER_DOMAIN; i += 1) await this.#addServer(domain);
    }
    const network = this.#random(200) + 20;
    for (let i = 0; i < this.#options.nodes; i += 1) {
      const node = new SoakNode({
        id: `vm-${i}`,
        host: `127.${network}.${process.pid & 255}.${i + 1}`,
        failureDomain: DOMAINS[i % DOMAINS.length] as string,
        regions: REGIONS,
        directory: this.#directory,
        store,
        nowMs: () => this.#now(),
        onFault: (text) => this.#faults.push(text),
      });
      this.#nodes.push(node);
      await node.start();
    }
  }

  async #addServer(domain: string): Promise<void> {
    const standIn = new PlatformServerStandIn();
    standIn.workMs = WORK_MS;
    const id = `s-${this.#allServers.length + 1}`;
    const relay = new RelayStandIn(await standIn.start());
    const address = await relay.start();
    const server = { id, domain, standIn, relay, address, disturbances: [] };
    this.#servers.push(server);
    this.#allServers.push(server);
    this.#list(server, 'ready', 1);
  }

  #list({ id, domain, address }: KnownServer, State: string, Sequence: number): void {
    const entry = entryOf(address, { Zone: domain, Capacity: SLOTS, State, Sequence });
    this.#store.put('servers', id, entry);
  }

  /** Puts the next version of the plan into force: its own route replaces that of the one before. */
  #changePlan(): void {
    const version = (this.#changes.at(-1)?.version ?? 0) + 1;
    const own = route(`/plan-${version}/`, 'idempotent', TIMEOUT_S);
    this.#store.put('config', 'main', configOf(version, [own]));
    this.#changes.push({ version, atMs: this.#now() });
  }

  #track(work: Promise<unknown>): void {
    this.#open.add(work);
    work.finally(() => this.#open.delete(work));
  }

  async #request(): Promise<void> {
    const random = this.#callerRandom;
    const node = this.#nodes[random(this.#nodes.length)] as SoakNode;
    const idempotent = random(10) < 6;
    const key = random(40);
    const path = idempotent ? `/prices/${key}` : `/deposits/${key}`;
    this.#attempts.push(await this.#send(node, path, idempotent, String(key)));
  }

  async #probe(node: SoakNode): Promise<void> {
    const newest = this.#changes.at(-1)?.version ?? 0;
    const version = newest - this.#callerRandom(2);
    if (version < 1) return;
    const attempt = await this.#send(node, `/plan-${version}/x`, true, 'probe');
    this.#probes.push({ ...attempt, version });
  }

  #send(node: SoakNode, path: string, idempotent: boolean, key: string): Promise<Attempt> {
    const id = randomUUID();
    const sentMs = this.#now();
    const { incarnation } = node;
    return new Promise((resolve) => {
      const end = (status: number | undefined, whole: boolean): void =>
        resolve({ id, node, incarnation, idempotent, sentMs, endedMs: this.#now(), status, whole });
      const req = http.request(
        {
          host: node.host,
          port: node.port,
          path,
          method: idempotent ? 'GET' : 'POST',
          agent: node.agent,
          timeout: GIVE_UP_MS,
          headers: {
            host: HOST,
            'request-id': id,
            'affinity-key': key,
            'deadline-ms': String(DEADLINE_MS),
            ...(idempotent ? {} : { 'content-length': 9 }),
          },
        },
        (res) => {
          const chunks: Buffer[] = [];
          res.on('data', (chunk: Buffer) => chunks.push(chunk));
          res.on('error', () => end(undefined, false));
          res.on('end', () => {
            const own = res.headers['request-id'] === id;
            const signed = res.headers['response-signature'] !== undefined;
            end(res.statusCode, own && signed && Buffer.concat(chunks).toString() === BODY);
          });
        },
      );
      req.on('timeout', () => req.destroy());
      req.on('error', () => end(undefined, false));
      req.end(idempotent ? undefined : 'a deposit');
    });
  }

  /** Begins disturbances at random times, so that they come in series and overlap. */
  async #disturb(): Promise<void> {
    const { lengthMs, disturbances, script } = this.#options;
    const drawn = Array.from({ length: disturbances }, () => this.#random(lengthMs))
      .sort((x, y) => x - y)
      .map((atMs) => ({ atMs, name: undefined }));
    const fromMs = this.#now();
    const under: Promise<void>[] = [];
    for (const { atMs, name: asked } of script ?? drawn) {
      await pause(Math.max(0, fromMs + atMs - this.#now()));
      const choices = this.#choices();
      const [name, act] = (
        asked === undefined
          ? choices[this.#random(choices.length)]
          : choices.find(([each]) => each === asked)
      ) as (typeof choices)[number];
      this.#done.push(`${Math.round(this.#now())} ms ${name}`);
      under.push(Promise.resolve(act()));
    }
    await Promise.all(under);
  }

  /** What may be done now, to things that are drawn. */
  #choices(): readonly (readonly [string, Action])[] {
    const random = this.#random;
    const node = this.#nodes[random(this.#nodes.length)] as SoakNode;
    const server = this.#servers[random(this.#servers.length)] as KnownServer;
    const forMs = 300 + random(LONGEST_MS);
    const delayMs = 20 + random(LONGEST_DELAY_MS);
    const way: Way = random(2) === 0 ? 'there' : 'back';
    const some = this.#nodes.filter(() => random(2) === 0);
    return [
      ['change of the plan', () => this.#changePlan()],
      ['change of the plan', () => this.#changePlan()],
      ['connections to the store silent, some', () => some.forEach(SoakWorld.#silence)],
      ['connections to the store silent, all', () => this.#nodes.forEach(SoakWorld.#silence)],
      ['connections to the store reset, some', () => some.forEach(SoakWorld.#reset)],
      [
        `${node.id}'s way to the store ${delayMs} ms slower, ${forMs} ms`,
        () => SoakWorld.#disturbed(node, () => SoakWorld.#delay(node.relay, delayMs, forMs)),
      ],
      [
        `${node.id}'s way to the store cut ${way}, ${forMs} ms`,
        () => SoakWorld.#disturbed(node, () => SoakWorld.#cut(node.relay, way, forMs)),
      ],
      [`${node.id} killed`, () => node.restart('SIGKILL')],
      [`${node.id} stopped`, () => node.restart('SIGTERM')],
      [`${node.id} paused ${forMs} ms`, () => node.pause(forMs)],
      [`${node.id} reads its settings`, () => node.signal('SIGHUP')],
      [`store refuses ${forMs} ms`, () => this.#storeFault('refuse', forMs)],
      [`store silent ${forMs} ms`, () => this.#storeFault('silent', forMs)],
      ['store forgets', () => this.#forget()],
      [`${server.id} leaves`, () => this.#replace(server)],
      [`${server.id} loses answers`, () => SoakWorld.#spoil(server, 'lost')],
      [`${server.id} cuts answers`, () => SoakWorld.#spoil(server, 'truncated')],
      [`${server.id} answers without end`, () => SoakWorld.#spoil(server, 'endlessBody')],
      [`${server.id} answers in crumbs`, () => SoakWorld.#spoil(server, 'endlessCrumbs')],
      [`${server.id}'s head has no end`, () => SoakWorld.#spoil(server, 'endlessHead')],
      [
        `connections to ${server.id} reset`,
        () => this.#disturbedServer(server, () => server.relay.reset()),
      ],
      [
        `connections to ${server.id} silent`,
        () => this.#disturbedServer(server, () => server.relay.silence()),
      ],
      [
        `${server.id} ${delayMs} ms slower, ${forMs} ms`,
        () => this.#disturbedServer(server, () => SoakWorld.#delay(server.relay, delayMs, forMs)),
      ],
      [
        `${server.id} cut ${way}, ${forMs} ms`,
        () => this.#disturbedServer(server, () => SoakWorld.#cut(server.relay, way, forMs)),
      ],
      [`${server.id} rejects`, () => SoakWorld.#spoil(server, 'rejected')],
    ];
  }

  async #disturbedServer({ disturbances }: KnownServer, act: Action): Promise<void> {
    const disturbance = { fromMs: this.#now(), toMs: Infinity, planned: false };
    disturbances.push(disturbance);
    await act();
    disturbance.toMs = this.#now();
  }

  static async #disturbed(node: SoakNode, act: () => Promise<void>): Promise<void> {
    const end = node.disturb();
    await act();
    end();
  }

  static #silence(node: SoakNode): void {
    node.disturb()();
    node.relay.silence();
  }

  static #reset(node: SoakNode): void {
    node.disturb()();
    node.relay.reset();
  }

  /** Delays add up when they overlap. */
  static async #delay(relay: RelayStandIn, delayMs: number, forMs: number): Promise<void> {
    Object.assign(relay, { delayMs: relay.delayMs + delayMs });
    await pause(forMs);
    Object.assign(relay, { delayMs: relay.delayMs - delayMs });
  }

  static async #cut(relay: RelayStandIn, way: Way, forMs: number): Promise<void> {
    relay.cut.add(way);
    await pause(forMs);
    relay.cut.delete(way);
  }

  static #spoil({ standIn }: KnownServer, answer: PlatformAnswer): void {
    standIn.answers.push(...Array<PlatformAnswer>(5).fill(answer));
  }

  async #storeFault(fault: keyof StoreFaults, forMs: number): Promise<void> {
    const disturbance = { fromMs: this.#now(), toMs: Infinity, planned: false };
    this.#storeDisturbances.push(disturbance);
    this.#storeFaults.push(fault);
    this.#setStoreFaults();
    await pause(forMs);
    this.#storeFaults.splice(this.#storeFaults.indexOf(fault), 1);
    this.#setStoreFaults();
    disturbance.toMs = this.#now();
  }

  #setStoreFaults(): void {
    const has = (fault: keyof StoreFaults): boolean => this.#storeFaults.includes(fault);
    const refuse = has('refuse') ? UNAVAILABLE : undefined;
    Object.assign(this.#store.faults, { refuse, silent: has('silent'), deaf: has('deaf') });
  }

  /** Tells watches nothing for a while, then drops the history. */
  async #forget(): Promise<void> {
    await this.#storeFault('deaf', DEAF_MS);
    this.#store.forget();
  }

  /** Starts a server in place of one that drains and leaves. */
  async #replace(server: KnownServer): Promise<void> {
    await this.#addServer(server.domain);
    this.#servers.splice(this.#servers.indexOf(server), 1);
    this.#list(server, 'draining', 2);
    await pause(LONGEST_MS);
    this.#store.remove('servers', server.id);
    server.standIn.stop();
    server.relay.stop();
  }
}
