/** One soak run: entry VMs, a store, backend servers, callers and disturbances. */
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
import type { PlatformResponse } from '../standins/platformservers.js';
import { RelayStandIn } from '../standins/relays.js';
import type { Direction } from '../standins/relays.js';
import { checkInvariants } from './checks.js';
import type { CallerRequest, PlanChange, PlanProbe, RunConditions, ServerCrash } from './checks.js';
import { SoakNode } from './nodeprocesses.js';
import type { Disturbance } from './nodeprocesses.js';
import { createRandomInteger } from './randomgenerators.js';
import type { RandomInteger } from './randomgenerators.js';

const REGIONS = { a1: 'a', a2: 'a', b1: 'b' } as const;
const DOMAINS = Object.keys(REGIONS);
const SERVERS_PER_DOMAIN = 2;
const SLOTS = 8;

/** Timeout of the routes that exist only in one version of the plan, in seconds. */
const PROBE_TIMEOUT_S = 2;

/** Deadline that callers send, and time after which they close the connection, in milliseconds. */
const DEADLINE_MS = 2_500;
const CALLER_TIMEOUT_MS = 4_000;

const HOST = 'shop.example';
const RESPONSE_BODY = 'the whole answer';
const UNAVAILABLE_STATUS = 503;

/** Duration of a run at a backend server, in milliseconds. */
const RUN_MS = 30;

/** Interval of the callers' requests, and of the probes of one entry VM, in milliseconds. */
const REQUEST_INTERVAL_MS = 20;
const PROBE_INTERVAL_MS = 300;

/** Time without disturbances at the start and at the end of a run, in milliseconds. */
const START_PHASE_MS = 4_000;
const RECOVERY_PHASE_MS = 6_000;

/** Interval at which content that crashes servers is sent, and time until a crashed server is back, in milliseconds. */
const CRASHING_INTERVAL_MS = 300;
const RESTART_MS = 1_500;

/** Upper bound of the random part of a disturbance's duration, and drain time of a leaving server, in milliseconds. */
const MAX_DISTURBANCE_MS = 4_000;

/** Upper bound of the random part of a connection's delay, in milliseconds. */
const MAX_DELAY_MS = 400;

/** Time for which watches report no changes before the store drops its history, in milliseconds. */
const WATCH_SUPPRESSION_MS = 1_000;

export interface SoakOptions {
  readonly seed: number;
  /** Number of entry VMs, spread over the failure domains. */
  readonly nodes: number;
  /** Period in which disturbances start, in milliseconds. */
  readonly durationMs: number;
  /** Number of disturbances that start in that period. */
  readonly disturbances: number;
  /** Replaces the random disturbances, so that the run stays the same when new kinds of disturbance are added. */
  readonly script?: readonly ScriptedDisturbance[];
}

/** A disturbance whose name contains no random values. */
export interface ScriptedDisturbance {
  /** Start time after the start phase, in milliseconds. */
  readonly atMs: number;
  readonly name: string;
}

export interface SoakResult {
  /** Violated invariants. */
  readonly violations: readonly string[];
  readonly requests: number;
  readonly served: number;
  /** Disturbances of the run, with their start times. */
  readonly done: readonly string[];
  /** Directory of the processes' logs. */
  readonly directory: string;
}

interface SoakServer {
  readonly id: string;
  readonly domain: string;
  readonly standIn: PlatformServerStandIn;
  /** Carries the connections between the server and all entry VMs. */
  readonly relay: RelayStandIn;
  readonly address: string;
  /** Disturbances of the server's connections. */
  readonly disturbances: Disturbance[];
}

type Action = () => Promise<void> | void;

export class SoakRun {
  readonly #options: SoakOptions;

  /** Separate from the callers' generator, so that the timing of requests does not change the disturbances. */
  readonly #random: RandomInteger;

  readonly #callerRandom: RandomInteger;

  readonly #startedMs = performance.now();

  readonly #directory = mkdtempSync(join(tmpdir(), 'lovagesail-soak-'));

  readonly #store = new FactStoreStandIn();

