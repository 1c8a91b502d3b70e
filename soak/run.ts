#!/usr/bin/env node
/** Plays runs of the soak by seed and prints the promises that were broken. */
import { rmSync } from 'node:fs';
import meow from 'meow';
import { randomOf } from './randoms.js';
import { SoakWorld } from './worlds.js';

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
    },
  },
);

const { seed, runs, nodes, seconds, disturbances } = cli.flags;
let broken = 0;
for (let i = 0; i < runs; i += 1) {
  const world = new SoakWorld({
    random: randomOf(seed + i),
    nodes,
    lengthMs: seconds * 1_000,
    disturbances,
  });
  const { faults, requests, served, done, directory } = await world.run();
  console.log(`seed ${seed + i}: ${served} of ${requests} served, ${faults.length} faults`);
  if (faults.length > 0) {
    broken += 1;
    console.log([...done, ...faults.slice(0, 20), `logs: ${directory}`].join('\n  '));
  } else rmSync(directory, { recursive: true });
}
console.log(`${runs - broken} passed, ${broken} failed`);
process.exit(broken === 0 ? 0 : 1);
