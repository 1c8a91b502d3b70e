/** Invariants of a soak run, checked against the observations of callers and backend servers. */
import type { Disturbance, SoakNode } from './nodeprocesses.js';

/** Time after a disturbance until the bounds apply again, in milliseconds. */
const SETTLING_MS = 3_000;

/** Maximum time from the store's confirmation of a plan until entry VMs apply it, in milliseconds. */
const PLAN_ROLLOUT_MS = 2_500;

/** Time after a response by a plan from which no older plan may serve, in milliseconds. */
const ROLLBACK_TOLERANCE_MS = 250;

/** Longest route timeout, and the time after it within which a request must end, in milliseconds. */
const ROUTE_TIMEOUT_MS = 2_500;
const TIMEOUT_TOLERANCE_MS = 500;

/** The timeout check fails if at least this many timed-out requests end late and their share exceeds the maximum. */
const MIN_LATE_REQUESTS = 8;
const MAX_LATE_SHARE = 0.25;

/** Minimum share of requests served after the last disturbance. */
const MIN_RECOVERED_SHARE = 0.25;

/** One request of a caller and its result. */
export interface CallerRequest {
  readonly id: string;
  readonly node: SoakNode;
  readonly incarnation: number;
  readonly idempotent: boolean;
  readonly sentMs: number;
  readonly endedMs: number;
  /** Undefined if the connection ended without a response. */
  readonly status: number | undefined;
  /** Whether the response is complete and belongs to this request. */
  readonly whole: boolean;
}

/** A request on a route that exists only in one version of the plan. */
export interface PlanProbe extends CallerRequest {
  readonly version: number;
}

/** A version of the plan and when the store confirmed it. */
export interface PlanChange {
  readonly version: number;
  readonly atMs: number;
}

/** Conditions under which a backend server ran a request. */
export interface RunConditions {
  /** Disturbances of the server's connections. */
  readonly disturbances: readonly Disturbance[];
  /** Whether the server's response is endless. */
  readonly endless: boolean;
}

export interface Observations {
  readonly requests: readonly CallerRequest[];
  readonly probes: readonly PlanProbe[];
  readonly changes: readonly PlanChange[];
  readonly storeDisturbances: readonly Disturbance[];
  /** Runs that backend servers started, by request id. */
  readonly runs: ReadonlyMap<string, readonly RunConditions[]>;
  readonly crashes: readonly ServerCrash[];
  /** Time at which the last disturbance ended. */
  readonly disturbancesEndedMs: number;
}

/** A backend server that crashed while it ran a request. */
export interface ServerCrash {
  readonly content: string;
  readonly requestId: string;
  readonly atMs: number;
  /** Disturbances of the server's connections. */
  readonly disturbances: readonly Disturbance[];
}

/** Crashes after which content must be refused, the time in which entry VMs agree on it, and later exceptions. */
const CRASHES_TO_REFUSE = 3;
const AGREEMENT_MS = 4_000;
const MAX_LATE_CRASHES = 3;

/** Statuses which state that the request was not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

function overlaps(disturbance: Disturbance, fromMs: number, toMs: number): boolean {
  return disturbance.fromMs < toMs && disturbance.toMs > fromMs;
}

/** Whether the bounds apply to an entry VM in the whole period. */
function isUndisturbed(
  { storeDisturbances }: Observations,
  node: SoakNode,
  fromMs: number,
  toMs: number,
) {
  return [...node.disturbances, ...storeDisturbances].every(
    (disturbance) => !overlaps(disturbance, fromMs - SETTLING_MS, toMs),
  );
}

function checkRequests({ requests, runs }: Observations): string[] {
  return requests.flatMap(({ id, node, idempotent, status, whole }) => {
    const runCount = runs.get(id)?.length ?? 0;
    const summary = `${id} at ${node.id}: status ${status ?? 'none'}, ${runCount} runs`;
    const violations: string[] = [];
    if (!idempotent && runCount > 1)
      violations.push(`non-idempotent request ran more than once: ${summary}`);
    if (!idempotent && runCount > 0 && NOT_RUN_STATUSES.has(status ?? 0))
      violations.push(`request ran although the status says it was not run: ${summary}`);
    if (status === 200 && !whole)
      violations.push(`status 200 without a whole response: ${summary}`);
    return violations;
  });
}

/**
 * A planned stop does not cut off a request that a backend server has started to run. A request whose
 * runs are all endless is exempt, since it outlasts any grace period.
 */
function checkStops(observations: Observations): string[] {
  return observations.requests.flatMap(({ id, node, sentMs, endedMs, status }) => {
    const runs = observations.runs.get(id);
    if (status !== undefined || runs === undefined) return [];
    if (runs.every(({ endless }) => endless)) return [];
    const nearby = [
      ...node.disturbances,
      ...observations.storeDisturbances,
      ...runs.flatMap(({ disturbances }) => disturbances),
    ].filter((disturbance) => overlaps(disturbance, sentMs - SETTLING_MS, endedMs));
    const onlyPlanned = nearby.length > 0 && nearby.every((disturbance) => disturbance.planned);
    return onlyPlanned ? [`request cut off by a planned stop: ${id} at ${node.id}`] : [];
  });
}

