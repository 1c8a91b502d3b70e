/** Requests between entry VMs: sent to the owner of an id, or to the entry VM that dispatches. */
import http from 'node:http';
import type { IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';
import { z } from 'zod';
import type { DispatchOrder, ForwardResult } from '../coordination/index.js';
import {
  CALLER_HEADER,
  CODE_HEADER,
  DEADLINE_HEADER,
  FINGERPRINT_HEADER,
  LOAD_HEADER,
  ORDER_HEADER,
  OUTCOME_HEADER,
  firstOf,
} from '../protocol/index.js';
import type { HeaderFields } from '../protocol/index.js';
import {
  CallerId,
  EntryVmId,
  Failure,
  FailureDomainId,
  Fingerprint,
  Incarnation,
  Rank,
} from '../state/index.js';
import type { Endpoint } from '../state/index.js';
import { collect, drained } from './answers.js';
import type { Answer } from './answers.js';
import type { RequestBody } from './bodies.js';
import { send } from './requests.js';

/** A sender's order as it travels in `ORDER_HEADER`. */
export const Order = z.object({
  from: EntryVmId,
  sendingId: z.string().max(200),
  incarnation: Incarnation,
  domain: FailureDomainId,
  rank: Rank,
  idempotent: z.boolean(),
  granted: z.boolean(),
});

/** What a sender says of a request, next to its own headers. */
export interface ForwardedCall {
  readonly caller: CallerId;
  readonly fingerprint: Fingerprint;
  readonly leftMs: number | undefined;
  readonly order: DispatchOrder | undefined;
}

/** Reads what a sender says; undefined when it is malformed. */
export function forwardedCall(headers: HeaderFields): ForwardedCall | undefined {
  const caller = CallerId.safeParse(firstOf(headers, CALLER_HEADER));
  const fingerprint = Fingerprint.safeParse(firstOf(headers, FINGERPRINT_HEADER));
  const leftMs = z.coerce.number().nonnegative().safeParse(firstOf(headers, DEADLINE_HEADER));
  const text = firstOf(headers, ORDER_HEADER);
  const order = text === undefined ? undefined : Order.safeParse(parseJson(text));
  if (!caller.success || !fingerprint.success || order?.success === false) return undefined;
  return {
    caller: caller.data,
    fingerprint: fingerprint.data,
    leftMs: leftMs.success ? leftMs.data : undefined,
    order: order?.data,
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** A request to forward. */
export interface ForwardSpec extends ForwardedCall {
  readonly to: Endpoint;
  /** Path and query at the receiver. */
  readonly url: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: RequestBody;
}

/** What a forwarded request tells its owner. */
export interface ForwardHandlers {
  onAnswer(answer: Answer): void;
  onFinished(result: ForwardResult, load: number | undefined, bytes: number | undefined): void;
}

/** A forwarded request under way. */
export interface ForwardHandle {
  stop(): void;
}

/** Connections to other entry VMs, kept for the next request. */
export class ForwardClient {
  readonly #agent = new http.Agent({ keepAlive: true });

  forward(spec: ForwardSpec, handlers: ForwardHandlers): ForwardHandle {
    let finished = false;
    const finish: ForwardHandlers['onFinished'] = (result, load, bytes) => {
      if (finished) return;
      finished = true;
      handlers.onFinished(result, load, bytes);
    };
    const sent = send(
      {
        url: `http://${spec.to}${spec.url}`,
        method: spec.method,
        headers: { ...spec.headers, ...headersOf(spec) },
        body: spec.body,
        agent: this.#agent,
      },
      {
        onResponse: (res, body) => {
          body.on('error', () => undefined);
          passOn(res, body, handlers, finish);
        },
        onFailure: (failure) => finish({ type: failure }, undefined, undefined),
      },
    );
    return {
      stop: () => {
        sent.stop();
        finish({ type: 'lost' }, undefined, undefined);
      },
    };
  }

  close(): void {
    this.#agent.destroy();
  }
}

function headersOf(spec: ForwardSpec): Record<string, string> {
  const headers: Record<string, string> = {
    [CALLER_HEADER]: spec.caller,
    [FINGERPRINT_HEADER]: spec.fingerprint,
  };
  if (spec.order !== undefined) headers[ORDER_HEADER] = JSON.stringify(spec.order);
  if (spec.leftMs !== undefined) headers[DEADLINE_HEADER] = String(spec.leftMs);
  return headers;
}

async function passOn(
  res: IncomingMessage,
  body: Readable,
  handlers: ForwardHandlers,
  finish: ForwardHandlers['onFinished'],
): Promise<void> {
  const loadText = firstOf(res.headers, LOAD_HEADER);
  const load = loadText === undefined ? undefined : Number(loadText);
  const answer = await collect(res.statusCode ?? 0, res.headers, body);
  const failure = failureOf(res.headers);
  if (failure !== undefined) {
    finish({ type: 'failed', failure }, load, 0);
  } else if (answer === undefined || firstOf(res.headers, OUTCOME_HEADER) !== 'answered') {
    finish({ type: 'truncated', relayed: false }, load, undefined);
  } else {
    handlers.onAnswer(answer);
    const { bytes, whole } = await drained(answer.body);
    finish(
      whole ? { type: 'answered', answer: undefined } : { type: 'truncated', relayed: true },
      load,
      bytes,
    );
  }
}

/** The failure that another entry VM told of, or undefined for an answer. */
function failureOf(headers: HeaderFields): Failure | undefined {
  const outcome = firstOf(headers, OUTCOME_HEADER) === 'not-run' ? 'notRun' : 'unknown';
  const parsed = Failure.safeParse({ outcome, code: firstOf(headers, CODE_HEADER) });
  return parsed.success ? parsed.data : undefined;
}
