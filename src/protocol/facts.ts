/** Facts from the platform's store in the internal model, and the interface to the store. */
import type { Result } from 'ts-results-es';
import type { FactKind, PeerRecord, StoredCrashes } from '../coordination/index.js';
import type {
  BackendServerId,
  BackendServerRecord,
  FailureDomainId,
  Fingerprint,
  SteeringPlan,
} from '../state/index.js';

/** A fact, or its removal. */
export type Fact =
  | { readonly type: 'plan'; readonly plan: SteeringPlan }
  | { readonly type: 'server'; readonly record: BackendServerRecord }
  | { readonly type: 'serverGone'; readonly id: BackendServerId }
  | { readonly type: 'evacuation'; readonly domain: FailureDomainId; readonly active: boolean }
  /** An object written by another program that cannot be decoded. */
  | { readonly type: 'unreadable'; readonly name: string; readonly issue: string };

export interface FactBatch {
  readonly facts: readonly Fact[];
  /** Store revision up to which the facts are complete; a watch resumes from it. */
  readonly revision: number;
  /** Revisions at which the objects behind these facts were written. */
  readonly changes: readonly number[];
}

/** Why a call to the store failed. */
export type StoreFailure =
  /** Connection failed or broke. A write may have taken effect. */
  | 'unreachable'
  /** Timed out. */
  | 'silent'
  /** Rejected by the store; nothing was done. */
  | 'refused'
  /** The store no longer keeps the history since the requested revision. */
  | 'history_gone'
  | 'unreadable'
  | 'conflict'
  /** The object does not exist. */
  | 'missing';

export interface ListOptions {
  /** Aborts the call. */
  readonly signal?: AbortSignal | undefined;
  /** Whether facts that are seconds old are enough, which costs the store less. @default false */
  readonly mayBeStale?: boolean;
}

/** What entry VMs have stored about content that crashes backend servers. */
export interface CrashList {
  readonly crashes: readonly StoredCrashes[];
  readonly unreadable: readonly (Fact & { readonly type: 'unreadable' })[];
}

/** What a write did to its object. */
export type WriteResult = 'created' | 'replaced';

/** Interface to the platform's store. */
export interface FactStore {
  /** Lists all facts of a kind. */
  list(kind: FactKind, options?: ListOptions): Promise<Result<FactBatch, StoreFailure>>;
  /**
   * Long-polls for facts that are newer than a revision.
   *
   * @param holdMs - maximum wait; after it the batch is empty.
   */
  watch(
    kind: FactKind,
    since: number,
    holdMs: number,
    signal: AbortSignal,
  ): Promise<Result<FactBatch, StoreFailure>>;
  /** Reads the store's current revision without waiting for a change. */
  revision(): Promise<Result<number, StoreFailure>>;
  /** Lists the addresses that entry VMs have published. */
  peers(): Promise<Result<readonly PeerRecord[], StoreFailure>>;
  /** Publishes the addresses of this entry VM. The result tells whether it was published for the first time. */
  announce(record: PeerRecord): Promise<Result<WriteResult, StoreFailure>>;
  /** Lists the evidence about content that crashes backend servers. */
  crashes(options?: ListOptions): Promise<Result<CrashList, StoreFailure>>;
  /** Writes the evidence about one content in place of what is stored. */
  saveCrashes(evidence: StoredCrashes): Promise<Result<WriteResult, StoreFailure>>;
  /** Removes the evidence about one content, if there is any. */
  removeCrashes(fingerprint: Fingerprint): Promise<Result<void, StoreFailure>>;
}
