import type { Experiment } from './experiment.js';
import { fairness } from './fairness.js';
import { headOfLine } from './headofline.js';
import { peak } from './peak.js';
import { retryStorm } from './retrystorm.js';

/** All experiments of `npm run bench`, one import and one line each. */
export const EXPERIMENTS: readonly Experiment[] = [
  peak,
  headOfLine,
  fairness,
  retryStorm,
];
