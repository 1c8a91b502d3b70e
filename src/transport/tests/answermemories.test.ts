import { expect } from 'chai';
import fc from 'fast-check';
import { AnswerMemory, PAGE_BYTES } from '../answermemories.js';

const PAGES = 8;
const ANSWERS = 4;

const anyStep = fc.record({
  answer: fc.nat({ max: ANSWERS - 1 }),
  act: fc.constantFrom('add', 'add', 'add', 'take', 'release'),
  bytes: fc.nat({ max: 3 * PAGE_BYTES }),
});

/** What an answer should hold, and whether it was dropped since it last began. */
interface Expected {
  bytes: Buffer;
  drop(): void;
}

// Guards against pages that are lost or shared, and against bytes of one answer in another.
it('answers keep their own bytes, and no page is lost', () => {
  fc.assert(
    fc.property(fc.array(anyStep, { maxLength: 60 }), (steps) => {
      const memory = new AnswerMemory(PAGES * PAGE_BYTES);
      const answers: Expected[] = Array.from({ length: ANSWERS }, () => ({
        bytes: Buffer.alloc(0),
        drop() {
          const most = Math.max(...answers.map((each) => each.bytes.length));
          expect(this.bytes.length, 'the largest is dropped').to.equal(most);
          this.bytes = Buffer.alloc(0);
        },
      }));
      steps.forEach(({ answer, act, bytes }, i) => {
        const expected = answers[answer] as Expected;
        if (act === 'add') {
          const more = Buffer.alloc(bytes, i);
          // It is dropped in the middle when it becomes the largest; then none of it is left.
          let dropped = false;
          const { drop } = expected;
          expected.drop = () => {
            dropped = true;
            expected.bytes = Buffer.alloc(0);
          };
          memory.add(expected, more);
          expected.drop = drop;
          if (!dropped) expected.bytes = Buffer.concat([expected.bytes, more]);
        } else {
          if (act === 'take') expect(memory.take(expected).equals(expected.bytes)).to.equal(true);
          else memory.release(expected);
          expected.bytes = Buffer.alloc(0);
        }
      });
      answers.forEach((each) => memory.release(each));
      const all = { drop: () => expect.fail('a page was lost') };
      memory.add(all, Buffer.alloc(PAGES * PAGE_BYTES));
      expect(memory.take(all).length).to.equal(PAGES * PAGE_BYTES);
    }),
    { seed: 1, numRuns: 500 },
  );
});
