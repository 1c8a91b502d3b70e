#!/usr/bin/env node
/** lovagesail-ctl: command-line tool for operators. */
import { randomUUID } from 'node:crypto';
import { userInfo } from 'node:os';
import got from 'got';
import meow from 'meow';
import type { OperatorReply } from '../protocol/index.js';
import { AgentClient } from '../transport/index.js';
import {
  Endpoint,
  Fingerprint,
  FleetSettings,
  ServiceSettings,
  SettingsPath,
  FLEET_PATH,
  checkSettings,
  formatIssue,
} from '../state/index.js';
import type { SettingsIssue } from '../state/index.js';
import { EXIT_OK, EXIT_FAILED, exitWithUsageError, readJson } from './programs.js';

const cli = meow(
  `
  Usage
    $ lovagesail-ctl validate FILE [--path PATH] [--fleet FILE]
    $ lovagesail-ctl apply PATH FILE [--if-version N] [--change-id ID]
    $ lovagesail-ctl get PATH
    $ lovagesail-ctl history PATH
    $ lovagesail-ctl drain SERVER
    $ lovagesail-ctl release FINGERPRINT
    $ lovagesail-ctl status
    $ lovagesail-ctl lookup SERVICE

  Options
    --agent ADDRESS   agent to talk to (LOVAGESAIL_AGENT, or 127.0.0.1:7301)
    --entry ADDRESS   entry to ask for look-ups (LOVAGESAIL_ENTRY, or 127.0.0.1:7101)
    --key KEY         the team's key (LOVAGESAIL_KEY)
    --who NAME        name for the audit trail, default the user's
    --if-version N    change only this version
    --change-id ID    settle a change whose outcome was not known
    --json            answer for programs
    --help            this text
    --version         the version

  Exit codes: 0 done, 1 failed, 2 wrong use
`,
  {
    importMeta: import.meta,
    flags: {
      agent: { type: 'string', default: process.env.LOVAGESAIL_AGENT ?? '127.0.0.1:7301' },
      entry: { type: 'string', default: process.env.LOVAGESAIL_ENTRY ?? '127.0.0.1:7101' },
      key: { type: 'string', default: process.env.LOVAGESAIL_KEY ?? '' },
      who: { type: 'string', default: userInfo().username },
      ifVersion: { type: 'number' },
      changeId: { type: 'string' },
      json: { type: 'boolean', default: false },
      path: { type: 'string' },
      fleet: { type: 'string' },
    },
  },
);

const { flags } = cli;
const [command = '', ...args] = cli.input;

/** Prints a result as JSON or as text, then exits. */
function printAndExit(result: unknown, lines: readonly string[], code: number): never {
  const text = flags.json ? JSON.stringify(result) : lines.join('\n');
  (code === EXIT_OK ? process.stdout : process.stderr).write(`${text}\n`);
  process.exit(code);
}

function requireArgument(index: number, name: string): string {
  return args[index] ?? exitWithUsageError(`${command}: ${name} is missing; see --help`);
}

function requirePath(index: number): SettingsPath {
  const path = SettingsPath.safeParse(requireArgument(index, 'PATH'));
  return path.success ? path.data : exitWithUsageError(`${command}: PATH is malformed`);
}

function readJsonOrExit(file: string): unknown {
  const input = readJson(file);
  return input.isOk()
    ? input.value
    : printAndExit([input.error], [formatIssue(input.error)], EXIT_FAILED);
}

function connectAgent(): AgentClient {
  const address = Endpoint.safeParse(flags.agent);
  return address.success
    ? new AgentClient(address.data)
    : exitWithUsageError('--agent is malformed');
}

function exitInvalid(issues: readonly SettingsIssue[]): never {
  return printAndExit({ valid: false, issues }, issues.map(formatIssue), EXIT_FAILED);
}

function validate(): never {
  const input = readJsonOrExit(requireArgument(0, 'FILE'));
  const fleet =
    flags.fleet === undefined ? undefined : FleetSettings.safeParse(readJsonOrExit(flags.fleet));
  if (fleet?.success === false)
    return exitWithUsageError('validate: the --fleet file does not contain valid fleet settings');
  const isFleet =
    typeof input === 'object' && input !== null && Reflect.get(input, 'kind') === 'fleet';
  const name = isFleet ? FLEET_PATH : String(Reflect.get(Object(input), 'name'));
  const path = SettingsPath.safeParse(flags.path ?? name);
  if (!path.success)
    return exitWithUsageError('validate: no valid settings path; give one with --path');
  const checked = checkSettings(path.data, input, { fleet: fleet?.data });
  if (checked.isErr()) return exitInvalid(checked.error);
  return printAndExit({ valid: true, path: path.data }, [`valid as ${path.data}`], EXIT_OK);
}

/** Prints the reply to a change and exits. */
function exitWithChange(reply: OperatorReply): never {
  switch (reply.type) {
    case 'applied':
      return printAndExit(reply, [`accepted as version ${reply.version}`], EXIT_OK);
    case 'invalid':
      return exitInvalid(reply.issues as readonly SettingsIssue[]);
    case 'conflict':
      return printAndExit(
        reply,
        [
          `not changed: version ${reply.version} stands; it differs from yours at:`,
          ...reply.differences.map(
            (difference) =>
              `  ${difference.path}: stands ${JSON.stringify(difference.before)}, yours ${JSON.stringify(difference.after)}`,
          ),
        ],
        EXIT_FAILED,
      );
    case 'refused':
      return printAndExit(reply, [explainRefusal(reply)], EXIT_FAILED);
    default:
      return printAndExit(reply, [`unexpected reply: ${reply.type}`], EXIT_FAILED);
  }
}

