/**
 * A stand-in for the store of the users' platform: objects by kind and name, one revision counter,
 * paged lists, watches and history compaction. Tests enable its faults through `faults`; no fault is random.
 */
import http from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { ENDLESS_RESPONSE_HEAD, FILLER, writeEndlessly } from './endlessresponses.js';

/** An object as the store returns it. */
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
  /** Responds to every request with this status. */
  refuse: number | undefined;
  /** Responds to requests for this kind with 503. */
  refusedKind: string | undefined;
  /** Accepts requests and never responds. */
  silent: boolean;
  /** Sends response bytes until the peer closes. */
  endlessResponse: boolean;
  /** Watches report no changes, although their final revision is current; lists stay correct. */
  deaf: boolean;
}

const OBJECTS_PATH_PREFIX = '/lovagesail/objects/';

function sendJson(res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(body));
}

async function readObject(req: IncomingMessage): Promise<StoreObject> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return JSON.parse(Buffer.concat(chunks).toString()) as StoreObject;
}

export class FactStoreStandIn {
  readonly faults: StoreFaults = {
    refuse: undefined,
    refusedKind: undefined,
    silent: false,
    endlessResponse: false,
    deaf: false,
  };

  /** Requests in order, each as method and kind. */
  readonly requests: string[] = [];

  readonly #objects = new Map<string, Map<string, StoreObject>>();

  readonly #pendingWatches = new Set<() => void>();

  #changes: Change[] = [];

  #revision = 1;

  /** Kinds of the lists that accepted stale objects, in order. */
  readonly staleReads: string[] = [];

  /** The objects and the revision that lists which accept stale objects return. */
  #staleState: { objects: Map<string, readonly StoreObject[]>; revision: number } | undefined;

  /** JSON texts that are sent in place of objects, by the objects' names. */
  readonly rawTexts = new Map<string, string>();

  /** Maximum number of objects on a page of a list. */
  pageSize = 50;

