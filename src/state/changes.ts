/** Change history of settings, stored in the same object as the settings. */
import * as z from 'zod';

/** Maximum size of the history of one object; the oldest records are dropped first. */
const MAX_HISTORY_BYTES = 262_144;

/** One value that a change replaced. `before` or `after` is undefined where there was no value. */
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
  /** Wall-clock time of the writing agent, in milliseconds since the Unix epoch. */
  atMs: z.number(),
  differences: z.array(Difference),
});
export type ChangeRecord = z.infer<typeof ChangeRecord>;

/** Object that the platform stores at a settings path. */
export const StoredSettings = z.object({
  settings: z.unknown(),
  history: z.array(ChangeRecord),
});
export type StoredSettings = z.infer<typeof StoredSettings>;

function isContainer(value: unknown): value is object {
  return typeof value === 'object' && value !== null;
}

/** Lists the leaf values that differ between two JSON values. */
export function differences(before: unknown, after: unknown, path = ''): readonly Difference[] {
  if (isContainer(before) && isContainer(after)) {
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

/** Appends a record and drops the oldest ones beyond `MAX_HISTORY_BYTES`. */
export function appendChange(
  history: readonly ChangeRecord[],
  record: ChangeRecord,
): ChangeRecord[] {
  const records = [...history, record];
  let bytes = JSON.stringify(records).length;
  while (bytes > MAX_HISTORY_BYTES && records.length > 1) {
    bytes -= JSON.stringify(records.shift()).length + 1;
  }
  return records;
}
