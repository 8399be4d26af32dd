import { Role } from '../core/interfaces/index.js';
import { PREFIX_BLOCK_TOKENS, PrefixIndex } from '../core/routing/index.js';
import { SeededRandom } from '../emulator/random.js';
import type { Experiment, RunOptions, ExperimentResult } from './experiment.js';
import type { PolicyEntry } from './policy.js';
import {
  createBaselineEntry, createPolicyEntry, createSimulation, SEEDS, publishDemand, summarizeRun, USERS,
} from './policy.js';
import type { Simulation } from './simulation.js';
import { generateArrivals, HALVORSEN } from './workload.js';

const DURATION_MS = 120_000;

const TAIL_MS = 20_000;

/** Number of shared documents; their blocks fill about a quarter of all caches. */
const DOCUMENTS = 200;

const RATE_PER_SECOND = 14;

/** Share of cache events that are dropped at random. */
const LOST_EVENT_SHARE = 0.1;

const POLL_MS = 1_000;

const VARIANTS = ['baseline', 'no-index', 'exact', 'policy'];

const HALVORSEN_USER = USERS[0]!;

/** Polls the late cache events of all engines into the index of each entry, and drops some of them. */
function pollCacheEvents(simulation: Simulation, indexes: readonly PrefixIndex[], random: SeededRandom): void {
  const lastSequences = indexes.map(() => new Map<string, number>());
  simulation.every(POLL_MS, DURATION_MS, () => {
    indexes.forEach((index, entry) => {
      for (const [name, engine] of simulation.engines) {
        const events = engine.publishedCacheEvents(lastSequences[entry]!.get(name) ?? 0);
        const last = events.at(-1);
        if (last !== undefined) lastSequences[entry]!.set(name, last.sequence);
        index.apply(name, events.filter(() => random.float() >= LOST_EVENT_SHARE));
      }
    });
  });
}

function runSimulation(variant: string, seed: number): Simulation {
  const user = HALVORSEN_USER;
  const requestClass = { ...HALVORSEN[0]!, documents: DOCUMENTS };
  const arrivals = generateArrivals(new SeededRandom(seed * 1_000 + 7), [{
    requestClass, ratePerSecond: () => RATE_PER_SECOND, maxRatePerSecond: RATE_PER_SECOND,
  }], DURATION_MS);
  const entries: PolicyEntry[] = [];
  const indexes: PrefixIndex[] = [];
  const roles = Array<Role>(user.engines).fill(Role.Mixed);
  const { simulation } = createSimulation(user, seed, roles, (clock, random, index) => {
    if (variant === 'baseline') return createBaselineEntry(clock, random);
    const prefixes = new PrefixIndex();
    const countCachedTokens = (engine: string, blocks: readonly string[]): number => (
      simulation.engines.get(engine)!.cachedBlocks(blocks) * PREFIX_BLOCK_TOKENS
    );
    const entry = createPolicyEntry({
      clock,
      random,
      user,
      index,
      router: variant === 'no-index' ? {} : {
        prefixTokens: variant === 'exact'
          ? (engine, item) => countCachedTokens(engine, item.prefixBlockHashes)
          : (engine, item) => prefixes.match(engine, item.prefixBlockHashes),
        prefixOwners: (item) => prefixes.owners(item.prefixBlockHashes),
        onPlaced: (engine, item) => prefixes.recordPlacement(engine, item.prefixBlockHashes),
      },
    });
    if (variant === 'policy') indexes.push(prefixes);
    entries.push(entry);
    return entry;
  });
  if (entries.length > 0) publishDemand(simulation, entries, DURATION_MS);
  pollCacheEvents(simulation, indexes, new SeededRandom(seed * 13 + 1));
  simulation.run(arrivals, DURATION_MS, TAIL_MS);
  return simulation;
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

/** Measures prefix cache hits with shared documents while cache events arrive late and some are lost. */
export const prefix: Experiment = {
  name: 'prefix',
  shows: 'share of prompt tokens found in prefix caches; cache events 1 s late and 10% lost',
  target: '>= 0.9 x the hit share with exact knowledge; load spread (largest over mean engine) <= 1.25',
  variants: VARIANTS,
  async run(opts: RunOptions): Promise<ExperimentResult> {
    const hits: Record<string, number> = {};
    const spreads: Record<string, number> = {};
    for (const variant of VARIANTS.filter((name) => opts.variant === undefined || name === opts.variant)) {
      const hitShares: number[] = [];
      const spread: number[] = [];
      const goodput: number[] = [];
      let last: ReturnType<typeof summarizeRun> | null = null;
      for (let { seed } = opts; seed < opts.seed + SEEDS; seed += 1) {
        const simulation = runSimulation(variant, seed);
        const tokens = [...simulation.engines.values()].map((engine) => engine.prefixTokens);
        const asked = tokens.map((engine) => engine.asked);
        hitShares.push(round(tokens.reduce((sum, engine) => sum + engine.hit, 0) / mean(asked) / asked.length));
        spread.push(round(Math.max(...asked) / mean(asked)));
        last = summarizeRun(simulation, DURATION_MS);
        goodput.push(last.goodput);
      }
      hits[variant] = mean(hitShares);
      spreads[variant] = mean(spread);
      opts.emit({
        variant,
        hitShare: hitShares,
        loadSpread: spread,
        goodput: round(mean(goodput)),
        goodputLow: Math.min(...goodput),
        goodputHigh: Math.max(...goodput),
        roleChanges: 0,
        refused: last!.refused,
        classesOfLastSeed: last!.classes,
      });
    }
    const figure = {
      hitToExact: round((hits.policy ?? 0) / (hits.exact ?? 1)),
      hitToBaseline: round((hits.policy ?? 0) / (hits.baseline ?? 1)),
      loadSpread: round(spreads.policy ?? 0),
    };
    return { pass: figure.hitToExact >= 0.9 && figure.loadSpread <= 1.25, figure };
  },
};