/** Requests that exceed their route's timeout end soon after it. */
function checkTimeouts(observations: Observations): string[] {
  const timedOut = observations.requests.filter(
    ({ node, sentMs, endedMs }) =>
      endedMs - sentMs > ROUTE_TIMEOUT_MS && isUndisturbed(observations, node, sentMs, endedMs),
  );
  const late = timedOut.filter(
    ({ sentMs, endedMs }) => endedMs - sentMs > ROUTE_TIMEOUT_MS + TIMEOUT_TOLERANCE_MS,
  );
  if (late.length < MIN_LATE_REQUESTS || late.length <= timedOut.length * MAX_LATE_SHARE) return [];
  return [
    `${late.length} of ${timedOut.length} timed-out requests still open at the end of the tolerance`,
  ];
}

function checkPlans(observations: Observations): string[] {
  const { probes, changes } = observations;
  return probes.flatMap(({ node, version, sentMs, endedMs, status }) => {
    if (status === undefined || !isUndisturbed(observations, node, sentMs, endedMs)) return [];
    const expectedVersion =
      changes.findLast(({ atMs }) => atMs + PLAN_ROLLOUT_MS < sentMs)?.version ?? 0;
    const newestVersion = changes.findLast(({ atMs }) => atMs < endedMs)?.version ?? 0;
    const summary = `plan ${version} at ${node.id}, ${Math.round(sentMs)} ms: status ${status}`;
    if (version === newestVersion && version <= expectedVersion && status === 404)
      return [`confirmed plan is not in force: ${summary}`];
    if (version < expectedVersion && status === 200)
      return [`outdated plan is still in force: ${summary}`];
    return [];
  });
}

function checkRollbacks({ probes }: Observations): string[] {
  const served = probes.filter(({ status }) => status === 200);
  return served.flatMap((later) => {
    const earlier = served.find(
      (probe) =>
        probe.node === later.node &&
        probe.incarnation === later.incarnation &&
        probe.version > later.version &&
        probe.endedMs + ROLLBACK_TOLERANCE_MS < later.sentMs,
    );
    return earlier === undefined
      ? []
      : [`rolled back from plan ${earlier.version} to ${later.version} at ${later.node.id}`];
  });
}

/** Content that crashed three servers reaches hardly any more, through entry VMs that nothing was done to. */
function checkCrashes({ crashes, requests }: Observations): string[] {
  const nodes = new Map(requests.map(({ id, node }) => [id, node]));
  const isCalm = ({ requestId }: ServerCrash, fromMs: number, toMs: number): boolean =>
    nodes
      .get(requestId)
      ?.disturbances.every((disturbance) => !overlaps(disturbance, fromMs, toMs)) ?? false;
  return [...new Set(crashes.map(({ content }) => content))].flatMap((content) => {
    const ofContent = crashes.filter((crash) => crash.content === content);
    const observed = ofContent.filter(
      (crash) =>
        isCalm(crash, crash.atMs - SETTLING_MS, crash.atMs + SETTLING_MS) &&
        crash.disturbances.every(
          (disturbance) =>
            !overlaps(disturbance, crash.atMs - SETTLING_MS, crash.atMs + SETTLING_MS),
        ),
    );
    const thirdMs = observed[CRASHES_TO_REFUSE - 1]?.atMs ?? Infinity;
    const late = ofContent.filter(
      (crash) =>
        crash.atMs > thirdMs + AGREEMENT_MS && isCalm(crash, crash.atMs - AGREEMENT_MS, crash.atMs),
    );
    return late.length > MAX_LATE_CRASHES
      ? [
          `${content} crashed ${late.length} servers long after the third, ${ofContent.length} in all`,
        ]
      : [];
  });
}

function checkRecovery({ requests, disturbancesEndedMs }: Observations): string[] {
  const after = requests.filter(({ sentMs }) => sentMs > disturbancesEndedMs + SETTLING_MS);
  const served = after.filter(({ status }) => status === 200).length;
  return after.length > 0 && served >= after.length * MIN_RECOVERED_SHARE
    ? []
    : [`${served} of ${after.length} requests served after the last disturbance`];
}

/** @returns a message for each violated invariant. */
export function checkInvariants(observations: Observations): readonly string[] {
  return [
    checkRequests,
    checkStops,
    checkTimeouts,
    checkPlans,
    checkRollbacks,
    checkCrashes,
    checkRecovery,
  ].flatMap((checkInvariant) => checkInvariant(observations));
}