  readonly #storeDisturbances: Disturbance[] = [];

  /** Active faults of the store; they can overlap. */
  readonly #activeStoreFaults: (keyof StoreFaults)[] = [];

  readonly #nodes: SoakNode[] = [];

  readonly #servers: SoakServer[] = [];

  /** All servers, including those that have left. */
  readonly #allServers: SoakServer[] = [];

  readonly #requests: CallerRequest[] = [];

  readonly #probes: PlanProbe[] = [];

  readonly #changes: PlanChange[] = [];

  readonly #crashes: ServerCrash[] = [];

  /** Paths of requests that crash the servers that run them. */
  readonly #crashingPaths: string[] = [];

  readonly #violations: string[] = [];

  readonly #done: string[] = [];

  readonly #restartTimers: NodeJS.Timeout[] = [];

  #inFlight = new Set<Promise<unknown>>();

  constructor(options: SoakOptions) {
    this.#options = options;
    this.#random = createRandomInteger(options.seed);
    this.#callerRandom = createRandomInteger(-options.seed);
  }

  async run(): Promise<SoakResult> {
    await this.#start();
    await pause(START_PHASE_MS);
    const timers = [
      setInterval(() => this.#track(this.#request()), REQUEST_INTERVAL_MS),
      setInterval(
        () => this.#crashingPaths.forEach((path) => this.#track(this.#requestCrashing(path))),
        CRASHING_INTERVAL_MS,
      ),
      setInterval(
        () => this.#nodes.forEach((node) => this.#track(this.#probe(node))),
        PROBE_INTERVAL_MS,
      ),
    ];
    await this.#disturb();
    const disturbancesEndedMs = this.#now();
    await pause(RECOVERY_PHASE_MS);
    timers.forEach((timer) => clearInterval(timer));
    await Promise.all(this.#inFlight);
    this.#restartTimers.forEach((timer) => clearTimeout(timer));
    await Promise.all(this.#nodes.map((node) => node.stop()));
    this.#allServers.forEach(({ standIn }) => standIn.stop());
    this.#servers.forEach(({ relay }) => relay.stop());
    this.#store.stop();
    const runs = new Map<string, readonly RunConditions[]>();
    this.#allServers.forEach(({ standIn, disturbances }) =>
      standIn.runs
        .filter(({ response }) => response !== 'rejected')
        .forEach(({ requestId, response }) => {
          const conditions = { disturbances, endless: response.startsWith('endless') };
          runs.set(requestId, [...(runs.get(requestId) ?? []), conditions]);
        }),
    );
    const violations = checkInvariants({
      requests: this.#requests,
      probes: this.#probes,
      changes: this.#changes,
      storeDisturbances: this.#storeDisturbances,
      crashes: this.#crashes,
      runs,
      disturbancesEndedMs,
    });
    return {
      violations: [...this.#violations, ...violations],
      requests: this.#requests.length,
      served: this.#requests.filter(({ status }) => status === 200).length,
      done: this.#done,
      directory: this.#directory,
    };
  }

  #now(): number {
    return performance.now() - this.#startedMs;
  }

  async #start(): Promise<void> {
    const storeAddress = await this.#store.start();
    this.#changePlan();
    for (const domain of DOMAINS) {
      for (let i = 0; i < SERVERS_PER_DOMAIN; i += 1) await this.#addServer(domain);
    }
    const subnet = this.#random(200) + 20;
    for (let i = 0; i < this.#options.nodes; i += 1) {
      const node = new SoakNode({
        id: `vm-${i}`,
        host: `127.${subnet}.${process.pid & 255}.${i + 1}`,
        failureDomain: DOMAINS[i % DOMAINS.length] as string,
        regions: REGIONS,
        directory: this.#directory,
        store: storeAddress,
        nowMs: () => this.#now(),
        onViolation: (text) => this.#violations.push(text),
      });
      this.#nodes.push(node);
      await node.start();
    }
  }

  async #addServer(domain: string): Promise<void> {
    const standIn = new PlatformServerStandIn();
    standIn.runMs = RUN_MS;
    const id = `s-${this.#allServers.length + 1}`;
    const relay = new RelayStandIn(await standIn.start());
    const address = await relay.start();
    const server = { id, domain, standIn, relay, address, disturbances: [] };
    standIn.crashesOn = ({ line }) => this.#crashingPaths.some((path) => line.includes(path));
    standIn.onCrash = ({ line, requestId }) => this.#onCrash(server, line, requestId);
    this.#servers.push(server);
    this.#allServers.push(server);
    this.#publish(server, 'ready', 1);
  }

