/** The header fields, paths and bodies that callers and backend servers use at one platform. */
import type { LoadReport } from '../coordination/index.js';
import type { BackendServerId, Endpoint, FailureDomainId, RegionId } from '../state/index.js';
import type { HeaderFields } from './headers.js';

/** What a caller says of its request. */
export interface CallerFields {
  readonly requestId: string | undefined;
  /** Equal for requests on the same object. */
  readonly affinityKey: string | undefined;
  /** How long the caller waits, in milliseconds. */
  readonly leftMs: number | undefined;
}

/** What a backend server says of its answer. */
export interface ServerFields {
  /** The request that the answer belongs to. */
  readonly requestId: string | undefined;
  /** Whether the answer bears the server's own signature. */
  readonly signed: boolean;
  /** Whether the server says that it did not run the request. */
  readonly notRun: boolean;
  /** Whether another server has the address. */
  readonly otherServer: boolean;
  readonly load: LoadReport | undefined;
}

/** Where a caller is that asks which entry VMs to use. */
export interface LookupFields {
  readonly failureDomain: FailureDomainId | undefined;
  readonly region: RegionId | undefined;
}

export interface Dialect {
  readonly readyPath: string;
  readonly lookupPath: string;
  readCaller(headers: HeaderFields): CallerFields;
  /** Fields that are set anew towards a backend server. */
  serverHeaders(server: BackendServerId, leftMs: number): Readonly<Record<string, string>>;
  readServer(status: number, headers: HeaderFields): ServerFields;
  readLookup(query: URLSearchParams): LookupFields;
  lookupBody(addresses: readonly Endpoint[], ttlMs: number): unknown;
}
