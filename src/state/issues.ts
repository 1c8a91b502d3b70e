/** Issues found in settings: a stable code, the place, the value and what is allowed there. */
import type { z } from 'zod';

export type SettingsIssueCode =
  | 'invalid_value'
  | 'unknown_key'
  | 'duplicate_id'
  | 'overlapping_subtree'
  | 'unknown_failure_domain'
  | 'unknown_region'
  | 'invalid_block'
  | 'impossible_shares'
  | 'wrong_path';

export interface SettingsIssue {
  readonly code: SettingsIssueCode;
  /** Keys and indices that lead to the value. */
  readonly path: readonly (string | number)[];
  /** The value found, as JSON, cut to `MAX_VALUE_CHARS`. */
  readonly value: string;
  /** What is allowed in its place. */
  readonly allowed: string;
}

const MAX_VALUE_CHARS = 120;

/** Makes an issue; `value` may be anything that JSON can hold. */
export function settingsIssue(
  code: SettingsIssueCode,
  path: readonly (string | number)[],
  value: unknown,
  allowed: string,
): SettingsIssue {
  const text = JSON.stringify(value) ?? 'nothing';
  return { code, path, value: text.slice(0, MAX_VALUE_CHARS), allowed };
}

function valueAt(root: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (node, key) => (typeof node === 'object' && node !== null ? Reflect.get(node, key) : undefined),
    root,
  );
}

/** Turns a failed parse into issues, one for each fault. */
export function issuesOfParse(err: z.ZodError, input: unknown): readonly SettingsIssue[] {
  return err.issues.flatMap((issue) => {
    const path = issue.path.map((key) => (typeof key === 'number' ? key : String(key)));
    if (issue.code === 'unrecognized_keys') {
      return issue.keys.map((key) =>
        settingsIssue(
          'unknown_key',
          [...path, key],
          valueAt(input, [...path, key]),
          'no such key; see docs/SETTINGS.md',
        ),
      );
    }
    return [settingsIssue('invalid_value', path, valueAt(input, path), issue.message)];
  });
}

/** One line for a person: path, value, what is allowed. */
export function formatIssue(issue: SettingsIssue): string {
  const place = issue.path.length === 0 ? '(whole)' : issue.path.join('.');
  return `${place}: ${issue.code}: got ${issue.value}; allowed: ${issue.allowed}`;
}
