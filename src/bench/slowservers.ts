import { Role } from '../core/interfaces/index.js';
import { SeededRandom } from '../emulator/random.js';
import type { Experiment, RunOptions, ExperimentResult } from './experiment.js';
import { HedgeDriver } from './hedges.js';
import type { PolicyEntry } from './policy.js';
import {
  createBaselineEntry, createPolicyEntry, createSimulation, SEEDS, publishDemand, summarizeRun, USERS,
} from './policy.js';
import {
  firstTokenMs, perTokenMs, quantile,
} from './simulation.js';
import type { Simulation } from './simulation.js';
import { generateArrivals } from './workload.js';

const DURATION_MS = 120_000;

const TAIL_MS = 20_000;

/** Every 30 s, `SLOW_ENGINES` random engines run `SLOWDOWN_FACTOR` times slower for 6 s. */
const SLOW_EVERY_MS = 30_000;

const SLOW_FOR_MS = 6_000;

const SLOWDOWN_FACTOR = 5;

const SLOW_ENGINES = 2;

/** Requests per second of notes, rental replies and urgent questions: about half of the engines' capacity. */
const RATES = [2, 10, 2];

const GALINHEIRO_USER = USERS[1]!;

const VARIANTS = ['baseline-none-slow', 'baseline', 'none-slow', 'router', 'health', 'policy'];

function scheduleSlowdowns(simulation: Simulation, seed: number): void {
  const random = new SeededRandom(seed * 31 + 5);
  const { clock } = simulation.options;
  for (let start = 15_000; start < DURATION_MS - SLOW_FOR_MS; start += SLOW_EVERY_MS) {
    const engines = [...simulation.engines.values()];
    for (let count = 0; count < SLOW_ENGINES; count += 1) {
      const [engine] = engines.splice(random.integer(0, engines.length - 1), 1);
      clock.after(start, () => engine!.setStepTimeFactor(SLOWDOWN_FACTOR));
      clock.after(start + SLOW_FOR_MS, () => engine!.setStepTimeFactor(1));
    }
  }
}

/** Simulates one variant and seed; `hedgeShare` is the share of the work that hedges added. */
function simulate(variant: string, seed: number): { readonly simulation: Simulation; readonly hedgeShare: number } {
  const user = GALINHEIRO_USER;
  const arrivals = generateArrivals(new SeededRandom(seed * 1_000 + 7), user.classes.map((requestClass, index) => ({
    requestClass, ratePerSecond: () => RATES[index]!, maxRatePerSecond: RATES[index]!,
  })), DURATION_MS);
  const entries: PolicyEntry[] = [];
  const roles = Array<Role>(user.engines).fill(Role.Mixed);
  const { simulation } = createSimulation(user, seed, roles, (clock, random, index) => {
    if (variant.startsWith('baseline')) return createBaselineEntry(clock, random);
    const entry = createPolicyEntry({
      clock, random, user, index, health: variant !== 'router',
    });
    entries.push(entry);
    return entry;
  });
  if (!variant.endsWith('none-slow')) scheduleSlowdowns(simulation, seed);
  if (entries.length > 0) publishDemand(simulation, entries, DURATION_MS);
  const hedges = new HedgeDriver(simulation, entries);
  if (variant === 'policy' || variant === 'none-slow') hedges.run(DURATION_MS);
  simulation.run(arrivals, DURATION_MS, TAIL_MS);
  return { simulation, hedgeShare: hedges.workShare };
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

function mean(values: readonly number[]): number {
  return round(values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length));
}

/** Measures tail latency while some engines are slow and their load reports arrive late. */
export const slowServers: Experiment = {
  name: 'slow-servers',
  shows: 'tail latency with 2 of 8 engines slowed 5 times for 6 s, reports 2 s late',
  target: 'p99 <= 1.5 x with none slowed, for the first token and between tokens; hedge work <= 5%',
  variants: VARIANTS,
  async run(opts: RunOptions): Promise<ExperimentResult> {
    const p99: Record<string, { first: number[]; pace: number[]; hedges: number[] }> = {};
    for (const variant of VARIANTS.filter((name) => opts.variant === undefined || name === opts.variant)) {
      const figures = { first: [] as number[], pace: [] as number[], hedges: [] as number[] };
      let last: ReturnType<typeof summarizeRun> | null = null;
      const goodput: number[] = [];
      for (let { seed } = opts; seed < opts.seed + SEEDS; seed += 1) {
        const { simulation, hedgeShare } = simulate(variant, seed);
        const { records } = simulation;
        figures.first.push(round(quantile(records.filter((r) => r.firstTokenAt !== null).map(firstTokenMs), 0.99)));
        figures.pace.push(round(quantile(records.filter((r) => r.endAt !== null).map(perTokenMs), 0.99)));
        figures.hedges.push(round(hedgeShare));
        last = summarizeRun(simulation, DURATION_MS);
        goodput.push(last.goodput);
      }
      p99[variant] = figures;
      opts.emit({
        variant,
        goodput: mean(goodput),
        firstTokenP99Ms: figures.first,
        perTokenP99Ms: figures.pace,
        hedgeShare: figures.hedges,
        roleChanges: 0,
        refused: last!.refused,
        classesOfLastSeed: last!.classes,
      });
    }
    const ratio = (kind: 'first' | 'pace', variant: string, reference: string): number => (
      round(mean(p99[variant]?.[kind] ?? []) / mean(p99[reference]?.[kind] ?? []))
    );
    const figure = {
      firstToken: ratio('first', 'policy', 'none-slow'),
      perToken: ratio('pace', 'policy', 'none-slow'),
      baselineFirstToken: ratio('first', 'baseline', 'baseline-none-slow'),
      baselinePerToken: ratio('pace', 'baseline', 'baseline-none-slow'),
      hedgeShare: Math.max(0, ...p99.policy?.hedges ?? []),
    };
    return {
      pass: figure.firstToken <= 1.5 && figure.perToken <= 1.5 && figure.hedgeShare <= 0.05, figure,
    };
  },
};
