/** The HTTP servers of an entry VM: callers' requests, look-ups, readiness and metrics. */
import http from 'node:http';
import type { Server } from 'node:http';
import Koa from 'koa';
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

/** Serves look-ups. */
export function startLookupServer(
  dialect: Dialect,
  lookup: (origin: LookupOrigin) => unknown,
  address: Endpoint,
): Promise<Server> {
  const app = new Koa();
  app.use((ctx) => {
    if (ctx.path === dialect.lookupPath) {
      ctx.body = lookup(dialect.parseLookupFields(ctx.URL.searchParams));
    }
  });
  return listen(http.createServer(app.callback()), address);
}

/** Serves the platform's readiness checks. */
export function startReadinessServer(
  dialect: Dialect,
  ready: () => boolean,
  address: Endpoint,
): Promise<Server> {
  const app = new Koa();
  app.use((ctx) => {
    if (ctx.path !== dialect.readyPath) return;
    ctx.status = ready() ? 200 : 503;
    ctx.body = ready() ? 'ready\n' : 'not ready\n';
  });
  return listen(http.createServer(app.callback()), address);
}

/** Serves the metrics in the Prometheus format. */
export function startMetricsServer(metrics: NodeMetrics, address: Endpoint): Promise<Server> {
  const app = new Koa();
  app.use(async (ctx) => {
    if (ctx.path !== '/metrics') return;
    ctx.body = await metrics.registry.metrics();
    ctx.type = metrics.registry.contentType;
  });
  return listen(http.createServer(app.callback()), address);
}
