/** Requests of an entry VM to the store; the tests provide the responses. */
import { expect } from 'chai';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { FleetView } from '../../coordination/index.js';
import type { FactKind } from '../../coordination/index.js';
import type { FactBatch, FactStore, ListOptions, StoreFailure } from '../../protocol/index.js';
import { pause, systemClock } from '../clocks.js';
import { FactWatcher } from '../factwatches.js';
import { NodeMetrics } from '../nodemetrics.js';
import { waitUntil } from './fleets.js';

type StoreResult = Result<FactBatch, StoreFailure>;

interface PendingCall {
  readonly name: string;
  readonly respond: (result: StoreResult) => void;
}

const EMPTY_BATCH: StoreResult = Ok({ facts: [], revision: 1, changes: [] });

/** Failures after which the backoff always exceeds `MAX_CALL_DELAY_MS`. */
const FAILURE_COUNT = 4;

/** Time limit for a request that is sent without backoff. */
const MAX_CALL_DELAY_MS = 300;

/** Timeout of requests to the store; the same as in platform/. */
const CALL_TIMEOUT_MS = 1_500;

/** Time limit for a confirmed change to take effect. */
const MAX_PROPAGATION_MS = 2_500;

/** A store whose requests wait until the test responds. */
class ScriptedStore implements FactStore {
  readonly calls: PendingCall[] = [];

  list(kind: FactKind, { signal }: ListOptions = {}): Promise<StoreResult> {
    return this.#addCall(`list ${kind}`, signal);
  }

  watch(
    kind: FactKind,
    _since: number,
    _holdMs: number,
    signal: AbortSignal,
  ): Promise<StoreResult> {
    return this.#addCall(`watch ${kind}`, signal);
  }

  /** Hangs by default, so that it does not find the store available before other requests do. */
  revision: FactStore['revision'] = () => new Promise(() => {});

  async peers(): ReturnType<FactStore['peers']> {
    return Ok([]);
  }

  async announce(): ReturnType<FactStore['announce']> {
    return Ok('created');
  }

  async crashes(): ReturnType<FactStore['crashes']> {
    return Ok({ crashes: [], unreadable: [] });
  }

  async saveCrashes(): ReturnType<FactStore['saveCrashes']> {
    return Ok('created');
  }

  async removeCrashes(): ReturnType<FactStore['removeCrashes']> {
    return Ok(undefined);
  }

  count(name: string): number {
    return this.calls.filter((call) => call.name === name).length;
  }

  /** Waits for a number of calls with a name, then responds to the latest. */
  async respond(name: string, minimumCalls: number, result: StoreResult): Promise<void> {
    await waitUntil(
      `${name} is called ${minimumCalls} times`,
      () => this.count(name) >= minimumCalls,
    );
    this.calls.findLast((call) => call.name === name)?.respond(result);
  }

  #addCall(name: string, signal: AbortSignal | undefined): Promise<StoreResult> {
    return new Promise((resolve) => {
      this.calls.push({ name, respond: resolve });
      signal?.addEventListener('abort', () => resolve(Err('unreachable')));
    });
  }
}

function startWatch(store: FactStore): FactWatcher {
  const watch = new FactWatcher({
    store,
    view: new FleetView(),
    clock: systemClock,
    log: () => undefined,
    metrics: new NodeMetrics(
      () => 0,
      () => 0,
    ),
    onServerGone: () => undefined,
    onChange: () => undefined,
  });
  watch.start();
  watch.assign(true);
  return watch;
}

// Guards against plans that arrive late after an unresponsive store recovers: after a request that hung
// until then, the next one followed only after a full polling interval.
it('the store is polled again in time after a revision request hangs', async () => {
  const store = new ScriptedStore();
  const requestTimesMs: number[] = [];
  store.revision = async () => {
    requestTimesMs.push(performance.now());
    await pause(CALL_TIMEOUT_MS);
    return Err('silent');
  };
  const watch = startWatch(store);
  await waitUntil('the store is polled again', () => requestTimesMs.length > 1);
  watch.stop();
  const [first = 0, second = Infinity] = requestTimesMs;
  expect(second - first).to.be.below(MAX_PROPAGATION_MS);
});

// Guards against plans that arrive late because one kind of fact still waits for its backoff or a hanging
// request after a request for another kind has shown that the outage is over.
it('all kinds of facts are requested at once when one response shows that the store has recovered', async () => {
  const store = new ScriptedStore();
  const watch = startWatch(store);
  await store.respond('list plan', 1, EMPTY_BATCH);
  await store.respond('list servers', 1, EMPTY_BATCH);
  await store.respond('list evacuations', 1, Err('silent'));
  await store.respond('watch servers', 1, Err('silent'));
  for (let failure = 1; failure <= FAILURE_COUNT; failure += 1) {
    await store.respond('watch plan', failure, Err('silent'));
  }
  await waitUntil('a list request hangs', () => store.count('list evacuations') === 2);
  await store.respond('watch servers', 2, EMPTY_BATCH);
  await waitUntil(
    'the plan is requested',
    () => store.count('watch plan') > FAILURE_COUNT,
    MAX_CALL_DELAY_MS,
  );
  await waitUntil(
    'evacuations are requested',
    () => store.count('list evacuations') > 2,
    MAX_CALL_DELAY_MS,
  );
  expect(store.count('watch servers')).to.equal(3);
  watch.stop();
});
