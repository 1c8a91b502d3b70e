/** What follows the end of a try. */
import { expect } from 'chai';
import { afterAttempt } from '../attempts.js';
import type { AttemptEnd, AttemptProgress } from '../attempts.js';

const FIRST: AttemptProgress = {
  idempotent: true,
  runs: 1,
  tries: 1,
  maxAttempts: 2,
  othersOpen: false,
};

function verdict(end: AttemptEnd, change: Partial<AttemptProgress> = {}): string {
  return afterAttempt(end, { ...FIRST, ...change }).type;
}

it('non-idempotent work that may have run is not sent again', () => {
  expect(verdict({ type: 'lost' }, { idempotent: false })).to.equal('unknown');
  const failed = { type: 'answered', status: 500, genuine: true } as const;
  expect(verdict(failed, { idempotent: false })).to.equal('deliver');
});

it('non-idempotent work that did not run may be sent again', () => {
  expect(verdict({ type: 'rejected' }, { idempotent: false, runs: 0 })).to.equal('again');
  expect(verdict({ type: 'unreachable' }, { idempotent: false, runs: 0 })).to.equal('again');
});

it('not run is said only when nothing ran', () => {
  expect(verdict({ type: 'rejected' }, { runs: 0, tries: 5 })).to.equal('notRun');
  expect(verdict({ type: 'rejected' }, { runs: 2, tries: 5 })).to.equal('unknown');
  expect(verdict({ type: 'lost' }, { runs: 2, tries: 2 })).to.equal('unknown');
});

it('a server that ran the work does not promise that it did not', () => {
  const promise = { type: 'answered', status: 503, genuine: true } as const;
  expect(verdict(promise, { idempotent: false })).to.equal('unknown');
});

it('a connection that failed costs no repeat', () => {
  expect(afterAttempt({ type: 'unreachable' }, { ...FIRST, runs: 0 })).to.deep.equal({
    type: 'again',
    paid: false,
  });
});

it('idempotent work runs on no more servers than its route allows', () => {
  expect(verdict({ type: 'lost' }, { runs: 2, tries: 2 })).to.equal('unknown');
  expect(verdict({ type: 'lost' }, { runs: 1 })).to.equal('again');
});

it('a failure waits for a try that is still open', () => {
  expect(verdict({ type: 'lost' }, { runs: 2, tries: 2, othersOpen: true })).to.equal('wait');
});

it('an answer that is not genuine is never delivered as a success', () => {
  const foreign = { type: 'answered', status: 502, genuine: false } as const;
  expect(verdict(foreign, { idempotent: false })).to.equal('unknown');
});
