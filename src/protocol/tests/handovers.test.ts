/**
 * Stateful fuzzing of how facts reach entry VMs: through watches, lists after compacted history, and
 * snapshots from other entry VMs. The expected state is the store's content at each revision.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { FleetView } from '../../coordination/index.js';
import { planOf, serverOf } from '../../coordination/tests/fixtures.js';
import type { BackendServerId, BackendServerRecord, FailureDomainId } from '../../state/index.js';
import { SnapshotMessage } from '../index.js';

const VMS = 4;
const SERVERS = 5;
const DOMAINS = ['a1', 'a2'] as FailureDomainId[];

/** Longer than the retention time of removed servers. */
const PAST_RETENTION_MS = 150_000;

interface Change {
  readonly revision: number;
  readonly id: BackendServerId;
  /** Undefined when the server was removed. */
  readonly record: BackendServerRecord | undefined;
}

/** Model of the store: its content, and the history of changes that watches can still receive. */
class ModelStore {
  revision = 1;

  history: Change[] = [];

  compactedRevision = 0;

  /** The last change of each server. */
  readonly lastChanges = new Map<BackendServerId, Change>();

  readonly evacuatedDomains = new Set<FailureDomainId>();

  evacuationsRevision = 1;

  /** Version of the plan, and the revision at which it was written. */
  plan = { version: 1, revision: 1 };

  #sequence = 0;

  put(id: BackendServerId, draining: boolean, bornMs: number): void {
    this.#sequence += 1;
    const record = serverOf(id, 'a1', { draining, bornMs, sequence: this.#sequence });
    this.#change(id, record);
  }

  remove(id: BackendServerId): void {
    if (this.lastChanges.get(id)?.record !== undefined) this.#change(id, undefined);
  }

  evacuate(domain: FailureDomainId): void {
    this.revision += 1;
    if (!this.evacuatedDomains.delete(domain)) this.evacuatedDomains.add(domain);
    this.evacuationsRevision = this.revision;
  }

  writePlan(): void {
    this.revision += 1;
    this.plan = { version: this.plan.version + 3, revision: this.revision };
  }

  records(): readonly BackendServerRecord[] {
    return [...this.lastChanges.values()].flatMap((change) => change.record ?? []);
  }

  #change(id: BackendServerId, record: BackendServerRecord | undefined): void {
    this.revision += 1;
    const change = { revision: this.revision, id, record };
    this.history.push(change);
    this.lastChanges.set(id, change);
  }
}

/** Model of an entry VM: its view, and the revision up to which it has received server changes. */
class ModelVm {
  view = new FleetView();

  /** The highest plan version that was in force since the entry VM started. */
  version = 0;

  #syncedRevision = 0;

  #delayedPlan: ModelStore['plan'] | undefined;

  /** The revision up to which the entry VM has received all server changes. */
  get coveredRevision(): number {
    return Math.max(this.#syncedRevision, this.view.revisions.servers);
  }

  list(store: ModelStore, nowMs: number): void {
    const { view } = this;
    view.replaceServers(store.records(), nowMs, nowMs);
    view.advanceRevision('servers', store.revision);
    view.replaceEvacuations([...store.evacuatedDomains], nowMs);
    view.advanceRevision('evacuations', store.revision);
    this.#applyPlan(store);
    this.#syncedRevision = store.revision;
  }

  #applyPlan({ plan, revision }: ModelStore): void {
    this.view.setPlan(planOf(plan.version));
    this.view.advanceRevision('plan', revision);
  }

  watch(store: ModelStore, nowMs: number): void {
    const since = this.coveredRevision;
    if (since < store.compactedRevision) {
      this.list(store, nowMs);
      return;
    }
    const changes = store.history.filter((change) => change.revision > since);
    changes.forEach(({ id, record }) => {
      if (record === undefined) this.view.removeServer(id, nowMs);
      else this.view.putServer(record, nowMs);
    });
    const newest = changes.at(-1)?.revision;
    if (newest !== undefined) this.view.advanceRevision('servers', newest);
    this.#applyPlan(store);
    this.#syncedRevision = store.revision;
  }

