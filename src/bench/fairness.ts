import { SeededRandom } from '../emulator/random.js';
import { createDaemonEntryFactory } from './daemonentry.js';
import type { Experiment, RunOptions, ExperimentResult } from './experiment.js';
import {
  ENTRY_COUNT, USER_FLEETS, createFifoDispatcher, createPolicyDispatcherFactory, mixArrivals, runFleet,
} from './fleets.js';
import type { CreateDispatcher, UserFleet } from './fleets.js';
import { meetsServiceLevel } from './simulation.js';
import type { RequestRecord } from './attempt.js';
import {
  round, listSeeds, computeSpread, createVariantLine,
} from './summary.js';
import type { Arrival } from './workload.js';

const DURATION_MS = 60_000;
const WARM_UP_MS = 15_000;
const WORKSPACES = 20;
/** Rate of the greedy workspace, as a multiple of its fair share. */
const GREEDY_FACTOR = 10;
const GREEDY = 'workspace-0';
/** Total rate in requests per second when every workspace sends its fair share. */
const TOTAL_FAIR_RATE = 20;
const TARGET_RATIO = 0.95;

const VARIANTS: Readonly<Record<string, CreateDispatcher>> = {
  baseline: createFifoDispatcher,
  admission: createPolicyDispatcherFactory(),
  policy: createDaemonEntryFactory(ENTRY_COUNT),
};

/** Arrivals of the user's mix at a steady rate, each assigned to a random workspace of the list. */
function steadyArrivals(user: UserFleet, seed: number, rate: number, workspaces: readonly string[]): Arrival[] {
  const random = new SeededRandom(seed + 77);
  return mixArrivals(user, seed, () => rate, rate, DURATION_MS)
    .map((arrival) => ({ ...arrival, workspace: random.pick(workspaces) }));
}

/** Arrivals of 19 workspaces at their fair share, with or without those of the greedy one. */
function allArrivals(user: UserFleet, seed: number, withGreedy: boolean): Arrival[] {
  const share = TOTAL_FAIR_RATE / WORKSPACES;
  const otherWorkspaces = Array.from({ length: WORKSPACES - 1 }, (_, index) => `workspace-${index + 1}`);
  const arrivals = steadyArrivals(user, seed, share * otherWorkspaces.length, otherWorkspaces);
  if (withGreedy) arrivals.push(...steadyArrivals(user, seed + 10_000, share * GREEDY_FACTOR, [GREEDY]));
  return arrivals.sort((a, b) => a.at - b.at);
}

/** Good answers per second of all workspaces but the greedy one, after the warm-up. */
function othersGoodput(records: readonly RequestRecord[]): number {
  const otherRecords = records.filter(({ arrival }) => arrival.workspace !== GREEDY && arrival.at >= WARM_UP_MS);
  return otherRecords.filter((record) => meetsServiceLevel(record)).length / ((DURATION_MS - WARM_UP_MS) / 1_000);
}

/** Prints a variant's figures; returns the others' goodput relative to that without the greedy workspace (median). */
function runVariant(user: UserFleet, variant: string, opts: RunOptions): number {
  const create = VARIANTS[variant]!;
  const seeds = listSeeds(opts.seed);
  const fairRuns = seeds.map((seed) => runFleet(user, seed, create, allArrivals(user, seed, false), DURATION_MS));
  const greedyRuns = seeds.map((seed) => runFleet(user, seed, create, allArrivals(user, seed, true), DURATION_MS));
  const ratios = seeds.map((_, index) => othersGoodput(greedyRuns[index]!.records)
    / othersGoodput(fairRuns[index]!.records));
  opts.emit(createVariantLine(`${user.name}/${variant}`, greedyRuns, DURATION_MS, {
    othersGoodput: {
      without: computeSpread(fairRuns.map(({ records }) => othersGoodput(records))),
      with: computeSpread(greedyRuns.map(({ records }) => othersGoodput(records))),
    },
    ratio: computeSpread(ratios, 3),
  }));
  return computeSpread(ratios, 3).median;
}

/** Experiment: one workspace sends far more than its fair share. */
export const fairness: Experiment = {
  name: 'fairness',
  shows: 'goodput of 19 workspaces while the twentieth sends 10 x its share',
  target: 'others\' goodput >= 0.95 x without it',
  variants: Object.keys(VARIANTS),
  async run(opts): Promise<ExperimentResult> {
    const ratios: number[] = [];
    for (const user of USER_FLEETS) {
      for (const variant of Object.keys(VARIANTS)) {
        if (opts.variant !== undefined && opts.variant !== variant) continue;
        const ratio = runVariant(user, variant, opts);
        if (variant === 'policy') ratios.push(ratio);
      }
    }
    const othersRatio = Math.min(...ratios);
    return { pass: othersRatio >= TARGET_RATIO, figure: { othersRatio: round(othersRatio, 3) } };
  },
};
