/** What a dispatcher keeps of a request and of its runs. */
import { notRun } from '../state/index.js';
import type { NotRunCode } from '../state/index.js';
import type { ServerSlots } from './slots.js';
import type { DispatchEffect, RunId, Work } from './works.js';

/** A request and the run it has now. */
export interface RunningWork {
  readonly runId: RunId;
  readonly work: Work;
}

/** A run under way. */
export interface Run {
  readonly runId: RunId;
  readonly entry: Entry;
  readonly server: ServerSlots;
  readonly startedMs: number;
  readonly hedge: boolean;
  begun: boolean;
  /** When its connection was last checked, or the run's start. */
  checkedMs: number;
}

/** A request that waits or runs. */
export interface Entry extends Work {
  attempts: number;
  readonly runs: Set<Run>;
  cancelled: boolean;
  /** Must run alone on its server, since its content is suspected of a crash. */
  isolate: boolean;
  /** A run of it ended in a way that leaves open whether the server ran it. */
  mayHaveRun: boolean;
}

/** A request that has just been taken in. */
export function entryOf(work: Work): Entry {
  return {
    ...work,
    attempts: 0,
    runs: new Set(),
    cancelled: false,
    isolate: false,
    mayHaveRun: false,
  };
}

/** The effect that fails a request which was not taken in. */
export function fail(work: Work, code: NotRunCode): DispatchEffect {
  return { type: 'fail', ticket: work.ticket, failure: notRun(code) };
}

/** The effect that stops a run. */
export function stopOf(run: Run): DispatchEffect {
  return { type: 'stopRun', runId: run.runId };
}
