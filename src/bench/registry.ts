import { bookings } from './bookings.js';
import { overhead } from './overhead.js';
import { start } from './start.js';
import { streams } from './streams.js';
import type { Experiment } from './experiment.js';
import { control } from './control.js';
import type { Experiment } from './experiment.js';
import { leaving } from './leaving.js';
import { mixShift } from './mixshift.js';
import { fairness } from './fairness.js';
import { headOfLine } from './headofline.js';
import { mixShift } from './mixshift.js';
import { peak } from './peak.js';
import { propagation } from './propagation.js';
import { takeover } from './takeover.js';
import { retryStorm } from './retrystorm.js';
import { prefix } from './prefix.js';
import { scale } from './scale.js';
import { slowServers } from './slowservers.js';

/** All experiments of `npm run bench`, one import and one line each. */
export const EXPERIMENTS: readonly Experiment[] = [
  takeover,
  propagation,
  mixShift,
  overhead,
  streams,
  start,
  slowServers,
  prefix,
  scale,
  bookings,
  control,
  leaving,
  peak,
  headOfLine,
  fairness,
  retryStorm,
];
