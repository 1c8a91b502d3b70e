/** The HTTP interfaces of an entry: towards callers, and towards other entry VMs. */
import type { Server } from 'node:http';
import Router from '@koa/router';
import Koa from 'koa';
import type { Context } from 'koa';
import { z } from 'zod';
import { classify } from '../coordination/index.js';
import {
  CODE_HEADER,
  DEADLINE_HEADER,
  LOAD_HEADER,
  OUTCOME_HEADER,
  REQUEST_ID_HEADER,
  endToEnd,
  firstOf,
  outcomeText,
  statusOf,
  withForwarded,
} from '../protocol/index.js';
import { CallerId, RANKS, RequestId, ServiceName, notRun, unknown } from '../state/index.js';
import type { Endpoint, Failure, Rank } from '../state/index.js';
import { Admissions } from './admissions.js';
import type { Reply } from './answers.js';
import { readBody, readHead } from './bodies.js';
import type { BodyFailure } from './bodies.js';
import { systemClock } from './clocks.js';
import type { EntryTask } from './entries.js';
import type { Accepted, Incoming } from './incomings.js';
import { forwardedCall } from './forwards.js';
import { GrantRequest } from './headroom.js';
import type { EntryMetrics } from './metrics.js';
import { splitEndpoint } from './peers.js';

const CALL_PREFIX = '/v1/call/';

/** Seconds after which a caller should send again what was not run. */
const RETRY_AFTER_S = 1;

const MAX_GRANT_BYTES = 4_096;

/** Event of an application whose server has accepted a connection. */
const CONNECTION_EVENT = 'connection';

const DeadlineMs = z.coerce.number().int().min(1).max(3_600_000);

/** Why a request is malformed, as an RFC 9457 problem. */
interface Malformed {
  readonly failure: Failure;
  readonly detail: string;
}

function problem(ctx: Context, failure: Failure, detail: string): void {
  ctx.status = statusOf(failure);
  ctx.set(OUTCOME_HEADER, outcomeText(failure));
  ctx.set(CODE_HEADER, failure.code);
  if (ctx.status === 503) ctx.set('retry-after', String(RETRY_AFTER_S));
  ctx.type = 'application/problem+json';
  ctx.body = JSON.stringify({
    type: `urn:lovagesail:${failure.code}`,
    title: detail,
    status: ctx.status,
    outcome: outcomeText(failure),
    code: failure.code,
  });
}

function answer(ctx: Context, reply: Extract<Reply, { type: 'answer' }>): void {
  const { status, headers, body } = reply.answer;
  ctx.status = status;
  ctx.body = body;
  ctx.remove('content-type');
  ctx.remove('content-length');
  Object.entries(headers).forEach(([name, value]) => ctx.set(name, value));
  if (Buffer.isBuffer(body) && headers['content-length'] === undefined) ctx.length = body.length;
  ctx.set(OUTCOME_HEADER, 'answered');
}

/** The address of the connection's other end, IPv4-mapped ones as IPv4. */
function addressOf(ctx: Context): string {
  return (ctx.req.socket.remoteAddress ?? '').replace(/^::ffff:/, '');
}

/** Why a request ends whose body could not be read. */
function unread(
  failure: BodyFailure,
  requestId: RequestId | undefined,
  maxBytes: number,
): Malformed {
  if (failure !== 'deadline') {
    return { failure: notRun(failure), detail: `the body may have ${maxBytes} bytes` };
  }
  const detail = 'the body was not whole at the deadline';
  // An earlier sending with the same id may have run.
  return { failure: requestId === undefined ? notRun(failure) : unknown(failure), detail };
}

