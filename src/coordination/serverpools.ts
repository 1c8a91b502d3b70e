/** The backend servers of one dispatcher. */
import type { BackendServerId } from '../state/index.js';
import { ServerSlots } from './slots.js';
import type { ClaimedServer } from './dispatchrequests.js';

/** Claimed servers, and released servers that are still draining. */
export class ServerPool {
  readonly #servers = new Map<BackendServerId, ServerSlots>();

  get size(): number {
    return this.#servers.size;
  }

  /** Slots that are currently open. */
  openSlots(nowMs: number): number {
    return [...this.#servers.values()].reduce((sum, server) => sum + server.openSlots(nowMs), 0);
  }

  /** Servers with runs in flight. */
  busyServers(): readonly BackendServerId[] {
    return [...this.#servers.values()]
      .filter((server) => server.runs > 0)
      .map((server) => server.id);
  }

  /** Applies new claims. A server that is no longer claimed stays until its runs have ended. */
  configure(claimedServers: readonly ClaimedServer[], rampMs: number, nowMs: number): void {
    const ids = new Set(claimedServers.map((server) => server.settings.id));
    this.#servers.forEach((server) => {
      if (ids.has(server.id)) return;
      server.update(server.settings, 'released', rampMs, nowMs);
      this.removeIfDrained(server);
    });
    claimedServers.forEach(({ settings, phase }) => {
      const server = this.#servers.get(settings.id) ?? new ServerSlots(settings, rampMs, nowMs);
      this.#servers.set(settings.id, server);
      server.update(settings, phase, rampMs, nowMs);
    });
  }

  /** Removes a released server without runs. */
  removeIfDrained(server: ServerSlots): void {
    if (server.phase === 'released' && server.runs === 0) this.#servers.delete(server.id);
  }

  /** The server where one more run should end first; undefined if no slot is free. */
  leastLoaded(nowMs: number, excluded?: ServerSlots): ServerSlots | undefined {
    let best: ServerSlots | undefined;
    let bestCost = Infinity;
    this.#servers.forEach((server) => {
      if (server === excluded || server.freeSlots(nowMs) === 0) return;
      const cost =
        ((server.usedSlots(nowMs) + 1) / server.openSlots(nowMs)) * server.relativeRunTime;
      if (cost >= bestCost) return;
      best = server;
      bestCost = cost;
    });
    return best;
  }

  /** A server with a free slot and no slot in use. */
  findIdle(nowMs: number): ServerSlots | undefined {
    return [...this.#servers.values()].find(
      (server) => server.freeSlots(nowMs) > 0 && server.usedSlots(nowMs) === 0,
    );
  }
}
