/** Writes backend servers' responses, and failures, to callers. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  CODE_HEADER,
  OUTCOME_HEADER,
  endToEndHeaders,
  outcomeText,
  httpStatusOf,
} from '../protocol/index.js';
import type { Failure } from '../state/index.js';
import type { UpstreamResponse } from './upstreams.js';

const SERVICE_UNAVAILABLE = 503;
const MS_PER_S = 1_000;

/**
 * Forwards a backend server's response to the caller.
 *
 * @param stopping - whether to ask the caller to close its connection.
 */
export function writeResponse(
  req: IncomingMessage,
  res: ServerResponse,
  response: UpstreamResponse,
  stopping: boolean,
): void {
  const headers = endToEndHeaders(response.headers);
  delete headers['content-length'];
  if (stopping) headers.connection = 'close';
  const length =
    req.method === 'HEAD' ? response.headers['content-length'] : String(response.body.length);
  if (!response.framed) {
    // The response ended with its connection and may be truncated; the caller's response ends likewise.
    headers.connection = 'close';
    res.useChunkedEncodingByDefault = false;
  } else if (length !== undefined) headers['content-length'] = length;
  res.writeHead(response.status, headers);
  res.end(response.body);
}

/**
 * Sends a failure response to a caller.
 *
 * @param retryAfterMs - value of `retry-after`, for requests that did not run.
 */
export function writeFailure(
  res: ServerResponse,
  failure: Failure,
  retryAfterMs: number,
  stopping: boolean,
): void {
  if (res.headersSent || res.destroyed) return;
  const status = httpStatusOf(failure);
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
