/** Requests and runs as a dispatcher tracks them. */
import { notRunFailure } from '../state/index.js';
import type { NotRunCode } from '../state/index.js';
import type { ServerSlots } from './slots.js';
import type { DispatchEffect, RunId, DispatchRequest } from './dispatchrequests.js';

/** A run in flight and its request. */
export interface RunningRequest {
  readonly runId: RunId;
  readonly work: DispatchRequest;
}

/** A run in flight, as its dispatcher tracks it. */
export interface Run {
  readonly runId: RunId;
  readonly request: ActiveRequest;
  readonly server: ServerSlots;
  readonly startedMs: number;
  readonly hedge: boolean;
  responseStarted: boolean;
  /** Time of the last probe, or of the run's start before the first probe. */
  lastProbeMs: number;
}

/** A request that is queued or running. */
export interface ActiveRequest extends DispatchRequest {
  attempts: number;
  readonly runs: Set<Run>;
  cancelled: boolean;
  /** Whether it must run alone on its server because its content is suspected of a crash. */
  needsIsolation: boolean;
  /** Whether a run ended in a way that leaves open whether the server ran the request. */
  mayHaveRun: boolean;
}

/** Creates the state of a new request. */
export function createActiveRequest(request: DispatchRequest): ActiveRequest {
  return {
    ...request,
    attempts: 0,
    runs: new Set(),
    cancelled: false,
    needsIsolation: false,
    mayHaveRun: false,
  };
}

/** The effect that fails a request that was not admitted. */
export function failEffect(request: DispatchRequest, code: NotRunCode): DispatchEffect {
  return { type: 'fail', ticket: request.ticket, failure: notRunFailure(code) };
}

/** The effect that stops a run. */
export function stopRunEffect(run: Run): DispatchEffect {
  return { type: 'stopRun', runId: run.runId };
}
