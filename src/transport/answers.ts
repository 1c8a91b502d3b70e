/** Answers on their way to a caller: whole when small, else a stream that fails when it is cut. */
import type { Readable } from 'node:stream';
import { joined, readHead } from './bodies.js';
import { endToEnd } from '../protocol/index.js';
import type { HeaderFields } from '../protocol/index.js';
import type { Failure, KeptAnswer } from '../state/index.js';

/** Answers up to this size are whole before any of them is passed on, in bytes. */
export const SMALL_ANSWER_BYTES = 65_536;

/** An answer to pass on. */
export interface Answer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  /** A buffer is whole; a stream fails if the answer ends early. */
  readonly body: Buffer | Readable;
}

/** How a request ended, for whoever sent it here. */
export type Reply =
  | { readonly type: 'answer'; readonly answer: Answer }
  | { readonly type: 'failure'; readonly failure: Failure };

/** Collects a response. Undefined when it ended early before any of it could be passed on. */
export async function collect(
  status: number,
  headers: HeaderFields,
  body: Readable,
): Promise<Answer | undefined> {
  const kept = endToEnd(headers);
  const { head, end } = await readHead(body, SMALL_ANSWER_BYTES);
  if (end === 'failed') return undefined;
  return { status, headers: kept, body: end === 'whole' ? head : joined(head, body) };
}

/** The form in which an answer is kept for later sendings; undefined when it is too large. */
export function keep(answer: Answer): KeptAnswer | undefined {
  if (!Buffer.isBuffer(answer.body)) return undefined;
  const headers = Object.entries(answer.headers).flatMap(([name, value]) =>
    [value].flat().map((each) => ({ name, value: each })),
  );
  return { status: answer.status, headers, body: answer.body };
}

/** The answer in its kept form, to be passed on again. */
export function replay(kept: KeptAnswer): Answer {
  const headers: Record<string, string | string[]> = {};
  kept.headers.forEach(({ name, value }) => {
    const before = headers[name];
    headers[name] = before === undefined ? value : [before, value].flat();
  });
  return { status: kept.status, headers, body: Buffer.from(kept.body) };
}

/** Resolves to the bytes that a body had, and whether it came whole. */
export function drained(
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