function explainRefusal(reply: Extract<OperatorReply, { type: 'refused' }>): string {
  switch (reply.code) {
    case 'wrong_key':
      return 'refused: the key is not valid for this path';
    case 'no_team':
      return "refused: the path is not in any team's subtree";
    case 'store_down':
      return 'not changed: the store of the platform did not accept the change';
    case 'unsettled':
      return `unknown whether the change took effect; retry with --change-id ${reply.changeId}`;
    case 'not_known':
      return 'no content with this fingerprint is suspected';
    default:
      return reply.code satisfies never;
  }
}

async function operate(req: Parameters<AgentClient['operate']>[0]): Promise<OperatorReply> {
  const reply = await connectAgent().operate(req);
  if (reply.isOk()) return reply.value;
  return printAndExit(
    reply.error,
    [`no answer from ${flags.agent}: ${reply.error.message}`],
    EXIT_FAILED,
  );
}

async function apply(
  path: SettingsPath,
  settings: unknown,
  ifVersion: number | undefined,
): Promise<never> {
  const reply = await operate({
    type: 'apply',
    path,
    settings,
    changeId: flags.changeId ?? randomUUID(),
    who: flags.who,
    key: flags.key,
    ...(ifVersion === undefined ? {} : { ifVersion }),
  });
  return exitWithChange(reply);
}

async function get(): Promise<never> {
  const reply = await operate({ type: 'get', path: requirePath(0) });
  if (reply.type !== 'object')
    return printAndExit(reply, ['no settings at this path'], EXIT_FAILED);
  const { path, version, settings } = reply;
  return printAndExit({ path, version, settings }, [JSON.stringify(settings, null, 2)], EXIT_OK);
}

async function history(): Promise<never> {
  const reply = await operate({ type: 'get', path: requirePath(0) });
  if (reply.type !== 'object')
    return printAndExit(reply, ['no settings at this path'], EXIT_FAILED);
  const lines = reply.history.map((record) => {
    const changedAt = new Date(record.atMs).toISOString();
    const changedPaths = record.differences.slice(0, 5).map((difference) => difference.path);
    return `${changedAt} ${record.who} ${record.changeId} ${changedPaths.join(', ')}`;
  });
  return printAndExit(reply.history, lines, EXIT_OK);
}

/** Marks a backend server as leaving in the service that contains it. */
async function drain(): Promise<never> {
  const server = requireArgument(0, 'SERVER');
  const statusReply = await operate({ type: 'status' });
  const paths =
    statusReply.type === 'status' ? statusReply.settings.map((entry) => entry.path) : [];
  const objects = await Promise.all(paths.map((path) => operate({ type: 'get', path })));
  for (const object of objects) {
    const service =
      object.type === 'object' ? ServiceSettings.safeParse(object.settings) : undefined;
    const hasServer = service?.data?.backendServers.some((entry) => entry.id === server);
    if (object.type === 'object' && service?.success && hasServer) {
      const backendServers = service.data.backendServers.map((entry) =>
        entry.id === server ? { ...entry, leaving: true } : entry,
      );
      return apply(object.path, { ...service.data, backendServers }, object.version);
    }
  }
  return printAndExit({ server }, [`no service has a backend server ${server}`], EXIT_FAILED);
}

async function release(): Promise<never> {
  const fingerprint = Fingerprint.safeParse(requireArgument(0, 'FINGERPRINT'));
  if (!fingerprint.success) return exitWithUsageError('release: FINGERPRINT is malformed');
  const { who, key } = flags;
  return exitWithChange(
    await operate({ type: 'release', fingerprint: fingerprint.data, who, key }),
  );
}

async function status(): Promise<never> {
  const reply = await operate({ type: 'status' });
  if (reply.type !== 'status') return printAndExit(reply, ['unexpected reply'], EXIT_FAILED);
  return printAndExit(
    reply,
    [
      `agent ${reply.self.id} in ${reply.self.failureDomain}`,
      ...reply.members.map(
        (member) =>
          `  ${member.id} ${member.failureDomain} ${member.phase}, dispatches to ${member.dispatching.length} backend servers`,
      ),
      ...reply.settings.map((entry) => `  ${entry.path} at version ${entry.version}`),
      ...reply.suspects.map(
        (suspect) => `  suspected: ${suspect.fingerprint}, ${suspect.crashes} crashes`,
      ),
    ],
    EXIT_OK,
  );
}

async function lookup(): Promise<never> {
  const service = requireArgument(0, 'SERVICE');
  try {
    const body = await got(`http://${flags.entry}/v1/lookup/${service}`, {
      retry: { limit: 0 },
    }).json();
    return printAndExit(body, [JSON.stringify(body, null, 2)], EXIT_OK);
  } catch (err) {
    const message = err instanceof Error ? err.message : String(err);
    return printAndExit({ code: 'failed', message }, [`lookup failed: ${message}`], EXIT_FAILED);
  }
}

const COMMANDS: Readonly<Record<string, () => Promise<never> | never>> = {
  validate,
  apply: () => apply(requirePath(0), readJsonOrExit(requireArgument(1, 'FILE')), flags.ifVersion),
  get,
  history,
  drain,
  release,
  status,
  lookup,
};

const runCommand =
  COMMANDS[command] ?? (() => exitWithUsageError(`unknown command ${command}; see --help`));
await runCommand();
