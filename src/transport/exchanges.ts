/** State of a caller's request in the proxy, and the classification of its attempts' results. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { NOT_EXECUTED_STATUSES, isFailureStatus } from '../coordination/index.js';
import type { AttemptOutcome, FleetView, Placement, HealthOutcome } from '../coordination/index.js';
import type { CallerFields, Dialect, ServerFields } from '../protocol/index.js';
import type { BackendServerId, Fingerprint, RoutePlan, ServiceName } from '../state/index.js';
import { MAX_BUFFERED_BYTES, fingerprintOf } from './requestbodies.js';
import type { UpstreamCall, UpstreamEnd, UpstreamResponse } from './upstreams.js';

/** One attempt to send a request to a backend server. */
export interface Attempt {
  readonly placement: Placement;
  readonly startedMs: number;
  call: UpstreamCall | undefined;
  hedgeTimer: NodeJS.Timeout | undefined;
}

/** A caller's request whose body was read completely. */
export interface Arrival {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly fields: CallerFields;
  readonly route: RoutePlan;
  readonly service: ServiceName;
  readonly body: Buffer | undefined;
  /** When the request's header was read, monotonic, in milliseconds. */
  readonly arrivedMs: number;
  /** Set when it is first needed. */
  fingerprint: Fingerprint | undefined;
}

/** A caller's request from its admission to its final state. */
export interface Exchange extends Arrival {
  /** When the caller's or the route's timeout expires, monotonic, in milliseconds. */
  readonly deadlineMs: number;
  readonly tried: Set<BackendServerId>;
  readonly openAttempts: Set<Attempt>;
  tries: number;
  /** Number of attempts that may have run the request. */
  runs: number;
  /** A server's error response, returned to the caller if no retry follows. */
  failure: UpstreamResponse | undefined;
  waiting: boolean;
  ended: boolean;
  deadlineTimer: NodeJS.Timeout | undefined;
}

/** Creates the exchange of an admitted request. */
export function createExchange(arrival: Arrival, deadlineMs: number): Exchange {
  return {
    ...arrival,
    deadlineMs,
    tried: new Set(),
    openAttempts: new Set(),
    tries: 0,
    runs: 0,
    failure: undefined,
    waiting: false,
    ended: false,
    deadlineTimer: undefined,
  };
}

/** Returns the fingerprint of a request's content, in which the host is part of the path. */
export function fingerprintOfArrival(arrival: Arrival): Fingerprint {
  const { req, body } = arrival;
  const url = `${req.headers.host ?? ''}${req.url ?? '/'}`;
  const head = body?.subarray(0, MAX_BUFFERED_BYTES) ?? Buffer.alloc(0);
  arrival.fingerprint ??= fingerprintOf(req.method ?? 'GET', url, { head, rest: undefined });
  return arrival.fingerprint;
}

/** Finds a request's route, by its host with the port first, then without it. */
export function findRoute(view: FleetView, req: IncomingMessage): RoutePlan | undefined {
  const host = (req.headers.host ?? '').toLowerCase();
  const [path = '/'] = (req.url ?? '/').split('?');
  return view.route(host, path) ?? view.route(host.replace(/:\d+$/, ''), path);
}

/** Classifies an attempt's result. A response that is not the server's own to this request counts as lost. */
export function classifyEnd(
  dialect: Dialect,
  fields: CallerFields,
  end: UpstreamEnd,
): AttemptOutcome {
  if (end.type !== 'answered') return { type: end.type };
  const { status, headers } = end.response;
  const serverFields = dialect.parseServerFields(status, headers);
  if (serverFields.notRun && status >= 400 && belongsToRequest(serverFields, fields))
    return { type: 'rejected' };
  const genuine = serverFields.signed && serverFields.requestId === fields.requestId;
  if (!genuine && (status < 400 || serverFields.requestId !== undefined)) return { type: 'lost' };
  return { type: 'answered', status, genuine };
}

/** Whether a server's response is an error that may be passed to the caller unchanged. */
export function isServerFailure(result: AttemptOutcome): boolean {
  return result.type === 'answered' && result.genuine && !NOT_EXECUTED_STATUSES.has(result.status);
}

/** Whether a rejection belongs to this request. Rejections may omit the request id. */
function belongsToRequest(serverFields: ServerFields, fields: CallerFields): boolean {
  return serverFields.requestId === undefined || serverFields.requestId === fields.requestId;
}

/** Maps an attempt's result to what it says about the server's health. */
export function toRunEnd(result: AttemptOutcome): HealthOutcome {
  if (result.type === 'answered') {
    return result.genuine && !isFailureStatus(result.status) ? 'served' : 'failed';
  }
  return result.type === 'lost' ? 'failed' : result.type;
}
