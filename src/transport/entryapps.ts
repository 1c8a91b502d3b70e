/** The HTTP applications of an entry: one for callers, one for other entry VMs. */
import type { Server } from 'node:http';
import Router from '@koa/router';
import Koa from 'koa';
import type { Context } from 'koa';
import * as z from 'zod';
import { classifyRequest } from '../coordination/index.js';
import {
  CODE_HEADER,
  DEADLINE_HEADER,
  LOAD_HEADER,
  OUTCOME_HEADER,
  REQUEST_ID_HEADER,
  endToEndHeaders,
  firstHeaderValue,
  outcomeText,
  httpStatusOf,
  withForwarded,
} from '../protocol/index.js';
import {
  CallerId,
  RANKS,
  RequestId,
  ServiceName,
  notRunFailure,
  unknownFailure,
} from '../state/index.js';
import type { Endpoint, Failure, Rank } from '../state/index.js';
import { AdmissionController } from './admissions.js';
import type { RequestResult } from './relayedresponses.js';
import { readBody, readHead } from './requestbodies.js';
import type { BodyFailure } from './requestbodies.js';
import { systemClock } from './clocks.js';
import type { EntryTask } from './entrytasks.js';
import type { AcceptedRequest, IncomingRequest } from './incomingrequests.js';
import { parseForwardedHeaders } from './forwardclients.js';
import { GrantRequest } from './grantclients.js';
import type { EntryMetrics } from './entrymetrics.js';
import { splitEndpoint } from './agentrpcs.js';

const CALL_PREFIX = '/v1/call/';

/** `Retry-After` of requests that were not run, in seconds. */
const RETRY_AFTER_S = 1;

const MAX_GRANT_BYTES = 4_096;

/** Application event: its server has accepted a connection. */
const CONNECTION_EVENT = 'connection';

const DeadlineMs = z.coerce.number().int().min(1).max(3_600_000);

/** Why a request is rejected, as an RFC 9457 problem. */
interface RequestProblem {
  readonly failure: Failure;
  readonly detail: string;
}

