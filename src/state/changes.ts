/** Change records, kept in the very object that they change. */
import { z } from 'zod';

/** Most bytes of change records in one object; the oldest go first. */
const MAX_HISTORY_BYTES = 262_144;

/** One value that a change replaced. A missing side is undefined. */
export const Difference = z.object({
  path: z.string(),
  before: z.unknown().optional(),
  after: z.unknown().optional(),
});
export type Difference = z.infer<typeof Difference>;

/** Who changed what, and when. */
export const ChangeRecord = z.object({
  changeId: z.string(),
  who: z.string(),
  /** Wall time of the agent that wrote it, in milliseconds since 1970. */
  atMs: z.number(),
  differences: z.array(Difference),
});
export type ChangeRecord = z.infer<typeof ChangeRecord>;

/** What the platform stores at a path. */
export const StoredSettings = z.object({
  settings: z.unknown(),
  history: z.array(ChangeRecord),
});
export type StoredSettings = z.infer<typeof StoredSettings>;

function isBranch(value: unknown): value is object {
  return typeof value === 'object' && value !== null;
}

/** Lists the leaves that differ between two JSON values. */
export function differences(before: unknown, after: unknown, path = ''): readonly Difference[] {
  if (isBranch(before) && isBranch(after)) {
    const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])];
    return keys.flatMap((key) =>
      differences(
        Reflect.get(before, key),
        Reflect.get(after, key),
        path === '' ? key : `${path}.${key}`,
      ),
    );
  }
  return Object.is(before, after) ? [] : [{ path, before, after }];
}

/** Adds a record and drops the oldest ones beyond `MAX_HISTORY_BYTES`. */
export function appendChange(
  history: readonly ChangeRecord[],
  record: ChangeRecord,
): ChangeRecord[] {
  const kept = [...history, record];
  let bytes = JSON.stringify(kept).length;
  while (bytes > MAX_HISTORY_BYTES && kept.length > 1) {
    bytes -= JSON.stringify(kept.shift()).length + 1;
  }
  return kept;
}
