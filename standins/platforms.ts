/**
 * A stand-in for the platform's object API: versions, conditional updates, watches, counted calls.
 * Its faults are switched by tests over `faults`, never by chance.
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

interface Waiting {
  readonly prefixes: readonly string[];
  readonly since: number;
  readonly wake: () => void;
}

/** Faults that a test may switch. */
export interface PlatformFaults {
  /** Refuses every call. */
  down: boolean;
  /** Delays every call, in milliseconds. */
  delayMs: number;
  /** Lets this many writes take effect and then cuts the connection before the answer. */
  loseWriteAnswers: number;
}

/** Calls counted since the start. */
export interface PlatformCalls {
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
  readonly faults: PlatformFaults = { down: false, delayMs: 0, loseWriteAnswers: 0 };

  readonly calls: PlatformCalls = { reads: 0, writes: 0, watches: 0 };

  readonly #objects = new Map<string, StoredObject>();

  readonly #waiting = new Set<Waiting>();

  #version = 0;

  #server: Server | undefined;

  /** Watches that wait now. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** Resolves to its URL. */
  listen(port = 0): Promise<string> {
    const app = this.#app();
    return new Promise((resolve) => {
      const server = app.listen(port, '127.0.0.1', () => {
        resolve(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
      });
      this.#server = server;
    });
  }

  close(): void {
    this.#waiting.forEach((each) => each.wake());
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  /** Puts an object without a condition, as another user of the platform would. */
  put(path: string, body: unknown): number {
    this.#version += 1;
    this.#objects.set(path, { path, version: this.#version, body });
    this.#waiting.forEach((each) => {
      if (each.prefixes.some((prefix) => path.startsWith(prefix))) each.wake();
    });
    return this.#version;
  }

  #app(): Koa {
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
    this.calls.reads += 1;
    const object = this.#objects.get(pathOf(ctx));
    if (object === undefined) ctx.throw(404);
    else ctx.body = object;
  }

  async #write(ctx: Context): Promise<void> {
    this.calls.writes += 1;
    const path = pathOf(ctx);
    const body = await readJson(ctx);
    const version = this.#objects.get(path)?.version ?? 0;
    const mustBeNew = ctx.get('if-none-match') === '*';
    const wanted = mustBeNew ? '"0"' : ctx.get('if-match');
    if (wanted !== '' && wanted !== `"${version}"`) ctx.throw(412);
    const written = this.put(path, body);
    if (this.faults.loseWriteAnswers > 0) {
      this.faults.loseWriteAnswers -= 1;
      ctx.req.socket.destroy();
    }
    ctx.body = { version: written };
  }

  async #watch(ctx: Context): Promise<void> {
    this.calls.watches += 1;
    const prefixes = String(ctx.query.prefixes).split(',');
    const since = Number(ctx.query.since);
    if (this.#newer(prefixes, since).length === 0) {
      await this.#wait(ctx, prefixes, since, Number(ctx.query.holdMs));
    }
    if (this.faults.down) ctx.throw(503);
    ctx.body = { version: this.#version, objects: this.#newer(prefixes, since) };
  }

  #newer(prefixes: readonly string[], since: number): readonly StoredObject[] {
    return [...this.#objects.values()].filter(
      (object) =>
        object.version > since && prefixes.some((prefix) => object.path.startsWith(prefix)),
    );
  }

  #wait(ctx: Context, prefixes: readonly string[], since: number, holdMs: number): Promise<void> {
    return new Promise((resolve) => {
      const waiting: Waiting = {
        prefixes,
        since,
        wake: () => {
          this.#waiting.delete(waiting);
          resolve();
        },
      };
      this.#waiting.add(waiting);
      const timer = setTimeout(waiting.wake, holdMs);
      timer.unref();
      ctx.req.once('close', waiting.wake);
    });
  }
}

function pathOf(ctx: Context): string {
  return ctx.path.slice('/v1/objects/'.length);
}
