/** Writes answers and failures to callers. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { CODE_HEADER, OUTCOME_HEADER, endToEnd, outcomeText, statusOf } from '../protocol/index.js';
import type { Failure } from '../state/index.js';
import type { UpstreamAnswer } from './upstreams.js';

const SERVICE_UNAVAILABLE = 503;
const MS_PER_S = 1_000;

/**
 * Passes a backend server's answer on.
 *
 * @param stopping - whether the caller must take another connection next time.
 */
export function writeAnswer(
  req: IncomingMessage,
  res: ServerResponse,
  answer: UpstreamAnswer,
  stopping: boolean,
): void {
  const headers = endToEnd(answer.headers);
  delete headers['content-length'];
  if (stopping) headers.connection = 'close';
  const length =
    req.method === 'HEAD' ? answer.headers['content-length'] : String(answer.body.length);
  if (!answer.framed) {
    // Ends with its connection here as well: nobody can tell whether it is whole.
    headers.connection = 'close';
    res.useChunkedEncodingByDefault = false;
  } else if (length !== undefined) headers['content-length'] = length;
  res.writeHead(answer.status, headers);
  res.end(answer.body);
}

/**
 * Tells a caller that its request has no answer.
 *
 * @param retryAfterMs - when to come back, for requests that did not run.
 */
export function writeFailure(
  res: ServerResponse,
  failure: Failure,
  retryAfterMs: number,
  stopping: boolean,
): void {
  if (res.headersSent || res.destroyed) return;
  const status = statusOf(failure);
  const headers: Record<string, string> = {
    [OUTCOME_HEADER]: outcomeText(failure),
    [CODE_HEADER]: failure.code,
    'content-length': '0',
  };
  if (status === SERVICE_UNAVAILABLE) {
    headers['retry-after'] = (retryAfterMs / MS_PER_S).toFixed(2);
  }
  if (stopping) headers.connection = 'close';
  res.writeHead(status, headers);
  res.end();
}
