/** Responses relayed to a caller: buffered when small, else a stream that fails if it is truncated. */
import type { Readable } from 'node:stream';
import { prependHead, readHead } from './requestbodies.js';
import { endToEndHeaders } from '../protocol/index.js';
import type { HeaderFields } from '../protocol/index.js';
import type { Failure, KeptAnswer } from '../state/index.js';

/** Responses up to this size are buffered whole before they are relayed, in bytes. */
export const MAX_BUFFERED_RESPONSE_BYTES = 65_536;

/** A response to relay. */
export interface RelayedResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  /** A buffer is the whole body; a stream fails if the body is truncated. */
  readonly body: Buffer | Readable;
}

/** How a request ended, for its sender. */
export type RequestResult =
  | { readonly type: 'answer'; readonly response: RelayedResponse }
  | { readonly type: 'failure'; readonly failure: Failure };

/** Reads a response. Undefined when it was truncated before any of it could be relayed. */
export async function collectResponse(
  status: number,
  headers: HeaderFields,
  body: Readable,
): Promise<RelayedResponse | undefined> {
  const relayedHeaders = endToEndHeaders(headers);
  const { head, end } = await readHead(body, MAX_BUFFERED_RESPONSE_BYTES);
  if (end === 'failed') return undefined;
  return {
    status,
    headers: relayedHeaders,
    body: end === 'whole' ? head : prependHead(head, body),
  };
}

/** Converts a response to the form stored for later retries. Undefined when it is too large. */
export function toKeptAnswer(response: RelayedResponse): KeptAnswer | undefined {
  if (!Buffer.isBuffer(response.body)) return undefined;
  const headers = Object.entries(response.headers).flatMap(([name, value]) =>
    [value].flat().map((fieldValue) => ({ name, value: fieldValue })),
  );
  return { status: response.status, headers, body: response.body };
}

/** Converts a stored response back, to relay it again. */
export function fromKeptAnswer(kept: KeptAnswer): RelayedResponse {
  const headers: Record<string, string | string[]> = {};
  kept.headers.forEach(({ name, value }) => {
    const before = headers[name];
    headers[name] = before === undefined ? value : [before, value].flat();
  });
  return { status: kept.status, headers, body: Buffer.from(kept.body) };
}

/** Resolves to the size of a body in bytes, and whether it arrived whole. */
export function waitForBodyEnd(
  body: Buffer | Readable,
): Promise<{ readonly bytes: number; readonly whole: boolean }> {
  if (Buffer.isBuffer(body)) return Promise.resolve({ bytes: body.length, whole: true });
  return new Promise((resolve) => {
    let bytes = 0;
    body.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
    });
    body.pause();
    body.once('end', () => resolve({ bytes, whole: true }));
    body.once('close', () => resolve({ bytes, whole: body.readableEnded }));
    body.once('error', () => resolve({ bytes, whole: false }));
  });
}
