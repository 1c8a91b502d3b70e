/** Rate and size limits of log output. */
import { expect } from 'chai';
import { LineWriter } from '../linewriters.js';

interface Rig {
  readonly writer: LineWriter;
  readonly written: string[];
  /** Ends the delay for which routine lines are batched. */
  endBatch(): void;
  /** Completes the latest write, as when the reader has consumed it. */
  completeWrite(): void;
  nowMs: number;
}

function createRig(maxBytes = 1_000): Rig {
  const written: string[] = [];
  let completeWrite: (() => void) | undefined;
  let endBatch: (() => void) | undefined;
  const rig = {
    written,
    nowMs: 0,
    completeWrite: () => completeWrite?.(),
    endBatch: () => endBatch?.(),
  } as unknown as Rig;
  const writer = new LineWriter({
    linesPerS: 10,
    burst: 5,
    maxBytes,
    nowMs: () => rig.nowMs,
    schedule: (run) => {
      endBatch = run;
    },
    formatDropped: (count) => `dropped ${count}`,
    write: (text, done) => {
      written.push(text);
      completeWrite = done;
    },
  });
  return Object.assign(rig, { writer });
}

it('log lines above the rate limit are dropped and counted', () => {
  const rig = createRig();
  for (let i = 0; i < 20; i += 1) rig.writer.writeLine(`line ${i}`, false);
  rig.nowMs = 1_000;
  rig.writer.writeLine('later', false);
  rig.endBatch();
  rig.completeWrite();
  rig.completeWrite();
  expect(rig.written.join('')).to.equal(
    'line 0\nline 1\nline 2\nline 3\nline 4\ndropped 15\nlater\n',
  );
});

it('a warning is written after routine log lines have used up their rate limit', () => {
  const rig = createRig();
  for (let i = 0; i < 20; i += 1) rig.writer.writeLine(`line ${i}`, false);
  rig.writer.writeLine('warning', true);
  rig.completeWrite();
  expect(rig.written.join('')).to.include('warning');
});

it('pending log lines stay within the size limit while the reader is blocked', () => {
  const rig = createRig(100);
  for (let i = 0; i < 1_000; i += 1) {
    rig.nowMs += 1_000;
    rig.writer.writeLine('x'.repeat(40), false);
    rig.endBatch();
  }
  expect(rig.written).to.have.length(1);
  rig.completeWrite();
  expect(rig.written[1]?.length).to.be.at.most(140);
});

it('draining waits for the reader, but no longer than its timeout', async () => {
  const rig = createRig();
  rig.writer.writeLine('last', false);
  await rig.writer.drain(10);
  rig.completeWrite();
  await rig.writer.drain(10_000);
});

it('routine log lines are batched into one write, while warnings and draining flush them at once', async () => {
  const rig = createRig();
  rig.writer.writeLine('one', false);
  rig.writer.writeLine('two', false);
  expect(rig.written).to.deep.equal([]);
  rig.endBatch();
  expect(rig.written).to.deep.equal(['one\ntwo\n']);
  rig.completeWrite();
  rig.writer.writeLine('three', false);
  rig.writer.writeLine('warning', true);
  expect(rig.written[1]).to.equal('three\nwarning\n');
  rig.completeWrite();
  rig.writer.writeLine('last', false);
  const drained = rig.writer.drain(1_000);
  expect(rig.written[2]).to.equal('last\n');
  rig.completeWrite();
  await drained;
});
