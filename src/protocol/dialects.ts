/** Platform-specific header fields, paths and bodies of callers and backend servers. */
import type { LoadReport } from '../coordination/index.js';
import type { BackendServerId, Endpoint, FailureDomainId, RegionId } from '../state/index.js';
import type { HeaderFields } from './headers.js';

/** Request metadata that a caller sends in header fields. */
export interface CallerFields {
  readonly requestId: string | undefined;
  /** Key shared by requests for the same object. */
  readonly affinityKey: string | undefined;
  /** Time that the caller will still wait, in milliseconds. */
  readonly leftMs: number | undefined;
}

/** Response metadata that a backend server sends in header fields. */
export interface ServerFields {
  /** Id of the request that the response belongs to. */
  readonly requestId: string | undefined;
  /** Whether the response carries the server's own signature. */
  readonly signed: boolean;
  /** Whether the server reports that it did not run the request. */
  readonly notRun: boolean;
  /** Whether the address now belongs to another server. */
  readonly misdirected: boolean;
  /** Whether the server announces that it leaves. */
  readonly leaving: boolean;
  /** Time for which the server wants no requests from this entry VM, in milliseconds. */
  readonly holdOffMs: number | undefined;
  readonly load: LoadReport | undefined;
}

/** Location of a caller that looks up entry VMs. */
export interface LookupFields {
  readonly failureDomain: FailureDomainId | undefined;
  readonly region: RegionId | undefined;
}

export interface Dialect {
  readonly readyPath: string;
  readonly lookupPath: string;
  parseCallerFields(headers: HeaderFields): CallerFields;
  /** Header fields to set on a request to a backend server. */
  serverHeaders(server: BackendServerId, leftMs: number): Readonly<Record<string, string>>;
  parseServerFields(status: number, headers: HeaderFields): ServerFields;
  parseLookupFields(query: URLSearchParams): LookupFields;
  lookupBody(addresses: readonly Endpoint[], ttlMs: number): unknown;
}
