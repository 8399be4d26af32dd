import { SeededRandom } from '../emulator/random.js';
import { createDaemon } from './daemonentry.js';
import type { Experiment, RunOptions, Verdict } from './experiment.js';
import {
  ENTRIES, USERS, createFifo, createPolicy, mixArrivals, runFleet,
} from './fleets.js';
import type { CreateDispatcher, User } from './fleets.js';
import { isGood } from './simulation.js';
import type { RequestRecord } from './attempt.js';
import {
  round, seedsFrom, spread, variantLine,
} from './summary.js';
import type { Arrival } from './workload.js';

const DURATION_MS = 60_000;
const WARM_UP_MS = 15_000;
const WORKSPACES = 20;
const GREEDY_FACTOR = 10;
const GREEDY = 'workspace-0';
/** Rate of all workspaces at their share, in requests a second. */
const FAIR_RATE = 20;
const TARGET = 0.95;

const VARIANTS: Readonly<Record<string, CreateDispatcher>> = {
  baseline: createFifo,
  admission: createPolicy(),
  policy: createDaemon(ENTRIES),
};

/** Arrivals of the mix at a steady rate, each given to one workspace of a list at random. */
function arrivalsFor(user: User, seed: number, rate: number, workspaces: readonly string[]): Arrival[] {
  const random = new SeededRandom(seed + 77);
  return mixArrivals(user, seed, () => rate, rate, DURATION_MS)
    .map((arrival) => ({ ...arrival, workspace: random.pick(workspaces) }));
}

function arrivalsOf(user: User, seed: number, greedy: boolean): Arrival[] {
  const share = FAIR_RATE / WORKSPACES;
  const others = Array.from({ length: WORKSPACES - 1 }, (_, index) => `workspace-${index + 1}`);
  const all = arrivalsFor(user, seed, share * others.length, others);
  if (greedy) all.push(...arrivalsFor(user, seed + 10_000, share * GREEDY_FACTOR, [GREEDY]));
  return all.sort((a, b) => a.at - b.at);
}

function othersGood(records: readonly RequestRecord[]): number {
  const others = records.filter(({ arrival }) => arrival.workspace !== GREEDY && arrival.at >= WARM_UP_MS);
  return others.filter((record) => isGood(record)).length / ((DURATION_MS - WARM_UP_MS) / 1_000);
}

function runVariant(user: User, variant: string, opts: RunOptions): number {
  const create = VARIANTS[variant]!;
  const seeds = seedsFrom(opts.seed);
  const without = seeds.map((seed) => runFleet(user, seed, create, arrivalsOf(user, seed, false), DURATION_MS));
  const greedy = seeds.map((seed) => runFleet(user, seed, create, arrivalsOf(user, seed, true), DURATION_MS));
  const ratios = seeds.map((_, index) => othersGood(greedy[index]!.records) / othersGood(without[index]!.records));
  opts.emit(variantLine(`${user.name}/${variant}`, greedy, DURATION_MS, {
    othersGoodput: {
      without: spread(without.map(({ records }) => othersGood(records))),
      with: spread(greedy.map(({ records }) => othersGood(records))),
    },
    ratio: spread(ratios, 3),
  }));
  return spread(ratios, 3).median;
}

/** One workspace far above its share. */
export const fairness: Experiment = {
  name: 'fairness',
  shows: 'goodput of 19 workspaces while the twentieth sends 10 x its share',
  target: 'others\' goodput >= 0.95 x without it',
  variants: Object.keys(VARIANTS),
  async run(opts): Promise<Verdict> {
    const ratios: number[] = [];
    for (const user of USERS) {
      for (const variant of Object.keys(VARIANTS)) {
        if (opts.variant !== undefined && opts.variant !== variant) continue;
        const ratio = runVariant(user, variant, opts);
        if (variant === 'policy') ratios.push(ratio);
      }
    }
    const othersRatio = Math.min(...ratios);
    return { pass: othersRatio >= TARGET, figure: { othersRatio: round(othersRatio, 3) } };
  },
};
