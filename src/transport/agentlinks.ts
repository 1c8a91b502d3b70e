/** An entry's connection to the agent on its VM. */
import type { AgentUpdate, EntryReport } from '../protocol/index.js';
import type { Endpoint, EntryVmId, ReplicaItem } from '../state/index.js';
import { pause } from './clocks.js';
import type { Logger } from './logs.js';
import { AgentClient } from './agentrpcs.js';

/** Delay before reconnecting to a lost agent, in milliseconds. */
const RETRY_DELAY_MS = 500;

export class AgentLink {
  readonly #client: AgentClient;

  readonly #entryVm: EntryVmId;

  readonly #log: Logger;

  /** Items that are not reported yet. */
  #unreportedItems: readonly ReplicaItem[] = [];

  constructor(address: Endpoint, entryVm: EntryVmId, log: Logger) {
    this.#client = new AgentClient(address);
    this.#entryVm = entryVm;
    this.#log = log;
  }

  /** Receives updates until the signal is aborted; reconnects whenever the agent is lost. */
  async subscribe(onUpdate: (update: AgentUpdate) => void, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const failure = await this.#client.subscribe({ entryVm: this.#entryVm }, onUpdate, signal);
      if (signal.aborted) return;
      this.#log('agentLost', { reason: failure.message });
      await pause(RETRY_DELAY_MS, signal);
    }
  }

  /** Adds items to the next report. */
  queueItems(items: readonly ReplicaItem[]): void {
    this.#unreportedItems = [...this.#unreportedItems, ...items];
  }

  /** Sends a report. If it fails, its items are queued for the next one. */
  async report(report: Omit<EntryReport, 'items'>): Promise<void> {
    const items = this.#unreportedItems;
    this.#unreportedItems = [];
    const reported = await this.#client.report({ ...report, items: [...items] });
    if (reported.isErr()) this.#unreportedItems = [...items, ...this.#unreportedItems];
  }
}
