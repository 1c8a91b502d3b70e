#!/usr/bin/env node
/** lovagesail-ctl: what operators do. */
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
import { EXIT_DONE, EXIT_FAILED, failUse, readJson } from './programs.js';

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

/** Prints a result for a program or a person, then ends. */
function finish(result: unknown, lines: readonly string[], code: number): never {
  const text = flags.json ? JSON.stringify(result) : lines.join('\n');
  (code === EXIT_DONE ? process.stdout : process.stderr).write(`${text}\n`);
  process.exit(code);
}

function argument(index: number, name: string): string {
  return args[index] ?? failUse(`${command}: ${name} is missing; see --help`);
}

function pathArgument(index: number): SettingsPath {
  const path = SettingsPath.safeParse(argument(index, 'PATH'));
  return path.success ? path.data : failUse(`${command}: PATH is malformed`);
}

function fileArgument(file: string): unknown {
  const input = readJson(file);
  return input.isOk()
    ? input.value
    : finish([input.error], [formatIssue(input.error)], EXIT_FAILED);
}

function agent(): AgentClient {
  const address = Endpoint.safeParse(flags.agent);
  return address.success ? new AgentClient(address.data) : failUse('--agent is malformed');
}

function finishInvalid(issues: readonly SettingsIssue[]): never {
  return finish({ valid: false, issues }, issues.map(formatIssue), EXIT_FAILED);
}

function validate(): never {
  const input = fileArgument(argument(0, 'FILE'));
  const fleet =
    flags.fleet === undefined ? undefined : FleetSettings.safeParse(fileArgument(flags.fleet));
  if (fleet?.success === false) return failUse('validate: --fleet does not hold fleet settings');
  const isFleet =
    typeof input === 'object' && input !== null && Reflect.get(input, 'kind') === 'fleet';
  const name = isFleet ? FLEET_PATH : String(Reflect.get(Object(input), 'name'));
  const path = SettingsPath.safeParse(flags.path ?? name);
  if (!path.success) return failUse('validate: name a path with --path');
  const checked = checkSettings(path.data, input, { fleet: fleet?.data });
  if (checked.isErr()) return finishInvalid(checked.error);
  return finish({ valid: true, path: path.data }, [`valid as ${path.data}`], EXIT_DONE);
}

/** Prints the reply to a change. */
function finishChange(reply: OperatorReply): never {
  switch (reply.type) {
    case 'applied':
      return finish(reply, [`accepted as version ${reply.version}`], EXIT_DONE);
    case 'invalid':
      return finishInvalid(reply.issues as readonly SettingsIssue[]);
    case 'conflict':
      return finish(
        reply,
        [
          `not changed: version ${reply.version} stands; it differs from yours at:`,
          ...reply.differences.map(
            (each) =>
              `  ${each.path}: stands ${JSON.stringify(each.before)}, yours ${JSON.stringify(each.after)}`,
          ),
        ],
        EXIT_FAILED,
      );
    case 'refused':
      return finish(reply, [explain(reply)], EXIT_FAILED);
    default:
      return finish(reply, [`unexpected reply: ${reply.type}`], EXIT_FAILED);
  }
}

function explain(reply: Extract<OperatorReply, { type: 'refused' }>): string {
  switch (reply.code) {
    case 'wrong_key':
      return 'refused: the key does not open this path';
    case 'no_team':
      return "refused: no team's subtree holds this path";
    case 'store_down':
      return 'not changed: the platform did not take the change';
    case 'unsettled':
      return `not known whether it took effect; settle it with --change-id ${reply.changeId}`;
    case 'not_known':
      return 'no such content is suspected';
    default:
      return reply.code satisfies never;
  }
}

async function operate(req: Parameters<AgentClient['operate']>[0]): Promise<OperatorReply> {
  const reply = await agent().operate(req);
  if (reply.isOk()) return reply.value;
  return finish(reply.error, [`no answer of ${flags.agent}: ${reply.error.message}`], EXIT_FAILED);
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
  return finishChange(reply);
}

