#!/usr/bin/env node
/** lovagesail-load: open-loop load generator that reports latencies by rank and outcome. */
import got from 'got';
import meow from 'meow';
import * as z from 'zod';
import { LoadRun } from './loadruns.js';
import type { LoadClass, LoadRow, LoadTarget } from './loadruns.js';
import { EXIT_OK, EXIT_FAILED, exitWithUsageError } from './programs.js';

const cli = meow(
  `
  Usage
    $ lovagesail-load SERVICE [options]

  Options
    --entry ADDRESS     entry to ask for the look-up, default 127.0.0.1:7101
    --direct ADDRESS    sends the same arrivals to this backend server as well
    --urgent N          POSTs a second, default 10
    --interactive N     GETs a second, default 50
    --bulk N            GETs of documents a second, default 2
    --urgent-path P     default /deposits/load
    --interactive-path P  default /prices/load
    --bulk-path P       default /guides/load?bytes=200000&ms=50
    --seconds N         default 10
    --seed N            of the arrivals, default 1
    --deadline MS       default 10000
    --json              answer for programs
    --help              this text
    --version           the version

  Exit codes: 0 done, 1 nothing was answered, 2 wrong use
`,
  {
    importMeta: import.meta,
    flags: {
      entry: { type: 'string', default: '127.0.0.1:7101' },
      direct: { type: 'string' },
      urgent: { type: 'number', default: 10 },
      interactive: { type: 'number', default: 50 },
      bulk: { type: 'number', default: 2 },
      urgentPath: { type: 'string', default: '/deposits/load' },
      interactivePath: { type: 'string', default: '/prices/load' },
      bulkPath: { type: 'string', default: '/guides/load?bytes=200000&ms=50' },
      seconds: { type: 'number', default: 10 },
      seed: { type: 'number', default: 1 },
      deadline: { type: 'number', default: 10_000 },
      json: { type: 'boolean', default: false },
    },
  },
);

const PROGRESS_INTERVAL_MS = 500;

const Lookup = z.object({
  targets: z.array(z.object({ address: z.string(), requestIdPrefix: z.string() })).min(1),
});

const { flags } = cli;
const service = cli.input[0] ?? exitWithUsageError('SERVICE is missing; see --help');

async function lookUpTarget(): Promise<LoadTarget> {
  try {
    const body = await got(`http://${flags.entry}/v1/lookup/${service}`).json();
    const [target] = Lookup.parse(body).targets;
    if (target === undefined) throw new Error('the answer lists no entry VM');
    const base = `http://${target.address}/v1/call/${service}`;
    return { name: 'lovagesail', base, requestIdPrefix: target.requestIdPrefix };
  } catch (err) {
    const reason = err instanceof Error ? err.message : String(err);
    process.stderr.write(`lookup failed: ${reason}\n`);
    return process.exit(EXIT_FAILED);
  }
}

function formatRow(row: LoadRow): string {
  const times = [row.p50Ms, row.p99Ms, row.p999Ms, row.maxMs].map((ms) =>
    ms.toFixed(1).padStart(9),
  );
  const names = `${row.target.padEnd(11)}${row.rank.padEnd(12)}${row.outcome.padEnd(9)}`;
  return `${names}${String(row.count).padStart(7)}${times.join('')}`;
}

const classes: readonly LoadClass[] = [
  { rank: 'urgent', perSecond: flags.urgent, method: 'POST', path: flags.urgentPath },
  { rank: 'interactive', perSecond: flags.interactive, method: 'GET', path: flags.interactivePath },
  { rank: 'bulk', perSecond: flags.bulk, method: 'GET', path: flags.bulkPath },
];
const targets = [await lookUpTarget()];
if (flags.direct !== undefined) {
  const base = `http://${flags.direct}`;
  targets.push({ name: 'direct', base, requestIdPrefix: undefined });
}
const { seconds, seed, deadline: deadlineMs } = flags;
const loadRun = new LoadRun({ classes, targets, seconds, seed, deadlineMs });
const progress = process.stderr.isTTY
  ? setInterval(() => process.stderr.write(`\r${loadRun.progress}`), PROGRESS_INTERVAL_MS)
  : undefined;
const rows = await loadRun.run();
clearInterval(progress);
if (flags.json) {
  process.stdout.write(`${JSON.stringify({ seed, seconds, rows })}\n`);
} else {
  const header = 'target     rank        outcome    count   p50 ms   p99 ms p99.9 ms   max ms';
  process.stdout.write(`${[header, ...rows.map(formatRow)].join('\n')}\n`);
}
process.exit(rows.some((row) => row.outcome === 'answered') ? EXIT_OK : EXIT_FAILED);
