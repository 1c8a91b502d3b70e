/** RPC between agents, entries and operators, over HTTP/2 by connect-es. */
import { Code, ConnectError, createClient } from '@connectrpc/connect';
import type { Client } from '@connectrpc/connect';
import { connectNodeAdapter, createConnectTransport } from '@connectrpc/connect-node';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import http2 from 'node:http2';
import type { Server } from 'node:net';
import type * as z from 'zod';
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

/** Why an RPC failed. */
export interface RpcFailure {
  readonly code: 'unreachable' | 'bad_frame';
  readonly message: string;
}

/** An agent's implementation of each procedure. */
export interface AgentHandlers {
  subscribe(req: SubscribeRequest, signal: AbortSignal): AsyncIterable<AgentUpdate>;
  report(report: EntryReport): Promise<void>;
  exchange(message: PeerMessage): PeerReply;
  operate(req: OperatorRequest): Promise<OperatorReply>;
}

const CALL_TIMEOUT_MS = 2_000;

/** Time limit of an operator's command, which waits for the platform, in milliseconds. */
const OPERATE_TIMEOUT_MS = 30_000;

/** Idle time after which a connection is pinged, in milliseconds. */
const PING_INTERVAL_MS = 5_000;

const PING_TIMEOUT_MS = 2_000;

const ACKNOWLEDGED = { type: 'ok' };

function parseFrame<Schema extends z.ZodType>(schema: Schema, frame: Frame): z.infer<Schema> {
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
          const req = parseFrame(SubscribeRequest, frame);
          for await (const update of handlers.subscribe(req, ctx.signal)) yield toFrame(update);
        },
        async report(frame: Frame) {
          await handlers.report(parseFrame(EntryReport, frame));
          return toFrame(ACKNOWLEDGED);
        },
        exchange: (frame: Frame) => toFrame(handlers.exchange(parseFrame(PeerMessage, frame))),
        async operate(frame: Frame) {
          return toFrame(await handlers.operate(parseFrame(OperatorRequest, frame)));
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

/** The endpoint a server listens on, with the assigned port in place of port 0. */
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

/** RPC client of one agent. */
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

  exchange(message: PeerMessage): Promise<Result<PeerReply, RpcFailure>> {
    return this.#call(PeerReply, () =>
      this.#client.exchange(toFrame(message), { timeoutMs: CALL_TIMEOUT_MS }),
    );
  }

  async report(report: EntryReport): Promise<Result<void, RpcFailure>> {
    try {
      await this.#client.report(toFrame(report), { timeoutMs: CALL_TIMEOUT_MS });
      return Ok(undefined);
    } catch (err) {
      return Err(toRpcFailure(err));
    }
  }

  operate(req: OperatorRequest): Promise<Result<OperatorReply, RpcFailure>> {
    return this.#call(OperatorReply, () =>
      this.#client.operate(toFrame(req), { timeoutMs: OPERATE_TIMEOUT_MS }),
    );
  }

  /** Receives updates until the stream ends. @returns why it ended. */
  async subscribe(
    req: SubscribeRequest,
    onUpdate: (update: AgentUpdate) => void,
    signal: AbortSignal,
  ): Promise<RpcFailure> {
    try {
      for await (const frame of this.#client.subscribe(toFrame(req), { signal })) {
        const update = fromFrame(AgentUpdate, frame);
        if (update.isErr()) return update.error;
        onUpdate(update.value);
      }
      return { code: 'unreachable', message: 'update stream ended' };
    } catch (err) {
      return toRpcFailure(err);
    }
  }

  async #call<Schema extends z.ZodType>(
    schema: Schema,
    send: () => Promise<Frame>,
  ): Promise<Result<z.infer<Schema>, RpcFailure>> {
    try {
      return fromFrame(schema, await send());
    } catch (err) {
      return Err(toRpcFailure(err));
    }
  }
}

function toRpcFailure(err: unknown): RpcFailure {
  return { code: 'unreachable', message: ConnectError.from(err).message };
}
