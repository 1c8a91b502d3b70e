/**
 * Connections to backend servers. Each connection is owned by one pool and carries one request at a
 * time. A connection whose request was stopped or failed is destroyed, so a late response can't reach
 * another request.
 */
import http from 'node:http';
import type { IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';
import * as z from 'zod';
import type { RunResult } from '../coordination/index.js';
import { DEADLINE_HEADER, parseRetryAfterMs } from '../protocol/index.js';
import type { Endpoint } from '../state/index.js';
import { collectResponse, waitForBodyEnd } from './relayedresponses.js';
import type { RelayedResponse } from './relayedresponses.js';
import type { RequestBody } from './requestbodies.js';
import { createBoundedClient } from './httpclients.js';
import type { Clock } from './clocks.js';
import { sendRequest } from './outgoingrequests.js';
import type { SendFailure } from './outgoingrequests.js';

/** Maximum idle time of a connection that is reused for an idempotent request, in milliseconds. */
const MAX_IDLE_MS = 1_000;

/**
 * The same for a request that must not run twice: a new connection costs less than an unknown outcome.
 */
const MAX_IDLE_NON_IDEMPOTENT_MS = 50;

/** With `Retry-After`, the status of a backend server that refuses a request before running it. */
const REFUSED_STATUS = 503;

/** Time limit of a health check, in milliseconds. */
const HEALTH_CHECK_TIMEOUT_MS = 500;

/** Maximum health response that is read, in bytes; a regular one is a single line. */
const MAX_HEALTH_BYTES = 65_536;

/** Without keep-alive: a stale connection must not make its server look unreachable. */
const HEALTH_CHECK_AGENT = new http.Agent({ keepAlive: false });

const healthCheckHttp = createBoundedClient(MAX_HEALTH_BYTES);

/** Path of a backend server's health endpoint. */
const HEALTH_PATH = '/health';

/** A backend server's health response. */
const HealthResponse = z.object({ state: z.enum(['serving', 'draining']) });

/** Result of a health check. */
export type HealthState = 'serving' | 'draining' | 'unreachable';

/** A request to run. */
export interface RunSpec {
  /** Path and query. */
  readonly url: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: RequestBody;
  readonly idempotent: boolean;
  readonly leftMs: number;
}

/** Callbacks of a run. */
export interface RunHandlers {
  /** A response other than a refusal has started. Call `relay` to get it. */
  onResponseStarted(): void;
  /** @param response - the response that was relayed, if any. */
  onFinished(result: RunResult, response: RelayedResponse | undefined): void;
}

/** A run in flight. */
export interface RunHandle {
  stop(): void;
  /** Reads the response. Undefined when it was truncated; `onFinished` then has the result. */
  relay(): Promise<RelayedResponse | undefined>;
}

interface Connection {
  readonly agent: http.Agent;
  idleSinceMs: number;
}

/** The connections to one backend server. */
export class BackendPool {
  readonly #address: Endpoint;

  readonly #clock: Clock;

  #idleConnections: Connection[] = [];

  constructor(address: Endpoint, clock: Clock) {
    this.#address = address;
    this.#clock = clock;
  }

  /** Runs a request on a connection of its own. */
  run(spec: RunSpec, handlers: RunHandlers): RunHandle {
    const connection = this.#acquire(spec.idempotent);
    const deadlineAtMs = this.#clock().nowMs + spec.leftMs;
    let deadlineTimer: NodeJS.Timeout | undefined;
    let res: IncomingMessage | undefined;
    let body: Readable | undefined;
    let finished = false;
    const finish = (result: RunResult, response?: RelayedResponse): void => {
      if (finished) return;
      finished = true;
      clearTimeout(deadlineTimer);
      if (result.type === 'answered') this.#release(connection);
      else connection.agent.destroy();
      handlers.onFinished(result, response);
    };
    const sent = sendRequest(
      {
        ...spec,
        url: `http://${this.#address}${spec.url}`,
        headers: { ...spec.headers, [DEADLINE_HEADER]: String(spec.leftMs) },
        agent: connection.agent,
      },
      {
        onResponse: (rawResponse, stream) => {
          const { statusCode, headers } = rawResponse;
          if (statusCode === REFUSED_STATUS && headers['retry-after'] !== undefined) {
            sent.stop();
            finish({ type: 'refused', retryAfterMs: parseRetryAfterMs(headers) ?? 0 });
            return;
          }
          res = rawResponse;
          body = stream;
          stream.on('error', () => undefined);
          handlers.onResponseStarted();
        },
        onFailure: (failure) => {
          this.#classifyFailure(failure).then((result) => finish(result));
        },
      },
    );
    return {
      stop: () => {
        sent.stop();
        finish({ type: 'stopped' });
      },
      relay: async () => {
        if (res === undefined || body === undefined) return undefined;
        const response = await collectResponse(res.statusCode ?? REFUSED_STATUS, res.headers, body);
        if (response === undefined) {
          finish({ type: 'truncated', relayed: false });
          return undefined;
        }
        // A response too large to store can't serve a retry: nothing is lost by cutting it at the deadline.
        if (!Buffer.isBuffer(response.body)) {
          deadlineTimer = setTimeout(() => {
            sent.stop();
            finish({ type: 'truncated', relayed: true }, response);
          }, deadlineAtMs - this.#clock().nowMs);
        }
        waitForBodyEnd(response.body).then(({ whole }) => {
          finish(whole ? { type: 'answered' } : { type: 'truncated', relayed: true }, response);
        });
        return response;
      },
    };
  }

  /** Checks on a new connection whether the server is reachable and serving. */
  async health(): Promise<HealthState> {
    try {
      const res = await healthCheckHttp(`http://${this.#address}${HEALTH_PATH}`, {
        agent: { http: HEALTH_CHECK_AGENT },
        retry: { limit: 0 },
        timeout: { request: HEALTH_CHECK_TIMEOUT_MS },
        throwHttpErrors: false,
        responseType: 'json',
      });
      const health = HealthResponse.safeParse(res.body);
      return health.success ? health.data.state : 'serving';
    } catch {
      return 'unreachable';
    }
  }

  close(): void {
    this.#idleConnections.forEach((connection) => connection.agent.destroy());
    this.#idleConnections = [];
  }

  /** A lost connection counts as a crash if the server does not accept a new one either. */
  async #classifyFailure(failure: SendFailure): Promise<RunResult> {
    if (failure === 'unreachable') return { type: 'unreachable' };
    return { type: 'lost', crashed: (await this.health()) === 'unreachable' };
  }

  #acquire(idempotent: boolean): Connection {
    const { nowMs } = this.#clock();
    const maxIdleMs = idempotent ? MAX_IDLE_MS : MAX_IDLE_NON_IDEMPOTENT_MS;
    const stale = this.#idleConnections.filter(
      (candidate) => nowMs - candidate.idleSinceMs > MAX_IDLE_MS,
    );
    stale.forEach((candidate) => candidate.agent.destroy());
    this.#idleConnections = this.#idleConnections.filter(
      (candidate) => nowMs - candidate.idleSinceMs <= MAX_IDLE_MS,
    );
    const index = this.#idleConnections.findLastIndex(
      (candidate) => nowMs - candidate.idleSinceMs <= maxIdleMs,
    );
    const [connection] = index < 0 ? [] : this.#idleConnections.splice(index, 1);
    return (
      connection ?? {
        agent: new http.Agent({ keepAlive: true, maxSockets: 1, maxFreeSockets: 1 }),
        idleSinceMs: nowMs,
      }
    );
  }

  #release(connection: Connection): void {
    const returned = connection;
    returned.idleSinceMs = this.#clock().nowMs;
    this.#idleConnections.push(returned);
  }
}
