/**
 * Stateful fuzzing of facts as they reach entry VMs: by watches, by lists after forgotten history, and
 * handed over by others. The oracle is the store's own content at each revision.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { FleetView } from '../../coordination/index.js';
import { planOf, serverOf } from '../../coordination/tests/plans.js';
import type { BackendServerId, BackendServerRecord, FailureDomainId } from '../../state/index.js';
import { SnapshotMessage } from '../index.js';

const VMS = 4;
const SERVERS = 5;
const DOMAINS = ['a1', 'a2'] as FailureDomainId[];

/** Longer than removed servers are remembered, in milliseconds. */
const LONG_MS = 150_000;

interface Change {
  readonly revision: number;
  readonly id: BackendServerId;
  /** Undefined when it was removed. */
  readonly record: BackendServerRecord | undefined;
}

/** The store: what it holds, and which changes it still tells watches of. */
class Store {
  revision = 1;

  history: Change[] = [];

  forgottenTo = 0;

  /** The last change of each server. */
  readonly last = new Map<BackendServerId, Change>();

  readonly evacuated = new Set<FailureDomainId>();

  evacuationsAt = 1;

  /** Version of the plan, and when it was written. */
  plan = { version: 1, revision: 1 };

  #sequence = 0;

  put(id: BackendServerId, draining: boolean, bornMs: number): void {
    this.#sequence += 1;
    const record = serverOf(id, 'a1', { draining, bornMs, sequence: this.#sequence });
    this.#change(id, record);
  }

  remove(id: BackendServerId): void {
    if (this.last.get(id)?.record !== undefined) this.#change(id, undefined);
  }

  evacuate(domain: FailureDomainId): void {
    this.revision += 1;
    if (!this.evacuated.delete(domain)) this.evacuated.add(domain);
    this.evacuationsAt = this.revision;
  }

  change(): void {
    this.revision += 1;
    this.plan = { version: this.plan.version + 3, revision: this.revision };
  }

  records(): readonly BackendServerRecord[] {
    return [...this.last.values()].flatMap((change) => change.record ?? []);
  }

  #change(id: BackendServerId, record: BackendServerRecord | undefined): void {
    this.revision += 1;
    const change = { revision: this.revision, id, record };
    this.history.push(change);
    this.last.set(id, change);
  }
}

/** An entry VM's view, and how far its watch of servers has come. */
class Vm {
  view = new FleetView();

  /** The highest version of a plan that was in force since its start. */
  version = 0;

  #known = 0;

  #answer: Store['plan'] | undefined;

  /** The revision up to which it was told everything about servers. */
  get covered(): number {
    return Math.max(this.#known, this.view.revisions.servers);
  }

  list(store: Store, nowMs: number): void {
    const { view } = this;
    view.replaceServers(store.records(), nowMs, nowMs);
    view.advance('servers', store.revision);
    view.replaceEvacuations([...store.evacuated], nowMs);
    view.advance('evacuations', store.revision);
    this.#takePlan(store);
    this.#known = store.revision;
  }

  #takePlan({ plan, revision }: Store): void {
    this.view.setPlan(planOf(plan.version));
    this.view.advance('plan', revision);
  }

  watch(store: Store, nowMs: number): void {
    const since = this.covered;
    if (since < store.forgottenTo) {
      this.list(store, nowMs);
      return;
    }
    const changes = store.history.filter((change) => change.revision > since);
    changes.forEach(({ id, record }) => {
      if (record === undefined) this.view.removeServer(id, nowMs);
      else this.view.putServer(record, nowMs);
    });
    const newest = changes.at(-1)?.revision;
    if (newest !== undefined) this.view.advance('servers', newest);
    this.#takePlan(store);
    this.#known = store.revision;
  }

