/** Simulated backend servers. */
import { BackendServerId } from '../../state/index.js';
import type { FailureDomainId, Rank } from '../../state/index.js';
import type { EntryEffect, EntryEvent, RunId, Ticket } from '../index.js';
import type { EventQueue } from './eventqueues.js';
import { LATENCY_MS } from './simulationparts.js';
import type { ServerRun, Server, Outcome, Vm } from './simulationparts.js';

export interface SimulatedServersOptions {
  readonly queue: EventQueue;
  /** Run time by rank, in milliseconds. */
  readonly runMs: Readonly<Record<Rank, number>> | undefined;
  /** Delivers an event to an entry VM. */
  readonly deliverEvent: (vm: Vm, event: EntryEvent) => void;
  /** Passes the outcome of a request to the party that waits for it. */
  readonly complete: (vm: Vm, ticket: Ticket, outcome: Outcome) => void;
}

export class SimulatedServers {
  readonly servers: Server[] = [];

  readonly #options: SimulatedServersOptions;

  constructor(options: SimulatedServersOptions) {
    this.#options = options;
  }

  /** Adds a server. Returns its entry for the service's settings. */
  add(domain: FailureDomainId, index: number, slots: number): unknown {
    const id = BackendServerId.parse(`server-${domain}-${index}`);
    this.servers.push({
      id,
      domain,
      slots,
      running: new Set(),
      peakInFlight: 0,
      refused: 0,
      crashes: 0,
      down: false,
      dropsResponses: false,
      lastRunStartMs: -Infinity,
      runTimeFactor: 1,
    });
    return { id, failureDomain: domain, address: '10.0.0.1:80', slots };
  }

  /** Ends all runs of an entry VM. */
  endRunsOf(vm: Vm): void {
    this.servers.forEach((server) =>
      server.running.forEach((run) => {
        if (run.vm === vm) this.#endRun(server, run);
      }),
    );
  }

  /** Runs a request on a server, or refuses it if all slots are occupied. */
  run(vm: Vm, effect: Extract<EntryEffect, { type: 'run' }>): void {
    const { runId, ticket } = effect;
    const server = this.servers.find((candidate) => candidate.id === effect.server);
    const record = vm.calls.get(ticket);
    if (server === undefined || record === undefined) throw new Error('unknown server or ticket');
    const run: ServerRun = { vm, runId, ticket, responseStarted: false, ended: false };
    const finish = (result: Extract<EntryEvent, { type: 'runFinished' }>['result']): void => {
      this.#options.deliverEvent(vm, { type: 'runFinished', runId, ticket, result });
    };
    if (server.down) {
      this.#options.queue.schedule(LATENCY_MS, () => finish({ type: 'unreachable' }));
      return;
    }
    server.peakInFlight = Math.max(server.peakInFlight, server.running.size + 1);
    if (server.running.size >= server.slots) {
      server.refused += 1;
      this.#options.queue.schedule(2 * LATENCY_MS, () =>
        finish({ type: 'refused', retryAfterMs: 0 }),
      );
      return;
    }
    server.running.add(run);
    server.lastRunStartMs = this.#options.queue.nowMs;
    record.request.runs += 1;
    if (record.request.poison) {
      this.#options.queue.schedule(LATENCY_MS, () => this.crash(server));
      return;
    }
    const runMs = (this.#options.runMs ?? { urgent: 5, interactive: 5, bulk: 50 })[
      record.request.rank
    ];
    this.#options.queue.schedule(LATENCY_MS * 2 + runMs * server.runTimeFactor, () => {
      if (run.ended) return;
      if (server.dropsResponses) {
        this.#endRun(server, run);
        finish({ type: 'lost', crashed: false });
      } else {
        run.responseStarted = true;
        this.#options.deliverEvent(vm, { type: 'runBegun', runId });
      }
    });
  }

  /** Crashes a server: all its runs are lost. It is available again after 1 s. */
  crash(server: Server): void {
    const crashed = server;
    crashed.crashes += 1;
    crashed.down = true;
    [...server.running].forEach((run) => {
      this.#endRun(server, run);
      const { vm, runId, ticket } = run;
      const result = { type: 'lost', crashed: true } as const;
      this.#options.queue.schedule(LATENCY_MS, () =>
        this.#options.deliverEvent(vm, { type: 'runFinished', runId, ticket, result }),
      );
    });
    this.#options.queue.schedule(1_000, () => {
      crashed.down = false;
    });
  }

  #endRun(server: Server, run: ServerRun): void {
    const ended = run;
    ended.ended = true;
    server.running.delete(run);
  }

  #findRun(vm: Vm, runId: RunId): { readonly server: Server; readonly run: ServerRun } | undefined {
    for (const server of this.servers) {
      const run = [...server.running].find(
        (candidate) => candidate.vm === vm && candidate.runId === runId,
      );
      if (run !== undefined) return { server, run };
    }
    return undefined;
  }

  stopRun(vm: Vm, runId: RunId): void {
    const found = this.#findRun(vm, runId);
    if (found === undefined) return;
    const { server, run } = found;
    const { ticket } = run;
    this.#options.queue.schedule(LATENCY_MS, () => this.#endRun(server, run));
    this.#options.queue.schedule(0, () =>
      this.#options.deliverEvent(vm, {
        type: 'runFinished',
        runId,
        ticket,
        result: { type: 'stopped' },
      }),
    );
  }

  /** Relays the response of a run whose response has started. */
  relayResponse(vm: Vm, runId: RunId): void {
    const found = this.#findRun(vm, runId);
    if (found === undefined) return;
    const { server, run } = found;
    const { ticket } = run;
    this.#endRun(server, run);
    const response = { status: 200, headers: [], body: new Uint8Array(8) };
    this.#options.complete(vm, ticket, 'answered');
    this.#options.queue.schedule(0, () =>
      this.#options.deliverEvent(vm, {
        type: 'runFinished',
        runId,
        ticket,
        result: { type: 'answered' },
        answer: response,
      }),
    );
  }
}
