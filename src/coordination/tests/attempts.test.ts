/** Decisions after an attempt has ended. */
import { expect } from 'chai';
import { decideAfterAttempt } from '../attempts.js';
import type { AttemptOutcome, AttemptProgress } from '../attempts.js';

const FIRST_ATTEMPT: AttemptProgress = {
  idempotent: true,
  runs: 1,
  tries: 1,
  maxAttempts: 2,
  hasOpenAttempts: false,
};

function verdict(end: AttemptOutcome, change: Partial<AttemptProgress> = {}): string {
  return decideAfterAttempt(end, { ...FIRST_ATTEMPT, ...change }).type;
}

it('a non-idempotent request that may have run is not retried', () => {
  expect(verdict({ type: 'lost' }, { idempotent: false })).to.equal('unknown');
  const failed = { type: 'answered', status: 500, genuine: true } as const;
  expect(verdict(failed, { idempotent: false })).to.equal('deliver');
});

it('a non-idempotent request that did not run may be retried', () => {
  expect(verdict({ type: 'rejected' }, { idempotent: false, runs: 0 })).to.equal('again');
  expect(verdict({ type: 'unreachable' }, { idempotent: false, runs: 0 })).to.equal('again');
});

it('the outcome is notRun only when no attempt has run', () => {
  expect(verdict({ type: 'rejected' }, { runs: 0, tries: 5 })).to.equal('notRun');
  expect(verdict({ type: 'rejected' }, { runs: 2, tries: 5 })).to.equal('unknown');
  expect(verdict({ type: 'lost' }, { runs: 2, tries: 2 })).to.equal('unknown');
});

// Guards against callers that repeat a request which has run, since its server failed it with a status that
// promises the opposite.
it('a status that promises that a request did not run gives the outcome unknown', () => {
  [408, 421, 429, 503].forEach((status) => {
    const response = { type: 'answered', status, genuine: true } as const;
    expect(verdict(response, { idempotent: false }), `${status}`).to.equal('unknown');
    expect(verdict(response, { runs: 2, tries: 2 }), `${status}`).to.equal('unknown');
  });
});

it('an idempotent request that its server failed with such a status is retried', () => {
  [408, 429, 503].forEach((status) => {
    const response = { type: 'answered', status, genuine: true } as const;
    expect(verdict(response), `${status}`).to.equal('again');
    expect(verdict(response, { runs: 2, hasOpenAttempts: true }), `${status}`).to.equal('wait');
  });
});

it('a retry after a failed connection does not use the retry budget', () => {
  expect(decideAfterAttempt({ type: 'unreachable' }, { ...FIRST_ATTEMPT, runs: 0 })).to.deep.equal({
    type: 'again',
    paid: false,
  });
});

it('an idempotent request runs on no more servers than its route allows', () => {
  expect(verdict({ type: 'lost' }, { runs: 2, tries: 2 })).to.equal('unknown');
  expect(verdict({ type: 'lost' }, { runs: 1 })).to.equal('again');
});

it('a failed attempt waits for another attempt that is still in flight', () => {
  expect(verdict({ type: 'lost' }, { runs: 2, tries: 2, hasOpenAttempts: true })).to.equal('wait');
});

it('a response that is not from the backend server itself is not delivered', () => {
  const response = { type: 'answered', status: 502, genuine: false } as const;
  expect(verdict(response, { idempotent: false })).to.equal('unknown');
});
