import { bookings } from './bookings.js';
import type { Experiment } from './experiment.js';
import { mixShift } from './mixshift.js';
import { fairness } from './fairness.js';
import { headOfLine } from './headofline.js';
import { peak } from './peak.js';
import { prefix } from './prefix.js';
import { scale } from './scale.js';
import { slowServers } from './slowservers.js';

/** All experiments of `npm run bench`, one import and one line each. */
export const EXPERIMENTS: readonly Experiment[] = [
  mixShift,
  slowServers,
  prefix,
  scale,
  bookings,
  peak,
  headOfLine,
  fairness,
];
