/** What must hold, judged by what callers and backend servers have seen. */
import type { Disturbance, SoakNode } from './nodes.js';

/** Time without disturbance after which bounds hold, in milliseconds. */
const STABLE_MS = 3_000;

/** Time in which a confirmed plan is in force, in milliseconds. */
const IN_FORCE_MS = 2_500;

/** Time after which a plan that was seen may not give way to an older one, in milliseconds. */
const ROLLBACK_MS = 250;

/** Timeout of all routes, and the time after it in which a request must have its end, in milliseconds. */
const ROUTE_TIMEOUT_MS = 2_500;
const LATE_MS = 500;

/** Requests that outlast their route's timeout and are late, from which on and above which share it counts. */
const MIN_LATE = 8;
const MAX_LATE_SHARE = 0.25;

/** Share of the requests after all disturbances that must be served. */
const RECOVERED = 0.25;

/** One request of a caller and its end. */
export interface Attempt {
  readonly id: string;
  readonly node: SoakNode;
  readonly incarnation: number;
  readonly idempotent: boolean;
  readonly sentMs: number;
  readonly endedMs: number;
  /** Undefined when the connection ended without an answer. */
  readonly status: number | undefined;
  readonly whole: boolean;
}

/** A request on the route that only one version of the plan has. */
export interface Probe extends Attempt {
  readonly version: number;
}

/** A version of the plan and when the store confirmed it. */
export interface PlanChange {
  readonly version: number;
  readonly atMs: number;
}

/** Where a backend server ran a request. */
export interface RunPlace {
  /** What was done to the server's connections. */
  readonly disturbances: readonly Disturbance[];
  /** Whether the server's answer has no end. */
  readonly endless: boolean;
}

export interface Observed {
  readonly attempts: readonly Attempt[];
  readonly probes: readonly Probe[];
  readonly changes: readonly PlanChange[];
  readonly storeDisturbances: readonly Disturbance[];
  /** The runs that backend servers began of each request. */
  readonly runs: ReadonlyMap<string, readonly RunPlace[]>;
  /** When the last disturbance ended. */
  readonly calmMs: number;
}

const PROMISES = new Set([408, 421, 429, 503]);

function touches(disturbance: Disturbance, fromMs: number, toMs: number): boolean {
  return disturbance.fromMs < toMs && disturbance.toMs > fromMs;
}

/** Whether bounds hold for an entry VM over a time. */
function isInTouch({ storeDisturbances }: Observed, node: SoakNode, from: number, to: number) {
  return [...node.disturbances, ...storeDisturbances].every(
    (each) => !touches(each, from - STABLE_MS, to),
  );
}

function checkAttempts({ attempts, runs }: Observed): string[] {
  return attempts.flatMap(({ id, node, idempotent, status, whole }) => {
    const ran = runs.get(id)?.length ?? 0;
    const seen = `${id} at ${node.id}: status ${status ?? 'none'}, ${ran} runs`;
    const faults: string[] = [];
    if (!idempotent && ran > 1) faults.push(`ran twice: ${seen}`);
    if (!idempotent && ran > 0 && PROMISES.has(status ?? 0))
      faults.push(`not run, but ran: ${seen}`);
    if (status === 200 && !whole) faults.push(`not the whole answer: ${seen}`);
    return faults;
  });
}

/**
 * No request that a server has begun to run is cut off by a planned stop, if the server was reached. One
 * whose every run has no end outlasts any grace.
 */
function checkStops(observed: Observed): string[] {
  return observed.attempts.flatMap(({ id, node, sentMs, endedMs, status }) => {
    const runs = observed.runs.get(id);
    if (status !== undefined || runs === undefined) return [];
    if (runs.every(({ endless }) => endless)) return [];
    const near = [
      ...node.disturbances,
      ...observed.storeDisturbances,
      ...runs.flatMap(({ disturbances }) => disturbances),
    ].filter((each) => touches(each, sentMs - STABLE_MS, endedMs));
    const onlyPlanned = near.length > 0 && near.every((each) => each.planned);
    return onlyPlanned ? [`cut off by a planned stop: ${id} at ${node.id}`] : [];
  });
}

/** Requests that outlast their route's timeout have their end soon after it. */
function checkTimes(observed: Observed): string[] {
  const long = observed.attempts.filter(
    ({ node, sentMs, endedMs }) =>
      endedMs - sentMs > ROUTE_TIMEOUT_MS && isInTouch(observed, node, sentMs, endedMs),
  );
  const late = long.filter(({ sentMs, endedMs }) => endedMs - sentMs > ROUTE_TIMEOUT_MS + LATE_MS);
  if (late.length < MIN_LATE || late.length <= long.length * MAX_LATE_SHARE) return [];
  return [`${late.length} of ${long.length} late at their timeout`];
}

function checkPlans(observed: Observed): string[] {
  const { probes, changes } = observed;
  return probes.flatMap(({ node, version, sentMs, endedMs, status }) => {
    if (status === undefined || !isInTouch(observed, node, sentMs, endedMs)) return [];
    const inForce = changes.findLast(({ atMs }) => atMs + IN_FORCE_MS < sentMs)?.version ?? 0;
    const newest = changes.findLast(({ atMs }) => atMs < endedMs)?.version ?? 0;
    const seen = `plan ${version} at ${node.id}, ${Math.round(sentMs)} ms: ${status}`;
    if (version === newest && version <= inForce && status === 404)
      return [`not in force: ${seen}`];
    if (version < inForce && status === 200) return [`an old plan: ${seen}`];
    return [];
  });
}

function checkRollbacks({ probes }: Observed): string[] {
  const served = probes.filter(({ status }) => status === 200);
  return served.flatMap((old) => {
    const newer = served.find(
      (each) =>
        each.node === old.node &&
        each.incarnation === old.incarnation &&
        each.version > old.version &&
        each.endedMs + ROLLBACK_MS < old.sentMs,
    );
    return newer === undefined
      ? []
      : [`back from plan ${newer.version} to ${old.version} at ${old.node.id}`];
  });
}

function checkRecovery({ attempts, calmMs }: Observed): string[] {
  const after = attempts.filter(({ sentMs }) => sentMs > calmMs + STABLE_MS);
  const served = after.filter(({ status }) => status === 200).length;
  return after.length > 0 && served >= after.length * RECOVERED
    ? []
    : [`${served} of ${after.length} served after the last disturbance`];
}

/** @returns each promise that was broken. */
export function check(observed: Observed): readonly string[] {
  return [checkAttempts, checkStops, checkTimes, checkPlans, checkRollbacks, checkRecovery].flatMap(
    (each) => each(observed),
  );
}
