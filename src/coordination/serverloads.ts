/** Load, speed and health of each backend server as observed by one entry VM. */

import type { BackendServerId } from '../state/index.js';
import { SightingBuffer } from './loadsightings.js';
import type { LoadSighting } from './loadsightings.js';

/** Load that a backend server reports with a response. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** Outcome of a request, as it affects the server's health. */
export type HealthOutcome = 'served' | 'failed' | 'rejected' | 'unreachable' | 'abandoned';

/** Time in which the reported load of other entry VMs decays by a factor of e. */
const REPORT_DECAY_MS = 800;

/** Weights of the latest request in the moving averages of speed and failures. */
const SPEED_WEIGHT = 0.25;
const FAILURE_WEIGHT = 0.2;

/** Time in which speed and failure rate return to normal by a factor of e without new requests. */
const DEVIATION_DECAY_MS = 6_000;

const MIN_SPEED_FACTOR = 0.7;
const MAX_SPEED_FACTOR = 12;

/** Number of objects that a backend server is expected to keep warm, and for how long. */
const MAX_WARM_KEYS = 64;
const WARM_KEY_TTL_MS = 30_000;

export class ServerLoad {
  #inFlight = 0;

  #lastReport: { readonly otherRequests: number; readonly atMs: number } | undefined;

  #speedFactor = 1;

  #failureRate = 0;

  #observedMs = 0;

  #ejectedUntilMs = 0;

  readonly #warmKeys = new Map<string, number>();

  get inFlight(): number {
    return this.#inFlight;
  }

  recordSent(): void {
    this.#inFlight += 1;
  }

  /** Records the outcome of a request. */
  recordOutcome(outcome: HealthOutcome, nowMs: number): void {
    this.#inFlight = Math.max(0, this.#inFlight - 1);
    if (outcome === 'abandoned' || outcome === 'unreachable') return;
    const failure = outcome === 'served' ? 0 : 1;
    this.#failureRate += FAILURE_WEIGHT * (failure - this.failureRate(nowMs));
    this.#observedMs = nowMs;
  }

  /** Updates the load from the server's own report, less this entry VM's in-flight requests. */
  recordReport(report: LoadReport, nowMs: number): void {
    const otherRequests = Math.max(0, report.running + report.waiting - this.#inFlight);
    this.#lastReport = { otherRequests, atMs: nowMs };
  }

  /** Updates the load from a report that another entry VM received, if it is newer. */
  recordPeerReport(requests: number, receivedMs: number): void {
    if (this.#lastReport !== undefined && this.#lastReport.atMs >= receivedMs) return;
    this.#lastReport = { otherRequests: Math.max(0, requests - this.#inFlight), atMs: receivedMs };
  }

  /** Records the ratio of actual to expected execution time for a request that did not queue. */
  recordTimeRatio(ratio: number, nowMs: number): void {
    const previous = this.speedFactor(nowMs);
    const bounded = Math.min(MAX_SPEED_FACTOR, Math.max(MIN_SPEED_FACTOR, ratio));
    this.#speedFactor = previous + SPEED_WEIGHT * (bounded - previous);
    this.#observedMs = nowMs;
  }

  /** Estimated number of requests at the server, queued ones included. */
  occupancy(nowMs: number): number {
    if (this.#lastReport === undefined) return this.#inFlight;
    const ageMs = nowMs - this.#lastReport.atMs;
    return this.#inFlight + this.#lastReport.otherRequests * Math.exp(-ageMs / REPORT_DECAY_MS);
  }

  /** Execution time relative to the usual time; above 1 is slower. */
  speedFactor(nowMs: number): number {
    return 1 + (this.#speedFactor - 1) * this.#remainingDeviation(nowMs);
  }

  /** Share of recent requests that failed. */
  failureRate(nowMs: number): number {
    return this.#failureRate * this.#remainingDeviation(nowMs);
  }

  /** Ejects the server until a connection succeeds or the time is over. */
  eject(untilMs: number): void {
    this.#ejectedUntilMs = untilMs;
  }

  isEjected(nowMs: number): boolean {
    return nowMs < this.#ejectedUntilMs;
  }

  /** Records that the server has processed a request on an object. */
  markWarm(key: string, nowMs: number): void {
    this.#warmKeys.delete(key);
    this.#warmKeys.set(key, nowMs);
    if (this.#warmKeys.size > MAX_WARM_KEYS) {
      const [oldest] = this.#warmKeys.keys();
      if (oldest !== undefined) this.#warmKeys.delete(oldest);
    }
  }

  isWarm(key: string, nowMs: number): boolean {
    const usedMs = this.#warmKeys.get(key);
    return usedMs !== undefined && nowMs - usedMs < WARM_KEY_TTL_MS;
  }

  /** Clears the warm objects, for example after a restart of the server. */
  clearWarmKeys(): void {
    this.#warmKeys.clear();
  }

  #remainingDeviation(nowMs: number): number {
    return Math.exp(-Math.max(0, nowMs - this.#observedMs) / DEVIATION_DECAY_MS);
  }
}

/** Loads of all servers, shared with the other entry VMs of the failure domain. */
export class ServerLoads {
  readonly #loads = new Map<BackendServerId, ServerLoad>();

  readonly #sightingBuffer = new SightingBuffer();

  get(server: BackendServerId): ServerLoad {
    const load = this.#loads.get(server) ?? new ServerLoad();
    this.#loads.set(server, load);
    return load;
  }

  /** Records the load that a server reported with a response. */
  recordReport(server: BackendServerId, report: LoadReport, nowMs: number): void {
    this.get(server).recordReport(report, nowMs);
    this.#sightingBuffer.add(server, report.running + report.waiting, nowMs);
  }

  /** Returns the reports since the last call, to gossip within the failure domain. */
  flushSightings(nowMs: number): readonly LoadSighting[] {
    return this.#sightingBuffer.flush(nowMs);
  }

  /** Records reports that other entry VMs of the failure domain received. */
  recordPeerReports(sightings: readonly LoadSighting[], nowMs: number): void {
    sightings.forEach(({ server, work, ageMs }) =>
      this.get(server).recordPeerReport(work, nowMs - ageMs),
    );
  }

  remove(server: BackendServerId): void {
    this.#loads.delete(server);
  }
}
