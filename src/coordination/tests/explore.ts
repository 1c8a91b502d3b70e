/** Command `npm run fuzz -- --seed N --runs M`: fuzzes with seeds that CI does not run. */
import meow from 'meow';
import { fuzz } from './fuzzes.js';

const cli = meow(
  `
  Usage
    $ npm run fuzz -- --seed N --runs M [--commands K] [--path P]

  Exit codes: 0 nothing found, 1 a counterexample, printed with its seed, path and commands
`,
  {
    importMeta: import.meta,
    flags: {
      seed: { type: 'number', default: 1 },
      runs: { type: 'number', default: 1_000 },
      commands: { type: 'number', default: 60 },
      path: { type: 'string' },
    },
  },
);

const { seed, runs, commands, path } = cli.flags;
try {
  fuzz({ seed, runs, commands, ...(path === undefined ? {} : { path }) });
  process.stdout.write(`no counterexample found in ${runs} runs of seed ${seed}\n`);
} catch (err) {
  const cause = err instanceof Error && err.cause instanceof Error ? err.cause.message : '';
  process.stdout.write(`${err instanceof Error ? err.message : String(err)}\n${cause}\n`);
  process.exitCode = 1;
}
