/** Stateful fuzzing with fixed seeds; `npm run fuzz` explores others. */
import { fuzz } from './fuzzes.js';

it('what must always hold does hold under any sequence of faults', () => {
  fuzz({ seed: 20_261_204, runs: 300, commands: 60 });
}).timeout(600_000);
