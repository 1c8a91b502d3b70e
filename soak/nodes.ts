/** Entry VMs as separate processes, and what was done to each from outside. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { RelayStandIn } from '../standins/relays.js';

const PROGRAM = 'target/lovagesail-node.js';

/** As in deploy/system.toml. */
const FLAGS = ['--max-old-space-size=160', '--max-semi-space-size=2', '--single-threaded-gc'];

/** Memory of the smallest VM that is served, in kilobytes. */
const MEMORY_KB = 250_000;

/** Time between two looks at a process's memory, in milliseconds. */
const MEMORY_MS = 500;

const PORTS = { caller: 8161, lookup: 8164, ready: 8167, peer: 7720, metrics: 9464 } as const;

/** Time from SIGTERM to SIGKILL, in seconds. */
export const GRACE_S = 4;

/** Time after the grace in which a process that was told to stop must be gone, in milliseconds. */
const EXIT_MARGIN_MS = 1_000;

/** Time in which something was done to an entry VM or to its way to the store, in milliseconds. */
export interface Disturbance {
  readonly fromMs: number;
  toMs: number;
  /** Whether it was nothing but a planned stop. */
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
  /** Told of what a sound process must not do. */
  readonly onFault: (text: string) => void;
}

export class SoakNode {
  readonly agent = new http.Agent({ keepAlive: true, maxSockets: 16 });

  readonly disturbances: Disturbance[] = [];

  /** Counts its processes. */
  incarnation = 0;

  readonly #options: SoakNodeOptions;

  /** The way to the store. */
  readonly relay: RelayStandIn;

  #process: ChildProcess | undefined;

  #expected = false;

  /** When it last began to run again; infinite while it stands still. */
  #pausedUntilMs = -Infinity;

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
    const address = await this.relay.start();
    const at = (port: number): string => `${host}:${port}`;
    const cfg = {
      id,
      failureDomain,
      region: regions[failureDomain],
      regions,
      callerAddress: at(PORTS.caller),
      lookupAddress: at(PORTS.lookup),
      readyAddress: at(PORTS.ready),
      peerAddress: at(PORTS.peer),
      metricsAddress: at(PORTS.metrics),
      platform: { address },
      bounds: { graceS: GRACE_S, retryRatio: 0.2, retryBurst: 60, maxShift: 0.15 },
    };
    writeFileSync(this.#file('json'), JSON.stringify(cfg));
    this.#spawn();
  }

  /** Begins a disturbance. @returns what ends it. */
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

  /** Stands still for a time. */
  async pause(forMs: number): Promise<void> {
    if (this.#process === undefined) return;
    const end = this.disturb();
    this.#process.kill('SIGSTOP');
    this.#pausedUntilMs = Infinity;
    await pause(forMs);
    this.#process?.kill('SIGCONT');
    this.#pausedUntilMs = this.#options.nowMs();
    end();
  }

  /** Kills the process, or stops it as planned, and starts it again when it is gone. */
  async restart(name: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    const child = this.#process;
    if (child === undefined || this.#expected) return;
    const end = this.disturb(name === 'SIGTERM');
    const signalledMs = this.#options.nowMs();
    this.#expected = true;
    const late = setTimeout(
      () => {
        // A process that stands still learns of the signal when it runs again.
        if (this.#pausedUntilMs < signalledMs) {
          this.#options.onFault(`${this.id} outlives its grace`);
        }
        child.kill('SIGKILL');
      },
      GRACE_S * 1_000 + EXIT_MARGIN_MS,
    );
    child.kill(name);
    await new Promise((resolve) => {
      child.once('exit', resolve);
    });
    clearTimeout(late);
    this.#spawn();
    end();
  }

  async stop(): Promise<void> {
    const child = this.#process;
    this.#expected = true;
    this.agent.destroy();
    if (child !== undefined) {
      const gone = new Promise((resolve) => {
        child.once('exit', resolve);
      });
      child.kill('SIGCONT');
      child.kill('SIGKILL');
      await gone;
    }
    this.relay.stop();
  }

  #spawn(): void {
    const args = [...FLAGS, PROGRAM, '--config', this.#file('json')];
    const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] });
    const lines: Buffer[] = [];
    [child.stdout, child.stderr].forEach((stream) =>
      stream.on('data', (bytes: Buffer) => lines.push(bytes)),
    );
    this.incarnation += 1;
    this.#expected = false;
    this.#process = child;
    const memory = setInterval(() => this.#checkMemory(child.pid), MEMORY_MS);
    child.once('exit', (code, name) => {
      clearInterval(memory);
      writeFileSync(this.#file('log'), Buffer.concat(lines), { flag: 'a' });
      if (this.#process === child) this.#process = undefined;
      if (!this.#expected) {
        this.disturb()();
        this.#options.onFault(`${this.id} ended by itself: ${code ?? name}`);
      }
    });
  }

  #checkMemory(pid: number | undefined): void {
    const peakKb = peakMemoryKb(pid);
    if (peakKb > MEMORY_KB) this.#options.onFault(`${this.id} takes ${peakKb} KB of memory`);
  }

  #file(ending: string): string {
    return join(this.#options.directory, `${this.id}.${ending}`);
  }
}

/** The most memory that a process has had in RAM; 0 when it has just ended. */
function peakMemoryKb(pid: number | undefined): number {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(/^VmHWM:\s+(\d+)/m.exec(status)?.[1] ?? 0);
  } catch {
    return 0;
  }
}
