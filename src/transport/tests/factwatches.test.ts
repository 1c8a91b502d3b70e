/** An entry VM's calls to the store, each answered by the test. */
import { expect } from 'chai';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { FleetView } from '../../coordination/index.js';
import type { FactKind } from '../../coordination/index.js';
import type { FactBatch, FactStore, StoreFailure } from '../../protocol/index.js';
import { pause, systemClock } from '../clocks.js';
import { FactWatch } from '../factwatches.js';
import { NodeMetrics } from '../nodemetrics.js';
import { until } from './fleets.js';

type Answer = Result<FactBatch, StoreFailure>;

interface Call {
  readonly name: string;
  readonly answer: (answer: Answer) => void;
}

const EMPTY: Answer = Ok({ facts: [], revision: 1, changes: [] });

/** Failures after which the pause before the next call is longer than `AT_ONCE_MS` for certain. */
const FAILURES = 4;

/** Time in which a call is to follow that waits for nothing, in milliseconds. */
const AT_ONCE_MS = 300;

/** Time after which a call without an answer is given up, in milliseconds: as in platform/. */
const CALL_TIMEOUT_MS = 1_500;

/** Time in which a confirmed change is to be in force, in milliseconds. */
const IN_FORCE_MS = 2_500;

/** A store whose calls wait until the test answers them. */
class ScriptedStore implements FactStore {
  readonly calls: Call[] = [];

  list(kind: FactKind, signal?: AbortSignal): Promise<Answer> {
    return this.#called(`list ${kind}`, signal);
  }

  watch(kind: FactKind, _since: number, _holdMs: number, signal: AbortSignal): Promise<Answer> {
    return this.#called(`watch ${kind}`, signal);
  }

  /** Hangs by default: it shall not find the store again before others do. */
  revision: FactStore['revision'] = () => new Promise(() => {});

  async peers(): ReturnType<FactStore['peers']> {
    return Ok([]);
  }

  async announce(): ReturnType<FactStore['announce']> {
    return Ok(undefined);
  }

  count(name: string): number {
    return this.calls.filter((call) => call.name === name).length;
  }

  /** Answers the latest call of a name, once there are so many of them. */
  async answer(name: string, count: number, answer: Answer): Promise<void> {
    await until(`${name}, ${count} times`, () => this.count(name) >= count);
    this.calls.findLast((call) => call.name === name)?.answer(answer);
  }

  #called(name: string, signal: AbortSignal | undefined): Promise<Answer> {
    return new Promise((resolve) => {
      this.calls.push({ name, answer: resolve });
      signal?.addEventListener('abort', () => resolve(Err('unreachable')));
    });
  }
}

function watchOf(store: FactStore): FactWatch {
  const watch = new FactWatch({
    store,
    view: new FleetView(),
    clock: systemClock,
    log: () => undefined,
    metrics: new NodeMetrics(
      () => 0,
      () => 0,
    ),
    onGone: () => undefined,
    onChange: () => undefined,
  });
  watch.start();
  watch.assign(true);
  return watch;
}

// Guards against plans that are late after a silent store's return: a question that hung until then was
// followed by the next one only after a whole interval.
it('after a question that hung, the store is asked again in time', async () => {
  const store = new ScriptedStore();
  const askedMs: number[] = [];
  store.revision = async () => {
    askedMs.push(performance.now());
    await pause(CALL_TIMEOUT_MS);
    return Err('silent');
  };
  const watch = watchOf(store);
  await until('it was asked again', () => askedMs.length > 1);
  watch.stop();
  const [first = 0, second = Infinity] = askedMs;
  expect(second - first).to.be.below(IN_FORCE_MS);
});

// Guards against plans that are late since the pause, or the hanging call, of one kind outlasts the
// outage that another kind's call has found to be over.
it('once the store answers a call, all kinds are asked for at once', async () => {
  const store = new ScriptedStore();
  const watch = watchOf(store);
  await store.answer('list plan', 1, EMPTY);
  await store.answer('list servers', 1, EMPTY);
  await store.answer('list evacuations', 1, Err('silent'));
  await store.answer('watch servers', 1, Err('silent'));
  for (let failure = 1; failure <= FAILURES; failure += 1) {
    await store.answer('watch plan', failure, Err('silent'));
  }
  await until('a list hangs', () => store.count('list evacuations') === 2);
  await store.answer('watch servers', 2, EMPTY);
  await until('the plan is asked for', () => store.count('watch plan') > FAILURES, AT_ONCE_MS);
  await until('evacuations as well', () => store.count('list evacuations') > 2, AT_ONCE_MS);
  expect(store.count('watch servers')).to.equal(3);
  watch.stop();
});
