/** Process settings, headers and frames. */
import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import { SubscribeRequest } from '../messages.js';
import { AgentConfig, EntryConfig, endToEnd, fromFrame, toFrame, withForwarded } from '../index.js';

function load(file: string): unknown {
  return JSON.parse(readFileSync(`examples/${file}.json`, 'utf8'));
}

it('the example settings of processes load', () => {
  ['local/entry-1', 'local/entry-2', 'kilimanjaro/entry', 'firebreak/entry'].forEach((file) =>
    expect(EntryConfig.safeParse(load(file)).success, file).to.equal(true),
  );
  ['local/agent-1', 'local/agent-2', 'kilimanjaro/agent', 'firebreak/agent'].forEach((file) =>
    expect(AgentConfig.safeParse(load(file)).success, file).to.equal(true),
  );
});

it('drops hop-by-hop fields, those that Connection names, and internal ones', () => {
  const kept = endToEnd({
    connection: 'close, X-Mine',
    'x-mine': '1',
    'transfer-encoding': 'chunked',
    'lovagesail-order': '{}',
    traceparent: '00-aa-bb-01',
  });
  expect(kept).to.deep.equal({ traceparent: '00-aa-bb-01' });
});

it('adds this hop to Forwarded', () => {
  expect(withForwarded({ forwarded: 'for=10.0.0.1' }, '2001:db8::1').forwarded).to.equal(
    'for=10.0.0.1, for="[2001:db8::1]"',
  );
});

it('a frame that does not match its schema is an error value', () => {
  const good = fromFrame(SubscribeRequest, toFrame({ entryVm: 'entry-1' }));
  const bad = fromFrame(SubscribeRequest, toFrame({ entryVm: 'NOT A NAME' }));
  expect(good.isOk()).to.equal(true);
  expect(bad.isErr() && bad.error.code).to.equal('bad_frame');
});
