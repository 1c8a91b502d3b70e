/**
 * Admission control: spreads the start of requests over turns of the event loop. A turn accepts at most one
 * connection, so long turns would keep callers waiting in the kernel's backlog, where they can't be
 * prioritised. Requests in this queue are ordered by priority and shed in time.
 */
import type { IncomingMessage } from 'node:http';
import { setImmediate as eventLoopTurn } from 'node:timers/promises';
import { AdmissionQueue } from '../coordination/index.js';
import type { Clock } from './clocks.js';

export interface AdmissionDecision {
  /** `left`: the caller has disconnected. `late`: the request waited too long. */
  readonly type: 'admitted' | 'left' | 'late';
  /** Time in the queue, in milliseconds. */
  readonly waitedMs: number;
}

interface QueuedRequest {
  readonly req: IncomingMessage;
  readonly onDecision: (decision: AdmissionDecision) => void;
}

export class AdmissionController {
  readonly #clock: Clock;

  readonly #queue = new AdmissionQueue<QueuedRequest>();

  /** Requests that join the queue after the current turn. */
  #enqueuing = 0;

  /** Number of connections accepted so far. */
  #acceptedConnections = 0;

  #draining = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Number of queued requests. */
  get size(): number {
    return this.#queue.size + this.#enqueuing;
  }

  /** Whether a request would be admitted in time. */
  canAdmit(priority: number): boolean {
    return this.#queue.admits(priority, this.#enqueuing);
  }

  /** Queues a request that was read completely, and calls back once it is admitted or dropped. */
  async admit(
    req: IncomingMessage,
    priority: number,
    onDecision: (decision: AdmissionDecision) => void,
  ): Promise<void> {
    const nowMs = this.#now();
    this.#enqueuing += 1;
    // The end of a connection is read one turn after its last bytes: wait for this turn and that of the drain.
    await eventLoopTurn();
    this.#enqueuing -= 1;
    this.#queue.add({ req, onDecision }, priority, nowMs);
    await this.#drain();
  }

  /** Counts an accepted connection. Without these calls, no extra turns are spent on accepting connections. */
  connectionAccepted(): void {
    this.#acceptedConnections += 1;
  }

  async #drain(): Promise<void> {
    if (this.#draining) return;
    this.#draining = true;
    let lastStepEndMs = this.#now();
    let lastStepMs = 0;
    while (this.#queue.size > 0) {
      const turnMs = await this.#yieldToEventLoop(lastStepEndMs, lastStepMs);
      const startedMs = this.#now();
      const admitted = this.#admitUntil(startedMs + turnMs);
      const nowMs = this.#now();
      this.#queue.recordBatch(admitted, nowMs - lastStepEndMs);
      lastStepMs = nowMs - startedMs;
      lastStepEndMs = nowMs;
    }
    this.#draining = false;
  }

  /**
   * Yields one turn to the event loop, and further turns while they accept connections, for at most as
   * long as the last step took. Requests started by a step make turns long, and each turn accepts only
   * one connection.
   *
   * @param lastStepEndMs - when the last step ended, monotonic, in milliseconds.
   * @param lastStepMs - duration of the last step, in milliseconds.
   * @returns the duration of the first turn, in milliseconds.
   */
  async #yieldToEventLoop(lastStepEndMs: number, lastStepMs: number): Promise<number> {
    let countBefore = this.#acceptedConnections;
    await eventLoopTurn();
    const firstTurnEndMs = this.#now();
    while (this.#acceptedConnections > countBefore && this.#now() < firstTurnEndMs + lastStepMs) {
      countBefore = this.#acceptedConnections;
      await eventLoopTurn();
    }
    return firstTurnEndMs - lastStepEndMs;
  }

  /**
   * Admits at least one request, and more until `endMs`. Callers give a step as long as the event loop's
   * turn took, so that reading and shedding requests can't take all CPU time from admitted ones.
   *
   * @param endMs - when to stop admitting, monotonic, in milliseconds.
   * @returns the number of admitted requests.
   */
  #admitUntil(endMs: number): number {
    let admitted = 0;
    do {
      if (!this.#admitNext()) break;
      admitted += 1;
    } while (this.#now() < endMs);
    return admitted;
  }

  /** Admits the next request and drops those before it that are late or disconnected. False if none is left. */
  #admitNext(): boolean {
    for (;;) {
      const next = this.#queue.dequeue(this.#now());
      if (next === undefined) return false;
      const { item, waitedMs, late } = next;
      const { socket } = item.req;
      const disconnected = socket.destroyed || socket.readableEnded;
      const type = disconnected ? 'left' : late ? 'late' : 'admitted';
      item.onDecision({ type, waitedMs });
      if (type === 'admitted') return true;
    }
  }

  #now(): number {
    return this.#clock().nowMs;
  }
}
