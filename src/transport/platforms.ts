/** Client of the platform's object API. Every call, a waiting watch included, is budgeted. */
import type { Got } from 'got';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { TokenBucket } from '../coordination/index.js';
import type {
  ObjectStore,
  ReadFailure,
  StoredObject,
  WriteFailure,
} from '../coordination/index.js';
import {
  PlatformObject,
  PlatformObjects,
  PlatformWritten,
  SETTINGS_ROOT,
} from '../protocol/index.js';
import type { SettingsPath } from '../state/index.js';
import { MAX_ANSWER_BYTES, boundedGot } from './clients.js';
import type { Clock } from './clocks.js';

const CALL_TIMEOUT_MS = 3_000;

/**
 * Time for which the platform holds a watch open, in milliseconds. One on a silent connection ends after it
 * and `CALL_TIMEOUT_MS`, within the 18 s in which a change is to be in force everywhere.
 */
const WATCH_HOLD_MS = 10_000;

/** Calls that may be made at once after a quiet time. */
const CALL_BURST = 20;

export class PlatformClient implements ObjectStore {
  readonly #http: Got;

  readonly #budget: TokenBucket;

  readonly #clock: Clock;

  constructor(url: string, callsPerSecond: number, clock: Clock) {
    this.#clock = clock;
    this.#budget = new TokenBucket(callsPerSecond, CALL_BURST, clock().nowMs);
    this.#http = boundedGot(MAX_ANSWER_BYTES).extend({
      prefixUrl: url,
      retry: { limit: 0 },
      throwHttpErrors: false,
      timeout: { request: CALL_TIMEOUT_MS },
      responseType: 'json',
    });
  }

  async read(path: SettingsPath): Promise<Result<StoredObject, ReadFailure>> {
    if (!this.#mayCall()) return Err('store_down');
    try {
      const res = await this.#http.get(`v1/objects/${SETTINGS_ROOT}${path}`);
      if (res.statusCode === 404) return Ok({ version: 0, body: undefined });
      const parsed = PlatformObject.safeParse(res.body);
      return res.ok && parsed.success ? Ok(parsed.data) : Err('store_down');
    } catch {
      return Err('store_down');
    }
  }

  async write(
    path: SettingsPath,
    body: unknown,
    ifVersion: number,
  ): Promise<Result<number, WriteFailure>> {
    if (!this.#mayCall()) return Err('store_down');
    const headers: Record<string, string> =
      ifVersion === 0 ? { 'if-none-match': '*' } : { 'if-match': `"${ifVersion}"` };
    try {
      const url = `v1/objects/${SETTINGS_ROOT}${path}`;
      const res = await this.#http.put(url, { json: body, headers });
      if (res.statusCode === 412) return Err('conflict');
      const parsed = PlatformWritten.safeParse(res.body);
      return res.ok && parsed.success ? Ok(parsed.data.version) : Err('lost');
    } catch {
      return Err('lost');
    }
  }

  /**
   * Waits for objects newer than a version.
   *
   * @param prefixes - paths to watch.
   * @returns what changed, or an empty list when the time was up.
   */
  async watch(
    prefixes: readonly string[],
    since: number,
    signal: AbortSignal,
  ): Promise<Result<PlatformObjects, ReadFailure>> {
    if (!this.#mayCall()) return Err('store_down');
    try {
      const res = await this.#http.get('v1/watch', {
        searchParams: { prefixes: prefixes.join(','), since, holdMs: WATCH_HOLD_MS },
        timeout: { request: WATCH_HOLD_MS + CALL_TIMEOUT_MS },
        signal,
      });
      const parsed = PlatformObjects.safeParse(res.body);
      return res.ok && parsed.success ? Ok(parsed.data) : Err('store_down');
    } catch {
      return Err('store_down');
    }
  }

  #mayCall(): boolean {
    return this.#budget.take(1, this.#clock().nowMs);
  }
}
