/** The backend servers of one dispatcher. */
import type { BackendServerId } from '../state/index.js';
import { ServerSlots } from './slots.js';
import type { ClaimedServer } from './works.js';

/** Servers claimed, and servers given back on which work still runs. */
export class ServerSet {
  readonly #servers = new Map<BackendServerId, ServerSlots>();

  get size(): number {
    return this.#servers.size;
  }

  /** Slots open now. */
  open(nowMs: number): number {
    return [...this.#servers.values()].reduce((sum, server) => sum + server.open(nowMs), 0);
  }

  /** Servers with work under way. */
  busy(): readonly BackendServerId[] {
    return [...this.#servers.values()].filter((each) => each.runs > 0).map((each) => each.id);
  }

  /** Takes new claims. A server without one is kept until its work has ended. */
  configure(claimed: readonly ClaimedServer[], rampMs: number, nowMs: number): void {
    const ids = new Set(claimed.map((each) => each.settings.id));
    this.#servers.forEach((server) => {
      if (ids.has(server.id)) return;
      server.update(server.settings, 'released', rampMs, nowMs);
      this.dropIfDone(server);
    });
    claimed.forEach(({ settings, phase }) => {
      const server = this.#servers.get(settings.id) ?? new ServerSlots(settings, rampMs, nowMs);
      this.#servers.set(settings.id, server);
      server.update(settings, phase, rampMs, nowMs);
    });
  }

  /** Forgets a server that was given back and has no work any more. */
  dropIfDone(server: ServerSlots): void {
    if (server.phase === 'released' && server.runs === 0) this.#servers.delete(server.id);
  }

  /** The server where one more run should end first, or undefined when no slot is free. */
  best(nowMs: number, except?: ServerSlots): ServerSlots | undefined {
    let best: ServerSlots | undefined;
    let bestCost = Infinity;
    this.#servers.forEach((server) => {
      if (server === except || server.free(nowMs) === 0) return;
      const cost = ((server.used(nowMs) + 1) / server.open(nowMs)) * server.slowness;
      if (cost >= bestCost) return;
      best = server;
      bestCost = cost;
    });
    return best;
  }

  /** A server on which nothing runs. */
  empty(nowMs: number): ServerSlots | undefined {
    return [...this.#servers.values()].find(
      (each) => each.free(nowMs) > 0 && each.used(nowMs) === 0,
    );
  }
}