/** Reads a request and the head of its body. */
async function readIncoming(
  ctx: Context,
  task: EntryTask,
  fromPeer: boolean,
): Promise<Incoming | Malformed> {
  const rest = ctx.req.url?.slice(CALL_PREFIX.length) ?? '';
  const at = rest.search(/[/?]/);
  const name = ServiceName.safeParse(at < 0 ? rest : rest.slice(0, at));
  const tail = at < 0 ? '/' : rest.slice(at);
  const service = name.success ? task.machine.view.service(name.data) : undefined;
  if (service === undefined) {
    return { failure: notRun('unknown_service'), detail: 'no such service' };
  }
  const bad = (detail: string): Malformed => ({ failure: notRun('bad_request'), detail });
  const idText = firstOf(ctx.headers, REQUEST_ID_HEADER);
  const requestId = RequestId.optional().safeParse(idText);
  if (!requestId.success) return bad(`${REQUEST_ID_HEADER} is malformed`);
  const leftMs = DeadlineMs.optional().safeParse(firstOf(ctx.headers, DEADLINE_HEADER));
  if (!leftMs.success) return bad(`${DEADLINE_HEADER} is malformed`);
  const forwarded = fromPeer ? forwardedCall(ctx.headers) : undefined;
  if (fromPeer && forwarded === undefined) return bad('the sender says too little');
  const startedMs = performance.now();
  const forMs = leftMs.data ?? service.deadlineMs;
  const body = await readBody(ctx.req, service.maxRequestBytes, forMs);
  if (body.isErr()) {
    // What is left of the body would be taken for the next request.
    ctx.set('connection', 'close');
    return unread(body.error, requestId.data, service.maxRequestBytes);
  }
  const caller = forwarded?.caller ?? CallerId.parse(addressOf(ctx) || 'unknown');
  const headers = endToEnd(ctx.headers);
  delete headers[DEADLINE_HEADER];
  delete headers.host;
  return {
    service: service.name,
    method: ctx.method,
    url: tail.startsWith('/') ? tail : `/${tail}`,
    headers: fromPeer ? headers : withForwarded(headers, caller),
    body: body.value,
    caller,
    requestId: requestId.data,
    leftMs: Math.max(1, Math.floor(forMs - (performance.now() - startedMs))),
    forwarded,
  };
}

function rankOf(task: EntryTask, { service: name, method, url }: Incoming): Rank | undefined {
  const service = task.machine.view.service(name);
  return service && classify(service, method, url.split('?')[0] ?? url).rank;
}

/** The end of a request for which the processor has no time. */
function refusal({ requestId }: Incoming): Failure {
  // An earlier sending with the same id may have run.
  return requestId === undefined ? notRun('overloaded') : unknown('overloaded');
}

/** Takes a caller's request in when it is its turn. @returns the failure of one that has none in time. */
function acceptInTurn(
  ctx: Context,
  incoming: Incoming,
  task: EntryTask,
  admissions: Admissions,
): Promise<Accepted | Failure> {
  const priority = RANKS.indexOf(rankOf(task, incoming) ?? 'interactive');
  return new Promise((resolve) => {
    if (!admissions.admits(priority)) resolve(refusal(incoming));
    else {
      admissions.admit(ctx.req, priority, ({ type, waitedMs }) => {
        if (type === 'left') resolve(notRun('cancelled'));
        else if (type === 'late') resolve(refusal(incoming));
        else resolve(task.accept({ ...incoming, leftMs: Math.max(1, incoming.leftMs - waitedMs) }));
      });
    }
  });
}

/** @param admissions - by which callers' requests begin; other entry VMs' were admitted there. */
async function serveCall(
  ctx: Context,
  task: EntryTask,
  metrics: EntryMetrics,
  admissions: Admissions | undefined,
): Promise<void> {
  const startMs = performance.now();
  const fromPeer = admissions === undefined;
  const incoming = await readIncoming(ctx, task, fromPeer);
  if ('failure' in incoming) {
    problem(ctx, incoming.failure, incoming.detail);
    return;
  }
  const accepted = fromPeer
    ? task.accept(incoming)
    : await acceptInTurn(ctx, incoming, task, admissions);
  if ('outcome' in accepted) {
    // Requests on open connections are read before new callers are accepted.
    ctx.set('connection', 'close');
    problem(ctx, accepted, 'the entry VM has no time for the request');
    task.noteFailure(incoming.service, accepted);
    note(incoming, { type: 'failure', failure: accepted }, task, metrics, startMs);
    return;
  }
  ctx.res.once('close', () => {
    if (!ctx.res.writableFinished) accepted.cancel();
  });
  const reply = await accepted.reply;
  const load = accepted.load();
  if (load !== undefined) ctx.set(LOAD_HEADER, load.toFixed(3));
  if (reply.type === 'answer') answer(ctx, reply);
  else problem(ctx, reply.failure, `the request ended without an answer: ${reply.failure.code}`);
  if (!fromPeer) ctx.res.once('close', () => note(incoming, reply, task, metrics, startMs));
}

