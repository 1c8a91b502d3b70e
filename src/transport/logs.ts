/** Structured logs: one JSON object a line, each of a numbered event. docs/LOG-EVENTS.md lists them. */
import log from 'loglevel';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

interface LogEvent {
  readonly id: number;
  readonly level: LogLevel;
  readonly text: string;
}

/** All events, by name. Numbers are never used again for something else. */
export const LOG_EVENTS = {
  processStarted: { id: 101, level: 'info', text: 'process started' },
  processStopping: { id: 102, level: 'info', text: 'process stops taking new work' },
  processStopped: { id: 103, level: 'info', text: 'process stopped' },
  invariantBroken: { id: 104, level: 'error', text: 'invariant broken, process ends' },
  linesDropped: { id: 105, level: 'warn', text: 'log lines dropped, too many at once' },
  processorShort: { id: 106, level: 'warn', text: 'processor time is short, callers wait' },
  processorEnough: { id: 107, level: 'info', text: 'processor time suffices again' },
  settingsInForce: { id: 201, level: 'info', text: 'settings version in force' },
  settingsRejected: {
    id: 202,
    level: 'error',
    text: 'settings version failed its checks, not taken',
  },
  watchStarted: { id: 203, level: 'info', text: 'watch of the platform started' },
  watchFailed: { id: 204, level: 'warn', text: 'watch of the platform failed, will try again' },
  factsListed: { id: 206, level: 'info', text: 'facts listed from the store' },
  historyGone: { id: 207, level: 'warn', text: 'store no longer keeps the history, listing anew' },
  storeLost: { id: 208, level: 'warn', text: 'store does not answer, going on with what is known' },
  storeRegained: { id: 209, level: 'info', text: 'store answers again' },
  factUnreadable: { id: 210, level: 'warn', text: 'object of the store not readable, not taken' },
  planInForce: { id: 211, level: 'info', text: 'plan version in force' },
  serverChanged: { id: 212, level: 'info', text: 'backend server listed or changed' },
  serverGone: { id: 213, level: 'info', text: 'backend server is gone from the store' },
  evacuationChanged: { id: 214, level: 'info', text: 'evacuation of a failure domain changed' },
  factsFromPeer: { id: 215, level: 'info', text: 'newer facts taken from another entry VM' },
  settingsReloaded: { id: 216, level: 'info', text: 'settings file read again' },
  planOutdated: { id: 217, level: 'warn', text: 'plan older than the one in force, not taken' },
  changesMissed: { id: 219, level: 'info', text: 'no watch told of a change, listing anew' },
  factsBehind: { id: 218, level: 'info', text: 'another entry VM has newer facts' },
  watchEnded: { id: 205, level: 'info', text: 'watch of the platform ended, others have it' },
  membersChanged: { id: 301, level: 'info', text: 'live entry VMs changed' },
  peerUnreachable: { id: 302, level: 'debug', text: 'another agent did not answer' },
  peerFailed: { id: 305, level: 'warn', text: 'exchange with another entry VM failed' },
  agentLost: {
    id: 303,
    level: 'warn',
    text: 'no connection to the agent, going on with what is known',
  },
  agentFound: { id: 304, level: 'info', text: 'connected to the agent' },
  requestUnknown: { id: 401, level: 'warn', text: 'caller told that the outcome is unknown' },
  requestNotRun: { id: 402, level: 'info', text: 'caller told that the request was not run' },
  requestPlaced: { id: 403, level: 'info', text: 'request sent to a backend server' },
  requestRepeated: { id: 404, level: 'info', text: 'repeat of a request decided' },
  requestEnded: { id: 405, level: 'info', text: 'request has its final state' },
  requestAbandoned: { id: 406, level: 'info', text: 'caller has left before its answer' },
  backendCrashed: { id: 501, level: 'error', text: 'backend server crashed while running work' },
  contentReleased: { id: 502, level: 'info', text: 'content is no longer suspected' },
  backendLeaving: { id: 503, level: 'info', text: 'backend server said that it is leaving' },
  backendReturned: { id: 504, level: 'info', text: 'backend server said that it is serving' },
  serverUnreachable: {
    id: 505,
    level: 'warn',
    text: 'no connection to a backend server, resting it',
  },
  serverReached: { id: 506, level: 'info', text: 'backend server can be reached again' },
  serverMisdirected: { id: 507, level: 'info', text: 'address has another backend server' },
  answerLost: { id: 508, level: 'info', text: 'no whole answer to a request that was sent' },
  changeAccepted: { id: 601, level: 'info', text: 'change of settings accepted' },
  changeRefused: { id: 602, level: 'warn', text: 'change of settings refused' },
} as const satisfies Record<string, LogEvent>;

export type LogEventName = keyof typeof LOG_EVENTS;

/** Details of an event: flat, JSON. */
export type LogDetails = Readonly<Record<string, unknown>>;

/** Writes events of one process. */
export type Logger = (event: LogEventName, details?: LogDetails) => void;

/** Options of a logger. */
export interface LoggerOptions {
  readonly level?: LogLevel;
  /** Takes each line. @default standard output */
  readonly write?: (line: string, level: LogLevel) => void;
  readonly wallMs?: () => number;
}

/**
 * Makes a logger.
 *
 * @param process - the program's name and its VM, in each line.
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