async function get(): Promise<never> {
  const reply = await operate({ type: 'get', path: pathArgument(0) });
  if (reply.type !== 'object') return finish(reply, ['nothing stands there'], EXIT_FAILED);
  const { path, version, settings } = reply;
  return finish({ path, version, settings }, [JSON.stringify(settings, null, 2)], EXIT_DONE);
}

async function history(): Promise<never> {
  const reply = await operate({ type: 'get', path: pathArgument(0) });
  if (reply.type !== 'object') return finish(reply, ['nothing stands there'], EXIT_FAILED);
  const lines = reply.history.map((record) => {
    const at = new Date(record.atMs).toISOString();
    const what = record.differences.slice(0, 5).map((each) => each.path);
    return `${at} ${record.who} ${record.changeId} ${what.join(', ')}`;
  });
  return finish(reply.history, lines, EXIT_DONE);
}

/** Marks a backend server as leaving, in whichever service has it. */
async function drain(): Promise<never> {
  const server = argument(0, 'SERVER');
  const known = await operate({ type: 'status' });
  const paths = known.type === 'status' ? known.settings.map((each) => each.path) : [];
  const objects = await Promise.all(paths.map((path) => operate({ type: 'get', path })));
  for (const object of objects) {
    const service =
      object.type === 'object' ? ServiceSettings.safeParse(object.settings) : undefined;
    const has = service?.data?.backendServers.some((each) => each.id === server);
    if (object.type === 'object' && service?.success && has) {
      const backendServers = service.data.backendServers.map((each) =>
        each.id === server ? { ...each, leaving: true } : each,
      );
      return apply(object.path, { ...service.data, backendServers }, object.version);
    }
  }
  return finish({ server }, [`no service has a backend server ${server}`], EXIT_FAILED);
}

async function release(): Promise<never> {
  const fingerprint = Fingerprint.safeParse(argument(0, 'FINGERPRINT'));
  if (!fingerprint.success) return failUse('release: FINGERPRINT is malformed');
  const { who, key } = flags;
  return finishChange(await operate({ type: 'release', fingerprint: fingerprint.data, who, key }));
}

async function status(): Promise<never> {
  const reply = await operate({ type: 'status' });
  if (reply.type !== 'status') return finish(reply, ['unexpected reply'], EXIT_FAILED);
  return finish(
    reply,
    [
      `agent ${reply.self.id} in ${reply.self.failureDomain}`,
      ...reply.members.map(
        (each) =>
          `  ${each.id} ${each.failureDomain} ${each.phase}, dispatches to ${each.dispatching.length} backend servers`,
      ),
      ...reply.settings.map((each) => `  ${each.path} at version ${each.version}`),
      ...reply.suspects.map((each) => `  suspected: ${each.fingerprint}, ${each.crashes} crashes`),
    ],
    EXIT_DONE,
  );
}

async function lookup(): Promise<never> {
  const service = argument(0, 'SERVICE');
  try {
    const body = await got(`http://${flags.entry}/v1/lookup/${service}`, {
      retry: { limit: 0 },
    }).json();
    return finish(body, [JSON.stringify(body, null, 2)], EXIT_DONE);
  } catch (err) {
    const message = err instanceof Error ? err.message : String(err);
    return finish({ code: 'failed', message }, [`look-up failed: ${message}`], EXIT_FAILED);
  }
}

const COMMANDS: Readonly<Record<string, () => Promise<never> | never>> = {
  validate,
  apply: () => apply(pathArgument(0), fileArgument(argument(1, 'FILE')), flags.ifVersion),
  get,
  history,
  drain,
  release,
  status,
  lookup,
};

const run = COMMANDS[command] ?? (() => failUse(`unknown command ${command}; see --help`));
await run();