function note(
  incoming: Incoming,
  reply: Reply,
  task: EntryTask,
  metrics: EntryMetrics,
  startMs: number,
): void {
  const { service: name } = incoming;
  const rank = rankOf(task, incoming) ?? 'unknown';
  const outcome = reply.type === 'answer' ? 'answered' : outcomeText(reply.failure);
  metrics.requestEnded(name, rank, outcome, performance.now() - startMs);
  if (reply.type === 'failure') metrics.requestFailed(name, reply.failure.code);
}

function serveLookup(ctx: Context, task: EntryTask, metrics: EntryMetrics): void {
  const { service: name = '' } = ctx.params as { service?: string };
  const service = ServiceName.safeParse(name);
  if (!service.success || task.machine.view.service(service.data) === undefined) {
    metrics.lookup('unknown', 'unknown_service');
    problem(ctx, notRun('unknown_service'), 'no such service');
    return;
  }
  const planned = task.lookup(addressOf(ctx));
  if (planned.isErr()) {
    metrics.lookup(service.data, planned.error);
    problem(ctx, notRun(planned.error), 'no entry VM serves');
    return;
  }
  metrics.lookup(service.data, 'answered');
  ctx.set('cache-control', `private, max-age=${planned.value.ttlS}`);
  ctx.body = { service: service.data, ...planned.value };
}

/** The application for callers. */
export function callerApp(task: EntryTask, metrics: EntryMetrics): Koa {
  const admissions = new Admissions(systemClock);
  const router = new Router();
  router.get('/livez', (ctx) => {
    ctx.body = 'ok\n';
  });
  router.get('/readyz', (ctx) => {
    ctx.status = task.ready ? 200 : 503;
    ctx.body = task.ready ? 'ok\n' : 'not ready\n';
  });
  router.get('/metrics', async (ctx) => {
    ctx.body = await metrics.registry.metrics();
    ctx.type = metrics.registry.contentType;
  });
  router.get('/v1/lookup/:service', (ctx) => serveLookup(ctx as Context, task, metrics));
  const app = appOf(router, (ctx) => serveCall(ctx, task, metrics, admissions));
  app.on(CONNECTION_EVENT, () => admissions.connected());
  return app;
}

/** The application for other entry VMs. It trusts what its callers say: keep it off their network. */
export function peerApp(task: EntryTask, metrics: EntryMetrics): Koa {
  const router = new Router();
  router.post('/v1/grants', async (ctx) => {
    const { head } = await readHead(ctx.req, MAX_GRANT_BYTES);
    const ask = GrantRequest.safeParse(parseJson(head.toString()));
    if (!ask.success) ctx.throw(400);
    else ctx.body = { slots: task.grant(ask.data) };
  });
  return appOf(router, (ctx) => serveCall(ctx, task, metrics, undefined));
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Joins a router with the paths below `/v1/call/`, which are passed on as they are. */
function appOf(router: Router, call: (ctx: Context) => Promise<void>): Koa {
  const app = new Koa();
  app.silent = true;
  app.use(async (ctx, next) => {
    if (ctx.path.startsWith(CALL_PREFIX)) await call(ctx);
    else await next();
  });
  app.use(router.routes());
  app.use(router.allowedMethods());
  return app;
}

/** Starts an application. Resolves once it listens. */
export function listen(app: Koa, address: Endpoint): Promise<Server> {
  const { host, port } = splitEndpoint(address);
  return new Promise((resolve, reject) => {
    const server = app.listen(port, host, () => resolve(server));
    server.on('connection', () => app.emit(CONNECTION_EVENT));
    server.once('error', reject);
  });
}