  /** Restarts a server that crashed, under a new id. */
  #onCrash(server: SoakServer, content: string, requestId: string): void {
    const { disturbances, domain, relay, id } = server;
    this.#crashes.push({ content, requestId, atMs: this.#now(), disturbances });
    // The server resets its connections; the relay would close them, which ends a response without a length.
    relay.resetConnections();
    relay.stop();
    const restart = async (): Promise<void> => {
      // A server that was leaving when it crashed has its replacement already.
      if (!this.#servers.includes(server)) return;
      this.#store.remove('servers', id);
      await this.#addServer(domain);
      const index = this.#servers.indexOf(server);
      if (index >= 0) this.#servers.splice(index, 1);
    };
    this.#restartTimers.push(setTimeout(() => this.#track(restart()), RESTART_MS));
  }

  #publish({ id, domain, address }: SoakServer, State: string, Sequence: number): void {
    const record = entryOf(address, { Zone: domain, Capacity: SLOTS, State, Sequence });
    this.#store.put('servers', id, record);
  }

  /** Writes the next version of the plan. Its version-specific route replaces that of the previous version. */
  #changePlan(): void {
    const version = (this.#changes.at(-1)?.version ?? 0) + 1;
    const versionRoute = route(`/plan-${version}/`, 'idempotent', PROBE_TIMEOUT_S);
    this.#store.put('config', 'main', configOf(version, [versionRoute]));
    this.#changes.push({ version, atMs: this.#now() });
  }

  #track(operation: Promise<unknown>): void {
    this.#inFlight.add(operation);
    operation.finally(() => this.#inFlight.delete(operation));
  }

  async #request(): Promise<void> {
    const random = this.#callerRandom;
    const node = this.#nodes[random(this.#nodes.length)] as SoakNode;
    const idempotent = random(10) < 6;
    const key = random(40);
    const path = idempotent ? `/prices/${key}` : `/deposits/${key}`;
    this.#requests.push(await this.#send(node, path, idempotent, String(key)));
  }

  async #requestCrashing(path: string): Promise<void> {
    const node = this.#nodes[this.#callerRandom(this.#nodes.length)] as SoakNode;
    this.#requests.push(await this.#send(node, path, path.startsWith('/prices/'), 'crash'));
  }

  async #probe(node: SoakNode): Promise<void> {
    const newestVersion = this.#changes.at(-1)?.version ?? 0;
    const version = newestVersion - this.#callerRandom(2);
    if (version < 1) return;
    const request = await this.#send(node, `/plan-${version}/x`, true, 'probe');
    this.#probes.push({ ...request, version });
  }

  #send(node: SoakNode, path: string, idempotent: boolean, key: string): Promise<CallerRequest> {
    const id = randomUUID();
    const sentMs = this.#now();
    const { incarnation } = node;
    return new Promise((resolve) => {
      const finish = (status: number | undefined, whole: boolean): void =>
        resolve({ id, node, incarnation, idempotent, sentMs, endedMs: this.#now(), status, whole });
      const req = http.request(
        {
          host: node.host,
          port: node.port,
          path,
          method: idempotent ? 'GET' : 'POST',
          agent: node.agent,
          timeout: CALLER_TIMEOUT_MS,
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
          res.on('error', () => finish(undefined, false));
          res.on('end', () => {
            const hasOwnId = res.headers['request-id'] === id;
            const isSigned = res.headers['response-signature'] !== undefined;
            finish(
              res.statusCode,
              hasOwnId && isSigned && Buffer.concat(chunks).toString() === RESPONSE_BODY,
            );
          });
        },
      );
      req.on('timeout', () => req.destroy());
      req.on('error', () => finish(undefined, false));
      req.end(idempotent ? undefined : 'a deposit');
    });
  }

  /** Starts disturbances at random times, so that they come in bursts and overlap. */
  async #disturb(): Promise<void> {
    const { durationMs, disturbances, script } = this.#options;
    const randomDisturbances = Array.from({ length: disturbances }, () => this.#random(durationMs))
      .sort((x, y) => x - y)
      .map((atMs) => ({ atMs, name: undefined }));
    const startMs = this.#now();
    const running: Promise<void>[] = [];
    for (const { atMs, name: scriptedName } of script ?? randomDisturbances) {
      await pause(Math.max(0, startMs + atMs - this.#now()));
      const choices = this.#possibleDisturbances();
      const [name, start] = (
        scriptedName === undefined
          ? choices[this.#random(choices.length)]
          : choices.find(([choice]) => choice === scriptedName)
      ) as (typeof choices)[number];
      this.#done.push(`${Math.round(this.#now())} ms ${name}`);
      running.push(Promise.resolve(start()));
    }
    await Promise.all(running);
  }

  /** The disturbances that can start now, on randomly selected targets. */
  #possibleDisturbances(): readonly (readonly [string, Action])[] {
    const random = this.#random;
    const node = this.#nodes[random(this.#nodes.length)] as SoakNode;
    const server = this.#servers[random(this.#servers.length)] as SoakServer;
    const durationMs = 300 + random(MAX_DISTURBANCE_MS);
    const delayMs = 20 + random(MAX_DELAY_MS);
    const direction: Direction = random(2) === 0 ? 'there' : 'back';
    const someNodes = this.#nodes.filter(() => random(2) === 0);
    return [
      ['plan changed', () => this.#changePlan()],
      ['plan changed', () => this.#changePlan()],
      ['some connections to the store silent', () => someNodes.forEach(SoakRun.#silence)],
      ['all connections to the store silent', () => this.#nodes.forEach(SoakRun.#silence)],
      ['some connections to the store reset', () => someNodes.forEach(SoakRun.#reset)],
      [
        `connections from ${node.id} to the store delayed by ${delayMs} ms for ${durationMs} ms`,
        () => SoakRun.#disturbNode(node, () => SoakRun.#delay(node.relay, delayMs, durationMs)),
      ],
      [
        `connections from ${node.id} to the store stalled, direction ${direction}, for ${durationMs} ms`,
        () => SoakRun.#disturbNode(node, () => SoakRun.#stall(node.relay, direction, durationMs)),
      ],
      [`${node.id} killed`, () => node.restart('SIGKILL')],
      [`${node.id} stopped as planned`, () => node.restart('SIGTERM')],
      [`${node.id} paused for ${durationMs} ms`, () => node.pause(durationMs)],
      [`${node.id} reloads its settings`, () => node.signal('SIGHUP')],
      [
        `store refuses requests for ${durationMs} ms`,
        () => this.#disturbStore('refuse', durationMs),
      ],
      [`store silent for ${durationMs} ms`, () => this.#disturbStore('silent', durationMs)],
      ['store drops its history', () => this.#dropHistory()],
      ['idempotent content starts to crash servers', () => this.#startCrashing('/prices/')],
      ['non-idempotent content starts to crash servers', () => this.#startCrashing('/deposits/')],
      [`${server.id} drains and leaves`, () => this.#replace(server)],
      [
        `${server.id} runs requests and drops the responses`,
        () => SoakRun.#queueResponses(server, 'lost'),
      ],
      [`${server.id} truncates responses`, () => SoakRun.#queueResponses(server, 'truncated')],
      [
        `${server.id} sends endless response bodies`,
        () => SoakRun.#queueResponses(server, 'endlessBody'),
      ],
      [
        `${server.id} sends endless one-byte chunks`,
        () => SoakRun.#queueResponses(server, 'endlessCrumbs'),
      ],
      [
        `${server.id} sends endless response headers`,
        () => SoakRun.#queueResponses(server, 'endlessHead'),
      ],
      [
        `connections to ${server.id} reset`,
        () => this.#disturbServer(server, () => server.relay.resetConnections()),
      ],
      [
        `connections to ${server.id} silent`,
        () => this.#disturbServer(server, () => server.relay.silenceConnections()),
      ],
      [
        `connections to ${server.id} delayed by ${delayMs} ms for ${durationMs} ms`,
        () => this.#disturbServer(server, () => SoakRun.#delay(server.relay, delayMs, durationMs)),
      ],
      [
        `connections to ${server.id} stalled, direction ${direction}, for ${durationMs} ms`,
        () =>
          this.#disturbServer(server, () => SoakRun.#stall(server.relay, direction, durationMs)),
      ],
      [`${server.id} rejects requests`, () => SoakRun.#queueResponses(server, 'rejected')],
    ];
  }

  #startCrashing(prefix: string): void {
    this.#crashingPaths.push(`${prefix}crash-${this.#crashingPaths.length}/`);
  }

  async #disturbServer({ disturbances }: SoakServer, act: Action): Promise<void> {
    const disturbance = { fromMs: this.#now(), toMs: Infinity, planned: false };
    disturbances.push(disturbance);
    await act();
    disturbance.toMs = this.#now();
  }

  static async #disturbNode(node: SoakNode, act: () => Promise<void>): Promise<void> {
    const endDisturbance = node.disturb();
    await act();
    endDisturbance();
  }

  static #silence(node: SoakNode): void {
    node.disturb()();
    node.relay.silenceConnections();
  }

  static #reset(node: SoakNode): void {
    node.disturb()();
    node.relay.resetConnections();
  }

  /** Overlapping delays add up. */
  static async #delay(relay: RelayStandIn, delayMs: number, durationMs: number): Promise<void> {
    Object.assign(relay, { delayMs: relay.delayMs + delayMs });
    await pause(durationMs);
    Object.assign(relay, { delayMs: relay.delayMs - delayMs });
  }

  static async #stall(
    relay: RelayStandIn,
    direction: Direction,
    durationMs: number,
  ): Promise<void> {
    relay.stalled.add(direction);
    await pause(durationMs);
    relay.stalled.delete(direction);
  }

  static #queueResponses({ standIn }: SoakServer, response: PlatformResponse): void {
    standIn.responses.push(...Array<PlatformResponse>(5).fill(response));
  }

  async #disturbStore(fault: keyof StoreFaults, durationMs: number): Promise<void> {
    const disturbance = { fromMs: this.#now(), toMs: Infinity, planned: false };
    this.#storeDisturbances.push(disturbance);
    this.#activeStoreFaults.push(fault);
    this.#applyStoreFaults();
    await pause(durationMs);
    this.#activeStoreFaults.splice(this.#activeStoreFaults.indexOf(fault), 1);
    this.#applyStoreFaults();
    disturbance.toMs = this.#now();
  }

  #applyStoreFaults(): void {
    const isActive = (fault: keyof StoreFaults): boolean => this.#activeStoreFaults.includes(fault);
    const refuse = isActive('refuse') ? UNAVAILABLE_STATUS : undefined;
    Object.assign(this.#store.faults, {
      refuse,
      silent: isActive('silent'),
      deaf: isActive('deaf'),
    });
  }

  /** Suppresses changes in watches for a while, then drops the store's history. */
  async #dropHistory(): Promise<void> {
    await this.#disturbStore('deaf', WATCH_SUPPRESSION_MS);
    this.#store.dropHistory();
  }

  /** Starts a replacement for a server, which drains and leaves. */
  async #replace(server: SoakServer): Promise<void> {
    await this.#addServer(server.domain);
    this.#servers.splice(this.#servers.indexOf(server), 1);
    this.#publish(server, 'draining', 2);
    await pause(MAX_DISTURBANCE_MS);
    this.#store.remove('servers', server.id);
    server.standIn.stop();
    server.relay.stop();
  }
}
