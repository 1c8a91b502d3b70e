/** Which entry VMs of a failure domain watch the store for the others. */
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

function beatOf(id: EntryVmId, domain: string, change: Partial<Heartbeat> = {}): Heartbeat {
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
    ...change,
  };
}

/** Entry VMs that hold themselves for watchers once all have heard all, round after round. */
function watchersOf(
  silent: readonly EntryVmId[] = [],
  change: Partial<Heartbeat> = {},
): readonly EntryVmId[] {
  const views = VMS.map((id) => new PeerView(beatOf(id, 'a1').peer));
  const after = (watching: readonly EntryVmId[], nowMs: number): readonly EntryVmId[] => {
    const beats = VMS.map((id) => {
      const isSilent = silent.includes(id);
      const works = watching.includes(id) && !isSilent;
      return beatOf(id, 'a1', { watching: works, ...(isSilent ? change : {}) });
    });
    views.forEach((view) => beats.forEach((beat) => view.heard(beat, nowMs)));
    return VMS.filter((_, i) => views[i]?.isWatcher(nowMs));
  };
  return [0, 600, 1_200].reduce(after, []);
}

it('two entry VMs of a failure domain watch for the others', () => {
  expect(watchersOf()).to.have.length(2);
});

it('others take over from watchers that get no answers, four at most', () => {
  const first = watchersOf();
  expect(watchersOf(first)).to.have.length(4);
  expect(watchersOf(VMS)).to.have.length(4);
});

it('others take over from watchers that stop', () => {
  const first = watchersOf();
  const after = watchersOf(first, { stopping: true, watching: true }).filter(
    (id) => !first.includes(id),
  );
  expect(after).to.have.length(2);
});

it('an entry VM that hears nobody of its failure domain watches', () => {
  const view = new PeerView(beatOf('vm-0' as EntryVmId, 'a1').peer);
  VMS.slice(1).forEach((id) => view.heard(beatOf(id, 'a1', { watching: true }), 0));
  VMS.slice(1).forEach((id) =>
    view.heard(beatOf(`${id}-b` as EntryVmId, 'a2', { watching: true }), 2_600),
  );
  expect(view.isWatcher(2_600)).to.equal(true);
});

// Guards against facts that are late because one entry VM that does not answer is asked again and again.
it('an entry VM that did not hand over its facts is not asked again at once', () => {
  const [self, near, far] = VMS as [EntryVmId, EntryVmId, EntryVmId];
  const view = new PeerView(beatOf(self, 'a1').peer);
  const revisions = { plan: 2, servers: 2, evacuations: 2 };
  const hear = (nowMs: number): void => {
    view.heard(beatOf(near, 'a1', { revisions }), nowMs);
    view.heard(beatOf(far, 'a2', { revisions }), nowMs);
  };
  const asked = (nowMs: number): EntryVmId | undefined =>
    view.ahead({ plan: 1, servers: 1, evacuations: 1 }, nowMs)?.id;
  hear(0);
  expect(asked(0)).to.equal(near);
  view.failed(near, 1_000);
  hear(1_100);
  expect(asked(1_100)).to.equal(far);
  view.failed(far, 1_500);
  expect(asked(1_600)).to.equal(undefined);
  expect(asked(2_100)).to.equal(near);
});
