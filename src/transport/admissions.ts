/**
 * Lets requests begin turn by turn of the event loop. A turn accepts one connection at most, so long
 * turns would leave callers waiting unseen; what waits here is seen, ordered and refused in time.
 */
import type { IncomingMessage } from 'node:http';
import { setImmediate as turn } from 'node:timers/promises';
import { Arrivals } from '../coordination/index.js';
import type { Clock } from './clocks.js';

export interface Admission {
  /** `left`: the caller has gone. `late`: it waited too long. */
  readonly type: 'admitted' | 'left' | 'late';
  /** Time that it waited, in milliseconds. */
  readonly waitedMs: number;
}

interface Waiting {
  readonly req: IncomingMessage;
  readonly onTurn: (admission: Admission) => void;
}

export class Admissions {
  readonly #clock: Clock;

  readonly #arrivals = new Arrivals<Waiting>();

  /** Requests that begin to wait in this turn. */
  #entering = 0;

  /** Connections accepted so far. */
  #connections = 0;

  #pumping = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Requests that wait. */
  get size(): number {
    return this.#arrivals.size + this.#entering;
  }

  /** Whether a request would have its turn in time. */
  admits(priority: number): boolean {
    return this.#arrivals.admits(priority, this.#entering);
  }

  /** Calls back when it is the turn of a request that was read whole. */
  async admit(
    req: IncomingMessage,
    priority: number,
    onTurn: (admission: Admission) => void,
  ): Promise<void> {
    const nowMs = this.#now();
    this.#entering += 1;
    // The end of a connection is read one turn after the last bytes: this one, and that of the pump.
    await turn();
    this.#entering -= 1;
    this.#arrivals.add({ req, onTurn }, priority, nowMs);
    await this.#pump();
  }

  /** Notes that a connection was accepted. Whoever does not tell of connections gets no turns for them. */
  connected(): void {
    this.#connections += 1;
  }

  async #pump(): Promise<void> {
    if (this.#pumping) return;
    this.#pumping = true;
    let steppedMs = this.#now();
    let stepMs = 0;
    while (this.#arrivals.size > 0) {
      const restMs = await this.#rest(steppedMs, stepMs);
      const startedMs = this.#now();
      const begun = this.#step(startedMs + restMs);
      const nowMs = this.#now();
      this.#arrivals.turned(begun, nowMs - steppedMs);
      stepMs = nowMs - startedMs;
      steppedMs = nowMs;
    }
    this.#pumping = false;
  }

  /**
   * Gives the event loop its turn, and more turns while they accept connections, for as long as the
   * step before took at most: what a step starts makes turns long, and each accepts one connection.
   *
   * @param steppedMs - when the step before ended, monotonic, in milliseconds.
   * @param stepMs - how long that step took.
   * @returns how long the first turn took.
   */
  async #rest(steppedMs: number, stepMs: number): Promise<number> {
    let before = this.#connections;
    await turn();
    const turnedMs = this.#now();
    while (this.#connections > before && this.#now() < turnedMs + stepMs) {
      before = this.#connections;
      await turn();
    }
    return turnedMs - steppedMs;
  }

  /**
   * Lets requests begin for as long as the rest of the turn took, one at least: reading and refusing
   * never take the whole processor from work that is served.
   *
   * @param endMs - when no more begin, monotonic, in milliseconds.
   * @returns how many began.
   */
  #step(endMs: number): number {
    let begun = 0;
    do {
      if (!this.#beginNext()) break;
      begun += 1;
    } while (this.#now() < endMs);
    return begun;
  }

  /** Lets one request begin, and ends all that need no more work. False when none began. */
  #beginNext(): boolean {
    for (;;) {
      const next = this.#arrivals.next(this.#now());
      if (next === undefined) return false;
      const { item, waitedMs, late } = next;
      const { socket } = item.req;
      const left = socket.destroyed || socket.readableEnded;
      const type = left ? 'left' : late ? 'late' : 'admitted';
      item.onTurn({ type, waitedMs });
      if (type === 'admitted') return true;
    }
  }

  #now(): number {
    return this.#clock().nowMs;
  }
}
