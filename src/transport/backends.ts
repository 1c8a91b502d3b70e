/**
 * Connections to backend servers. Each connection is owned by one pool and carries one request at a
 * time. A connection whose request was stopped or failed is destroyed, so a late answer can't reach
 * another request.
 */
import http from 'node:http';
import type { IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';
import { z } from 'zod';
import type { RunResult } from '../coordination/index.js';
import { DEADLINE_HEADER, firstOf } from '../protocol/index.js';
import type { Endpoint } from '../state/index.js';
import { collect, drained } from './answers.js';
import type { Answer } from './answers.js';
import type { RequestBody } from './bodies.js';
import { boundedGot } from './clients.js';
import type { Clock } from './clocks.js';
import { send } from './requests.js';
import type { SendFailure } from './requests.js';

/** Idle time after which a connection is not trusted with idempotent work, in milliseconds. */
const IDLE_MS = 1_000;

/** The same for work that must not run twice: a new connection costs less than a doubt. */
const IDLE_NON_IDEMPOTENT_MS = 50;

/** Status with which a backend server refuses before it runs anything; it carries `Retry-After`. */
const REFUSED_STATUS = 503;

/** Time for an answer to a probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 500;

/** Largest answer to a probe that is read, in bytes: health is told in a line. */
const MAX_HEALTH_BYTES = 65_536;

/** Keeps no connection: one that has gone silent must not make its server look dead. */
const PROBE_AGENT = new http.Agent({ keepAlive: false });

const probe = boundedGot(MAX_HEALTH_BYTES);

/** Path of a backend server's health endpoint. */
const HEALTH_PATH = '/health';

/** What a backend server says of itself. */
const Health = z.object({ state: z.enum(['serving', 'draining']) });

/** Health as seen from here. */
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

/** What a run tells its owner. */
export interface RunHandlers {
  /** A good answer has begun. `relay` has to be called to get it. */
  onBegun(): void;
  /** @param answer - the answer that was relayed, if any. */
  onFinished(result: RunResult, answer: Answer | undefined): void;
}

/** A run under way. */
export interface RunHandle {
  stop(): void;
  /** Takes the answer that has begun. Undefined when it ended early; `onFinished` tells the rest. */
  relay(): Promise<Answer | undefined>;
}

interface Connection {
  readonly agent: http.Agent;
  idleSinceMs: number;
}

/** The connections to one backend server. */
export class BackendPool {
  readonly #address: Endpoint;

  readonly #clock: Clock;

  #idle: Connection[] = [];

  constructor(address: Endpoint, clock: Clock) {
    this.#address = address;
    this.#clock = clock;
  }

  /** Runs a request on a connection of its own. */
  run(spec: RunSpec, handlers: RunHandlers): RunHandle {
    const connection = this.#take(spec.idempotent);
    const endsMs = this.#clock().nowMs + spec.leftMs;
    let late: NodeJS.Timeout | undefined;
    let res: IncomingMessage | undefined;
    let body: Readable | undefined;
    let finished = false;
    const finish = (result: RunResult, answer?: Answer): void => {
      if (finished) return;
      finished = true;
      clearTimeout(late);
      if (result.type === 'answered') this.#giveBack(connection);
      else connection.agent.destroy();
      handlers.onFinished(result, answer);
    };
    const sent = send(
      {
        ...spec,
        url: `http://${this.#address}${spec.url}`,
        headers: { ...spec.headers, [DEADLINE_HEADER]: String(spec.leftMs) },
        agent: connection.agent,
      },
      {
        onResponse: (response, stream) => {
          const retryAfter = firstOf(response.headers, 'retry-after');
          if (response.statusCode === REFUSED_STATUS && retryAfter !== undefined) {
            sent.stop();
            finish({ type: 'refused', retryAfterMs: retryAfterMs(retryAfter) });
            return;
          }
          res = response;
          body = stream;
          stream.on('error', () => undefined);
          handlers.onBegun();
        },
        onFailure: (failure) => {
          this.#judge(failure).then((result) => finish(result));
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
        const answer = await collect(res.statusCode ?? REFUSED_STATUS, res.headers, body);
        if (answer === undefined) {
          finish({ type: 'truncated', relayed: false });
          return undefined;
        }
        // Nothing is left to protect of work whose answer has begun and is too large to be kept.
        if (!Buffer.isBuffer(answer.body)) {
          late = setTimeout(() => {
            sent.stop();
            finish({ type: 'truncated', relayed: true }, answer);
          }, endsMs - this.#clock().nowMs);
        }
        drained(answer.body).then(({ whole }) => {
          finish(whole ? { type: 'answered' } : { type: 'truncated', relayed: true }, answer);
        });
        return answer;
      },
    };
  }

  /** Asks the server on a new connection whether it is there and serving. */
  async health(): Promise<HealthState> {
    try {
      const res = await probe(`http://${this.#address}${HEALTH_PATH}`, {
        agent: { http: PROBE_AGENT },
        retry: { limit: 0 },
        timeout: { request: PROBE_TIMEOUT_MS },
        throwHttpErrors: false,
        responseType: 'json',
      });
      const health = Health.safeParse(res.body);
      return health.success ? health.data.state : 'serving';
    } catch {
      return 'unreachable';
    }
  }

  close(): void {
    this.#idle.forEach((connection) => connection.agent.destroy());
    this.#idle = [];
  }

  /** A lost connection is a crash when the server does not take a new one either. */
  async #judge(failure: SendFailure): Promise<RunResult> {
    if (failure === 'unreachable') return { type: 'unreachable' };
    return { type: 'lost', crashed: (await this.health()) === 'unreachable' };
  }

  #take(idempotent: boolean): Connection {
    const { nowMs } = this.#clock();
    const trustMs = idempotent ? IDLE_MS : IDLE_NON_IDEMPOTENT_MS;
    const stale = this.#idle.filter((each) => nowMs - each.idleSinceMs > IDLE_MS);
    stale.forEach((each) => each.agent.destroy());
    this.#idle = this.#idle.filter((each) => nowMs - each.idleSinceMs <= IDLE_MS);
    const at = this.#idle.findLastIndex((each) => nowMs - each.idleSinceMs <= trustMs);
    const [connection] = at < 0 ? [] : this.#idle.splice(at, 1);
    return (
      connection ?? {
        agent: new http.Agent({ keepAlive: true, maxSockets: 1, maxFreeSockets: 1 }),
        idleSinceMs: nowMs,
      }
    );
  }

  #giveBack(connection: Connection): void {
    const returned = connection;
    returned.idleSinceMs = this.#clock().nowMs;
    this.#idle.push(returned);
  }
}

const MS_PER_S = 1_000;

function retryAfterMs(value: string): number {
  const seconds = Number(value);
  return Number.isFinite(seconds) ? Math.max(0, seconds * MS_PER_S) : 0;
}
