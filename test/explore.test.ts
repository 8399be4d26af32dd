import { expect, it } from 'vitest';
import { explore } from '../src/scenario/explore.js';

const RUNS = 40;
const TIMEOUT_MS = 120_000;

// Guards against combinations of faults that break an invariant and that no scenario file covers.
it.each([1, 20_261_204])('random schedules of faults break no invariant, seed %i', async (seed) => {
  expect(await explore({ seed, runs: RUNS })).toBeNull();
}, TIMEOUT_MS);
