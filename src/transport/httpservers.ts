/** The HTTP servers of an entry VM: callers' requests, look-ups, readiness and metrics. */
import http from 'node:http';
import type { Server, ServerResponse } from 'node:http';
import type { Dialect } from '../protocol/index.js';
import type { CallerLimits, Endpoint, FailureDomainId, RegionId } from '../state/index.js';
import type { RequestProxy } from './requestproxies.js';
import type { NodeMetrics } from './nodemetrics.js';
import { splitEndpoint } from './agentrpcs.js';

/** Time for which idle connections stay open beyond the plan's idle timeout. */
const IDLE_MARGIN_MS = 3_000;

/** Idle timeout until a plan is in force. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;

/** Maximum size of a request's header section. */
const MAX_HEADER_BYTES = 65_536;

/**
 * Maximum number of connections that wait to be accepted. With a longer backlog, a busy event loop would
 * leave requests unread beyond their route's timeout; callers whose connection fails go to another entry VM.
 */
const LISTEN_BACKLOG = 64;

/** Location of the caller that a look-up is made for. */
export interface LookupOrigin {
  readonly failureDomain: FailureDomainId | undefined;
  readonly region: RegionId | undefined;
}

/** Binds a server to an address. Resolves once it listens. */
function listen(server: Server, address: Endpoint): Promise<Server> {
  const { host, port } = splitEndpoint(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port, backlog: LISTEN_BACKLOG }, () => resolve(server));
  });
}

/** Serves callers with plain `http`: the proxy needs the raw request and its connection, not a Koa context. */
export function startCallerServer(proxy: RequestProxy, address: Endpoint): Promise<Server> {
  const server = http.createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      requestTimeout: 0,
    },
    (req, res) => {
      proxy.handle(req, res);
    },
  );
  return listen(server, address);
}

/** Applies the plan's limits to the callers' server. */
export function applyCallerLimits(server: Server, limits: CallerLimits): void {
  server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
  server.headersTimeout = limits.headerTimeoutMs + limits.idleTimeoutMs + IDLE_MARGIN_MS;
}

/** Splits a request's target, which need not be a valid URL. */
export function splitTarget(target: string): {
  readonly path: string;
  readonly query: URLSearchParams;
} {
  const [path = '', ...rest] = target.split('?');
  return { path, query: new URLSearchParams(rest.join('?')) };
}

/**
 * Serves one path, and 404 elsewhere. Plain `http`: a web framework would take a tenth of the
 * memory and of the start-up time of the process.
 */
function createPathServer(
  path: string,
  respond: (query: URLSearchParams, res: ServerResponse) => Promise<void> | void,
): Server {
  return http.createServer((req, res) => {
    const target = splitTarget(req.url ?? '/');
    if (target.path === path) respond(target.query, res);
    else res.writeHead(404).end();
  });
}

/** Serves look-ups. */
export function startLookupServer(
  dialect: Dialect,
  lookup: (origin: LookupOrigin) => unknown,
  address: Endpoint,
): Promise<Server> {
  const server = createPathServer(dialect.lookupPath, (query, res) => {
    const body = JSON.stringify(lookup(dialect.parseLookupFields(query)));
    res.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    res.end(body);
  });
  return listen(server, address);
}

/** Serves the platform's readiness checks. */
export function startReadinessServer(
  dialect: Dialect,
  ready: () => boolean,
  address: Endpoint,
): Promise<Server> {
  const server = createPathServer(dialect.readyPath, (_query, res) => {
    const isReady = ready();
    res.writeHead(isReady ? 200 : 503, { 'content-type': 'text/plain' });
    res.end(isReady ? 'ready\n' : 'not ready\n');
  });
  return listen(server, address);
}

/** Serves the metrics in the Prometheus format. */
export function startMetricsServer(metrics: NodeMetrics, address: Endpoint): Promise<Server> {
  const { registry } = metrics;
  const server = createPathServer('/metrics', async (_query, res) => {
    const body = await registry.metrics();
    res.writeHead(200, { 'content-type': registry.contentType });
    res.end(body);
  });
  return listen(server, address);
}
