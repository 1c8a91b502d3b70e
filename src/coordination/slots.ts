/** Slots of one backend server, tracked by the only entry VM that dispatches to it. */
import type { BackendServerId, BackendServerSettings, Rank } from '../state/index.js';

/** Weight of the latest value in the moving averages. */
const EWMA_WEIGHT = 0.1;

/** First backoff after a server rejected a run or was unreachable. */
const INITIAL_BACKOFF_MS = 50;

const MAX_BACKOFF_MS = 2_000;

/** Exponentially weighted moving average; the first value becomes the average. */
export function ewma(average: number | undefined, value: number): number {
  return average === undefined ? value : average + EWMA_WEIGHT * (value - average);
}

/** Whether this entry VM may send new runs to a server. */
export type ServerPhase = 'claiming' | 'ready' | 'leaving' | 'released';

/** Tracks the runs on one server. Times are monotonic milliseconds. */
export class ServerSlots {
  readonly id: BackendServerId;

  #settings: BackendServerSettings;

  #phase: ServerPhase = 'claiming';

  #rampStartMs: number;

  #rampMs: number;

  #backoffMs = 0;

  #backoffUntilMs = 0;

  /** Moving average of the run time relative to the service's mean for the rank. */
  #relativeRunTime: number | undefined;

  readonly #runs = new Map<string, Rank>();

  /** Release times of slots that ended runs may still hold on the server. */
  #heldUntilMs: number[] = [];

  /** Run that needs this server exclusively, while it waits or runs. */
  exclusiveRunId: string | undefined;

  constructor(settings: BackendServerSettings, rampMs: number, nowMs: number) {
    this.id = settings.id;
    this.#settings = settings;
    this.#rampMs = rampMs;
    this.#rampStartMs = nowMs;
  }

  get phase(): ServerPhase {
    return this.#phase;
  }

  get settings(): BackendServerSettings {
    return this.#settings;
  }

  get relativeRunTime(): number {
    return this.#relativeRunTime ?? 1;
  }

  get runs(): number {
    return this.#runs.size;
  }

  update(settings: BackendServerSettings, phase: ServerPhase, rampMs: number, nowMs: number): void {
    if (phase === 'ready' && this.#phase !== 'ready' && this.#phase !== 'claiming') {
      this.#rampStartMs = nowMs;
    }
    this.#settings = settings;
    this.#phase = phase;
    this.#rampMs = rampMs;
  }

  /** Slots available for runs; fewer than the total while the server ramps up. */
  openSlots(nowMs: number): number {
    if (this.#phase !== 'ready' || nowMs < this.#backoffUntilMs) return 0;
    const { slots } = this.#settings;
    if (this.#rampMs === 0) return slots;
    const rampRatio = Math.min(1, Math.max(0, nowMs - this.#rampStartMs) / this.#rampMs);
    return Math.max(1, Math.floor(slots * rampRatio));
  }

  /** Slots in use, including those that ended runs may still hold. */
  usedSlots(nowMs: number): number {
    this.#heldUntilMs = this.#heldUntilMs.filter((untilMs) => untilMs > nowMs);
    return this.#runs.size + this.#heldUntilMs.length;
  }

  freeSlots(nowMs: number): number {
    if (this.exclusiveRunId !== undefined) return 0;
    return Math.max(0, this.openSlots(nowMs) - this.usedSlots(nowMs));
  }

  startRun(runId: string, rank: Rank): void {
    this.#runs.set(runId, rank);
  }

  /** Ends a run. @param heldUntilMs - time by which the server has surely released the slot. */
  endRun(runId: string, heldUntilMs: number): void {
    if (this.#runs.delete(runId)) this.#heldUntilMs.push(heldUntilMs);
    if (this.exclusiveRunId === runId) this.exclusiveRunId = undefined;
  }

  /** Records a successful run and resets the backoff. */
  recordSuccess(relativeRunTime: number): void {
    this.#relativeRunTime = ewma(this.#relativeRunTime, relativeRunTime);
    this.#backoffMs = 0;
  }

  /** Backs off after a rejection. The backoff doubles with each further one. */
  refused(retryAfterMs: number, nowMs: number): void {
    this.#backoffMs = Math.min(MAX_BACKOFF_MS, Math.max(INITIAL_BACKOFF_MS, this.#backoffMs * 2));
    this.#backoffUntilMs = nowMs + Math.max(retryAfterMs, this.#backoffMs);
  }

  /** Backs off after the server was unreachable, then ramps it up as a new one. */
  recordUnreachable(nowMs: number): void {
    this.refused(0, nowMs);
    this.#rampStartMs = this.#backoffUntilMs;
    this.#heldUntilMs = [];
  }
}
