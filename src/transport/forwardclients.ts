/** Forwards requests to other entry VMs: to the owner of a request id, or to a dispatching entry VM. */
import http from 'node:http';
import type { IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';
import * as z from 'zod';
import type { DispatchOrder, ForwardResult } from '../coordination/index.js';
import {
  CALLER_HEADER,
  CODE_HEADER,
  DEADLINE_HEADER,
  FINGERPRINT_HEADER,
  LOAD_HEADER,
  ORDER_HEADER,
  OUTCOME_HEADER,
  firstHeaderValue,
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
import { collectResponse, waitForBodyEnd } from './relayedresponses.js';
import type { RelayedResponse } from './relayedresponses.js';
import type { RequestBody } from './requestbodies.js';
import { sendRequest } from './outgoingrequests.js';

/** A sender's dispatch order, as `ORDER_HEADER` has it. */
export const DispatchOrderHeader = z.object({
  from: EntryVmId,
  sendingId: z.string().max(200),
  incarnation: Incarnation,
  domain: FailureDomainId,
  rank: Rank,
  idempotent: z.boolean(),
  granted: z.boolean(),
});

/** What the sending entry VM adds to a request, in headers of its own. */
export interface ForwardedRequestInfo {
  readonly caller: CallerId;
  readonly fingerprint: Fingerprint;
  readonly leftMs: number | undefined;
  readonly order: DispatchOrder | undefined;
}

/** Parses the headers that the sending entry VM added. Undefined when they are malformed. */
export function parseForwardedHeaders(headers: HeaderFields): ForwardedRequestInfo | undefined {
  const caller = CallerId.safeParse(firstHeaderValue(headers, CALLER_HEADER));
  const fingerprint = Fingerprint.safeParse(firstHeaderValue(headers, FINGERPRINT_HEADER));
  const leftMs = z.coerce
    .number()
    .nonnegative()
    .safeParse(firstHeaderValue(headers, DEADLINE_HEADER));
  const text = firstHeaderValue(headers, ORDER_HEADER);
  const order = text === undefined ? undefined : DispatchOrderHeader.safeParse(parseJson(text));
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
export interface ForwardSpec extends ForwardedRequestInfo {
  readonly to: Endpoint;
  /** Path and query at the receiver. */
  readonly url: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: RequestBody;
}

/** Callbacks of a forwarded request. */
export interface ForwardHandlers {
  onResponse(response: RelayedResponse): void;
  onFinished(result: ForwardResult, load: number | undefined, bytes: number | undefined): void;
}

/** A forwarded request in flight. */
export interface ForwardHandle {
  stop(): void;
}

/** Keep-alive connections to other entry VMs. */
export class ForwardClient {
  readonly #agent = new http.Agent({ keepAlive: true });

  forward(spec: ForwardSpec, handlers: ForwardHandlers): ForwardHandle {
    let finished = false;
    const finish: ForwardHandlers['onFinished'] = (result, load, bytes) => {
      if (finished) return;
      finished = true;
      handlers.onFinished(result, load, bytes);
    };
    const sent = sendRequest(
      {
        url: `http://${spec.to}${spec.url}`,
        method: spec.method,
        headers: { ...spec.headers, ...forwardHeaders(spec) },
        body: spec.body,
        agent: this.#agent,
      },
      {
        onResponse: (res, body) => {
          body.on('error', () => undefined);
          relayResponse(res, body, handlers, finish);
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

function forwardHeaders(spec: ForwardSpec): Record<string, string> {
  const headers: Record<string, string> = {
    [CALLER_HEADER]: spec.caller,
    [FINGERPRINT_HEADER]: spec.fingerprint,
  };
  if (spec.order !== undefined) headers[ORDER_HEADER] = JSON.stringify(spec.order);
  if (spec.leftMs !== undefined) headers[DEADLINE_HEADER] = String(spec.leftMs);
  return headers;
}

async function relayResponse(
  res: IncomingMessage,
  body: Readable,
  handlers: ForwardHandlers,
  finish: ForwardHandlers['onFinished'],
): Promise<void> {
  const loadText = firstHeaderValue(res.headers, LOAD_HEADER);
  const load = loadText === undefined ? undefined : Number(loadText);
  const response = await collectResponse(res.statusCode ?? 0, res.headers, body);
  const failure = parseFailure(res.headers);
  if (failure !== undefined) {
    finish({ type: 'failed', failure }, load, 0);
  } else if (
    response === undefined ||
    firstHeaderValue(res.headers, OUTCOME_HEADER) !== 'answered'
  ) {
    finish({ type: 'truncated', relayed: false }, load, undefined);
  } else {
    handlers.onResponse(response);
    const { bytes, whole } = await waitForBodyEnd(response.body);
    finish(
      whole ? { type: 'answered', answer: undefined } : { type: 'truncated', relayed: true },
      load,
      bytes,
    );
  }
}

/** The failure that another entry VM responded with, or undefined for a relayed response. */
function parseFailure(headers: HeaderFields): Failure | undefined {
  const outcome = firstHeaderValue(headers, OUTCOME_HEADER) === 'not-run' ? 'notRun' : 'unknown';
  const parsed = Failure.safeParse({ outcome, code: firstHeaderValue(headers, CODE_HEADER) });
  return parsed.success ? parsed.data : undefined;
}
