import { Priority } from '../core/interfaces/index.js';
import { SeededRandom } from '../emulator/random.js';
import { createDaemonEntryFactory } from './daemonentry.js';
import type { Experiment, RunOptions, ExperimentResult } from './experiment.js';
import {
  ENTRY_COUNT, USER_FLEETS, createFifoDispatcher, createPolicyDispatcherFactory, mixArrivals, runFleet,
} from './fleets.js';
import type { CreateDispatcher, FleetRun, UserFleet } from './fleets.js';
import { quantile } from './simulation.js';
import type { RequestRecord } from './attempt.js';
import {
  goodput, round, listSeeds, computeSpread, createVariantLine,
} from './summary.js';
import { generateArrivals } from './workload.js';
import type { Arrival, RequestClass } from './workload.js';

const DURATION_MS = 75_000;
const WARM_UP_MS = 25_000;
/** Rate of the short questions, in requests per second. */
const SHORT_RATE = 8;
/** Rate of the user's mix in requests per second: about 0.7 of the capacity that the experiment `peak` measures. */
const MIX_RATE = 17;
/** Largest allowed p99 of the short questions, as a multiple of their p99 alone. */
const SHORT_TARGET = 1.5;
/** Largest allowed loss of long goodput, as a share of that of the best variant. */
const LONG_LOSS_TARGET = 0.1;

/** Short question that is answered with yes or no. */
const YES_NO: RequestClass = {
  name: 'yes-no',
  workspace: 'checks',
  priority: Priority.Normal,
  promptMedian: 200,
  promptSigma: 0.4,
  outputMedian: 3,
  outputSigma: 0.3,
  stragglerShare: 0,
  documents: 0,
};

const VARIANTS: Readonly<Record<string, CreateDispatcher>> = {
  baseline: createFifoDispatcher,
  'no-separation': createPolicyDispatcherFactory({ separateLanes: false }),
  'no-quick-lane': createPolicyDispatcherFactory({ separateQuick: false }),
  admission: createPolicyDispatcherFactory(),
  policy: createDaemonEntryFactory(ENTRY_COUNT),
};

function shortArrivals(seed: number): Arrival[] {
  return generateArrivals(new SeededRandom(seed + 500), [
    { requestClass: YES_NO, ratePerSecond: () => SHORT_RATE, maxRatePerSecond: SHORT_RATE },
  ], DURATION_MS);
}

function mergeArrivals(a: readonly Arrival[], b: readonly Arrival[]): Arrival[] {
  return [...a, ...b].sort((left, right) => left.at - right.at);
}

/** 99th percentile of the time in ms to the whole answer of short questions; unanswered ones count as `Infinity`. */
function shortP99(records: readonly RequestRecord[]): number {
  const short = records.filter(({ arrival }) => arrival.requestClass === YES_NO.name && arrival.at >= WARM_UP_MS);
  return quantile(short.map(({ arrival, endAt }) => (endAt === null ? Infinity : endAt - arrival.at)), 0.99);
}

function longGoodput(records: readonly RequestRecord[]): number {
  return goodput(records.filter(({ arrival }) => arrival.requestClass !== YES_NO.name), WARM_UP_MS, DURATION_MS);
}

/** Figures of one variant: short p99 as a multiple of that alone, and long goodput in answers per second. */
interface Measured {
  readonly shortRatio: number;
  readonly longGoodput: number;
}

/** Runs the short questions alone, with the baseline. */
function runAlone(user: UserFleet, seed: number): FleetRun[] {
  return listSeeds(seed).map((each) => runFleet(user, each, VARIANTS.baseline!, shortArrivals(each), DURATION_MS));
}

function runVariant(user: UserFleet, variant: string, opts: RunOptions, alone: readonly FleetRun[]): Measured {
  const create = VARIANTS[variant]!;
  const seeds = listSeeds(opts.seed);
  const mix = (seed: number): Arrival[] => mixArrivals(user, seed, () => MIX_RATE, MIX_RATE, DURATION_MS);
  const both = (seed: number): Arrival[] => mergeArrivals(mix(seed), shortArrivals(seed));
  const mixed = seeds.map((seed) => runFleet(user, seed, create, both(seed), DURATION_MS));
  const ratios = seeds.map((_, index) => shortP99(mixed[index]!.records) / shortP99(alone[index]!.records));
  const longGoodputs = mixed.map(({ records }) => longGoodput(records));
  const pooled = {
    alone: shortP99(alone.flatMap(({ records }) => records)),
    mixed: shortP99(mixed.flatMap(({ records }) => records)),
  };
  opts.emit(createVariantLine(`${user.name}/${variant}`, mixed, DURATION_MS, {
    shortP99: { alone: round(pooled.alone, 1), withLong: round(pooled.mixed, 1) },
    shortRatio: computeSpread(ratios),
    longGoodput: computeSpread(longGoodputs),
  }));
  return { shortRatio: pooled.mixed / pooled.alone, longGoodput: computeSpread(longGoodputs).median };
}

/** Experiment: latency of short questions with and without long prompts and very long answers beside them. */
export const headOfLine: Experiment = {
  name: 'head-of-line',
  shows: 'short yes/no questions beside the user\'s mix, compared with the baseline alone; long goodput, with the best variant',
  target: 'short p99 <= 1.5 x alone; long goodput loss <= 10%',
  variants: Object.keys(VARIANTS),
  async run(opts): Promise<ExperimentResult> {
    let shortRatio = 0;
    let longLoss = 0;
    for (const user of USER_FLEETS) {
      const alone = runAlone(user, opts.seed);
      const measured = new Map<string, Measured>();
      for (const variant of Object.keys(VARIANTS)) {
        if (opts.variant !== undefined && opts.variant !== variant) continue;
        measured.set(variant, runVariant(user, variant, opts, alone));
      }
      const policy = measured.get('policy');
      const goodputs = [...measured.values()].map((each) => each.longGoodput);
      if (policy === undefined) return { pass: false, figure: { shortRatio: 'not run' } };
      shortRatio = Math.max(shortRatio, policy.shortRatio);
      longLoss = Math.max(longLoss, 1 - policy.longGoodput / Math.max(...goodputs));
    }
    return {
      pass: shortRatio <= SHORT_TARGET && longLoss <= LONG_LOSS_TARGET,
      figure: { shortRatio: Number.isFinite(shortRatio) ? round(shortRatio, 3) : 'unanswered', longLoss: round(longLoss, 3) },
    };
  },
};