  /** Reads a plan from the store, or applies the one read at the previous step of this type. */
  late(store: ModelStore): void {
    if (this.#delayedPlan === undefined) this.#delayedPlan = { ...store.plan };
    else {
      const { version, revision } = this.#delayedPlan;
      this.view.setPlan(planOf(version));
      this.view.advanceRevision('plan', revision);
      this.#delayedPlan = undefined;
    }
  }

  restart(store: ModelStore, nowMs: number): void {
    this.view = new FleetView();
    this.version = 0;
    this.#delayedPlan = undefined;
    this.#syncedRevision = 0;
    this.list(store, nowMs);
  }

  mergeFrom(from: ModelVm, nowMs: number): void {
    const message = JSON.stringify(from.view.snapshot(this.view.revisions));
    this.view.merge(SnapshotMessage.parse(JSON.parse(message)), nowMs);
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

const serverArbitrary = fc.nat(SERVERS - 1);
const vmArbitrary = fc.nat(VMS - 1);
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ type: fc.constant('put' as const), server: serverArbitrary, draining: fc.boolean() }),
  fc.record({ type: fc.constant('reborn' as const), server: serverArbitrary }),
  fc.record({ type: fc.constant('remove' as const), server: serverArbitrary }),
  fc.record({ type: fc.constant('evacuate' as const), domain: fc.nat(DOMAINS.length - 1) }),
  fc.record({
    type: fc.constantFrom('watch' as const, 'list' as const, 'late' as const, 'restart' as const),
    vm: vmArbitrary,
  }),
  fc.record({ type: fc.constant('take' as const), vm: vmArbitrary, from: vmArbitrary }),
  fc.record({ type: fc.constantFrom('change' as const, 'forget' as const, 'pass' as const) }),
);

const serverIdOf = (index: number): BackendServerId => `s${index}` as BackendServerId;

class Simulation {
  readonly store = new ModelStore();

  readonly vms = Array.from({ length: VMS }, () => new ModelVm());

  readonly #bornMs = Array.from({ length: SERVERS }, () => 1_000);

  #nowMs = 0;

  constructor() {
    this.vms.forEach((vm) => vm.restart(this.store, 0));
  }

  execute(step: Step): void {
    this.#nowMs += 10;
    const { store } = this;
    switch (step.type) {
      case 'put':
        store.put(serverIdOf(step.server), step.draining, this.#bornMs[step.server] ?? 0);
        break;
      case 'reborn':
        this.#bornMs[step.server] = 1_000 + this.#nowMs;
        store.put(serverIdOf(step.server), false, 1_000 + this.#nowMs);
        break;
      case 'remove':
        store.remove(serverIdOf(step.server));
        break;
      case 'evacuate':
        store.evacuate(DOMAINS[step.domain] as FailureDomainId);
        break;
      case 'change':
        store.writePlan();
        break;
      case 'take':
        this.vms[step.vm]?.mergeFrom(this.vms[step.from] as ModelVm, this.#nowMs);
        break;
      case 'forget':
        store.compactedRevision = store.revision;
        store.history = [];
        break;
      case 'pass':
        this.#nowMs += PAST_RETENTION_MS;
        this.vms.forEach(({ view }) => view.tick(this.#nowMs));
        break;
      default:
        this.vms[step.vm]?.[step.type](store, this.#nowMs);
    }
  }

  /** Checks that entry VMs hold all facts that they received, from the store or from other entry VMs. */
  checkInvariants(): void {
    this.vms.forEach((vm) => {
      const { view, coveredRevision } = vm;
      const version = view.plan?.version ?? 0;
      expect(version, 'a plan was replaced by an older one').to.be.at.least(vm.version);
      vm.version = version;
      if (this.store.plan.revision <= view.revisions.plan) {
        expect(version, 'the plan is older than its revision').to.equal(this.store.plan.version);
      }
      this.store.lastChanges.forEach(({ revision, id, record }) => {
        if (revision > coveredRevision) return;
        expect(view.server(id)?.record, `${id} at ${coveredRevision}`).to.deep.equal(record);
      });
      if (this.store.evacuationsRevision > view.revisions.evacuations) return;
      DOMAINS.forEach((domain) =>
        expect(view.isEvacuated(domain)).to.equal(this.store.evacuatedDomains.has(domain)),
      );
    });
  }
}

// Guards against facts that an entry VM lacks although its revisions cover them, among them plans that
// revert to an older version and plans skipped because the revision is already counted as received.
it('an entry VM holds every fact that its revisions cover, whichever way the facts arrived', () => {
  fc.assert(
    fc.property(fc.array(stepArbitrary, { minLength: 20, maxLength: 80 }), (steps) => {
      const simulation = new Simulation();
      steps.forEach((step) => {
        simulation.execute(step);
        simulation.checkInvariants();
      });
    }),
    { seed: 20261204, numRuns: 2_000 },
  );
});