  readonly #server: Server = http.createServer((req, res) => {
    this.#serve(req, res);
  });

  /** Starts listening. @returns the address. */
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

  /** Number of watches that wait for a change. */
  get watching(): number {
    return this.#pendingWatches.size;
  }

  /** Creates or replaces an object, as its owner does. */
  put(kind: string, name: string, spec: unknown): void {
    this.#revision += 1;
    const object = { Metadata: { Name: name, Revision: this.#revision }, Spec: spec };
    const objects = this.#objects.get(kind) ?? new Map<string, StoreObject>();
    this.#objects.set(kind, objects.set(name, object));
    this.#recordChange({ kind, object, deleted: false });
  }

  remove(kind: string, name: string): void {
    const object = this.#objects.get(kind)?.get(name);
    if (object === undefined) return;
    this.#revision += 1;
    this.#objects.get(kind)?.delete(name);
    const Metadata = { Name: name, Revision: this.#revision };
    this.#recordChange({ kind, object: { ...object, Metadata }, deleted: true });
  }

  /** Lets lists that accept stale objects return the present ones from now on. */
  freezeStaleReads(): void {
    const kinds = [...this.#objects.keys()];
    const objects = new Map(kinds.map((kind) => [kind, this.objects(kind)]));
    this.#staleState = { objects, revision: this.#revision };
  }

  /** Drops the history of changes. Watches that start at an older revision receive 410. */
  dropHistory(): void {
    this.#changes = [];
    this.#wakeWatches();
  }

  objects(kind: string): readonly StoreObject[] {
    return [...(this.#objects.get(kind) ?? new Map<string, StoreObject>()).values()].sort((a, b) =>
      a.Metadata.Name < b.Metadata.Name ? -1 : 1,
    );
  }

  #recordChange(change: Change): void {
    this.#changes.push(change);
    this.#wakeWatches();
  }

  #wakeWatches(): void {
    const wakers = [...this.#pendingWatches];
    this.#pendingWatches.clear();
    wakers.forEach((wake) => wake());
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://store');
    const [kind = '', name] = url.pathname.slice(OBJECTS_PATH_PREFIX.length).split('/');
    this.requests.push(`${req.method} ${kind}`);
    if (this.faults.silent) return;
    if (this.faults.endlessResponse) {
      req.socket.write(ENDLESS_RESPONSE_HEAD);
      writeEndlessly(req.socket, FILLER);
    } else if (this.faults.refuse !== undefined) sendJson(res, this.faults.refuse, {});
    else if (kind === this.faults.refusedKind) sendJson(res, 503, {});
    else if (req.method === 'GET') await this.#read(url, kind, res);
    else if (req.method === 'DELETE') this.#delete(kind, name ?? '', res);
    else await this.#write(await readObject(req), kind, name, res);
  }

  async #read({ searchParams }: URL, kind: string, res: ServerResponse): Promise<void> {
    const since = searchParams.get('Watch');
    if (since !== null) {
      await this.#watch(kind, Number(since), Number(searchParams.get('WaitMs')), res);
      return;
    }
    const after = searchParams.get('after') ?? '';
    const isStale = searchParams.has('Serializable');
    if (isStale) this.staleReads.push(kind);
    const state = isStale ? this.#staleState : undefined;
    const objects = state?.objects.get(kind) ?? (state === undefined ? this.objects(kind) : []);
    const remaining = objects.filter((object) => object.Metadata.Name > after);
    const items = remaining.slice(0, this.pageSize);
    this.#sendObjects(res, {
      items,
      More: remaining.length > items.length,
      CurrentRev: state?.revision ?? this.#revision,
    });
  }

  /** Sends a list or events, with raw texts in place of some objects. */
  #sendObjects(res: ServerResponse, body: unknown): void {
    const objects = new Map<string, string>();
    const text = JSON.stringify(body, (_key, value: unknown) => {
      const name = (value as Partial<StoreObject> | null)?.Metadata?.Name;
      const rawText = name === undefined ? undefined : this.rawTexts.get(name);
      if (rawText === undefined) return value;
      const placeholder = `raw:${name}`;
      objects.set(JSON.stringify(placeholder), rawText);
      return placeholder;
    });
    res.writeHead(200, { 'content-type': 'application/json' });
    res.end([...objects].reduce((sum, [placeholder, raw]) => sum.replace(placeholder, raw), text));
  }

  async #watch(kind: string, since: number, waitMs: number, res: ServerResponse): Promise<void> {
    const deadlineMs = performance.now() + waitMs;
    const pending: { wake?: () => void } = {};
    res.once('close', () => {
      if (pending.wake !== undefined) this.#pendingWatches.delete(pending.wake);
    });
    for (;;) {
      const oldestRevision = this.#changes[0]?.object.Metadata.Revision ?? this.#revision + 1;
      if (since < oldestRevision - 1) {
        sendJson(res, 410, {});
        return;
      }
      const changes = this.#changes.filter(
        (change) => change.kind === kind && change.object.Metadata.Revision > since,
      );
      const remainingMs = deadlineMs - performance.now();
      const visibleChanges = this.faults.deaf ? [] : changes;
      if (visibleChanges.length > 0 || remainingMs <= 0) {
        const events = visibleChanges.map(({ object, deleted }) => ({
          Object: object,
          Deleted: deleted,
        }));
        this.#sendObjects(res, { events, CurrentRev: this.#revision });
        return;
      }
      await new Promise<void>((resolve) => {
        pending.wake = resolve;
        this.#pendingWatches.add(resolve);
        setTimeout(resolve, remainingMs);
      });
    }
  }

  #delete(kind: string, name: string, res: ServerResponse): void {
    const existing = this.#objects.get(kind)?.get(name);
    this.remove(kind, name);
    sendJson(res, existing === undefined ? 404 : 200, existing ?? {});
  }

  async #write(
    object: StoreObject,
    kind: string,
    name: string | undefined,
    res: ServerResponse,
  ): Promise<void> {
    const existing = this.#objects.get(kind)?.get(name ?? object.Metadata.Name);
    if (name === undefined && existing !== undefined) sendJson(res, 409, existing);
    else if (name !== undefined && existing === undefined) sendJson(res, 404, {});
    else {
      this.put(kind, name ?? object.Metadata.Name, object.Spec);
      sendJson(res, name === undefined ? 201 : 200, {});
    }
  }
}
