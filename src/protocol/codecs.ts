/** Encodes messages as MessagePack frames, and decodes and validates frames. */
import { create } from '@bufbuild/protobuf';
import { decode, encode } from '@msgpack/msgpack';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type * as z from 'zod';
import { FrameSchema } from './gen/lovagesail_pb.js';
import type { Frame } from './gen/lovagesail_pb.js';

export interface BadFrame {
  readonly code: 'bad_frame';
  readonly message: string;
}

/** Encodes a message as a frame with a MessagePack body. */
export function toFrame(message: unknown): Frame {
  return create(FrameSchema, { body: encode(message, { ignoreUndefined: true }) });
}

/** Decodes a frame and validates it against the schema. */
export function fromFrame<Schema extends z.ZodType>(
  schema: Schema,
  frame: Frame,
): Result<z.infer<Schema>, BadFrame> {
  try {
    const parsed = schema.safeParse(decode(frame.body));
    if (parsed.success) return Ok(parsed.data);
    return Err({ code: 'bad_frame', message: parsed.error.message });
  } catch (err) {
    return Err({ code: 'bad_frame', message: String(err) });
  }
}
