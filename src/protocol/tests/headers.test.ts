/** Header fields with a meaning of their own. */
import { expect } from 'chai';
import { parseRetryAfterMs } from '../headers.js';

const parse = (value: string | string[]): number | undefined =>
  parseRetryAfterMs({ 'retry-after': value });

it('whole and fractional seconds of a retry-after field are read', () => {
  expect(parse('2')).to.equal(2_000);
  expect(parse(' 0.25 ')).to.equal(250);
  expect(parse('0')).to.equal(0);
});

it('the longest of several retry-after values counts', () => {
  expect(parse(['1', '3'])).to.equal(3_000);
  expect(parse('4, 2')).to.equal(4_000);
  expect(parse(['soon', '1.5'])).to.equal(1_500);
});

it('an enormous retry-after value is bounded', () => {
  expect(parse('86400')).to.equal(3_600_000);
  expect(parse('9'.repeat(400))).to.equal(3_600_000);
});

it('a negative number, a date, garbage or no field count as no retry-after', () => {
  ['-1', '-0.5', '', '1e3', 'NaN', '0x10', '.5', '1.', 'Fri, 04 Dec 2026 10:00:00 GMT'].forEach(
    (value) => expect(parse(value), value).to.equal(undefined),
  );
  expect(parseRetryAfterMs({})).to.equal(undefined);
});
