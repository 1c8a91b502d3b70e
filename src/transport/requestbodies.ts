/** Request bodies: small ones are buffered so that they can be sent again, larger ones are streamed. */
import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';
import type { Readable } from 'node:stream';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { Fingerprint } from '../state/index.js';

/** Bodies up to this size are buffered completely. */
export const MAX_BUFFERED_BYTES = 65_536;

/** Number of hexadecimal digits of a fingerprint. */
const FINGERPRINT_DIGITS = 32;

/** A request's body. */
export interface RequestBody {
  /** The complete body, or its beginning of more than `MAX_BUFFERED_BYTES`. */
  readonly head: Buffer;
  /** A stream of the whole body including `head`; undefined if `head` is the complete body. */
  readonly rest: Readable | undefined;
}

export type BodyFailure = 'too_large' | 'cancelled' | 'deadline';

/** Result of reading the beginning of a stream. */
export interface StreamHead {
  readonly head: Buffer;
  /**
   * `whole`: the stream ended. `more`: the size limit was exceeded and the stream is paused. `failed`: the
   * stream failed or was closed. `late`: the timeout expired.
   */
  readonly end: 'whole' | 'more' | 'failed' | 'late';
}

/** Reads a stream until it ends, exceeds `maxBytes` or the timeout expires. */
export function readHead(
  stream: Readable,
  maxBytes: number,
  timeoutMs?: number,
): Promise<StreamHead> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const settle = (end: StreamHead['end']): void => {
      clearTimeout(timer);
      stream.off('data', onData);
      stream.off('end', onEnd);
      stream.off('error', onError);
      stream.off('close', onError);
      resolve({ head: Buffer.concat(chunks), end });
    };
    const timer = timeoutMs === undefined ? undefined : setTimeout(() => settle('late'), timeoutMs);
    function onData(chunk: Buffer): void {
      chunks.push(chunk);
      bytes += chunk.length;
      if (bytes <= maxBytes) return;
      stream.pause();
      settle('more');
    }
    function onEnd(): void {
      settle('whole');
    }
    function onError(): void {
      settle('failed');
    }
    stream.on('data', onData);
    stream.once('end', onEnd);
    stream.once('error', onError);
    stream.once('close', onError);
  });
}

/** Result of reading a complete body. */
export type WholeBodyRead =
  /** @property body - undefined for a request without a body. */
  | { readonly type: 'whole'; readonly body: Buffer | undefined }
  | { readonly type: 'too_large' }
  /** The sender has disconnected. */
  | { readonly type: 'left' }
  /** The body did not arrive in time. */
  | { readonly type: 'late' };

/** Reads a request's complete body. */
export async function readWholeBody(
  req: IncomingMessage,
  maxBytes: number,
  timeoutMs: number,
): Promise<WholeBodyRead> {
  const { 'content-length': length, 'transfer-encoding': coding } = req.headers;
  if (length === undefined && coding === undefined) return { type: 'whole', body: undefined };
  if (Number(length ?? 0) > maxBytes) return { type: 'too_large' };
  const { head, end } = await readHead(req, maxBytes, timeoutMs);
  if (end === 'whole') return { type: 'whole', body: head };
  const types = { more: 'too_large', failed: 'left', late: 'late' } as const;
  return { type: types[end] };
}

/** Returns a stream of `head` followed by `rest`. It fails if `rest` fails. */
export function prependHead(head: Buffer, rest: Readable): Readable {
  const out = new PassThrough();
  out.write(head);
  rest.on('error', (err) => out.destroy(err));
  rest.once('close', () => {
    if (!rest.readableEnded) out.destroy(new Error('stream closed before it ended'));
  });
  rest.pipe(out);
  return out;
}

/**
 * Reads a request's body as far as it is buffered.
 *
 * @param timeoutMs - timeout of the buffered part.
 */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
  timeoutMs: number,
): Promise<Result<RequestBody, BodyFailure>> {
  const length = Number(req.headers['content-length'] ?? 0);
  if (length > maxBytes) return Err('too_large');
  if (
    req.headers['content-length'] === undefined &&
    req.headers['transfer-encoding'] === undefined
  ) {
    return Ok({ head: Buffer.alloc(0), rest: undefined });
  }
  const { head, end } = await readHead(req, Math.min(MAX_BUFFERED_BYTES, maxBytes), timeoutMs);
  if (end === 'failed') return Err('cancelled');
  if (end === 'late') return Err('deadline');
  if (end === 'whole') return Ok({ head, rest: undefined });
  if (head.length > maxBytes) return Err('too_large');
  return Ok({ head, rest: limitLength(prependHead(head, req), maxBytes) });
}

/** Destroys a stream once it exceeds `maxBytes`. */
function limitLength(stream: Readable, maxBytes: number): Readable {
  let bytes = 0;
  stream.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > maxBytes) stream.destroy(new Error('request body is larger than allowed'));
  });
  stream.pause();
  return stream;
}

/** Hashes the content of a request: method, path with query, and the buffered part of the body. */
export function fingerprintOf(method: string, url: string, body: RequestBody): Fingerprint {
  const hash = createHash('sha256').update(`${method} ${url}\n`).update(body.head);
  return Fingerprint.parse(hash.digest('hex').slice(0, FINGERPRINT_DIGITS));
}
