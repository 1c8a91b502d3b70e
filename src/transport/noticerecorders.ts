/** Records what backend servers announce about themselves in responses, with log lines and metrics. */
import type { KnownServer, LeavingServer, ServerNotices } from '../coordination/index.js';
import type { ServerFields } from '../protocol/index.js';
import type { EntryVmId } from '../state/index.js';
import type { Clock } from './clocks.js';
import type { Logger } from './logs.js';
import type { NodeMetrics } from './nodemetrics.js';

export interface NoticeRecorderOptions {
  readonly notices: ServerNotices;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: NodeMetrics;
}

export class NoticeRecorder {
  readonly #options: NoticeRecorderOptions;

  constructor(options: NoticeRecorderOptions) {
    this.#options = options;
  }

  /** Records the notices of a server's response to a request. */
  record(
    request: string | undefined,
    { record }: KnownServer,
    { leaving, holdOffMs }: ServerFields,
  ): void {
    const { notices, clock, log, metrics } = this.#options;
    const { nowMs } = clock();
    const { id: server, bornMs } = record;
    if (leaving && notices.recordLeaving(record, nowMs)) {
      metrics.countServerNotice('leaving');
      log('serverLeaving', { request, server, bornMs });
    }
    if (holdOffMs === undefined || holdOffMs <= 0) return;
    notices.recordHoldOff(record, holdOffMs, nowMs);
    metrics.countServerNotice('hold_off');
    log('serverHeldOff', { request, server, bornMs, holdOffMs: Math.round(holdOffMs) });
  }

  /** Merges the notices of another entry VM. */
  mergeLeaving(servers: readonly LeavingServer[], source: EntryVmId): void {
    const { notices, clock, log, metrics } = this.#options;
    notices.mergeLeaving(servers, clock().nowMs).forEach(({ id: server, bornMs }) => {
      metrics.countServerNotice('leaving');
      log('serverLeaving', { server, bornMs, source });
    });
  }
}
