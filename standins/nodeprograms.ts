/** Runs the bundled node as `deploy/system.toml` does, and reads what its process uses. */
import { execFileSync, spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const DEPLOY_FILE = 'deploy/system.toml';

/** Kernel clock ticks per second in `/proc`, on all Linux architectures. */
const TICKS_PER_S = 100;
const MS_PER_S = 1_000;
const BYTES_PER_KB = 1_024;

const PROGRAM_PATTERN = /\.js$/;

/** Flags of the program's line in the deploy file, those before the program. */
function nodeFlags(): readonly string[] {
  const line = /^run = "node ([^"]+)"/m.exec(readFileSync(DEPLOY_FILE, 'utf8'))?.[1] ?? '';
  const words = line.split(' ');
  return words.slice(
    0,
    words.findIndex((word) => PROGRAM_PATTERN.test(word)),
  );
}

/** The node's bundle, built for this process alone. */
export class NodeBundle {
  readonly directory = mkdtempSync(join(tmpdir(), 'lovagesail-'));

  readonly path = join(this.directory, 'lovagesail-node.js');

  constructor() {
    execFileSync('npm', ['run', '--silent', 'bundle', '--', `--outfile=${this.path}`]);
  }

  /** Starts a process with the given settings. */
  start(name: string, settings: unknown): NodeProgram {
    const file = join(this.directory, `${name}.json`);
    writeFileSync(file, JSON.stringify(settings));
    return new NodeProgram([...nodeFlags(), this.path, '--config', file]);
  }

  remove(): void {
    rmSync(this.directory, { recursive: true });
  }
}

/** A process of the node. */
export class NodeProgram {
  readonly child: ChildProcess;

  /** Resolves when the process has ended. */
  readonly ended: Promise<unknown>;

  #output = '';

  constructor(args: readonly string[]) {
    this.child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'inherit'] });
    this.child.stdout?.on('data', (bytes: Buffer) => {
      this.#output += bytes.toString();
    });
    this.ended = once(this.child, 'exit');
  }

  get running(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** What the process has written. */
  get output(): string {
    return this.#output;
  }

  /** Processor time used since the start, in milliseconds. */
  get processorMs(): number {
    const stat = readFileSync(`/proc/${this.child.pid}/stat`, 'utf8');
    // The second field, the program's name, may contain spaces.
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const [user = 0, system = 0] = fields.slice(11, 13).map(Number);
    return ((user + system) * MS_PER_S) / TICKS_PER_S;
  }

  /** Peak resident memory, in bytes. */
  get peakMemoryBytes(): number {
    const status = readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
    return Number(/^VmHWM:\s+(\d+)/m.exec(status)?.[1] ?? 0) * BYTES_PER_KB;
  }

  async kill(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.ended;
  }
}
