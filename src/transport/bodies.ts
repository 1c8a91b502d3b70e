/** Bodies of requests: kept whole when small, so that they can be sent again; else passed through. */
import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';
import type { Readable } from 'node:stream';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { Fingerprint } from '../state/index.js';

/** Bodies up to this size are kept whole, in bytes. */
export const KEEP_BYTES = 65_536;

/** Hexadecimal digits of a fingerprint. */
const FINGERPRINT_DIGITS = 32;

/** A request's body. */
export interface RequestBody {
  /** The whole body, or its first `KEEP_BYTES`. */
  readonly head: Buffer;
  /** What follows; undefined when `head` is all. */
  readonly rest: Readable | undefined;
}

export type BodyFailure = 'too_large' | 'cancelled' | 'deadline';

/** How the reading of a stream's head ended. */
export interface StreamHead {
  readonly head: Buffer;
  /**
   * `whole`: the stream has ended. `more`: the limit is passed, and the stream is paused. `failed`: it
   * broke. `late`: it had not ended in time.
   */
  readonly end: 'whole' | 'more' | 'failed' | 'late';
}

/** Reads a stream to its end, until more than `limit` bytes are there, or for a time in milliseconds. */
export function readHead(stream: Readable, limit: number, forMs?: number): Promise<StreamHead> {
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
    const timer = forMs === undefined ? undefined : setTimeout(() => settle('late'), forMs);
    function onData(chunk: Buffer): void {
      chunks.push(chunk);
      bytes += chunk.length;
      if (bytes <= limit) return;
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

/** How the reading of a whole body ended. */
export type WholeBody =
  /** @property body - undefined for a request without one. */
  | { readonly type: 'whole'; readonly body: Buffer | undefined }
  | { readonly type: 'too_large' }
  /** The sender is gone. */
  | { readonly type: 'left' }
  /** It was not there in time. */
  | { readonly type: 'late' };

/** Reads the whole body of a request. */
export async function readWhole(
  req: IncomingMessage,
  maxBytes: number,
  leftMs: number,
): Promise<WholeBody> {
  const { 'content-length': length, 'transfer-encoding': coding } = req.headers;
  if (length === undefined && coding === undefined) return { type: 'whole', body: undefined };
  if (Number(length ?? 0) > maxBytes) return { type: 'too_large' };
  const { head, end } = await readHead(req, maxBytes, leftMs);
  if (end === 'whole') return { type: 'whole', body: head };
  const types = { more: 'too_large', failed: 'left', late: 'late' } as const;
  return { type: types[end] };
}

/** A stream of a head and what follows it. Fails when that fails. */
export function joined(head: Buffer, rest: Readable): Readable {
  const out = new PassThrough();
  out.write(head);
  rest.on('error', (err) => out.destroy(err));
  rest.once('close', () => {
    if (!rest.readableEnded) out.destroy(new Error('stream closed before its end'));
  });
  rest.pipe(out);
  return out;
}

/**
 * Reads the body of a request as far as it is kept.
 *
 * @param forMs - time for that, in milliseconds.
 */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
  forMs: number,
): Promise<Result<RequestBody, BodyFailure>> {
  const length = Number(req.headers['content-length'] ?? 0);
  if (length > maxBytes) return Err('too_large');
  if (
    req.headers['content-length'] === undefined &&
    req.headers['transfer-encoding'] === undefined
  ) {
    return Ok({ head: Buffer.alloc(0), rest: undefined });
  }
  const { head, end } = await readHead(req, Math.min(KEEP_BYTES, maxBytes), forMs);
  if (end === 'failed') return Err('cancelled');
  if (end === 'late') return Err('deadline');
  if (end === 'whole') return Ok({ head, rest: undefined });
  if (head.length > maxBytes) return Err('too_large');
  return Ok({ head, rest: limited(joined(head, req), maxBytes) });
}

/** Cuts a stream off that turns out longer than allowed. */
function limited(stream: Readable, maxBytes: number): Readable {
  let bytes = 0;
  stream.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > maxBytes) stream.destroy(new Error('body is larger than allowed'));
  });
  stream.pause();
  return stream;
}

/** Hashes what makes two requests the same content: method, path with query, and the body's head. */
export function fingerprintOf(method: string, url: string, body: RequestBody): Fingerprint {
  const hash = createHash('sha256').update(`${method} ${url}\n`).update(body.head);
  return Fingerprint.parse(hash.digest('hex').slice(0, FINGERPRINT_DIGITS));
}
