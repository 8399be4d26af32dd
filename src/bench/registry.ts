import type { Experiment } from './experiment.js';
import { takeover } from './takeover.js';

/** All experiments of `npm run bench`, one import and one line each. */
export const EXPERIMENTS: readonly Experiment[] = [
  takeover,
];
