/** Log events and their catalogue in the docs. */
import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import { LOG_EVENTS, createLogger } from '../logs.js';

it('the event catalogue in the docs matches the events in the code', () => {
  const catalogue = readFileSync('docs/LOG-EVENTS.md', 'utf8');
  const documentedEvents = [...catalogue.matchAll(/^\| (\d+) \| (\w+) \| (\w+) \| (.+) \|/gm)].map(
    ([, id, level, name, text]) => `${id} ${level} ${name} ${text?.split(' | ')[0]}`,
  );
  const codeEvents = Object.entries(LOG_EVENTS).map(
    ([name, event]) => `${event.id} ${event.level} ${name} ${event.text}`,
  );
  expect(documentedEvents).to.have.members(codeEvents);
});

it('no two events share a number', () => {
  const ids = Object.values(LOG_EVENTS).map((event) => event.id);
  expect(new Set(ids).size).to.equal(ids.length);
});

it('a log line is one JSON object, and events below the log level are not written', () => {
  const lines: string[] = [];
  const log = createLogger(
    { program: 'entry', entryVm: 'vm-1' },
    { level: 'warn', write: (line) => lines.push(line), wallMs: () => 0 },
  );
  log('processStarted');
  log('backendCrashed', { server: 's-1' });
  expect(lines.map((line) => JSON.parse(line))).to.deep.equal([
    {
      at: '1970-01-01T00:00:00.000Z',
      event: 501,
      level: 'error',
      text: 'backend server crashed while running work',
      program: 'entry',
      entryVm: 'vm-1',
      server: 's-1',
    },
  ]);
});
