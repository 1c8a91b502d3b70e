/** How look-ups lead callers away from overloaded entry VMs. */
import { expect } from 'chai';
import fc from 'fast-check';
import { CallerShare, drawTakers } from '../callershares.js';
import type { Taker } from '../callershares.js';

const DRAWS = 1_000;

/** Evenly spread draws, so that shares come out without chance. */
function evenDraws(): () => number {
  let draws = 0;
  return () => {
    draws += 1;
    return (draws * 0.618_033_988_75) % 1;
  };
}

/** How often each of some takers is named in many look-ups, as a share of these. */
function namedShares(home: readonly Taker[], others: readonly Taker[]): readonly number[] {
  const random = evenDraws();
  const counts = new Map<Taker, number>();
  for (let i = 0; i < DRAWS; i += 1) {
    drawTakers(home, others, random).forEach((taker) =>
      counts.set(taker, (counts.get(taker) ?? 0) + 1),
    );
  }
  return [...home, ...others].map((taker) => (counts.get(taker) ?? 0) / DRAWS);
}

it('an overloaded entry VM takes half of its callers after each second, and all again later', () => {
  const share = new CallerShare();
  const after = (busy: number, nowMs: number): number => {
    share.measured(busy, nowMs);
    return share.share;
  };
  expect([after(1, 0), after(1, 500), after(1, 1_000), after(0.8, 2_000)]).to.deep.equal([
    0.5, 0.5, 0.25, 0.25,
  ]);
  for (let nowMs = 3_000; nowMs <= 11_000; nowMs += 500) after(0.3, nowMs);
  expect(share.share).to.equal(1);
});

it('an entry VM never gives up all of its callers', () => {
  const share = new CallerShare();
  for (let nowMs = 0; nowMs < 20_000; nowMs += 1_000) share.measured(1, nowMs);
  expect(share.share).to.be.above(0);
});

// The only entry VM of a failure domain got four times its load while its neighbours idled (docs/incidents/03).
it('callers of an overloaded failure domain are led to the others of its region', () => {
  const [home = 0, other = 0] = namedShares([{ share: 0.25 }], [{ share: 1 }, { share: 1 }]);
  expect(home).to.be.closeTo(0.25, 0.02);
  expect(other).to.be.closeTo(0.75, 0.02);
});

it('callers stay at home where the others are as overloaded, or there are none', () => {
  expect(namedShares([{ share: 0.25 }], [{ share: 0.25 }])).to.deep.equal([1, 0]);
  expect(namedShares([{ share: 0.25 }], [])).to.deep.equal([1]);
});

it('within a failure domain the overloaded entry VM is named less often', () => {
  const [busy = 0, idle = 0] = namedShares([{ share: 0.5 }, { share: 1 }], []);
  expect(busy).to.be.closeTo(0.5, 0.02);
  expect(idle).to.equal(1);
});

it('each look-up names at least one entry VM, whatever the shares are', () => {
  const taker = fc.record({ share: fc.double({ min: 0.1, max: 1, noNaN: true }) });
  const draws = fc.array(fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true }), {
    minLength: 1,
  });
  fc.assert(
    fc.property(
      fc.array(taker, { minLength: 1 }),
      fc.array(taker),
      draws,
      (home, others, given) => {
        let next = 0;
        const drawn = drawTakers(home, others, () => {
          next += 1;
          return given[next % given.length] ?? 0;
        });
        expect(drawn).to.not.have.length(0);
      },
    ),
    { seed: 20_261_204 },
  );
});

/** Callers keep an answer for this many steps of half a second. */
const KEPT_STEPS = 4;

const CALLERS = 200;

/**
 * Plays callers of three entry VMs of a region, each alone in its failure domain. Demand is in multiples
 * of what an entry VM bears. @returns the load of each after every half second.
 */
function play(demands: readonly number[], steps: number): readonly (readonly number[])[] {
  const random = evenDraws();
  const shares = demands.map(() => new CallerShare());
  const at = demands.map((_, home) => Array.from({ length: CALLERS }, () => home));
  return Array.from({ length: steps }, (__, step) => {
    const takers = shares.map(({ share }, i) => ({ share, i }));
    at.forEach((callers, home) =>
      callers.forEach((___, caller) => {
        if ((caller + step) % KEPT_STEPS !== 0) return;
        const others = takers.filter(({ i }) => i !== home);
        const [drawn] = drawTakers([takers[home] ?? { share: 1, i: home }], others, random);
        callers[caller] = drawn?.i ?? home;
      }),
    );
    const loads = demands.map((___, vm) =>
      demands.reduce((sum, demand, home) => {
        const here = at[home]?.filter((each) => each === vm).length ?? 0;
        return sum + (demand * here) / CALLERS;
      }, 0),
    );
    shares.forEach((share, i) => share.measured(Math.min(1, loads[i] ?? 0), step * 500));
    return loads;
  });
}

it('a flood in one failure domain is shared by its region within three seconds', () => {
  const loads = play([2.4, 0.2, 0.2], 40);
  const later = loads.slice(6).map(([home = 0]) => home);
  expect(later.reduce((sum, load) => sum + load, 0) / later.length).to.be.below(1.2);
});

it('where the whole region is flooded callers stay at home', () => {
  const loads = play([2, 2, 2], 40);
  loads.flat().forEach((load) => expect(load).to.be.closeTo(2, 0.4));
});
