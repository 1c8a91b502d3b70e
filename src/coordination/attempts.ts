/** Decides how to proceed after an attempt to send a request to a backend server. */

/** Outcome of an attempt. */
export type AttemptOutcome =
  /** A complete response; `genuine` if the backend server signed it for this request. */
  | { readonly type: 'answered'; readonly status: number; readonly genuine: boolean }
  /** The server reported that it did not execute the request. */
  | { readonly type: 'rejected' }
  /** No connection: no byte of the request was sent. */
  | { readonly type: 'unreachable' }
  /** The request was sent, but no complete response arrived. */
  | { readonly type: 'lost' };

/** State of a request at the end of an attempt. */
export interface AttemptProgress {
  readonly idempotent: boolean;
  /** Attempts that may have been executed, this one included. */
  readonly runs: number;
  /** Attempts so far, this one and failed connections included. */
  readonly tries: number;
  readonly maxAttempts: number;
  /** Whether another attempt is still in flight. */
  readonly hasOpenAttempts: boolean;
}

/** Next step for a request. */
export type RetryDecision =
  | { readonly type: 'deliver' }
  /** Retry; `paid` if the retry counts against the retry budget. */
  | { readonly type: 'again'; readonly paid: boolean }
  | { readonly type: 'wait' }
  | { readonly type: 'notRun' }
  | { readonly type: 'unknown' };

/** Maximum number of attempts for one request, failed connections included. */
const MAX_TRIES = 5;

const SERVER_ERROR = 500;
const UNAVAILABLE = 503;

/**
 * Statuses that tell callers that the request was not executed. They are not passed on from a
 * server that may have executed it.
 */
export const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, UNAVAILABLE]);

/** Whether a server that responds with this status has failed the request. */
export function isFailureStatus(status: number): boolean {
  return status >= SERVER_ERROR || NOT_EXECUTED_STATUSES.has(status);
}

/** Decides the next step. The retry budget may still deny a retry with `paid` set. */
export function decideAfterAttempt(end: AttemptOutcome, progress: AttemptProgress): RetryDecision {
  const { idempotent, runs, tries, maxAttempts, hasOpenAttempts } = progress;
  const mayRetry = tries < MAX_TRIES && (runs === 0 || (idempotent && runs < maxAttempts));
  const unlessOthersOpen = (decision: RetryDecision): RetryDecision =>
    hasOpenAttempts ? { type: 'wait' } : decision;
  switch (end.type) {
    case 'answered':
      if (end.genuine && !isFailureStatus(end.status)) return { type: 'deliver' };
      if (idempotent && mayRetry) return { type: 'again', paid: true };
      if (hasOpenAttempts) return { type: 'wait' };
      return end.genuine && !NOT_EXECUTED_STATUSES.has(end.status)
        ? { type: 'deliver' }
        : { type: 'unknown' };
    case 'rejected':
      if (mayRetry) return { type: 'again', paid: true };
      return unlessOthersOpen(runs === 0 ? { type: 'notRun' } : { type: 'unknown' });
    case 'unreachable':
      if (mayRetry) return { type: 'again', paid: false };
      return unlessOthersOpen(runs === 0 ? { type: 'notRun' } : { type: 'unknown' });
    case 'lost':
      if (mayRetry) return { type: 'again', paid: true };
      return unlessOthersOpen({ type: 'unknown' });
    default:
      return end satisfies never;
  }
}
