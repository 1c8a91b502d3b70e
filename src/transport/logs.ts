/** Structured logs: one JSON object per line, each for a numbered event listed in docs/LOG-EVENTS.md. */
import log from 'loglevel';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

interface LogEvent {
  readonly id: number;
  readonly level: LogLevel;
  readonly text: string;
}

/** All events, by name. Numbers of removed events are never reused. */
export const LOG_EVENTS = {
  processStarted: { id: 101, level: 'info', text: 'process started' },
  processStopping: { id: 102, level: 'info', text: 'process stopping, no new work accepted' },
  processStopped: { id: 103, level: 'info', text: 'process stopped' },
  invariantBroken: { id: 104, level: 'error', text: 'invariant violated, process exits' },
  linesDropped: { id: 105, level: 'warn', text: 'log lines dropped, too many at once' },
  processorShort: { id: 106, level: 'warn', text: 'processor utilization high, callers wait' },
  processorEnough: { id: 107, level: 'info', text: 'processor utilization back to normal' },
  settingsInForce: { id: 201, level: 'info', text: 'settings version in force' },
  settingsRejected: {
    id: 202,
    level: 'error',
    text: 'settings version failed validation, not applied',
  },
  watchStarted: { id: 203, level: 'info', text: 'watch of the platform started' },
  watchFailed: { id: 204, level: 'warn', text: 'watch of the platform failed, will retry' },
  factsListed: { id: 206, level: 'info', text: 'facts listed from the store' },
  historyGone: { id: 207, level: 'warn', text: 'store history no longer available, listing again' },
  storeLost: {
    id: 208,
    level: 'warn',
    text: 'store does not answer, carrying on with known facts',
  },
  storeRegained: { id: 209, level: 'info', text: 'store answers again' },
  factUnreadable: { id: 210, level: 'warn', text: 'object in the store is unreadable, ignored' },
  planInForce: { id: 211, level: 'info', text: 'plan version in force' },
  serverChanged: { id: 212, level: 'info', text: 'backend server added or changed' },
  serverGone: { id: 213, level: 'info', text: 'backend server is gone from the store' },
  evacuationChanged: { id: 214, level: 'info', text: 'evacuation of a failure domain changed' },
  factsFromPeer: { id: 215, level: 'info', text: 'newer facts received from another entry VM' },
  settingsReloaded: { id: 216, level: 'info', text: 'settings file reloaded' },
  planOutdated: { id: 217, level: 'warn', text: 'plan older than the one in force, ignored' },
  changesMissed: { id: 219, level: 'info', text: 'watch missed a change, listing again' },
  factsBehind: { id: 218, level: 'info', text: 'another entry VM has newer facts' },
  watchEnded: {
    id: 205,
    level: 'info',
    text: 'watch of the platform ended, other entry VMs watch it',
  },
  membersChanged: { id: 301, level: 'info', text: 'set of live entry VMs changed' },
  peerUnreachable: { id: 302, level: 'debug', text: 'another agent did not answer' },
  peerFailed: { id: 305, level: 'warn', text: 'exchange with another entry VM failed' },
  agentLost: {
    id: 303,
    level: 'warn',
    text: 'no connection to the agent, carrying on with known state',
  },
  agentFound: { id: 304, level: 'info', text: 'connected to the agent' },
  requestUnknown: {
    id: 401,
    level: 'warn',
    text: 'request failed, caller informed that the outcome is unknown',
  },
  requestNotRun: { id: 402, level: 'info', text: 'request not run, caller informed' },
  requestPlaced: { id: 403, level: 'info', text: 'request sent to a backend server' },
  requestRepeated: { id: 404, level: 'info', text: 'retry of a request allowed or denied' },
  requestEnded: { id: 405, level: 'info', text: 'request reached its final state' },
  requestAbandoned: { id: 406, level: 'info', text: 'caller disconnected before the response' },
  backendCrashed: { id: 501, level: 'error', text: 'backend server crashed while running work' },
  contentReleased: {
    id: 502,
    level: 'info',
    text: 'content no longer suspected of crashing servers',
  },
  backendLeaving: { id: 503, level: 'info', text: 'backend server reported that it is leaving' },
  backendReturned: { id: 504, level: 'info', text: 'backend server reported that it is serving' },
  serverUnreachable: {
    id: 505,
    level: 'warn',
    text: 'no connection to a backend server, ejecting it',
  },
  serverReached: { id: 506, level: 'info', text: 'backend server reachable again' },
  serverMisdirected: { id: 507, level: 'info', text: 'address belongs to another backend server' },
  answerLost: { id: 508, level: 'info', text: 'no whole response to a request that was sent' },
  serverCrashed: {
    id: 509,
    level: 'warn',
    text: 'backend server refuses connections after it lost a request',
  },
  contentQuarantined: {
    id: 510,
    level: 'warn',
    text: 'content crashes backend servers, refused from now on',
  },
  contentTried: { id: 511, level: 'warn', text: 'quarantined content is tried once more' },
  crashesSaved: { id: 514, level: 'info', text: 'evidence of content that crashes servers stored' },
  crashesRemoved: { id: 515, level: 'info', text: 'evidence of content removed from the store' },
  crashesUnsaved: {
    id: 516,
    level: 'warn',
    text: 'store does not take evidence of content that crashes servers, will retry',
  },
  crashesUnread: {
    id: 517,
    level: 'warn',
    text: 'store does not list content that crashes servers, will retry',
  },
  serverLeaving: { id: 512, level: 'info', text: 'backend server announced that it leaves' },
  serverHeldOff: {
    id: 513,
    level: 'info',
    text: 'backend server wants no requests for some time',
  },
  changeAccepted: { id: 601, level: 'info', text: 'change of settings accepted' },
  changeRefused: { id: 602, level: 'warn', text: 'change of settings refused' },
} as const satisfies Record<string, LogEvent>;

export type LogEventName = keyof typeof LOG_EVENTS;

/** Details of an event, as a flat JSON object. */
export type LogDetails = Readonly<Record<string, unknown>>;

/** Writes an event to the process's log. */
export type Logger = (event: LogEventName, details?: LogDetails) => void;

export interface LoggerOptions {
  readonly level?: LogLevel;
  /** Writes a line. @default standard output */
  readonly write?: (line: string, level: LogLevel) => void;
  readonly wallMs?: () => number;
}

/**
 * Creates a logger.
 *
 * @param process - the program's name and the id of its entry VM, written to each line.
 */
export function createLogger(
  process: { readonly program: string; readonly entryVm: string },
  options: LoggerOptions = {},
): Logger {
  const {
    level = 'info',
    write = (line) => globalThis.console.log(line),
    wallMs = Date.now,
  } = options;
  const logger = log.getLogger(`${process.program}/${process.entryVm}`);
  logger.methodFactory = (method) => (line: string) => write(line, method as LogLevel);
  logger.setLevel(level, false);
  return (event, details = {}) => {
    const { id, level: eventLevel, text } = LOG_EVENTS[event];
    const at = new Date(wallMs()).toISOString();
    const line = { at, event: id, level: eventLevel, text, ...process, ...details };
    logger[eventLevel](JSON.stringify(line));
  };
}
