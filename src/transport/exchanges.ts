/** One caller's request on its way, and what the end of a try means for it. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { PROMISES } from '../coordination/index.js';
import type { AttemptEnd, FleetView, Placement, RunEnd } from '../coordination/index.js';
import type { CallerFields, Dialect, ServerFields } from '../protocol/index.js';
import type { BackendServerId, RoutePlan, ServiceName } from '../state/index.js';
import type { UpstreamAnswer, UpstreamCall, UpstreamEnd } from './upstreams.js';

/** One try of a request at one backend server. */
export interface Try {
  readonly placement: Placement;
  readonly startedMs: number;
  call: UpstreamCall | undefined;
  slow: NodeJS.Timeout | undefined;
}

/** One caller's request that was read whole. */
export interface Arrival {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly fields: CallerFields;
  readonly route: RoutePlan;
  readonly service: ServiceName;
  readonly body: Buffer | undefined;
  /** When it was read. */
  readonly arrivedMs: number;
}

/** One caller's request from its arrival to its end. */
export interface Exchange extends Arrival {
  /** When the caller or the route gives up. */
  readonly endsMs: number;
  readonly tried: Set<BackendServerId>;
  readonly open: Set<Try>;
  tries: number;
  /** Backend servers that may have run it. */
  runs: number;
  /** A server's own failure, for the caller if no repeat comes about. */
  failure: UpstreamAnswer | undefined;
  waiting: boolean;
  ended: boolean;
  timer: NodeJS.Timeout | undefined;
}

/** The exchange of a request that begins. */
export function exchangeOf(arrival: Arrival, endsMs: number): Exchange {
  return {
    ...arrival,
    endsMs,
    tried: new Set(),
    open: new Set(),
    tries: 0,
    runs: 0,
    failure: undefined,
    waiting: false,
    ended: false,
    timer: undefined,
  };
}

/** The route of a request; its host may name a port that the plan does not. */
export function routeOf(view: FleetView, req: IncomingMessage): RoutePlan | undefined {
  const host = (req.headers.host ?? '').toLowerCase();
  const [path = '/'] = (req.url ?? '/').split('?');
  return view.route(host, path) ?? view.route(host.replace(/:\d+$/, ''), path);
}

/** What an end means: an answer that is not the server's own to this request is none. */
export function judge(dialect: Dialect, fields: CallerFields, end: UpstreamEnd): AttemptEnd {
  if (end.type !== 'answered') return { type: end.type };
  const { status, headers } = end.answer;
  const said = dialect.readServer(status, headers);
  if (said.notRun && status >= 400 && belongs(said, fields)) return { type: 'rejected' };
  const genuine = said.signed && said.requestId === fields.requestId;
  if (!genuine && (status < 400 || said.requestId !== undefined)) return { type: 'lost' };
  return { type: 'answered', status, genuine };
}

/** Whether a server's own answer is a failure that a caller may be given as it is. */
export function isOwnFailure(result: AttemptEnd): boolean {
  return result.type === 'answered' && result.genuine && !PROMISES.has(result.status);
}

/** Whether a refusal is one of this request: refusals need not name it. */
function belongs(said: ServerFields, fields: CallerFields): boolean {
  return said.requestId === undefined || said.requestId === fields.requestId;
}

/** What an end says of the server's health. */
export function runEndOf(result: AttemptEnd): RunEnd {
  if (result.type === 'answered') {
    return result.genuine && result.status < 500 ? 'served' : 'failed';
  }
  return result.type === 'lost' ? 'failed' : result.type;
}