  /** Takes an answer that the store gave at the last such step. */
  late(store: Store): void {
    if (this.#answer === undefined) this.#answer = { ...store.plan };
    else {
      const { version, revision } = this.#answer;
      this.view.setPlan(planOf(version));
      this.view.advance('plan', revision);
      this.#answer = undefined;
    }
  }

  restart(store: Store, nowMs: number): void {
    this.view = new FleetView();
    this.version = 0;
    this.#answer = undefined;
    this.#known = 0;
    this.list(store, nowMs);
  }

  take(from: Vm, nowMs: number): void {
    const sent = JSON.stringify(from.view.snapshot(this.view.revisions));
    this.view.merge(SnapshotMessage.parse(JSON.parse(sent)), nowMs);
  }
}

type Step =
  | { readonly type: 'put'; readonly server: number; readonly draining: boolean }
  | { readonly type: 'reborn'; readonly server: number }
  | { readonly type: 'remove'; readonly server: number }
  | { readonly type: 'evacuate'; readonly domain: number }
  | { readonly type: 'watch' | 'list' | 'late' | 'restart'; readonly vm: number }
  | { readonly type: 'take'; readonly vm: number; readonly from: number }
  | { readonly type: 'change' }
  | { readonly type: 'forget' }
  | { readonly type: 'pass' };

const server = fc.nat(SERVERS - 1);
const vm = fc.nat(VMS - 1);
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ type: fc.constant('put' as const), server, draining: fc.boolean() }),
  fc.record({ type: fc.constant('reborn' as const), server }),
  fc.record({ type: fc.constant('remove' as const), server }),
  fc.record({ type: fc.constant('evacuate' as const), domain: fc.nat(DOMAINS.length - 1) }),
  fc.record({
    type: fc.constantFrom('watch' as const, 'list' as const, 'late' as const, 'restart' as const),
    vm,
  }),
  fc.record({ type: fc.constant('take' as const), vm, from: vm }),
  fc.record({ type: fc.constantFrom('change' as const, 'forget' as const, 'pass' as const) }),
);

const idOf = (n: number): BackendServerId => `s${n}` as BackendServerId;

class Run {
  readonly store = new Store();

  readonly vms = Array.from({ length: VMS }, () => new Vm());

  readonly #bornMs = Array.from({ length: SERVERS }, () => 1_000);

  #nowMs = 0;

  constructor() {
    this.vms.forEach((each) => each.restart(this.store, 0));
  }

  play(next: Step): void {
    this.#nowMs += 10;
    const { store } = this;
    switch (next.type) {
      case 'put':
        store.put(idOf(next.server), next.draining, this.#bornMs[next.server] ?? 0);
        break;
      case 'reborn':
        this.#bornMs[next.server] = 1_000 + this.#nowMs;
        store.put(idOf(next.server), false, 1_000 + this.#nowMs);
        break;
      case 'remove':
        store.remove(idOf(next.server));
        break;
      case 'evacuate':
        store.evacuate(DOMAINS[next.domain] as FailureDomainId);
        break;
      case 'change':
        store.change();
        break;
      case 'take':
        this.vms[next.vm]?.take(this.vms[next.from] as Vm, this.#nowMs);
        break;
      case 'forget':
        store.forgottenTo = store.revision;
        store.history = [];
        break;
      case 'pass':
        this.#nowMs += LONG_MS;
        this.vms.forEach(({ view }) => view.tick(this.#nowMs));
        break;
      default:
        this.vms[next.vm]?.[next.type](store, this.#nowMs);
    }
  }

  /** What an entry VM was told of, directly or not, it must know. */
  check(): void {
    this.vms.forEach((each) => {
      const { view, covered } = each;
      const version = view.plan?.version ?? 0;
      expect(version, 'a plan went back').to.be.at.least(each.version);
      each.version = version;
      if (this.store.plan.revision <= view.revisions.plan) {
        expect(version, 'an old plan').to.equal(this.store.plan.version);
      }
      this.store.last.forEach(({ revision, id, record }) => {
        if (revision > covered) return;
        expect(view.server(id)?.record, `${id} at ${covered}`).to.deep.equal(record);
      });
      if (this.store.evacuationsAt > view.revisions.evacuations) return;
      DOMAINS.forEach((domain) =>
        expect(view.evacuated(domain)).to.equal(this.store.evacuated.has(domain)),
      );
    });
  }
}

// Guards against plans that go back to an older version, or that revisions hide, among the rest.
it('an entry VM knows all that its revisions cover, however the facts have come', () => {
  fc.assert(
    fc.property(fc.array(step, { minLength: 20, maxLength: 80 }), (steps) => {
      const run = new Run();
      steps.forEach((next) => {
        run.play(next);
        run.check();
      });
    }),
    { seed: 20261204, numRuns: 2_000 },
  );
});
