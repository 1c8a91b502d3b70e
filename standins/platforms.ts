/**
 * A stand-in for the platform's object API: versions, conditional updates, watches and request counters.
 * Tests enable its faults through `faults`; no fault is random.
 */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import Router from '@koa/router';
import Koa from 'koa';
import type { Context } from 'koa';

interface StoredObject {
  readonly path: string;
  readonly version: number;
  readonly body: unknown;
}

interface PendingWatch {
  readonly prefixes: readonly string[];
  readonly since: number;
  readonly wake: () => void;
}

/** Faults that a test can enable. */
export interface PlatformFaults {
  /** Responds to every request with 503. */
  down: boolean;
  /** Delay of every request in milliseconds. */
  delayMs: number;
  /** Number of next writes that take effect but whose connection is closed before the response. */
  dropWriteResponses: number;
}

/** Requests since the start. */
export interface PlatformRequestCounts {
  reads: number;
  writes: number;
  watches: number;
}

const MAX_VALUE_BYTES = 1_048_576;

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function readJson(ctx: Context): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of ctx.req) chunks.push(chunk as Buffer);
  const body = Buffer.concat(chunks);
  if (body.length > MAX_VALUE_BYTES) ctx.throw(413);
  return JSON.parse(body.toString());
}

export class PlatformStandIn {
  readonly faults: PlatformFaults = { down: false, delayMs: 0, dropWriteResponses: 0 };

  readonly requestCounts: PlatformRequestCounts = { reads: 0, writes: 0, watches: 0 };

  readonly #objects = new Map<string, StoredObject>();

  readonly #pendingWatches = new Set<PendingWatch>();

  #version = 0;

  #server: Server | undefined;

  /** Number of watches that wait for a change. */
  get waiting(): number {
    return this.#pendingWatches.size;
  }

  /** Starts listening. @returns the URL. */
  listen(port = 0): Promise<string> {
    const app = this.#createApp();
    return new Promise((resolve) => {
      const server = app.listen(port, '127.0.0.1', () => {
        resolve(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
      });
      this.#server = server;
    });
  }

  close(): void {
    this.#pendingWatches.forEach((watch) => watch.wake());
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  /** Writes an object unconditionally, as another user of the platform does. @returns its version. */
  put(path: string, body: unknown): number {
    this.#version += 1;
    this.#objects.set(path, { path, version: this.#version, body });
    this.#pendingWatches.forEach((watch) => {
      if (watch.prefixes.some((prefix) => path.startsWith(prefix))) watch.wake();
    });
    return this.#version;
  }

  #createApp(): Koa {
    const router = new Router();
    router.get('/v1/watch', (ctx) => this.#watch(ctx as Context));
    router.get('/v1/objects/*path', (ctx) => this.#read(ctx as Context));
    router.put('/v1/objects/*path', (ctx) => this.#write(ctx as Context));
    const app = new Koa();
    app.silent = true;
    app.use(async (ctx, next) => {
      if (this.faults.delayMs > 0) await delay(this.faults.delayMs);
      if (this.faults.down) ctx.throw(503);
      await next();
    });
    app.use(router.routes());
    return app;
  }

  #read(ctx: Context): void {
    this.requestCounts.reads += 1;
    const object = this.#objects.get(objectPathOf(ctx));
    if (object === undefined) ctx.throw(404);
    else ctx.body = object;
  }

  async #write(ctx: Context): Promise<void> {
    this.requestCounts.writes += 1;
    const path = objectPathOf(ctx);
    const body = await readJson(ctx);
    const version = this.#objects.get(path)?.version ?? 0;
    const mustBeNew = ctx.get('if-none-match') === '*';
    const expectedVersion = mustBeNew ? '"0"' : ctx.get('if-match');
    if (expectedVersion !== '' && expectedVersion !== `"${version}"`) ctx.throw(412);
    const newVersion = this.put(path, body);
    if (this.faults.dropWriteResponses > 0) {
      this.faults.dropWriteResponses -= 1;
      ctx.req.socket.destroy();
    }
    ctx.body = { version: newVersion };
  }

  async #watch(ctx: Context): Promise<void> {
    this.requestCounts.watches += 1;
    const prefixes = String(ctx.query.prefixes).split(',');
    const since = Number(ctx.query.since);
    if (this.#objectsNewerThan(prefixes, since).length === 0) {
      await this.#waitForChange(ctx, prefixes, since, Number(ctx.query.holdMs));
    }
    if (this.faults.down) ctx.throw(503);
    ctx.body = { version: this.#version, objects: this.#objectsNewerThan(prefixes, since) };
  }

  #objectsNewerThan(prefixes: readonly string[], since: number): readonly StoredObject[] {
    return [...this.#objects.values()].filter(
      (object) =>
        object.version > since && prefixes.some((prefix) => object.path.startsWith(prefix)),
    );
  }

  #waitForChange(
    ctx: Context,
    prefixes: readonly string[],
    since: number,
    holdMs: number,
  ): Promise<void> {
    return new Promise((resolve) => {
      const watch: PendingWatch = {
        prefixes,
        since,
        wake: () => {
          this.#pendingWatches.delete(watch);
          resolve();
        },
      };
      this.#pendingWatches.add(watch);
      const timer = setTimeout(watch.wake, holdMs);
      timer.unref();
      ctx.req.once('close', watch.wake);
    });
  }
}

function objectPathOf(ctx: Context): string {
  return ctx.path.slice('/v1/objects/'.length);
}
