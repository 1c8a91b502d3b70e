/** Buffers backend servers' load reports to gossip them within the failure domain. */
import type { BackendServerId } from '../state/index.js';

/** Load of a backend server as reported to one entry VM. */
export interface LoadSighting {
  readonly server: BackendServerId;
  /** Requests running or queued at the server, from all entry VMs. */
  readonly work: number;
  /** Time since the report, in milliseconds. */
  readonly ageMs: number;
}

/** Maximum number of sightings in one heartbeat, which keeps the datagram at about 1 KB. */
export const MAX_SIGHTINGS = 24;

export class SightingBuffer {
  /** Latest report of each server, oldest first. */
  readonly #latest = new Map<BackendServerId, { readonly work: number; readonly atMs: number }>();

  add(server: BackendServerId, work: number, nowMs: number): void {
    this.#latest.delete(server);
    this.#latest.set(server, { work, atMs: nowMs });
  }

  /** Returns and clears the buffered reports, newest first, up to `MAX_SIGHTINGS`. */
  flush(nowMs: number): readonly LoadSighting[] {
    const newest = [...this.#latest].reverse().slice(0, MAX_SIGHTINGS);
    this.#latest.clear();
    return newest.map(([server, { work, atMs: receivedMs }]) => ({
      server,
      work,
      ageMs: Math.max(0, Math.round(nowMs - receivedMs)),
    }));
  }
}
