/** Queue of read requests that wait for the processor. Orders them and sheds load in overload. */

interface QueuedRequest<Item> {
  readonly item: Item;
  readonly priority: number;
  readonly atMs: number;
  /** Whether other requests were dequeued while this one waited. */
  skipped: boolean;
}

/** A request taken from the queue. */
export interface DequeuedRequest<Item> {
  readonly item: Item;
  /** Time in the queue, in milliseconds. */
  readonly waitedMs: number;
  /** Whether it is shed because it waited too long: others would miss their objective as well. */
  readonly late: boolean;
}

/** Maximum wait of the most urgent requests; that of others is divided by 1 + priority. */
const MAX_WAIT_MS = 200;

/** Every n-th dequeue takes the oldest request, so that no priority starves. */
const OLDEST_FIRST_INTERVAL = 5;

/** Weight of the latest batch in the moving average of the time per request. */
const EWMA_WEIGHT = 0.2;

/** Number of batches whose median enters the average: a single stall of the process is not overload. */
const MEDIAN_BATCHES = 3;

export class AdmissionQueue<Item> {
  #queue: QueuedRequest<Item>[] = [];

  #dequeueCount = 0;

  /** Moving average of the time to start one request while others wait, in milliseconds. */
  #msPerRequest = 0;

  /** Time per request of the latest batches, the newest last. */
  #recentMsPerRequest: readonly number[] = [];

  get size(): number {
    return this.#queue.length;
  }

  /**
   * Whether a request would be dequeued in time. Rejecting it before it waits is cheapest, and does
   * not delay the requests in the queue for one that would be shed later.
   *
   * @param priority - 0 is the most urgent.
   * @param entering - requests of any priority that are about to be queued.
   */
  admits(priority: number, entering = 0): boolean {
    const queuedBefore =
      this.#queue.filter((request) => request.priority <= priority).length + entering;
    return queuedBefore * this.#msPerRequest <= maxWaitMs(priority);
  }

  add(item: Item, priority: number, nowMs: number): void {
    this.#queue.push({ item, priority, atMs: nowMs, skipped: false });
  }

  /** Removes and returns the next request; undefined when the queue is empty. */
  dequeue(nowMs: number): DequeuedRequest<Item> | undefined {
    const expiredIndex = this.#queue.findIndex(
      (request) => request.skipped && nowMs - request.atMs > maxWaitMs(request.priority),
    );
    const [removed] = this.#queue.splice(expiredIndex >= 0 ? expiredIndex : this.#nextIndex(), 1);
    if (removed === undefined) return undefined;
    return { item: removed.item, waitedMs: nowMs - removed.atMs, late: expiredIndex >= 0 };
  }

  /**
   * Marks the queued requests as skipped after a batch and updates the time per request.
   *
   * @param started - requests that were started.
   * @param elapsedMs - time since the last batch, or since the first request was queued.
   */
  recordBatch(started: number, elapsedMs: number): void {
    this.#queue.forEach((request) => {
      request.skipped = true;
    });
    if (started === 0) return;
    this.#recentMsPerRequest = [...this.#recentMsPerRequest, elapsedMs / started].slice(
      -MEDIAN_BATCHES,
    );
    const median = lowerMedian(this.#recentMsPerRequest);
    this.#msPerRequest += EWMA_WEIGHT * (median - this.#msPerRequest);
  }

  /** Index of the oldest request of the most urgent priority; at intervals of the oldest of all. */
  #nextIndex(): number {
    this.#dequeueCount += 1;
    if (this.#dequeueCount % OLDEST_FIRST_INTERVAL === 0) return 0;
    const mostUrgent = this.#queue.reduce(
      (min, request) => Math.min(min, request.priority),
      Infinity,
    );
    return this.#queue.findIndex((request) => request.priority === mostUrgent);
  }
}

/** The middle value, the lower of two. */
function lowerMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

function maxWaitMs(priority: number): number {
  return MAX_WAIT_MS / (1 + priority);
}
