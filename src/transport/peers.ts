/** RPC between agents, entries and operators, over HTTP/2 by connect-es. */
import { Code, ConnectError, createClient } from '@connectrpc/connect';
import type { Client } from '@connectrpc/connect';
import { connectNodeAdapter, createConnectTransport } from '@connectrpc/connect-node';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import http2 from 'node:http2';
import type { Server } from 'node:net';
import type { z } from 'zod';
import {
  AgentService,
  AgentUpdate,
  EntryReport,
  OperatorReply,
  OperatorRequest,
  PeerMessage,
  PeerReply,
  SubscribeRequest,
  fromFrame,
  toFrame,
} from '../protocol/index.js';
import type { Frame } from '../protocol/gen/lovagesail_pb.js';
import { Endpoint } from '../state/index.js';

/** Why a call of another process failed. */
export interface PeerFailure {
  readonly code: 'unreachable' | 'bad_frame';
  readonly message: string;
}

/** What an agent does for each procedure. */
export interface AgentHandlers {
  subscribe(req: SubscribeRequest, signal: AbortSignal): AsyncIterable<AgentUpdate>;
  report(report: EntryReport): Promise<void>;
  exchange(message: PeerMessage): PeerReply;
  operate(req: OperatorRequest): Promise<OperatorReply>;
}

const CALL_TIMEOUT_MS = 2_000;

/** Time for an operator's command, which waits for the platform, in milliseconds. */
const OPERATE_TIMEOUT_MS = 30_000;

/** Time after which an idle connection is checked, in milliseconds. */
const PING_INTERVAL_MS = 5_000;

const PING_TIMEOUT_MS = 2_000;

const ACKNOWLEDGED = { type: 'ok' };

function checked<Schema extends z.ZodType>(schema: Schema, frame: Frame): z.infer<Schema> {
  const message = fromFrame(schema, frame);
  if (message.isErr()) throw new ConnectError(message.error.message, Code.InvalidArgument);
  return message.value;
}

/** Serves an agent's procedures. Resolves once it listens. */
export function serveAgent(address: Endpoint, handlers: AgentHandlers): Promise<http2.Http2Server> {
  const adapter = connectNodeAdapter({
    routes: (router) =>
      router.service(AgentService, {
        async *subscribe(frame: Frame, ctx: { signal: AbortSignal }) {
          const req = checked(SubscribeRequest, frame);
          for await (const update of handlers.subscribe(req, ctx.signal)) yield toFrame(update);
        },
        async report(frame: Frame) {
          await handlers.report(checked(EntryReport, frame));
          return toFrame(ACKNOWLEDGED);
        },
        exchange: (frame: Frame) => toFrame(handlers.exchange(checked(PeerMessage, frame))),
        async operate(frame: Frame) {
          return toFrame(await handlers.operate(checked(OperatorRequest, frame)));
        },
      }),
  });
  const server = http2.createServer(adapter);
  const { host, port } = splitEndpoint(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(server));
  });
}

/** Where a server listens: its endpoint, with the port that it was given for port 0. */
export function boundEndpoint(server: Server, address: Endpoint): Endpoint {
  const bound = server.address();
  if (bound === null || typeof bound === 'string') return address;
  return Endpoint.parse(`${address.slice(0, address.lastIndexOf(':'))}:${bound.port}`);
}

/** Host and port of an endpoint, the host without brackets. */
export function splitEndpoint(address: Endpoint): { readonly host: string; readonly port: number } {
  const at = address.lastIndexOf(':');
  const host = address.slice(0, at).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(at + 1)) };
}

/** Calls one agent. */
export class AgentClient {
  readonly #client: Client<typeof AgentService>;

  constructor(address: Endpoint) {
    const transport = createConnectTransport({
      baseUrl: `http://${address}`,
      httpVersion: '2',
      useBinaryFormat: true,
      pingIntervalMs: PING_INTERVAL_MS,
      pingTimeoutMs: PING_TIMEOUT_MS,
      pingIdleConnection: true,
    });
    this.#client = createClient(AgentService, transport);
  }

  exchange(message: PeerMessage): Promise<Result<PeerReply, PeerFailure>> {
    return this.#call(PeerReply, () =>
      this.#client.exchange(toFrame(message), { timeoutMs: CALL_TIMEOUT_MS }),
    );
  }

  async report(report: EntryReport): Promise<Result<void, PeerFailure>> {
    try {
      await this.#client.report(toFrame(report), { timeoutMs: CALL_TIMEOUT_MS });
      return Ok(undefined);
    } catch (err) {
      return Err(failureOf(err));
    }
  }

  operate(req: OperatorRequest): Promise<Result<OperatorReply, PeerFailure>> {
    return this.#call(OperatorReply, () =>
      this.#client.operate(toFrame(req), { timeoutMs: OPERATE_TIMEOUT_MS }),
    );
  }

  /** Updates until the stream ends; then the reason. */
  async subscribe(
    req: SubscribeRequest,
    take: (update: AgentUpdate) => void,
    signal: AbortSignal,
  ): Promise<PeerFailure> {
    try {
      for await (const frame of this.#client.subscribe(toFrame(req), { signal })) {
        const update = fromFrame(AgentUpdate, frame);
        if (update.isErr()) return update.error;
        take(update.value);
      }
      return { code: 'unreachable', message: 'the stream ended' };
    } catch (err) {
      return failureOf(err);
    }
  }

  async #call<Schema extends z.ZodType>(
    schema: Schema,
    send: () => Promise<Frame>,
  ): Promise<Result<z.infer<Schema>, PeerFailure>> {
    try {
      return fromFrame(schema, await send());
    } catch (err) {
      return Err(failureOf(err));
    }
  }
}

function failureOf(err: unknown): PeerFailure {
  return { code: 'unreachable', message: ConnectError.from(err).message };
}
