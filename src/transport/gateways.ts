/** The HTTP servers of an entry VM: callers, look-ups, readiness and metrics. */
import http from 'node:http';
import type { Server } from 'node:http';
import Koa from 'koa';
import type { Dialect } from '../protocol/index.js';
import type { CallerLimits, Endpoint, FailureDomainId, RegionId } from '../state/index.js';
import type { Carrier } from './carriers.js';
import type { NodeMetrics } from './nodemetrics.js';
import { splitEndpoint } from './peers.js';

/** Time that connections stay open beyond the plan's idle timeout, in milliseconds. */
const IDLE_MARGIN_MS = 3_000;

/** Idle timeout before a plan is known, in milliseconds. */
const FIRST_IDLE_MS = 15_000;

/** Largest header section that a caller may send, in bytes. */
const MAX_HEADER_BYTES = 65_536;

/**
 * Connections that may wait to be accepted. Nobody sees what waits there: with more, a busy loop would
 * leave requests unread beyond their route's timeout, where a caller without a connection goes elsewhere.
 */
const BACKLOG = 64;

export interface Lookup {
  readonly failureDomain: FailureDomainId | undefined;
  readonly region: RegionId | undefined;
}

/** Starts a server at an address. Resolves once it listens. */
function open(server: Server, address: Endpoint): Promise<Server> {
  const { host, port } = splitEndpoint(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port, backlog: BACKLOG }, () => resolve(server));
  });
}

/** Serves callers. `http` itself: the carrier needs the connection and the bytes, not a context. */
export function openCallers(carrier: Carrier, address: Endpoint): Promise<Server> {
  const server = http.createServer(
    { maxHeaderSize: MAX_HEADER_BYTES, keepAliveTimeout: FIRST_IDLE_MS, requestTimeout: 0 },
    (req, res) => {
      carrier.handle(req, res);
    },
  );
  return open(server, address);
}

/** Brings a callers' server in line with the plan's limits. */
export function applyLimits(server: Server, limits: CallerLimits): void {
  server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
  server.headersTimeout = limits.headerTimeoutMs + limits.idleTimeoutMs + IDLE_MARGIN_MS;
}

/** Serves look-ups. */
export function openLookups(
  dialect: Dialect,
  lookup: (where: Lookup) => unknown,
  address: Endpoint,
): Promise<Server> {
  const app = new Koa();
  app.use((ctx) => {
    if (ctx.path === dialect.lookupPath) {
      ctx.body = lookup(dialect.readLookup(ctx.URL.searchParams));
    }
  });
  return open(http.createServer(app.callback()), address);
}

/** Serves the platform's checks of readiness. */
export function openReadiness(
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
  return open(http.createServer(app.callback()), address);
}

/** Serves the metrics. */
export function openMetrics(metrics: NodeMetrics, address: Endpoint): Promise<Server> {
  const app = new Koa();
  app.use(async (ctx) => {
    if (ctx.path !== '/metrics') return;
    ctx.body = await metrics.registry.metrics();
    ctx.type = metrics.registry.contentType;
  });
  return open(http.createServer(app.callback()), address);
}
