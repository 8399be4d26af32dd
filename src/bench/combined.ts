import { EngineDirectory } from '../core/serving/index.js';
import { Role } from '../core/interfaces/index.js';
import { PolicyDispatcher } from '../core/admission/index.js';
import { LeastRequestsRouter } from '../core/routing/index.js';
import { SeededRandom } from '../emulator/random.js';
import { createDaemonEntryFactory } from './daemonentry.js';
import type { Experiment, RunOptions, ExperimentResult } from './experiment.js';
import type { User } from './policy.js';
import {
  createBaselineEntry, createPolicyEntry, createSimulation, ENTRY_COUNT, SEEDS, publishDemand, USERS,
} from './policy.js';
import type { Simulation } from './simulation.js';
import { firstTokenMs, meetsServiceLevel, quantile } from './simulation.js';
import type { Arrival, ClassRate } from './workload.js';
import { generateArrivals } from './workload.js';

const DURATION_MS = 60_000;
/** Simulated time after the last arrival, in which open requests end. */
const EXTRA_MS = 30_000;
/** The load alternates between mostly long and mostly short prompts after this time. */
const HALF_CYCLE_MS = 20_000;

/** Load level: the rates below, multiplied by `scale`. */
interface Load {
  readonly name: string;
  readonly scale: number;
}

/** Scale 1 is the load at which the baseline just saturates the engines of a user. */
const LOADS: readonly Load[] = [
  { name: 'quiet', scale: 0.3 },
  { name: 'busy', scale: 0.7 },
  { name: 'overload', scale: 2 },
];

/** Requests per second of the first class (long prompts) in the two halves of a cycle, for 10 engines. */
const LONG_PER_SECOND = [14, 4] as const;
/** The same for the other classes, except urgent requests. */
const SHORT_PER_SECOND = [6, 22] as const;
const URGENT_PER_SECOND = 3;

const VARIANTS = ['baseline', 'router', 'admission', 'daemon'];

function createClassRates(user: User, scale: number): ClassRate[] {
  return user.classes.map((requestClass, index) => {
    const rate = (timeMs: number): number => {
      const half = Math.floor(timeMs / HALF_CYCLE_MS) % 2;
      if (requestClass.name === 'urgent') return URGENT_PER_SECOND * scale;
      const rates = index === 0 ? LONG_PER_SECOND : SHORT_PER_SECOND;
      return (rates[half] ?? 0) * scale * (user.engines / 10);
    };
    return { requestClass, ratePerSecond: rate, maxRatePerSecond: Math.max(rate(0), rate(HALF_CYCLE_MS)) };
  });
}

/** Runs one variant: the baseline, the router or the admission policy alone, or the policy of the daemon. */
function simulate(user: User, variant: string, seed: number, arrivals: readonly Arrival[]): Simulation {
  const roles = Array<Role>(user.engines).fill(Role.Mixed);
  const createDaemonEntry = createDaemonEntryFactory(ENTRY_COUNT);
  const policyEntries: ReturnType<typeof createPolicyEntry>[] = [];
  const { simulation } = createSimulation(user, seed, roles, (clock, random, index) => {
    switch (variant) {
      case 'router': {
        const entry = createPolicyEntry({
          clock, random, user, index,
        });
        policyEntries.push(entry);
        return entry;
      }
      case 'admission': {
        const directory = new EngineDirectory();
        const dispatcher = new PolicyDispatcher({
          clock,
          random,
          directory,
          maxQueued: 2_000,
          createRouter: (hasRoom) => new LeastRequestsRouter({ directory, random, hasRoom }),
        });
        return { directory, dispatcher };
      }
      case 'daemon':
        return createDaemonEntry(clock, random, new EngineDirectory(), index, user);
      default:
        return createBaselineEntry(clock, random);
    }
  });
  if (policyEntries.length > 0) publishDemand(simulation, policyEntries, DURATION_MS);
  simulation.run(arrivals, DURATION_MS, EXTRA_MS);
  return simulation;
}

/** Sums over all seeds; first-token times in ms. */
interface Figures {
  good: number;
  refused: number;
  sent: number;
  readonly firstTokens: number[];
}

function measure(user: User, load: Load, variant: string, firstSeed: number): Figures {
  const figures: Figures = {
    good: 0, refused: 0, sent: 0, firstTokens: [],
  };
  for (let seed = firstSeed; seed < firstSeed + SEEDS; seed += 1) {
    const arrivals = generateArrivals(new SeededRandom(seed * 77 + 5), createClassRates(user, load.scale), DURATION_MS);
    const { records } = simulate(user, variant, seed, arrivals);
    figures.sent += records.length;
    figures.good += records.filter((record) => meetsServiceLevel(record)).length;
    figures.refused += records.filter(({ refusedAt }) => refusedAt !== null).length;
    for (const record of records) {
      if (record.firstTokenAt !== null) figures.firstTokens.push(firstTokenMs(record));
    }
  }
  return figures;
}

async function runCombined(opts: RunOptions): Promise<ExperimentResult> {
  const figure: Record<string, number> = {};
  let pass = true;
  for (const user of USERS) {
    for (const load of LOADS) {
      const good: Record<string, number> = {};
      for (const variant of VARIANTS.filter((name) => opts.variant === undefined || name === opts.variant)) {
        const figures = measure(user, load, variant, opts.seed);
        good[variant] = figures.good;
        opts.emit({
          user: user.name,
          load: load.name,
          variant,
          sent: figures.sent,
          good: figures.good,
          refused: figures.refused,
          ttft_p50_ms: Math.round(quantile(figures.firstTokens, 0.5)),
          ttft_p95_ms: Math.round(quantile(figures.firstTokens, 0.95)),
        });
        if (variant === 'daemon' && load.name === 'quiet' && figures.refused > 0) pass = false;
      }
      const bestPart = Math.max(good.baseline ?? 0, good.router ?? 0, good.admission ?? 0);
      const ratio = (good.daemon ?? 0) / Math.max(1, bestPart);
      figure[`${user.name}_${load.name}`] = Math.round(ratio * 1_000) / 1_000;
      pass = pass && ratio >= 0.95;
    }
  }
  return { pass, figure };
}

/** Experiment: whether the combined policy of the daemon is as good as the best of its parts alone. */
export const combined: Experiment = {
  name: 'combined',
  shows: 'goodput of the policy that the daemon runs against each of its parts alone',
  target: 'at least 0.95 of the best part at each load; nothing refused at the quiet load',
  variants: VARIANTS,
  run: runCombined,
};
