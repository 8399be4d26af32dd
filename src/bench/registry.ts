import { bookings } from './bookings.js';
import { control } from './control.js';
import type { Experiment } from './experiment.js';
import { leaving } from './leaving.js';
import { mixShift } from './mixshift.js';
import { fairness } from './fairness.js';
import { headOfLine } from './headofline.js';
import { peak } from './peak.js';

/** All experiments of `npm run bench`, one import and one line each. */
export const EXPERIMENTS: readonly Experiment[] = [
  mixShift,
  bookings,
  control,
  leaving,
  peak,
  headOfLine,
  fairness,
];
