/** HTTP header fields used with callers and between entry VMs. */
import type { Failure } from '../state/index.js';

/** Request id; the same on every retry. */
export const REQUEST_ID_HEADER = 'idempotency-key';

/** Time left until the caller no longer needs the response, in milliseconds. */
export const DEADLINE_HEADER = 'lovagesail-deadline-ms';

/** Outcome: `answered`, `not-run` or `unknown`. */
export const OUTCOME_HEADER = 'lovagesail-outcome';

/** Failure code when the outcome is not `answered`. */
export const CODE_HEADER = 'lovagesail-code';

/** The sender's dispatch order as JSON; between entry VMs only. */
export const ORDER_HEADER = 'lovagesail-order';

/** The caller on whose behalf an entry VM sends; between entry VMs only. */
export const CALLER_HEADER = 'lovagesail-caller';

/** Fingerprint of the request's content; between entry VMs only. */
export const FINGERPRINT_HEADER = 'lovagesail-fingerprint';

/** Load of the answering entry VM: work divided by slots; between entry VMs only. */
export const LOAD_HEADER = 'lovagesail-load';

const INTERNAL_HEADERS = new Set([ORDER_HEADER, CALLER_HEADER, FINGERPRINT_HEADER, LOAD_HEADER]);

/** Hop-by-hop fields (RFC 9110, section 7.6.1), and fields that each hop sets itself. */
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

const MS_PER_S = 1_000;

/** Header fields by lower-case name, as Node represents them. */
export type HeaderFields = Readonly<Record<string, string | string[] | undefined>>;

function parseConnectionOptions(connection: string | string[] | undefined): readonly string[] {
  if (connection === undefined) return [];
  return [connection]
    .flat()
    .flatMap((field) => field.split(','))
    .map((name) => name.trim().toLowerCase());
}

/** Returns a copy without hop-by-hop fields, those listed in `Connection` included. */
export function endToEndHeaders(headers: HeaderFields): Record<string, string | string[]> {
  const connectionOptions = parseConnectionOptions(headers.connection);
  const kept: Record<string, string | string[]> = {};
  Object.entries(headers).forEach(([name, value]) => {
    const dropped =
      HOP_BY_HOP_HEADERS.has(name) ||
      INTERNAL_HEADERS.has(name) ||
      connectionOptions.includes(name);
    if (value !== undefined && !dropped) kept[name] = value;
  });
  return kept;
}

/** Returns the first value of a field, or undefined. */
export function firstHeaderValue(headers: HeaderFields, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Longest `Retry-After` that is honoured, so that one faulty response does not end a server's use. */
const MAX_RETRY_AFTER_MS = 3_600_000;

/**
 * Returns the time that `Retry-After` states, in milliseconds; undefined without a valid one. Of several
 * values the longest counts. A date is not valid: it can't be compared with a monotonic clock.
 */
export function parseRetryAfterMs(headers: HeaderFields): number | undefined {
  const values = [headers['retry-after'] ?? []].flat().flatMap((field) => field.split(','));
  const seconds = values
    .map((value) => value.trim())
    .filter((value) => /^\d+(\.\d+)?$/.test(value))
    .map(Number);
  if (seconds.length === 0) return undefined;
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(...seconds) * MS_PER_S);
}

/** Returns a copy with this hop added to `Forwarded` (RFC 7239). */
export function withForwarded(
  headers: Record<string, string | string[]>,
  caller: string,
): Record<string, string | string[]> {
  const node = caller.includes(':') ? `"[${caller}]"` : caller;
  const previous = headers.forwarded === undefined ? [] : [headers.forwarded].flat();
  return { ...headers, forwarded: [...previous, `for=${node}`].join(', ') };
}

/** Returns the value of the outcome header field. */
export function outcomeText(failure: Failure): 'not-run' | 'unknown' {
  return failure.outcome === 'notRun' ? 'not-run' : 'unknown';
}

const GATEWAY_TIMEOUT = 504;
const SERVICE_UNAVAILABLE = 503;

/** HTTP status by reason for not running the request. */
const NOT_RUN_STATUS: Readonly<Record<Extract<Failure, { outcome: 'notRun' }>['code'], number>> = {
  bad_request: 400,
  content_mismatch: 422,
  crash_suspect: SERVICE_UNAVAILABLE,
  cancelled: SERVICE_UNAVAILABLE,
  deadline: SERVICE_UNAVAILABLE,
  future_epoch: 422,
  held_off: SERVICE_UNAVAILABLE,
  link_full: SERVICE_UNAVAILABLE,
  no_entry_vm: SERVICE_UNAVAILABLE,
  no_grant: SERVICE_UNAVAILABLE,
  no_server: SERVICE_UNAVAILABLE,
  no_settings: SERVICE_UNAVAILABLE,
  overloaded: SERVICE_UNAVAILABLE,
  quarantined: 422,
  queue_full: SERVICE_UNAVAILABLE,
  records_full: SERVICE_UNAVAILABLE,
  shift_capped: SERVICE_UNAVAILABLE,
  stopping: SERVICE_UNAVAILABLE,
  too_large: 413,
  unknown_service: 404,
  unprefixed_id: 428,
  unreachable: SERVICE_UNAVAILABLE,
  wrong_incarnation: SERVICE_UNAVAILABLE,
};

/** Returns the HTTP status of a failure. */
export function httpStatusOf(failure: Failure): number {
  return failure.outcome === 'unknown' ? GATEWAY_TIMEOUT : NOT_RUN_STATUS[failure.code];
}
