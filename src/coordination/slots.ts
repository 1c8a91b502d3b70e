/** The slots of one backend server, counted by the one entry VM that dispatches to it. */
import type { BackendServerId, BackendServerSettings, Rank } from '../state/index.js';

/** Weight of the newest run in the moving averages. */
const EWMA_WEIGHT = 0.1;

/** First pause after a server refused or could not be reached, in milliseconds. */
const FIRST_BACKOFF_MS = 50;

/** Longest such pause, in milliseconds. */
const MAX_BACKOFF_MS = 2_000;

/** Moves an average towards a value; the first value is taken as it is. */
export function ewma(average: number | undefined, value: number): number {
  return average === undefined ? value : average + EWMA_WEIGHT * (value - average);
}

/** Whether a server may get new work from here. */
export type ServerPhase = 'claiming' | 'ready' | 'leaving' | 'released';

/** Counts runs on one server. Times are monotonic milliseconds. */
export class ServerSlots {
  readonly id: BackendServerId;

  #settings: BackendServerSettings;

  #phase: ServerPhase = 'claiming';

  #rampFromMs: number;

  #rampMs: number;

  #backoffMs = 0;

  #backoffUntilMs = 0;

  /** Run time over the service's average for the rank, averaged. */
  #slowness: number | undefined;

  readonly #runs = new Map<string, Rank>();

  /** Slots that a run may still hold on the server after it ended here. */
  #held: number[] = [];

  /** The run that must be alone on this server, while it waits or runs. */
  exclusiveFor: string | undefined;

  constructor(settings: BackendServerSettings, rampMs: number, nowMs: number) {
    this.id = settings.id;
    this.#settings = settings;
    this.#rampMs = rampMs;
    this.#rampFromMs = nowMs;
  }

  get phase(): ServerPhase {
    return this.#phase;
  }

  get settings(): BackendServerSettings {
    return this.#settings;
  }

  get slowness(): number {
    return this.#slowness ?? 1;
  }

  get runs(): number {
    return this.#runs.size;
  }

  update(settings: BackendServerSettings, phase: ServerPhase, rampMs: number, nowMs: number): void {
    if (phase === 'ready' && this.#phase !== 'ready' && this.#phase !== 'claiming') {
      this.#rampFromMs = nowMs;
    }
    this.#settings = settings;
    this.#phase = phase;
    this.#rampMs = rampMs;
  }

  /** Slots open to work now: all of them, or fewer while the server is new. */
  open(nowMs: number): number {
    if (this.#phase !== 'ready' || nowMs < this.#backoffUntilMs) return 0;
    const { slots } = this.#settings;
    if (this.#rampMs === 0) return slots;
    const grown = Math.min(1, Math.max(0, nowMs - this.#rampFromMs) / this.#rampMs);
    return Math.max(1, Math.floor(slots * grown));
  }

  /** Slots in use, those that may be held by ended runs included. */
  used(nowMs: number): number {
    this.#held = this.#held.filter((untilMs) => untilMs > nowMs);
    return this.#runs.size + this.#held.length;
  }

  free(nowMs: number): number {
    if (this.exclusiveFor !== undefined) return 0;
    return Math.max(0, this.open(nowMs) - this.used(nowMs));
  }

  start(runId: string, rank: Rank): void {
    this.#runs.set(runId, rank);
  }

  /** Ends a run. @param heldUntilMs - when the server is sure to have freed its slot. */
  end(runId: string, heldUntilMs: number): void {
    if (this.#runs.delete(runId)) this.#held.push(heldUntilMs);
    if (this.exclusiveFor === runId) this.exclusiveFor = undefined;
  }

  /** Learns from a run that ended well. */
  succeeded(relativeRunTime: number): void {
    this.#slowness = ewma(this.#slowness, relativeRunTime);
    this.#backoffMs = 0;
  }

  /** Pauses new work after a refusal; the pause doubles while refusals go on. */
  refused(retryAfterMs: number, nowMs: number): void {
    this.#backoffMs = Math.min(MAX_BACKOFF_MS, Math.max(FIRST_BACKOFF_MS, this.#backoffMs * 2));
    this.#backoffUntilMs = nowMs + Math.max(retryAfterMs, this.#backoffMs);
  }

  /** Pauses new work after the server could not be reached, then ramps it as new. */
  down(nowMs: number): void {
    this.refused(0, nowMs);
    this.#rampFromMs = this.#backoffUntilMs;
    this.#held = [];
  }
}
