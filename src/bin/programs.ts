/** What all programs share: exit codes, files of settings, an orderly end. */
import { readFileSync } from 'node:fs';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { z } from 'zod';
import { formatIssue, issuesOfParse, settingsIssue } from '../state/index.js';
import type { SettingsIssue } from '../state/index.js';

export const EXIT_DONE = 0;
export const EXIT_FAILED = 1;
export const EXIT_WRONG_USE = 2;

/** Reads a JSON file. */
export function readJson(file: string): Result<unknown, SettingsIssue> {
  try {
    return Ok(JSON.parse(readFileSync(file, 'utf8')));
  } catch (err) {
    const reason = err instanceof Error ? err.message : String(err);
    return Err(settingsIssue('invalid_value', [], reason, `JSON in ${file}`));
  }
}

/** Reads a process's own settings file, or ends the process with every issue. */
export function loadConfig<Schema extends z.ZodType>(
  schema: Schema,
  file: string | undefined,
): z.infer<Schema> {
  if (file === undefined) return failUse('--config FILE is missing');
  const input = readJson(file);
  if (input.isErr()) return failUse(formatIssue(input.error));
  const parsed = schema.safeParse(input.value);
  if (parsed.success) return parsed.data;
  return failUse(issuesOfParse(parsed.error, input.value).map(formatIssue).join('\n'));
}

/** Ends the process because it was called wrongly. */
export function failUse(message: string): never {
  process.stderr.write(`${message}\n`);
  process.exit(EXIT_WRONG_USE);
}

/** Runs `stop` once on the first SIGTERM or SIGINT, then ends the process. */
export function onStop(stop: () => Promise<void> | void): void {
  let stopping = false;
  const end = async (): Promise<void> => {
    if (stopping) return;
    stopping = true;
    await stop();
    process.exit(EXIT_DONE);
  };
  process.on('SIGTERM', end);
  process.on('SIGINT', end);
}
