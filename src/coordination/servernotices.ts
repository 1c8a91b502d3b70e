/**
 * What backend servers announce about themselves in responses: that they leave, and for how long they
 * want no requests. A notice holds for one process of a server, not for its address or a later process
 * with the same id, and it outlives the server's entry in the store.
 */
import type { BackendServerId, BackendServerRecord } from '../state/index.js';

/** The process of a backend server that leaves, as entry VMs exchange it. */
export interface LeavingServer {
  readonly id: BackendServerId;
  readonly bornMs: number;
}

/** Maximum number of leaving servers in one heartbeat. */
export const MAX_LEAVING_SERVERS = 24;

/** Rounds of heartbeats that carry a new notice, so that one lost datagram doesn't lose it. */
const ROUNDS_PER_NOTICE = 3;

/** Time after which notices of servers that are no longer in use are dropped. */
const LEAVING_TTL_MS = 1_800_000;
const HOLD_OFF_TTL_MS = 60_000;

interface LeavingNotice {
  readonly bornMs: number;
  readonly atMs: number;
  roundsLeft: number;
}

interface HoldOff {
  readonly bornMs: number;
  readonly untilMs: number;
}

export class ServerNotices {
  readonly #leaving = new Map<BackendServerId, LeavingNotice>();

  readonly #holdOffs = new Map<BackendServerId, HoldOff>();

  /** Records that a server announced to this entry VM that it leaves. @returns whether this is new. */
  recordLeaving(server: LeavingServer, nowMs: number): boolean {
    return this.#addLeaving(server, ROUNDS_PER_NOTICE, nowMs);
  }

  /** Merges notices that other entry VMs received. @returns those that are new. */
  mergeLeaving(servers: readonly LeavingServer[], nowMs: number): readonly LeavingServer[] {
    return servers.filter((server) => this.#addLeaving(server, 0, nowMs));
  }

  /** Whether this process of the server leaves. It gets no more requests, even if it stays listed. */
  isLeaving({ id, bornMs }: LeavingServer): boolean {
    return this.#leaving.get(id)?.bornMs === bornMs;
  }

  /** Returns the leaving servers for one round of heartbeats. */
  flushLeaving(): readonly LeavingServer[] {
    const due = [...this.#leaving].filter(([, notice]) => notice.roundsLeft > 0);
    return due.slice(0, MAX_LEAVING_SERVERS).map(([id, leaving]) => {
      const notice = leaving;
      notice.roundsLeft -= 1;
      return { id, bornMs: notice.bornMs };
    });
  }

  /** Records that a server wants no requests from this entry VM for some time. */
  recordHoldOff({ id, bornMs }: BackendServerRecord, durationMs: number, nowMs: number): void {
    if (durationMs <= 0) return;
    const known = this.#holdOffs.get(id);
    const knownUntilMs = known?.bornMs === bornMs ? known.untilMs : 0;
    this.#holdOffs.set(id, { bornMs, untilMs: Math.max(knownUntilMs, nowMs + durationMs) });
  }

  /** Time for which the server still wants no requests, in milliseconds; 0 for none. */
  holdOffMs({ id, bornMs }: BackendServerRecord, nowMs: number): number {
    const holdOff = this.#holdOffs.get(id);
    return holdOff?.bornMs === bornMs ? Math.max(0, holdOff.untilMs - nowMs) : 0;
  }

  /**
   * Whether the server gets one request at a time, since its hold-off has ended and it has served none
   * after it. Otherwise all requests that waited for it would reach it at once.
   */
  isOnProbation({ id, bornMs }: BackendServerRecord, nowMs: number): boolean {
    const holdOff = this.#holdOffs.get(id);
    return holdOff?.bornMs === bornMs && holdOff.untilMs <= nowMs;
  }

  /** Records that the server has served a request, which ends its probation. */
  recordServed(record: BackendServerRecord, nowMs: number): void {
    if (this.isOnProbation(record, nowMs)) this.#holdOffs.delete(record.id);
  }

  /** Drops notices of servers that are no longer in use. */
  tick(nowMs: number): void {
    this.#leaving.forEach(({ atMs }, id) => {
      if (nowMs - atMs > LEAVING_TTL_MS) this.#leaving.delete(id);
    });
    this.#holdOffs.forEach(({ untilMs }, id) => {
      if (nowMs - untilMs > HOLD_OFF_TTL_MS) this.#holdOffs.delete(id);
    });
  }

  #addLeaving({ id, bornMs }: LeavingServer, roundsLeft: number, nowMs: number): boolean {
    const known = this.#leaving.get(id);
    if (known !== undefined && known.bornMs >= bornMs) return false;
    this.#leaving.set(id, { bornMs, atMs: nowMs, roundsLeft });
    return true;
  }
}
