#!/usr/bin/env node
/** Plays runs of the soak by seed and prints the promises that were broken. */
import { rmSync } from 'node:fs';
import meow from 'meow';
import { SoakWorld } from './worlds.js';
import type { SoakOptions } from './worlds.js';

/** Runs that were red once, with the cause. */
const REGRESSIONS: readonly SoakOptions[] = [
  // Plans not in force: all connections to the store silent, then a change (docs/incidents/02).
  {
    seed: 3,
    nodes: 6,
    lengthMs: 0,
    disturbances: 0,
    script: [
      { atMs: 0, name: 'connections to the store silent, all' },
      { atMs: 4_000, name: 'change of the plan' },
      { atMs: 8_000, name: 'connections to the store silent, all' },
      { atMs: 8_100, name: 'change of the plan' },
      { atMs: 13_000, name: 'change of the plan' },
    ],
  },
  { seed: 3, nodes: 6, lengthMs: 30_000, disturbances: 24 },
];

/** Faults of a run that are printed. */
const MAX_SHOWN = 20;

const cli = meow(
  `
  Usage
    $ npm run soak -- --seed 1 --runs 50

  Options
    --seed N          first seed, default 1
    --runs N          runs, each with the next seed, default 1
    --nodes N         entry VMs, default 6
    --seconds N       time in which disturbances begin, default 15
    --disturbances N  default 12
    --regressions     first the runs that were red once

  Exit codes: 0 all promises kept, 1 some broken
`,
  {
    importMeta: import.meta,
    flags: {
      seed: { type: 'number', default: 1 },
      runs: { type: 'number', default: 1 },
      nodes: { type: 'number', default: 6 },
      seconds: { type: 'number', default: 15 },
      disturbances: { type: 'number', default: 12 },
      regressions: { type: 'boolean', default: false },
    },
  },
);

const { seed, runs, nodes, seconds, disturbances, regressions } = cli.flags;
const drawn = Array.from({ length: runs }, (_, i) => ({
  seed: seed + i,
  nodes,
  lengthMs: seconds * 1_000,
  disturbances,
}));
const all = regressions ? [...REGRESSIONS, ...drawn] : drawn;
let failed = 0;
for (const options of all) {
  const { faults, requests, served, done, directory } = await new SoakWorld(options).run();
  console.log(`seed ${options.seed}: ${served} of ${requests} served, ${faults.length} faults`);
  if (faults.length > 0) {
    failed += 1;
    console.log([...done, ...faults.slice(0, MAX_SHOWN), `logs: ${directory}`].join('\n  '));
  } else rmSync(directory, { recursive: true });
}
console.log(`${all.length - failed} passed, ${failed} failed`);
process.exit(failed === 0 ? 0 : 1);
