/** Detection of fact kinds that have missed a change of the store. */
import { expect } from 'chai';
import fc from 'fast-check';
import { FACT_KINDS } from '../fleetviews.js';
import type { FactKind } from '../fleetviews.js';
import { RevisionTracker } from '../revisionledgers.js';

function ledgerListedAt(revision: number): RevisionTracker {
  const ledger = new RevisionTracker();
  FACT_KINDS.forEach((kind) => ledger.recordList(kind, revision));
  return ledger;
}

it('no kind is missing while the store is unchanged', () => {
  expect(ledgerListedAt(7).staleKinds(7)).to.deep.equal([]);
});

it('a change that a watch has delivered is not missing', () => {
  const ledger = ledgerListedAt(7);
  ledger.recordChanges([8]);
  ledger.recordChanges([9]);
  expect(ledger.staleKinds(9)).to.deep.equal([]);
});

it('a change that no watch has delivered is missing for every kind not listed since', () => {
  const ledger = ledgerListedAt(7);
  ledger.recordList('servers', 9);
  ledger.recordChanges([10]);
  expect(ledger.staleKinds(10)).to.deep.equal(['plan', 'evacuations']);
  expect(ledger.staleKinds(11)).to.deep.equal([...FACT_KINDS]);
});

it('all kinds are missing before the first list', () => {
  expect(new RevisionTracker().staleKinds(1)).to.deep.equal([...FACT_KINDS]);
});

interface LedgerStep {
  readonly kind: FactKind;
  readonly type: 'change' | 'foreign' | 'watch' | 'list' | 'check';
}

const anyStep: fc.Arbitrary<LedgerStep> = fc.record({
  kind: fc.constantFrom(...FACT_KINDS),
  type: fc.constantFrom('change', 'foreign', 'watch', 'list', 'check'),
});

// Guards against a watch whose connection is silent, so that a missed change is never detected.
it('a kind that has missed a change is always reported as missing until it is listed', () => {
  fc.assert(
    fc.property(fc.array(anyStep, { minLength: 10, maxLength: 60 }), (steps) => {
      const ledger = ledgerListedAt(1);
      let revision = 1;
      const unreported = new Map<FactKind, number[]>(FACT_KINDS.map((kind) => [kind, []]));
      const list = (kind: FactKind): void => {
        ledger.recordList(kind, revision);
        unreported.set(kind, []);
      };
      steps.forEach(({ kind, type }) => {
        if (type === 'change' || type === 'foreign') revision += 1;
        if (type === 'change') unreported.get(kind)?.push(revision);
        if (type === 'watch') ledger.recordChanges(unreported.get(kind) ?? []);
        if (type === 'watch') unreported.set(kind, []);
        if (type === 'list') list(kind);
        if (type !== 'check') return;
        const missing = ledger.staleKinds(revision);
        FACT_KINDS.filter((stale) => (unreported.get(stale) ?? []).length > 0).forEach((stale) =>
          expect(missing).to.include(stale),
        );
        missing.forEach(list);
        expect(ledger.staleKinds(revision)).to.deep.equal([]);
      });
    }),
    { seed: 20261204, numRuns: 1_000 },
  );
});
