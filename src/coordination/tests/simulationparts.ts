/** Parts of the simulation: requests, servers and entry VMs with the counts that the oracle needs. */
import { createHash } from 'node:crypto';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { Fingerprint } from '../../state/index.js';
import type {
  BackendServerId,
  EntryVmId,
  Failure,
  FailureDomainId,
  Incarnation,
  Rank,
  RequestId,
} from '../../state/index.js';
import type { Call, EntryMachine, ForwardResult, RunId, Ticket } from '../index.js';

/** Minimum one-way latency between any two parties. */
export const LATENCY_MS = 1;

/** Creates a generator of pseudo-random numbers in [0, 1) from a seed. */
export function randomFrom(seed: number): () => number {
  const source = xoroshiro128plus(seed);

  return () => (source.next() >>> 0) / 2 ** 32;
}

/** Outcome that a caller received for one send. */
export type Outcome = 'answered' | 'notRun' | 'unknown';

/** A request of a caller, which may be sent several times. */
export interface SimulatedRequest {
  readonly id: RequestId | undefined;
  readonly idempotent: boolean;
  readonly rank: Rank;
  readonly poison: boolean;
  readonly outcomes: Outcome[];
  runs: number;
  /** Number of times that the caller sent it. */
  sendCount: number;
  sentMs: number;
  /** Time from creation to the first outcome, in milliseconds. */
  tookMs: number | undefined;
}

/** A run on a server. */
export interface ServerRun {
  readonly vm: Vm;
  readonly runId: RunId;
  readonly ticket: Ticket;
  responseStarted: boolean;
  ended: boolean;
}

export interface Server {
  readonly id: BackendServerId;
  readonly domain: FailureDomainId;
  readonly slots: number;
  readonly running: Set<ServerRun>;
  /** Maximum number of requests in flight from entry VMs, refused ones included. */
  peakInFlight: number;
  refused: number;
  crashes: number;
  down: boolean;
  /** Closes connections after the run instead of responding. */
  dropsResponses: boolean;
  /** Time at which the last run started. */
  lastRunStartMs: number;
  runTimeFactor: number;
}

export interface Vm {
  readonly id: EntryVmId;
  readonly domain: FailureDomainId;
  incarnation: Incarnation;
  machine: EntryMachine;
  alive: boolean;
  frozenUntilMs: number;
  /** Members that are missing from the member list of this entry VM, whether live or not. */
  readonly excludedMembers: Set<EntryVmId>;
  /** Callbacks that receive the outcome, by ticket. */
  readonly waiting: Map<Ticket, (outcome: Outcome, failure: Failure | undefined) => void>;
  readonly calls: Map<Ticket, { readonly call: Call; readonly request: SimulatedRequest }>;
}

export interface SimulationOptions {
  readonly seed?: number;
  readonly domains?: readonly string[];
  readonly vmsPerDomain?: number;
  readonly serversPerDomain?: number;
  readonly slots?: number;
  /** Run time by rank, in milliseconds. */
  readonly runMs?: Readonly<Record<Rank, number>>;
  readonly service?: Readonly<Record<string, unknown>>;
  readonly settleMs?: number;
  readonly wallMs?: number;
}

/** Result of a forwarded request as the forwarding entry VM receives it. */
export function forwardResultOf(outcome: Outcome, failure: Failure | undefined): ForwardResult {
  if (outcome === 'answered') {
    return { type: 'answered', answer: { status: 200, headers: [], body: new Uint8Array(8) } };
  }
  return failure === undefined ? { type: 'lost' } : { type: 'failed', failure };
}

export function fingerprintOf(text: string): Fingerprint {
  return Fingerprint.parse(createHash('sha256').update(text).digest('hex').slice(0, 32));
}
