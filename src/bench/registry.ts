import { bookings } from './bookings.js';
import type { Experiment } from './experiment.js';
import { fairness } from './fairness.js';
import { headOfLine } from './headofline.js';
import { mixShift } from './mixshift.js';
import { peak } from './peak.js';
import { propagation } from './propagation.js';
import { takeover } from './takeover.js';

/** All experiments of `npm run bench`, one import and one line each. */
export const EXPERIMENTS: readonly Experiment[] = [
  takeover,
  propagation,
  mixShift,
  bookings,
  peak,
  headOfLine,
  fairness,
];
