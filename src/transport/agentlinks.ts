/** An entry's connection to the agent on its VM. */
import type { AgentUpdate, EntryReport } from '../protocol/index.js';
import type { Endpoint, EntryVmId, ReplicaItem } from '../state/index.js';
import { pause } from './clocks.js';
import type { Logger } from './logs.js';
import { AgentClient } from './peers.js';

/** Time after which a lost agent is called again, in milliseconds. */
const RETRY_MS = 500;

export class AgentLink {
  readonly #client: AgentClient;

  readonly #entryVm: EntryVmId;

  readonly #log: Logger;

  /** Items that were not reported yet. */
  #items: readonly ReplicaItem[] = [];

  constructor(address: Endpoint, entryVm: EntryVmId, log: Logger) {
    this.#client = new AgentClient(address);
    this.#entryVm = entryVm;
    this.#log = log;
  }

  /** Takes updates until the signal is aborted; calls a lost agent again and again. */
  async follow(take: (update: AgentUpdate) => void, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const failure = await this.#client.subscribe({ entryVm: this.#entryVm }, take, signal);
      if (signal.aborted) return;
      this.#log('agentLost', { reason: failure.message });
      await pause(RETRY_MS, signal);
    }
  }

  /** Adds items to the next report. */
  queue(items: readonly ReplicaItem[]): void {
    this.#items = [...this.#items, ...items];
  }

  /** Reports; items that did not get through are kept for the next time. */
  async report(report: Omit<EntryReport, 'items'>): Promise<void> {
    const items = this.#items;
    this.#items = [];
    const reported = await this.#client.report({ ...report, items: [...items] });
    if (reported.isErr()) this.#items = [...items, ...this.#items];
  }
}
