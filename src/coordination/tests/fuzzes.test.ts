/** Stateful fuzzing with a fixed seed; `npm run fuzz` runs other seeds. */
import { fuzz } from './fuzzes.js';

it('all invariants hold under random sequences of requests and faults', () => {
  fuzz({ seed: 20_261_204, runs: 300, commands: 60 });
}).timeout(600_000);
