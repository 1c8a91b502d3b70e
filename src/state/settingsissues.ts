/** Validation issues of settings: a stable code, the path, the value found and what is allowed. */
import type * as z from 'zod';

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
  /** Keys and array indices from the root to the value. */
  readonly path: readonly (string | number)[];
  /** The value found, as JSON, truncated to `MAX_VALUE_CHARS`. */
  readonly value: string;
  /** Description of the allowed values. */
  readonly allowed: string;
}

const MAX_VALUE_CHARS = 120;

/** Creates an issue; `value` may be any JSON value. */
export function createSettingsIssue(
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

/** Converts a Zod error into issues, one for each unknown key or invalid value. */
export function issuesFromZodError(error: z.ZodError, input: unknown): readonly SettingsIssue[] {
  return error.issues.flatMap((issue) => {
    const path = issue.path.map((key) => (typeof key === 'number' ? key : String(key)));
    if (issue.code === 'unrecognized_keys') {
      return issue.keys.map((key) =>
        createSettingsIssue(
          'unknown_key',
          [...path, key],
          valueAt(input, [...path, key]),
          'a key listed in docs/SETTINGS.md',
        ),
      );
    }
    return [createSettingsIssue('invalid_value', path, valueAt(input, path), issue.message)];
  });
}

/** Formats an issue as one readable line: path, code, value and what is allowed. */
export function formatIssue(issue: SettingsIssue): string {
  const location = issue.path.length === 0 ? '(whole)' : issue.path.join('.');
  return `${location}: ${issue.code}: got ${issue.value}; allowed: ${issue.allowed}`;
}
