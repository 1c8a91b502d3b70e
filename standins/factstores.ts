/**
 * A stand-in for the store of the users' platform: objects by kind and name, one revision counter,
 * pages, watches, forgotten history. Its faults are switched by tests over `faults`, never by chance.
 */
import http from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { ENDLESS_HEAD, FILLER, pour } from './pours.js';

/** An object as the store hands it out. */
export interface StoreObject {
  readonly Metadata: { readonly Name: string; readonly Revision: number };
  readonly Spec: unknown;
}

interface Change {
  readonly kind: string;
  readonly object: StoreObject;
  readonly deleted: boolean;
}

export interface StoreFaults {
  /** Answers every call with this status. */
  refuse: number | undefined;
  /** Takes calls and never answers. */
  silent: boolean;
  /** Answers with bytes until the other end closes. */
  endless: boolean;
  /** Tells watches of no change, and claims at their end that there was none; lists are true. */
  deaf: boolean;
}

const PREFIX = '/lovagesail/objects/';

function send(res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(body));
}

async function bodyOf(req: IncomingMessage): Promise<StoreObject> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return JSON.parse(Buffer.concat(chunks).toString()) as StoreObject;
}

export class FactStoreStandIn {
  readonly faults: StoreFaults = {
    refuse: undefined,
    silent: false,
    endless: false,
    deaf: false,
  };

  /** Calls by method and kind, in their order. */
  readonly calls: string[] = [];

  readonly #objects = new Map<string, Map<string, StoreObject>>();

  readonly #waiting = new Set<() => void>();

  #changes: Change[] = [];

  #revision = 1;

  /** Objects on a page. */
  pageSize = 50;

  readonly #server: Server = http.createServer((req, res) => {
    this.#serve(req, res);
  });

  /** Starts listening. @returns its address. */
  start(): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(this.#server.address() as AddressInfo).port}`);
      });
    });
  }

  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Watches that wait for a change. */
  get watching(): number {
    return this.#waiting.size;
  }

  /** Writes an object as its owner would. */
  put(kind: string, name: string, spec: unknown): void {
    this.#revision += 1;
    const object = { Metadata: { Name: name, Revision: this.#revision }, Spec: spec };
    const objects = this.#objects.get(kind) ?? new Map<string, StoreObject>();
    this.#objects.set(kind, objects.set(name, object));
    this.#tell({ kind, object, deleted: false });
  }

  remove(kind: string, name: string): void {
    const object = this.#objects.get(kind)?.get(name);
    if (object === undefined) return;
    this.#revision += 1;
    this.#objects.get(kind)?.delete(name);
    const Metadata = { Name: name, Revision: this.#revision };
    this.#tell({ kind, object: { ...object, Metadata }, deleted: true });
  }

  /** Drops the history; watches from before it are told so. */
  forget(): void {
    this.#changes = [];
    this.#wake();
  }

  objects(kind: string): readonly StoreObject[] {
    return [...(this.#objects.get(kind) ?? new Map<string, StoreObject>()).values()].sort((a, b) =>
      a.Metadata.Name < b.Metadata.Name ? -1 : 1,
    );
  }

  #tell(change: Change): void {
    this.#changes.push(change);
    this.#wake();
  }

  #wake(): void {
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    waiting.forEach((wake) => wake());
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://store');
    const [kind = '', name] = url.pathname.slice(PREFIX.length).split('/');
    this.calls.push(`${req.method} ${kind}`);
    if (this.faults.silent) return;
    if (this.faults.endless) {
      req.socket.write(ENDLESS_HEAD);
      pour(req.socket, FILLER);
    } else if (this.faults.refuse !== undefined) send(res, this.faults.refuse, {});
    else if (req.method === 'GET') await this.#read(url, kind, res);
    else await this.#write(await bodyOf(req), kind, name, res);
  }

  async #read({ searchParams }: URL, kind: string, res: ServerResponse): Promise<void> {
    const since = searchParams.get('Watch');
    if (since !== null) {
      await this.#watch(kind, Number(since), Number(searchParams.get('WaitMs')), res);
      return;
    }
    const after = searchParams.get('after') ?? '';
    const left = this.objects(kind).filter((object) => object.Metadata.Name > after);
    const items = left.slice(0, this.pageSize);
    send(res, 200, { items, More: left.length > items.length, CurrentRev: this.#revision });
  }

  async #watch(kind: string, since: number, waitMs: number, res: ServerResponse): Promise<void> {
    const end = performance.now() + waitMs;
    const caller: { wake?: () => void } = {};
    res.once('close', () => {
      if (caller.wake !== undefined) this.#waiting.delete(caller.wake);
    });
    for (;;) {
      const oldest = this.#changes[0]?.object.Metadata.Revision ?? this.#revision + 1;
      if (since < oldest - 1) {
        send(res, 410, {});
        return;
      }
      const changes = this.#changes.filter(
        (change) => change.kind === kind && change.object.Metadata.Revision > since,
      );
      const leftMs = end - performance.now();
      const told = this.faults.deaf ? [] : changes;
      if (told.length > 0 || leftMs <= 0) {
        const events = told.map(({ object, deleted }) => ({ Object: object, Deleted: deleted }));
        send(res, 200, { events, CurrentRev: this.#revision });
        return;
      }
      await new Promise<void>((resolve) => {
        caller.wake = resolve;
        this.#waiting.add(resolve);
        setTimeout(resolve, leftMs);
      });
    }
  }

  async #write(
    object: StoreObject,
    kind: string,
    name: string | undefined,
    res: ServerResponse,
  ): Promise<void> {
    const known = this.#objects.get(kind)?.get(name ?? object.Metadata.Name);
    if (name === undefined && known !== undefined) send(res, 409, known);
    else if (name !== undefined && known === undefined) send(res, 404, {});
    else {
      this.put(kind, name ?? object.Metadata.Name, object.Spec);
      send(res, name === undefined ? 201 : 200, {});
    }
  }
}
