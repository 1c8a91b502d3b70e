/** What the platform's store holds, in the project's own terms, and the store as it is used here. */
import type { Result } from 'ts-results-es';
import type { FactKind, PeerRecord } from '../coordination/index.js';
import type {
  BackendServerId,
  BackendServerRecord,
  FailureDomainId,
  SteeringPlan,
} from '../state/index.js';

/** One fact, or the end of one. */
export type Fact =
  | { readonly type: 'plan'; readonly plan: SteeringPlan }
  | { readonly type: 'server'; readonly record: BackendServerRecord }
  | { readonly type: 'serverGone'; readonly id: BackendServerId }
  | { readonly type: 'evacuation'; readonly domain: FailureDomainId; readonly active: boolean }
  /** Another writer's object, which says nothing that can be used. */
  | { readonly type: 'unreadable'; readonly name: string; readonly issue: string };

export interface FactBatch {
  readonly facts: readonly Fact[];
  /** The store's revision up to which the facts are complete; a watch goes on from it. */
  readonly revision: number;
  /** The revisions at which the objects that state these facts were written. */
  readonly changes: readonly number[];
}

/** Why a call to the store brought nothing. */
export type StoreFailure =
  /** No connection, or one that broke. A write may have taken effect. */
  | 'unreachable'
  /** No answer in time. */
  | 'silent'
  /** The store turned the call away; nothing was done. */
  | 'refused'
  /** The history since that revision is no longer kept. */
  | 'history_gone'
  | 'unreadable'
  | 'conflict';

/** The platform's store. */
export interface FactStore {
  /** All facts of a kind. The signal ends the call. */
  list(kind: FactKind, signal?: AbortSignal): Promise<Result<FactBatch, StoreFailure>>;
  /**
   * Waits for facts that are newer than a revision.
   *
   * @param holdMs - how long to wait; then the batch is empty.
   */
  watch(
    kind: FactKind,
    since: number,
    holdMs: number,
    signal: AbortSignal,
  ): Promise<Result<FactBatch, StoreFailure>>;
  /** The store's revision now, by a call that waits for nothing. */
  revision(): Promise<Result<number, StoreFailure>>;
  /** Where entry VMs wrote that they are. */
  peers(): Promise<Result<readonly PeerRecord[], StoreFailure>>;
  /** Writes where this entry VM is. */
  announce(record: PeerRecord): Promise<Result<void, StoreFailure>>;
}
