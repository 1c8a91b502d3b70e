/** Which kinds have missed a change of the store. */
import { expect } from 'chai';
import fc from 'fast-check';
import { FACT_KINDS } from '../fleetviews.js';
import type { FactKind } from '../fleetviews.js';
import { RevisionLedger } from '../revisionledgers.js';

function ledgerAt(revision: number): RevisionLedger {
  const ledger = new RevisionLedger();
  FACT_KINDS.forEach((kind) => ledger.listed(kind, revision));
  return ledger;
}

it('nothing is missing while the store stands still', () => {
  expect(ledgerAt(7).missing(7)).to.deep.equal([]);
});

it('a change that a watch has brought is not missing', () => {
  const ledger = ledgerAt(7);
  ledger.told([8]);
  ledger.told([9]);
  expect(ledger.missing(9)).to.deep.equal([]);
});

it('a change that no watch has brought is missing for all kinds that were not listed since', () => {
  const ledger = ledgerAt(7);
  ledger.listed('servers', 9);
  ledger.told([10]);
  expect(ledger.missing(10)).to.deep.equal(['plan', 'evacuations']);
  expect(ledger.missing(11)).to.deep.equal([...FACT_KINDS]);
});

it('before any list all kinds are missing', () => {
  expect(new RevisionLedger().missing(1)).to.deep.equal([...FACT_KINDS]);
});

interface Step {
  readonly kind: FactKind;
  readonly type: 'change' | 'foreign' | 'watch' | 'list' | 'check';
}

const step: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom(...FACT_KINDS),
  type: fc.constantFrom('change', 'foreign', 'watch', 'list', 'check'),
});

// Guards against a watch whose connection is silent and whose missed change nothing brings up.
it('a kind that has missed a change is always found, and a list settles it', () => {
  fc.assert(
    fc.property(fc.array(step, { minLength: 10, maxLength: 60 }), (steps) => {
      const ledger = ledgerAt(1);
      let revision = 1;
      const untold = new Map<FactKind, number[]>(FACT_KINDS.map((kind) => [kind, []]));
      const list = (kind: FactKind): void => {
        ledger.listed(kind, revision);
        untold.set(kind, []);
      };
      steps.forEach(({ kind, type }) => {
        if (type === 'change' || type === 'foreign') revision += 1;
        if (type === 'change') untold.get(kind)?.push(revision);
        if (type === 'watch') ledger.told(untold.get(kind) ?? []);
        if (type === 'watch') untold.set(kind, []);
        if (type === 'list') list(kind);
        if (type !== 'check') return;
        const missing = ledger.missing(revision);
        FACT_KINDS.filter((each) => (untold.get(each) ?? []).length > 0).forEach((each) =>
          expect(missing).to.include(each),
        );
        missing.forEach(list);
        expect(ledger.missing(revision)).to.deep.equal([]);
      });
    }),
    { seed: 20261204, numRuns: 1_000 },
  );
});
