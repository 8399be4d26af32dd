import type { Demand, CostRouterOptions, Router } from '../core/routing/index.js';
import {
  NO_DEMAND, sumDemand, DEFAULT_HEALTH_OPTIONS, HealthTracker, CostRouter, LeastRequestsRouter,
} from '../core/routing/index.js';
import { FifoDispatcher } from '../core/admission/index.js';
import { EngineDirectory, AttemptOutcome } from '../core/serving/index.js';
import type { Role } from '../core/interfaces/index.js';
import type { Placement, WorkItem } from '../core/serving/index.js';
import { SimulatedClock } from '../emulator/clock.js';
import { SeededRandom } from '../emulator/random.js';
import type { SimulatedEntry } from './attempt.js';
import {
  firstTokenMs, meetsServiceLevel, perTokenMs, quantile, Simulation,
} from './simulation.js';
import type { RequestClass } from './workload.js';
import { GALINHEIRO, HALVORSEN } from './workload.js';

/** Deployment of one user: its engines, its failure domains and its classes of requests. */
export interface User {
  readonly name: string;
  readonly engines: number;
  readonly failureDomains: readonly string[];
  /** One-way delay from entry to engine in ms. */
  readonly delayMs: number;
  readonly classes: readonly RequestClass[];
}

/** Both users of the bench. */
export const USERS: readonly User[] = [
  {
    name: 'halvorsen',
    engines: 10,
    failureDomains: ['regina', 'brandon', 'saskatoon'],
    delayMs: 1.5,
    classes: HALVORSEN,
  },
  {
    name: 'galinheiro',
    engines: 8,
    failureDomains: ['south-1', 'south-2', 'south-3', 'south-4'],
    delayMs: 0.5,
    classes: GALINHEIRO,
  },
];

/** Number of entries in a deployment. */
export const ENTRY_COUNT = 6;

/** Number of seeds that an experiment runs. */
export const SEEDS = 5;

/** Expected output length of a kind before any of its requests has finished. */
const INITIAL_OUTPUT_TOKENS = 64;

/** Weight of one request in the moving average of output lengths. */
const OUTPUT_SMOOTHING = 0.05;

/**
 * Router that forwards to another one and learns the mean output length per kind from finished requests. It stands in
 * for the estimates of an entry.
 */
export class MeanOutputRouter implements Router {
  private readonly means = new Map<string, number>();

  private readonly produced = new Map<Placement, number>();

  public router: Router | null = null;

  /** Expected output length of a request in tokens. */
  public expectedOutput(item: WorkItem): number {
    return this.means.get(item.kind) ?? INITIAL_OUTPUT_TOKENS;
  }

  public choose(item: WorkItem): Placement | null {
    return this.router!.choose(item);
  }

  public started(item: WorkItem, placement: Placement): void {
    this.router!.started(item, placement);
  }

  public firstToken(item: WorkItem, placement: Placement, latencyMs: number): void {
    this.router!.firstToken(item, placement, latencyMs);
  }

  public progress(item: WorkItem, placement: Placement, produced: number): void {
    this.produced.set(placement, produced);
    this.router!.progress(item, placement, produced);
  }

  public finished(item: WorkItem, placement: Placement, outcome: AttemptOutcome): void {
    const produced = this.produced.get(placement);
    this.produced.delete(placement);
    if (outcome === AttemptOutcome.Done && produced !== undefined && (item.importedTokens ?? 0) === 0) {
      const mean = this.means.get(item.kind) ?? produced;
      this.means.set(item.kind, mean + OUTPUT_SMOOTHING * (produced - mean));
    }
    this.router!.finished(item, placement, outcome);
  }
}

/** Simulated entry with a cost router and a health tracker. */
export interface PolicyEntry extends SimulatedEntry {
  readonly router: CostRouter;
  readonly health: HealthTracker;
  /** Sum of the demand that the other entries published last. */
  readonly peerDemand: Demand;
}

/** Options of {@link createPolicyEntry}. */
export interface PolicyEntryOptions {
  readonly clock: SimulatedClock;
  readonly random: SeededRandom;
  readonly user: User;
  readonly index: number;
  /** False leaves the health of engines out of the routing cost. */
  readonly health?: boolean;
  readonly router?: Partial<CostRouterOptions>;
}

const ENTRY_NAMES = Array.from({ length: ENTRY_COUNT }, (_, index) => `entry-${index}`);

