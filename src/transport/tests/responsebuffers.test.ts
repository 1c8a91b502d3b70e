import { expect } from 'chai';
import fc from 'fast-check';
import { ResponseBufferPool, PAGE_BYTES } from '../responsebuffers.js';

const PAGE_COUNT = 8;
const RESPONSE_COUNT = 4;

const stepArbitrary = fc.record({
  index: fc.nat({ max: RESPONSE_COUNT - 1 }),
  operation: fc.constantFrom('add', 'add', 'add', 'take', 'release'),
  bytes: fc.nat({ max: 3 * PAGE_BYTES }),
});

/** The bytes that a response should hold; none after it was dropped. */
interface ExpectedResponse {
  bytes: Buffer;
  drop(): void;
}

// Guards against lost pages, and pages shared by two responses, which mix their bytes.
it('buffered responses keep their own bytes, and no memory page is lost', () => {
  fc.assert(
    fc.property(fc.array(stepArbitrary, { maxLength: 60 }), (steps) => {
      const memory = new ResponseBufferPool(PAGE_COUNT * PAGE_BYTES);
      const responses: ExpectedResponse[] = Array.from({ length: RESPONSE_COUNT }, () => ({
        bytes: Buffer.alloc(0),
        drop() {
          const largestBytes = Math.max(...responses.map((response) => response.bytes.length));
          expect(this.bytes.length, 'only the largest response is dropped').to.equal(largestBytes);
          this.bytes = Buffer.alloc(0);
        },
      }));
      steps.forEach(({ index, operation, bytes }, i) => {
        const expected = responses[index] as ExpectedResponse;
        if (operation === 'add') {
          const chunk = Buffer.alloc(bytes, i);
          // The response is dropped while bytes are added if it becomes the largest; nothing of it remains.
          let dropped = false;
          const { drop } = expected;
          expected.drop = () => {
            dropped = true;
            expected.bytes = Buffer.alloc(0);
          };
          memory.append(expected, chunk);
          expected.drop = drop;
          if (!dropped) expected.bytes = Buffer.concat([expected.bytes, chunk]);
        } else {
          if (operation === 'take')
            expect(memory.takeBody(expected).equals(expected.bytes)).to.equal(true);
          else memory.release(expected);
          expected.bytes = Buffer.alloc(0);
        }
      });
      responses.forEach((response) => memory.release(response));
      const wholeMemory = {
        drop: () => expect.fail('a response was dropped although all pages should be free'),
      };
      memory.append(wholeMemory, Buffer.alloc(PAGE_COUNT * PAGE_BYTES));
      expect(memory.takeBody(wholeMemory).length).to.equal(PAGE_COUNT * PAGE_BYTES);
    }),
    { seed: 1, numRuns: 500 },
  );
});
