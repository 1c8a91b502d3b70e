/** Snapshots of facts that entry VMs send to each other, in serialized form. */
import { expect } from 'chai';
import { serverOf, viewOf } from '../../coordination/tests/fixtures.js';
import type { FleetView } from '../../coordination/index.js';
import type { BackendServerId } from '../../state/index.js';
import { SnapshotMessage } from '../index.js';

const S1 = 's1' as BackendServerId;
const S2 = 's2' as BackendServerId;

/** Sends changed facts in serialized form. @returns the servers that the receiver removed. */
function transferFacts(from: FleetView, to: FleetView): readonly BackendServerId[] {
  const message = JSON.stringify(from.snapshot(to.revisions));
  return to.merge(SnapshotMessage.parse(JSON.parse(message)), 100).gone;
}

it('a snapshot contains only facts that the receiver lacks', () => {
  const watcher = viewOf([serverOf('s1', 'a1'), serverOf('s2', 'a1')]);
  const other = viewOf([serverOf('s1', 'a1'), serverOf('s2', 'a1')]);
  watcher.putServer(serverOf('s2', 'a1', { sequence: 2, draining: true }), 10);
  watcher.advanceRevision('servers', 5);
  const snapshot = watcher.snapshot(other.revisions);
  expect(snapshot.servers.map((server) => server.id)).to.deep.equal([S2]);
  expect(snapshot.gone).to.deep.equal([]);
  expect(transferFacts(watcher, other)).to.deep.equal([]);
  expect([other.isUsable(S1), other.isUsable(S2)]).to.deep.equal([true, false]);
  expect(other.revisions).to.deep.equal(watcher.revisions);
});

it('a snapshot reports a removed server as gone', () => {
  const watcher = viewOf([serverOf('s1', 'a1'), serverOf('s2', 'a1')]);
  const other = viewOf([serverOf('s1', 'a1'), serverOf('s2', 'a1')]);
  watcher.removeServer(S1, 10);
  watcher.advanceRevision('servers', 5);
  expect(transferFacts(watcher, other)).to.deep.equal([S1]);
  expect([other.server(S1), other.isUsable(S2)]).to.deep.equal([undefined, true]);
});

it("a snapshot contains the full server list when the receiver's revisions predate the sender's first list", () => {
  const sender = viewOf([serverOf('s2', 'a1')]);
  const snapshot = sender.snapshot({ plan: 0, servers: 0, evacuations: 0 });
  expect(snapshot.gone).to.equal(undefined);
  expect(snapshot.servers.map((server) => server.id)).to.deep.equal([S2]);
});

it('a snapshot contains the full server list when removals it needs are no longer retained', () => {
  const watcher = viewOf([serverOf('s1', 'a1'), serverOf('s2', 'a1')]);
  watcher.removeServer(S1, 10);
  watcher.advanceRevision('servers', 5);
  watcher.tick(200_000);
  const staleRevisions = { plan: 1, servers: 1, evacuations: 0 };
  expect(watcher.snapshot(staleRevisions).gone).to.equal(undefined);
});

it("a snapshot reports a server as gone that was added and removed before the sender's list", () => {
  const watcher = viewOf([]);
  const other = viewOf([]);
  other.putServer(serverOf('s1', 'a1'), 0);
  other.advanceRevision('servers', 2);
  watcher.replaceServers([serverOf('s2', 'a1')], 10, 10);
  watcher.advanceRevision('servers', 7);
  expect(transferFacts(watcher, other)).to.deep.equal([S1]);
  expect([other.server(S1), other.isUsable(S2)]).to.deep.equal([undefined, true]);
});

it('an entry VM forwards the removal of a server that it never knew', () => {
  const [watcher, between, last] = [viewOf([]), viewOf([]), viewOf([])];
  last.putServer(serverOf('s1', 'a1'), 0);
  last.advanceRevision('servers', 2);
  watcher.putServer(serverOf('s1', 'a1'), 0);
  watcher.removeServer(S1, 10);
  watcher.advanceRevision('servers', 3);
  transferFacts(watcher, between);
  expect(transferFacts(between, last)).to.deep.equal([S1]);
  expect(last.server(S1)).to.equal(undefined);
});

it("a snapshot with names in the platform's own spelling is accepted", () => {
  const watcher = viewOf([]);
  const other = viewOf([]);
  const service = 'Service_7' as ReturnType<typeof serverOf>['service'];
  watcher.putServer(serverOf('I_1', 'a1', { service }), 0);
  watcher.advanceRevision('servers', 5);
  transferFacts(watcher, other);
  expect(other.isUsable('I_1' as BackendServerId)).to.equal(true);
});