/** Creates an entry with a cost router and a health tracker. */
export function createPolicyEntry(opts: PolicyEntryOptions): PolicyEntry {
  const { clock, random, user } = opts;
  const directory = new EngineDirectory();
  const health = new HealthTracker({ clock, ...DEFAULT_HEALTH_OPTIONS });
  const peerDemand: Demand = { ...NO_DEMAND };
  const outputRouter = new MeanOutputRouter();
  const router = new CostRouter({
    clock,
    directory,
    random,
    node: ENTRY_NAMES[opts.index]!,
    nodes: () => ENTRY_NAMES,
    failureDomain: user.failureDomains[opts.index % user.failureDomains.length]!,
    hasRoom: () => true,
    expectedOutput: (item) => outputRouter.expectedOutput(item),
    peerDemand: () => peerDemand,
    ...(opts.health === false ? {} : {
      healthWeight: (engine: string) => health.weight(engine),
      onObservation: (engine: string, observedMs: number, expectedMs: number) => {
        health.observe(engine, observedMs, expectedMs);
      },
    }),
    ...opts.router,
  });
  outputRouter.router = router;
  return {
    directory,
    router,
    health,
    peerDemand,
    dispatcher: new FifoDispatcher({ clock, router: outputRouter, maxQueued: 10_000 }),
    report: (engine, load) => {
      health.add(engine);
      router.report(engine, load, clock.monotonic() - load.at);
    },
  };
}

/** Creates an entry with the baseline router, which picks the engine with the fewest requests. */
export function createBaselineEntry(clock: SimulatedClock, random: SeededRandom): SimulatedEntry {
  const directory = new EngineDirectory();
  const router = new LeastRequestsRouter({ directory, random, hasRoom: () => true });
  return { directory, dispatcher: new FifoDispatcher({ clock, router, maxQueued: 10_000 }) };
}

const DEMAND_PUBLISH_PERIOD_MS = 1_000;

/** Publishes the demand of each entry to the others every second, as heartbeats do in production. */
export function publishDemand(simulation: Simulation, entries: readonly PolicyEntry[], untilMs: number): void {
  simulation.every(DEMAND_PUBLISH_PERIOD_MS, untilMs, () => {
    const published = entries.map((entry) => entry.router.demand());
    entries.forEach((entry, index) => {
      Object.assign(entry.peerDemand, sumDemand(published.filter((_, other) => other !== index)));
    });
  });
}

const STREAM_MOVE_PERIOD_MS = 500;

/** Maximum number of streams that are moved off one engine per period. */
const MOVES_PER_ENGINE = 3;

/** Moves long answers off engines that now serve short ones, by exporting and importing their KV cache. */
export function moveMisplacedStreams(simulation: Simulation, untilMs: number): void {
  simulation.every(STREAM_MOVE_PERIOD_MS, untilMs, () => {
    for (const name of simulation.engines.keys()) {
      simulation.listAttemptsAt(name)
        .filter(({ options, placement }) => (
          placement !== null && (options.entry as PolicyEntry).router.shouldMove(options.item, placement)
        ))
        .slice(0, MOVES_PER_ENGINE)
        .forEach((attempt) => attempt.moveFrom(name));
    }
  });
}

/** Creates the simulation of a user's deployment on a clock of its own. */
export function createSimulation(
  user: User,
  seed: number,
  roles: readonly Role[],
  createEntry: (clock: SimulatedClock, random: SeededRandom, index: number) => SimulatedEntry,
): { readonly simulation: Simulation; readonly clock: SimulatedClock } {
  const clock = new SimulatedClock();
  const random = new SeededRandom(seed);
  const simulation = new Simulation({
    clock,
    random,
    roles,
    failureDomains: user.failureDomains,
    entries: ENTRY_COUNT,
    delayMs: user.delayMs,
    createEntry: (index) => createEntry(clock, new SeededRandom(seed * 100 + index), index),
  });
  return { simulation, clock };
}

/** Share of good answers and latencies of one request class. */
export interface ClassSummary {
  readonly goodShare: number;
  readonly firstTokenP50Ms: number;
  readonly firstTokenP95Ms: number;
  readonly firstTokenP99Ms: number;
  readonly perTokenP50Ms: number;
  readonly perTokenP95Ms: number;
  readonly perTokenP99Ms: number;
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

/** Computes the goodput in requests per second, the refusals, and the figures of each class. */
export function summarizeRun(simulation: Simulation, durationMs: number): {
  readonly goodput: number;
  readonly goodShare: number;
  readonly refused: number;
  readonly classes: Record<string, ClassSummary>;
} {
  const { records } = simulation;
  const classes: Record<string, ClassSummary> = {};
  for (const name of new Set(records.map((record) => record.arrival.requestClass))) {
    const all = records.filter((record) => record.arrival.requestClass === name);
    const first = all.filter((record) => record.firstTokenAt !== null).map(firstTokenMs);
    const perToken = all.filter((record) => record.endAt !== null).map(perTokenMs);
    classes[name] = {
      goodShare: round(all.filter((record) => meetsServiceLevel(record)).length / all.length),
      firstTokenP50Ms: round(quantile(first, 0.5)),
      firstTokenP95Ms: round(quantile(first, 0.95)),
      firstTokenP99Ms: round(quantile(first, 0.99)),
      perTokenP50Ms: round(quantile(perToken, 0.5)),
      perTokenP95Ms: round(quantile(perToken, 0.95)),
      perTokenP99Ms: round(quantile(perToken, 0.99)),
    };
  }
  const good = records.filter((record) => meetsServiceLevel(record)).length;
  return {
    goodput: round(good / (durationMs / 1_000)),
    goodShare: round(good / records.length),
    refused: records.filter((record) => record.refusedAt !== null).length,
    classes,
  };
}
