/** Stand-in backend servers that crash when they run certain requests, and restart under a new id. */
import type { FactStoreStandIn } from './factstores.js';
import { entryOf } from './platformobjects.js';
import { PlatformServerStandIn } from './platformservers.js';
import type { PlatformRun } from './platformservers.js';

/** Time from a crash to the restart, in milliseconds. */
const RESTART_MS = 1_500;

export class CrashingServers {
  /** Times of the crashes, monotonic, in milliseconds. */
  readonly crashedAtMs: number[] = [];

  /** All servers, including those that have crashed. */
  readonly servers: PlatformServerStandIn[] = [];

  readonly #store: FactStoreStandIn;

  /** Whether a request crashes the server that runs it. */
  crashesOn: (run: PlatformRun) => boolean;

  readonly #timers = new Set<NodeJS.Timeout>();

  constructor(store: FactStoreStandIn, crashesOn: (run: PlatformRun) => boolean) {
    this.#store = store;
    this.crashesOn = crashesOn;
  }

  /** Starts one more server and lists it in the store. */
  async add(): Promise<void> {
    const server = new PlatformServerStandIn();
    const id = `s${this.servers.length}`;
    this.servers.push(server);
    server.crashesOn = (run) => this.crashesOn(run);
    server.onCrash = () => {
      this.crashedAtMs.push(performance.now());
      const timer = setTimeout(() => {
        this.#timers.delete(timer);
        this.#store.remove('servers', id);
        this.add();
      }, RESTART_MS);
      this.#timers.add(timer);
    };
    this.#store.put('servers', id, entryOf(await server.start()));
  }

  stop(): void {
    this.#timers.forEach((timer) => clearTimeout(timer));
    this.servers.forEach((server) => server.stop());
  }
}
