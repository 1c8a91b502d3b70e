/** Process settings, headers and frames. */
import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import { SubscribeRequest } from '../messages.js';
import {
  AgentConfig,
  EntryConfig,
  endToEndHeaders,
  fromFrame,
  toFrame,
  withForwarded,
} from '../index.js';

function loadExample(file: string): unknown {
  return JSON.parse(readFileSync(`examples/${file}.json`, 'utf8'));
}

it('the example process settings are valid', () => {
  ['local/entry-1', 'local/entry-2', 'kilimanjaro/entry', 'firebreak/entry'].forEach((file) =>
    expect(EntryConfig.safeParse(loadExample(file)).success, file).to.equal(true),
  );
  ['local/agent-1', 'local/agent-2', 'kilimanjaro/agent', 'firebreak/agent'].forEach((file) =>
    expect(AgentConfig.safeParse(loadExample(file)).success, file).to.equal(true),
  );
});

it('hop-by-hop headers, those listed in Connection and internal ones are removed', () => {
  const forwardedHeaders = endToEndHeaders({
    connection: 'close, X-Mine',
    'x-mine': '1',
    'transfer-encoding': 'chunked',
    'lovagesail-order': '{}',
    traceparent: '00-aa-bb-01',
  });
  expect(forwardedHeaders).to.deep.equal({ traceparent: '00-aa-bb-01' });
});

it('the address of the previous hop is appended to the Forwarded header', () => {
  expect(withForwarded({ forwarded: 'for=10.0.0.1' }, '2001:db8::1').forwarded).to.equal(
    'for=10.0.0.1, for="[2001:db8::1]"',
  );
});

it('parsing a frame that does not match its schema returns an error', () => {
  const valid = fromFrame(SubscribeRequest, toFrame({ entryVm: 'entry-1' }));
  const invalid = fromFrame(SubscribeRequest, toFrame({ entryVm: 'NOT A NAME' }));
  expect(valid.isOk()).to.equal(true);
  expect(invalid.isErr() && invalid.error.code).to.equal('bad_frame');
});
