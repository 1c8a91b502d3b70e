/** Entry VMs as separate processes, and the disturbances applied to each. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { RelayStandIn } from '../standins/relays.js';

const PROGRAM_PATH = 'target/lovagesail-node.js';

/** The flags set in deploy/system.toml. */
const NODE_FLAGS = [
  '--max-old-space-size=160',
  '--max-semi-space-size=2',
  '--single-threaded-gc',
  '--liftoff-only',
];

/** Memory of the smallest supported VM, in kilobytes. */
const MAX_MEMORY_KB = 250_000;

/** Interval of memory checks, in milliseconds. */
const MEMORY_CHECK_INTERVAL_MS = 500;

const PORTS = { caller: 8161, lookup: 8164, ready: 8167, peer: 7720, metrics: 9464 } as const;

/** Time from SIGTERM to SIGKILL, in seconds. */
export const GRACE_S = 4;

/** Time after the grace period within which a stopping process must exit, in milliseconds. */
const EXIT_MARGIN_MS = 1_000;

/** A period in which an entry VM or its connections to the store are disturbed, in milliseconds. */
export interface Disturbance {
  readonly fromMs: number;
  toMs: number;
  /** Whether the disturbance is a planned stop. */
  readonly planned: boolean;
}

export interface SoakNodeOptions {
  readonly id: string;
  readonly host: string;
  readonly failureDomain: string;
  readonly regions: Readonly<Record<string, string>>;
  readonly directory: string;
  readonly store: string;
  readonly nowMs: () => number;
  /** Called when a process violates an invariant. */
  readonly onViolation: (text: string) => void;
}

export class SoakNode {
  readonly agent = new http.Agent({ keepAlive: true, maxSockets: 16 });

  readonly disturbances: Disturbance[] = [];

  /** Number of processes started so far. */
  incarnation = 0;

  readonly #options: SoakNodeOptions;

  /** Carries the connections to the store. */
  readonly relay: RelayStandIn;

  #process: ChildProcess | undefined;

  #isExitExpected = false;

  /** Time at which the process was last resumed; infinite while it is paused. */
  #resumedMs = -Infinity;

  constructor(options: SoakNodeOptions) {
    this.#options = options;
    this.relay = new RelayStandIn(options.store);
  }

  get id(): string {
    return this.#options.id;
  }

  get host(): string {
    return this.#options.host;
  }

  get port(): number {
    return PORTS.caller;
  }

  get running(): boolean {
    return this.#process !== undefined;
  }

  async start(): Promise<void> {
    const { id, host, failureDomain, regions } = this.#options;
    const storeAddress = await this.relay.start();
    const addressAt = (port: number): string => `${host}:${port}`;
    const cfg = {
      id,
      failureDomain,
      region: regions[failureDomain],
      regions,
      callerAddress: addressAt(PORTS.caller),
      lookupAddress: addressAt(PORTS.lookup),
      readyAddress: addressAt(PORTS.ready),
      peerAddress: addressAt(PORTS.peer),
      metricsAddress: addressAt(PORTS.metrics),
      platform: { address: storeAddress },
      bounds: { graceS: GRACE_S, retryRatio: 0.2, retryBurst: 60, maxShift: 0.15 },
    };
    writeFileSync(this.#file('json'), JSON.stringify(cfg));
    this.#spawn();
  }

  /** Starts a disturbance. @returns a function that ends it. */
  disturb(planned = false): () => void {
    const fromMs = this.#options.nowMs();
    const disturbance: Disturbance = { fromMs, toMs: Infinity, planned };
    this.disturbances.push(disturbance);
    return () => {
      disturbance.toMs = this.#options.nowMs();
    };
  }

  signal(name: 'SIGHUP'): void {
    this.#process?.kill(name);
  }

  /** Pauses the process for a time with SIGSTOP. */
  async pause(durationMs: number): Promise<void> {
    if (this.#process === undefined) return;
    const endDisturbance = this.disturb();
    this.#process.kill('SIGSTOP');
    this.#resumedMs = Infinity;
    await pause(durationMs);
    this.#process?.kill('SIGCONT');
    this.#resumedMs = this.#options.nowMs();
    endDisturbance();
  }

  /** Kills the process, or stops it as planned, and starts it again after its exit. */
  async restart(name: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    const child = this.#process;
    if (child === undefined || this.#isExitExpected) return;
    const endDisturbance = this.disturb(name === 'SIGTERM');
    const signalledMs = this.#options.nowMs();
    this.#isExitExpected = true;
    const killTimer = setTimeout(
      () => {
        // A paused process receives the signal only when it is resumed.
        if (this.#resumedMs < signalledMs) {
          this.#options.onViolation(`${this.id} is still running after its grace period`);
        }
        child.kill('SIGKILL');
      },
      GRACE_S * 1_000 + EXIT_MARGIN_MS,
    );
    child.kill(name);
    await new Promise((resolve) => {
      child.once('exit', resolve);
    });
    clearTimeout(killTimer);
    this.#spawn();
    endDisturbance();
  }

  async stop(): Promise<void> {
    const child = this.#process;
    this.#isExitExpected = true;
    this.agent.destroy();
    if (child !== undefined) {
      const exited = new Promise((resolve) => {
        child.once('exit', resolve);
      });
      child.kill('SIGCONT');
      child.kill('SIGKILL');
      await exited;
    }
    this.relay.stop();
  }

  #spawn(): void {
    const args = [...NODE_FLAGS, PROGRAM_PATH, '--config', this.#file('json')];
    const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] });
    const output: Buffer[] = [];
    [child.stdout, child.stderr].forEach((stream) =>
      stream.on('data', (bytes: Buffer) => output.push(bytes)),
    );
    this.incarnation += 1;
    this.#isExitExpected = false;
    this.#process = child;
    const memoryCheck = setInterval(() => this.#checkMemory(child.pid), MEMORY_CHECK_INTERVAL_MS);
    child.once('exit', (code, signal) => {
      clearInterval(memoryCheck);
      writeFileSync(this.#file('log'), Buffer.concat(output), { flag: 'a' });
      if (this.#process === child) this.#process = undefined;
      if (!this.#isExitExpected) {
        this.disturb()();
        this.#options.onViolation(`${this.id} exited unexpectedly: ${code ?? signal}`);
      }
    });
  }

  #checkMemory(pid: number | undefined): void {
    const peakKb = peakMemoryKb(pid);
    if (peakKb > MAX_MEMORY_KB) this.#options.onViolation(`${this.id} uses ${peakKb} KB of memory`);
  }

  #file(extension: string): string {
    return join(this.#options.directory, `${this.id}.${extension}`);
  }
}

/** Peak resident memory of a process; 0 if it has already exited. */
function peakMemoryKb(pid: number | undefined): number {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(/^VmHWM:\s+(\d+)/m.exec(status)?.[1] ?? 0);
  } catch {
    return 0;
  }
}
