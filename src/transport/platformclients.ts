/** Client of the platform's object API. Every request, watches included, is rate-limited. */
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
  PlatformWriteResponse,
  SETTINGS_ROOT,
} from '../protocol/index.js';
import type { SettingsPath } from '../state/index.js';
import { MAX_RESPONSE_BYTES, createBoundedClient } from './httpclients.js';
import type { Clock } from './clocks.js';

const REQUEST_TIMEOUT_MS = 3_000;

/**
 * Time for which the platform holds a watch open, in milliseconds. On a dead connection, a watch times out
 * after this plus `CALL_TIMEOUT_MS`, within the 18 s in which a change must be in force everywhere.
 */
const WATCH_HOLD_MS = 10_000;

/** Token bucket size: requests that may be sent at once after an idle time. */
const REQUEST_BURST = 20;

export class PlatformClient implements ObjectStore {
  readonly #httpClient: Got;

  readonly #tokenBucket: TokenBucket;

  readonly #clock: Clock;

  constructor(url: string, requestsPerSecond: number, clock: Clock) {
    this.#clock = clock;
    this.#tokenBucket = new TokenBucket(requestsPerSecond, REQUEST_BURST, clock().nowMs);
    this.#httpClient = createBoundedClient(MAX_RESPONSE_BYTES).extend({
      prefixUrl: url,
      retry: { limit: 0 },
      throwHttpErrors: false,
      timeout: { request: REQUEST_TIMEOUT_MS },
      responseType: 'json',
    });
  }

  async read(path: SettingsPath): Promise<Result<StoredObject, ReadFailure>> {
    if (!this.#takeRequestToken()) return Err('store_down');
    try {
      const res = await this.#httpClient.get(`v1/objects/${SETTINGS_ROOT}${path}`);
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
    if (!this.#takeRequestToken()) return Err('store_down');
    const headers: Record<string, string> =
      ifVersion === 0 ? { 'if-none-match': '*' } : { 'if-match': `"${ifVersion}"` };
    try {
      const url = `v1/objects/${SETTINGS_ROOT}${path}`;
      const res = await this.#httpClient.put(url, { json: body, headers });
      if (res.statusCode === 412) return Err('conflict');
      const parsed = PlatformWriteResponse.safeParse(res.body);
      return res.ok && parsed.success ? Ok(parsed.data.version) : Err('lost');
    } catch {
      return Err('lost');
    }
  }

  /**
   * Waits for objects newer than a version.
   *
   * @param prefixes - paths to watch.
   * @returns the changed objects; none when the hold time is over.
   */
  async watch(
    prefixes: readonly string[],
    since: number,
    signal: AbortSignal,
  ): Promise<Result<PlatformObjects, ReadFailure>> {
    if (!this.#takeRequestToken()) return Err('store_down');
    try {
      const res = await this.#httpClient.get('v1/watch', {
        searchParams: { prefixes: prefixes.join(','), since, holdMs: WATCH_HOLD_MS },
        timeout: { request: WATCH_HOLD_MS + REQUEST_TIMEOUT_MS },
        signal,
      });
      const parsed = PlatformObjects.safeParse(res.body);
      return res.ok && parsed.success ? Ok(parsed.data) : Err('store_down');
    } catch {
      return Err('store_down');
    }
  }

  #takeRequestToken(): boolean {
    return this.#tokenBucket.tryTake(1, this.#clock().nowMs);
  }
}
