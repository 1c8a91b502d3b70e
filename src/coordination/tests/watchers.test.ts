/** Choice of the entry VMs that watch the store for their region. */
import { expect } from 'chai';
import type {
  Endpoint,
  EntryVmId,
  FailureDomainId,
  Incarnation,
  RegionId,
} from '../../state/index.js';
import { PeerView } from '../peerviews.js';
import type { Heartbeat } from '../peerviews.js';

const VMS = Array.from({ length: 8 }, (_, i) => `vm-${i}` as EntryVmId);

function heartbeatOf(id: EntryVmId, domain: string, change: Partial<Heartbeat> = {}): Heartbeat {
  return {
    peer: {
      id,
      failureDomain: domain as FailureDomainId,
      region: 'a' as RegionId,
      callerAddress: '10.0.0.1:80' as Endpoint,
      peerAddress: '10.0.0.1:90' as Endpoint,
    },
    incarnation: 'abcdefgh' as Incarnation,
    ready: true,
    stopping: false,
    watching: false,
    revisions: { plan: 1, servers: 1, evacuations: 1 },
    near: [],
    sightings: [],
    crashReports: [],
    leaving: [],
    ...change,
  };
}

/**
 * Entry VMs that consider themselves watchers after three rounds of heartbeats among all. The affected
 * ones do not watch, or report the given change.
 */
function watchersOf(
  affected: readonly EntryVmId[] = [],
  change: Partial<Heartbeat> = {},
): readonly EntryVmId[] {
  const views = VMS.map((id) => new PeerView(heartbeatOf(id, 'a1').peer));
  const afterRound = (watching: readonly EntryVmId[], nowMs: number): readonly EntryVmId[] => {
    const heartbeats = VMS.map((id) => {
      const isAffected = affected.includes(id);
      const isWatching = watching.includes(id) && !isAffected;
      return heartbeatOf(id, 'a1', { watching: isWatching, ...(isAffected ? change : {}) });
    });
    views.forEach((view) =>
      heartbeats.forEach((heartbeat) => view.recordHeartbeat(heartbeat, nowMs)),
    );
    return VMS.filter((_, i) => views[i]?.shouldWatch(nowMs));
  };
  return [0, 600, 1_200].reduce(afterRound, []);
}

it('two entry VMs of a region watch for the others', () => {
  expect(watchersOf()).to.have.length(2);
});

it('other entry VMs replace watchers whose watch does not work, six watchers at most', () => {
  const firstWatchers = watchersOf();
  expect(watchersOf(firstWatchers)).to.have.length(4);
  expect(watchersOf(VMS)).to.have.length(6);
});

it('other entry VMs replace watchers that are stopping', () => {
  const firstWatchers = watchersOf();
  const replacements = watchersOf(firstWatchers, { stopping: true, watching: true }).filter(
    (id) => !firstWatchers.includes(id),
  );
  expect(replacements).to.have.length(2);
});

it('an entry VM without live peers in its region watches the store', () => {
  const view = new PeerView(heartbeatOf('vm-0' as EntryVmId, 'a1').peer);
  VMS.slice(1).forEach((id, i) =>
    view.recordHeartbeat(heartbeatOf(id, `a${(i % 3) + 1}`, { watching: true }), 0),
  );
  VMS.slice(1).forEach((id) => {
    const { peer, ...rest } = heartbeatOf(`${id}-b` as EntryVmId, 'b1', { watching: true });
    view.recordHeartbeat({ ...rest, peer: { ...peer, region: 'b' as RegionId } }, 2_600);
  });
  expect(view.shouldWatch(2_600)).to.equal(true);
});

// Guards against the loss of a failure domain that ends all watches of its region at once.
it('the watchers of a region are in different failure domains', () => {
  const domainOf = (id: EntryVmId): string => (VMS.indexOf(id) < 6 ? 'a1' : 'a2');
  const views = VMS.map((id) => new PeerView(heartbeatOf(id, domainOf(id)).peer));
  const exchange = (watching: readonly EntryVmId[], nowMs: number): readonly EntryVmId[] => {
    views.forEach((view) =>
      VMS.forEach((id) =>
        view.recordHeartbeat(
          heartbeatOf(id, domainOf(id), { watching: watching.includes(id) }),
          nowMs,
        ),
      ),
    );
    return VMS.filter((_, i) => views[i]?.shouldWatch(nowMs));
  };
  const watchers = [0, 600, 1_200].reduce(exchange, []);
  expect(watchers).to.have.length(2);
  expect(new Set(watchers.map(domainOf)).size).to.equal(2);
});

it('a peer that reports others of its failure domain keeps them live, except one that stops', () => {
  const [self, peer, silent, stopping] = VMS as [EntryVmId, EntryVmId, EntryVmId, EntryVmId];
  const view = new PeerView(heartbeatOf(self, 'a1').peer);
  [silent, stopping].forEach((id) => view.recordHeartbeat(heartbeatOf(id, 'a2'), 0));
  view.recordHeartbeat(heartbeatOf(stopping, 'a2', { stopping: true }), 2_000);
  view.recordHeartbeat(heartbeatOf(peer, 'a2', { near: [peer, silent, stopping] }), 2_400);
  expect(view.live(3_000)).to.include(silent);
  expect(view.live(4_600)).not.to.include(stopping);
});

// Guards against look-ups that name an entry VM long after its end, since others keep reporting it.
it('an entry VM that has died is not reported from domain to domain for the whole silence again', () => {
  const [self, mate, dead] = VMS as [EntryVmId, EntryVmId, EntryVmId];
  const inDomain = new PeerView(heartbeatOf(mate, 'a2').peer);
  const elsewhere = new PeerView(heartbeatOf(self, 'a1').peer);
  [inDomain, elsewhere].forEach((view) => view.recordHeartbeat(heartbeatOf(dead, 'a2'), 0));
  for (let nowMs = 100; nowMs <= 6_000; nowMs += 100) {
    const near = inDomain.readyInDomain(nowMs, true);
    elsewhere.recordHeartbeat(heartbeatOf(mate, 'a2', { near }), nowMs);
  }
  expect(inDomain.live(2_600)).not.to.include(dead);
  expect(elsewhere.live(3_600)).not.to.include(dead);
});

// Guards against late facts: a peer that does not respond must not be chosen for every fetch.
it('a peer that failed to provide its facts is not chosen again at once', () => {
  const [self, near, far] = VMS as [EntryVmId, EntryVmId, EntryVmId];
  const view = new PeerView(heartbeatOf(self, 'a1').peer);
  const revisions = { plan: 2, servers: 2, evacuations: 2 };
  const receiveHeartbeats = (nowMs: number): void => {
    view.recordHeartbeat(heartbeatOf(near, 'a1', { revisions }), nowMs);
    view.recordHeartbeat(heartbeatOf(far, 'a2', { revisions }), nowMs);
  };
  const newerPeer = (nowMs: number): EntryVmId | undefined =>
    view.findNewer({ plan: 1, servers: 1, evacuations: 1 }, nowMs)?.id;
  receiveHeartbeats(0);
  expect(newerPeer(0)).to.equal(near);
  view.recordFetchFailure(near, 1_000);
  receiveHeartbeats(1_100);
  expect(newerPeer(1_100)).to.equal(far);
  view.recordFetchFailure(far, 1_500);
  expect(newerPeer(1_600)).to.equal(undefined);
  expect(newerPeer(2_100)).to.equal(near);
});
