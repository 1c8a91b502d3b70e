/** Shared by all programs: exit codes, configuration files, logging, reload and shutdown. */
import { readFileSync, watchFile } from 'node:fs';
import meow from 'meow';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type * as z from 'zod';
import { formatIssue, issuesFromZodError, createSettingsIssue } from '../state/index.js';
import type { SettingsIssue } from '../state/index.js';
import {
  LOG_EVENTS,
  LineWriter,
  afterBatchDelay,
  createLogger,
  writeStandardOutput,
} from '../transport/index.js';
import type { LogLevel, Logger } from '../transport/index.js';

/** Configuration fields common to all daemons. */
interface DaemonConfig {
  readonly id: string;
  readonly logLevel: LogLevel;
}

export const EXIT_OK = 0;
export const EXIT_FAILED = 1;
export const EXIT_USAGE = 2;

/** Limits of log output: sustained rate, burst after a quiet period, and pending bytes. */
const MAX_LOG_LINES_PER_S = 400;
const LOG_LINES_BURST = 1_000;
const MAX_PENDING_LOG_BYTES = 262_144;

/** Maximum time that an exiting process waits for the reader of its log. */
const LOG_FLUSH_TIMEOUT_MS = 200;

/** Reads a JSON file. */
export function readJson(file: string): Result<unknown, SettingsIssue> {
  try {
    return Ok(JSON.parse(readFileSync(file, 'utf8')));
  } catch (err) {
    const reason = err instanceof Error ? err.message : String(err);
    return Err(createSettingsIssue('invalid_value', [], reason, `JSON in ${file}`));
  }
}

/** Reads a process's configuration file, or prints all issues and exits. */
function loadConfigOrExit<Schema extends z.ZodType>(schema: Schema, file: string): z.infer<Schema> {
  const cfg = readConfig(schema, file);
  return cfg.isOk() ? cfg.value : exitWithUsageError(cfg.error.map(formatIssue).join('\n'));
}

/** Reads and validates a process's configuration file. */
export function readConfig<Schema extends z.ZodType>(
  schema: Schema,
  file: string,
): Result<z.infer<Schema>, readonly SettingsIssue[]> {
  const input = readJson(file);
  if (input.isErr()) return Err([input.error]);
  const parsed = schema.safeParse(input.value);
  return parsed.success ? Ok(parsed.data) : Err(issuesFromZodError(parsed.error, input.value));
}

/** Prints a usage error and exits. */
export function exitWithUsageError(message: string): never {
  process.stderr.write(`${message}\n`);
  process.exit(EXIT_USAGE);
}

/** Configuration and log of a daemon. */
export interface Daemon<Config> {
  readonly cfg: Config;
  readonly log: Logger;
  /** Path of the configuration file. */
  readonly file: string;
  /** Resolves once pending log lines are written, or after a short time if the reader is stuck. */
  readonly flush: () => Promise<void>;
}

/**
 * Parses the command line, reads the configuration file and opens the log of a daemon. An uncaught
 * exception is logged and ends the process.
 *
 * @param meta - `import.meta` of the program.
 */
export function startDaemon<Schema extends z.ZodType<DaemonConfig>>(
  program: string,
  schema: Schema,
  meta: ImportMeta,
): Daemon<z.infer<Schema>> {
  const help = `
  Usage
    $ lovagesail-${program} --config FILE

  Options
    --config FILE  settings of this process, JSON
    --help         this text
    --version      the version

  Exit codes: 0 stopped, 1 failed, 2 wrong use
`;
  const cli = meow(help, { importMeta: meta, flags: { config: { type: 'string' } } });
  const file = cli.flags.config ?? exitWithUsageError('--config FILE is missing');
  const cfg = loadConfigOrExit(schema, file);
  const lines = new LineWriter({
    linesPerS: MAX_LOG_LINES_PER_S,
    burst: LOG_LINES_BURST,
    maxBytes: MAX_PENDING_LOG_BYTES,
    nowMs: () => performance.now(),
    formatDropped: (count) => {
      const { id, ...event } = LOG_EVENTS.linesDropped;
      return JSON.stringify({ at: new Date().toISOString(), event: id, ...event, count });
    },
    schedule: afterBatchDelay,
    write: writeStandardOutput,
  });
  const write = (line: string, level: LogLevel): void => lines.writeLine(line, level !== 'info');
  const log = createLogger({ program, entryVm: cfg.id }, { level: cfg.logLevel, write });
  process.on('uncaughtException', async (err) => {
    log('invariantBroken', { reason: err.stack });
    await lines.drain(LOG_FLUSH_TIMEOUT_MS);
    process.exit(EXIT_FAILED);
  });
  return { cfg, log, file, flush: () => lines.drain(LOG_FLUSH_TIMEOUT_MS) };
}

/** Polling interval of the configuration file. */
const CONFIG_POLL_MS = 2_000;

/** Calls `reload` on SIGHUP and whenever the configuration file changes. */
export function onReload(reload: () => void, file: string): void {
  process.on('SIGHUP', reload);
  watchFile(file, { interval: CONFIG_POLL_MS, persistent: false }, reload);
}

/** Calls `stop` on the first SIGTERM or SIGINT, then exits the process. */
export function onStop(stop: () => Promise<void> | void): void {
  let stopping = false;
  const handleSignal = async (): Promise<void> => {
    if (stopping) return;
    stopping = true;
    await stop();
    process.exit(EXIT_OK);
  };
  process.on('SIGTERM', handleSignal);
  process.on('SIGINT', handleSignal);
}