function writeProblem(ctx: Context, failure: Failure, detail: string): void {
  ctx.status = httpStatusOf(failure);
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

function writeResponse(ctx: Context, result: Extract<RequestResult, { type: 'answer' }>): void {
  const { status, headers, body } = result.response;
  ctx.status = status;
  ctx.body = body;
  ctx.remove('content-type');
  ctx.remove('content-length');
  Object.entries(headers).forEach(([name, value]) => ctx.set(name, value));
  if (Buffer.isBuffer(body) && headers['content-length'] === undefined) ctx.length = body.length;
  ctx.set(OUTCOME_HEADER, 'answered');
}

/** The remote address of the connection, with IPv4-mapped addresses as IPv4. */
function remoteAddressOf(ctx: Context): string {
  return (ctx.req.socket.remoteAddress ?? '').replace(/^::ffff:/, '');
}

/** The problem of a request whose body could not be read. */
function bodyProblem(
  failure: BodyFailure,
  requestId: RequestId | undefined,
  maxBytes: number,
): RequestProblem {
  if (failure !== 'deadline') {
    return { failure: notRunFailure(failure), detail: `the body may have ${maxBytes} bytes` };
  }
  const detail = 'the body was not whole at the deadline';
  // An earlier attempt with the same id may have run.
  return {
    failure: requestId === undefined ? notRunFailure(failure) : unknownFailure(failure),
    detail,
  };
}

/** Reads a request and the head of its body. */
async function readIncomingRequest(
  ctx: Context,
  task: EntryTask,
  fromPeer: boolean,
): Promise<IncomingRequest | RequestProblem> {
  const target = ctx.req.url?.slice(CALL_PREFIX.length) ?? '';
  const serviceEnd = target.search(/[/?]/);
  const name = ServiceName.safeParse(serviceEnd < 0 ? target : target.slice(0, serviceEnd));
  const pathAndQuery = serviceEnd < 0 ? '/' : target.slice(serviceEnd);
  const service = name.success ? task.machine.view.service(name.data) : undefined;
  if (service === undefined) {
    return { failure: notRunFailure('unknown_service'), detail: 'no such service' };
  }
  const badRequest = (detail: string): RequestProblem => ({
    failure: notRunFailure('bad_request'),
    detail,
  });
  const requestIdHeader = firstHeaderValue(ctx.headers, REQUEST_ID_HEADER);
  const requestId = RequestId.optional().safeParse(requestIdHeader);
  if (!requestId.success) return badRequest(`${REQUEST_ID_HEADER} is malformed`);
  const leftMs = DeadlineMs.optional().safeParse(firstHeaderValue(ctx.headers, DEADLINE_HEADER));
  if (!leftMs.success) return badRequest(`${DEADLINE_HEADER} is malformed`);
  const forwarded = fromPeer ? parseForwardedHeaders(ctx.headers) : undefined;
  if (fromPeer && forwarded === undefined) return badRequest('the sender says too little');
  const startedMs = performance.now();
  const timeoutMs = leftMs.data ?? service.deadlineMs;
  const body = await readBody(ctx.req, service.maxRequestBytes, timeoutMs);
  if (body.isErr()) {
    // The unread rest of the body would be parsed as the next request.
    ctx.set('connection', 'close');
    return bodyProblem(body.error, requestId.data, service.maxRequestBytes);
  }
  const caller = forwarded?.caller ?? CallerId.parse(remoteAddressOf(ctx) || 'unknown');
  const headers = endToEndHeaders(ctx.headers);
  delete headers[DEADLINE_HEADER];
  delete headers.host;
  return {
    service: service.name,
    method: ctx.method,
    url: pathAndQuery.startsWith('/') ? pathAndQuery : `/${pathAndQuery}`,
    headers: fromPeer ? headers : withForwarded(headers, caller),
    body: body.value,
    caller,
    requestId: requestId.data,
    leftMs: Math.max(1, Math.floor(timeoutMs - (performance.now() - startedMs))),
    forwarded,
  };
}

function rankOf(
  task: EntryTask,
  { service: name, method, url }: IncomingRequest,
): Rank | undefined {
  const service = task.machine.view.service(name);
  return service && classifyRequest(service, method, url.split('?')[0] ?? url).rank;
}

/** The failure of a request that is shed because the processor is overloaded. */
function overloadFailure({ requestId }: IncomingRequest): Failure {
  // An earlier attempt with the same id may have run.
  return requestId === undefined ? notRunFailure('overloaded') : unknownFailure('overloaded');
}

/** Accepts a caller's request once it is admitted. @returns the failure of a request that is not. */
function acceptWhenAdmitted(
  ctx: Context,
  incoming: IncomingRequest,
  task: EntryTask,
  admissions: AdmissionController,
): Promise<AcceptedRequest | Failure> {
  const priority = RANKS.indexOf(rankOf(task, incoming) ?? 'interactive');
  return new Promise((resolve) => {
    if (!admissions.canAdmit(priority)) resolve(overloadFailure(incoming));
    else {
      admissions.admit(ctx.req, priority, ({ type, waitedMs }) => {
        if (type === 'left') resolve(notRunFailure('cancelled'));
        else if (type === 'late') resolve(overloadFailure(incoming));
        else resolve(task.accept({ ...incoming, leftMs: Math.max(1, incoming.leftMs - waitedMs) }));
      });
    }
  });
}

/**
 * @param admissions - admission queue of callers' requests. Undefined for requests of other entry VMs,
 * which were admitted there.
 */
async function serveCall(
  ctx: Context,
  task: EntryTask,
  metrics: EntryMetrics,
  admissions: AdmissionController | undefined,
): Promise<void> {
  const startedMs = performance.now();
  const fromPeer = admissions === undefined;
  const incoming = await readIncomingRequest(ctx, task, fromPeer);
  if ('failure' in incoming) {
    writeProblem(ctx, incoming.failure, incoming.detail);
    return;
  }
  const accepted = fromPeer
    ? task.accept(incoming)
    : await acceptWhenAdmitted(ctx, incoming, task, admissions);
  if ('outcome' in accepted) {
    // Open connections are read before new ones are accepted: closing this one gives others a chance.
    ctx.set('connection', 'close');
    writeProblem(ctx, accepted, 'the entry VM has no time for the request');
    task.logFailure(incoming.service, accepted);
    recordOutcome(incoming, { type: 'failure', failure: accepted }, task, metrics, startedMs);
    return;
  }
  ctx.res.once('close', () => {
    if (!ctx.res.writableFinished) accepted.cancel();
  });
  const result = await accepted.result;
  const load = accepted.load();
  if (load !== undefined) ctx.set(LOAD_HEADER, load.toFixed(3));
  if (result.type === 'answer') writeResponse(ctx, result);
  else
    writeProblem(
      ctx,
      result.failure,
      `the request ended without an answer: ${result.failure.code}`,
    );
  if (!fromPeer)
    ctx.res.once('close', () => recordOutcome(incoming, result, task, metrics, startedMs));
}

function recordOutcome(
  incoming: IncomingRequest,
  result: RequestResult,
  task: EntryTask,
  metrics: EntryMetrics,
  startedMs: number,
): void {
  const { service: name } = incoming;
  const rank = rankOf(task, incoming) ?? 'unknown';
  const outcome = result.type === 'answer' ? 'answered' : outcomeText(result.failure);
  metrics.requestEnded(name, rank, outcome, performance.now() - startedMs);
  if (result.type === 'failure') metrics.requestFailed(name, result.failure.code);
}

function serveLookup(ctx: Context, task: EntryTask, metrics: EntryMetrics): void {
  const { service: name = '' } = ctx.params as { service?: string };
  const service = ServiceName.safeParse(name);
  if (!service.success || task.machine.view.service(service.data) === undefined) {
    metrics.lookup('unknown', 'unknown_service');
    writeProblem(ctx, notRunFailure('unknown_service'), 'no such service');
    return;
  }
  const lookupAnswer = task.lookup(remoteAddressOf(ctx));
  if (lookupAnswer.isErr()) {
    metrics.lookup(service.data, lookupAnswer.error);
    writeProblem(ctx, notRunFailure(lookupAnswer.error), 'no entry VM serves');
    return;
  }
  metrics.lookup(service.data, 'answered');
  ctx.set('cache-control', `private, max-age=${lookupAnswer.value.ttlS}`);
  ctx.body = { service: service.data, ...lookupAnswer.value };
}

/** The application for callers. */
export function createCallerApp(task: EntryTask, metrics: EntryMetrics): Koa {
  const admissions = new AdmissionController(systemClock);
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
  const app = createApp(router, (ctx) => serveCall(ctx, task, metrics, admissions));
  app.on(CONNECTION_EVENT, () => admissions.connectionAccepted());
  return app;
}

/** The application for other entry VMs. It trusts its clients' headers: callers must not reach it. */
export function createPeerApp(task: EntryTask, metrics: EntryMetrics): Koa {
  const router = new Router();
  router.post('/v1/grants', async (ctx) => {
    const { head } = await readHead(ctx.req, MAX_GRANT_BYTES);
    const request = GrantRequest.safeParse(parseJson(head.toString()));
    if (!request.success) ctx.throw(400);
    else ctx.body = { slots: task.grantHeadroom(request.data) };
  });
  return createApp(router, (ctx) => serveCall(ctx, task, metrics, undefined));
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Combines a router with the paths below `/v1/call/`, which are passed on unparsed. */
function createApp(router: Router, callHandler: (ctx: Context) => Promise<void>): Koa {
  const app = new Koa();
  app.silent = true;
  app.use(async (ctx, next) => {
    if (ctx.path.startsWith(CALL_PREFIX)) await callHandler(ctx);
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
