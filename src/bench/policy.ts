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
  firstTokenMs, isGood, perTokenMs, quantile, Simulation,
} from './simulation.js';
import type { RequestClass } from './workload.js';
import { GALINHEIRO, HALVORSEN } from './workload.js';

/** Deployment of one user. */
export interface User {
  readonly name: string;
  readonly engines: number;
  readonly failureDomains: readonly string[];
  readonly delayMs: number;
  readonly classes: readonly RequestClass[];
}

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

export const ENTRIES = 6;

export const SEEDS = 5;

const FIRST_GUESS_TOKENS = 64;

const GUESS_SMOOTHING = 0.05;

/** Mean output length per kind, learned from finished requests; a plain stand-in for the estimates of an entry. */
export class MeanOutput implements Router {
  private readonly means = new Map<string, number>();

  private readonly produced = new Map<Placement, number>();

  public router: Router | null = null;

  public expected(item: WorkItem): number {
    return this.means.get(item.kind) ?? FIRST_GUESS_TOKENS;
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
      this.means.set(item.kind, mean + GUESS_SMOOTHING * (produced - mean));
    }
    this.router!.finished(item, placement, outcome);
  }
}

/** Decision parts of one simulated entry with the cost router. */
export interface PolicyEntry extends SimulatedEntry {
  readonly router: CostRouter;
  readonly health: HealthTracker;
  /** Demand of the other entries as last published. */
  readonly others: Demand;
}

/** Options of {@link createPolicyEntry}. */
export interface PolicyOptions {
  readonly clock: SimulatedClock;
  readonly random: SeededRandom;
  readonly user: User;
  readonly index: number;
  readonly health?: boolean;
  readonly router?: Partial<CostRouterOptions>;
}

const NODES = Array.from({ length: ENTRIES }, (_, index) => `entry-${index}`);

/** Entry with cost router and health tracker. */
export function createPolicyEntry(opts: PolicyOptions): PolicyEntry {
  const { clock, random, user } = opts;
  const directory = new EngineDirectory();
  const health = new HealthTracker({ clock, ...DEFAULT_HEALTH_OPTIONS });
  const others: Demand = { ...NO_DEMAND };
  const learner = new MeanOutput();
  const router = new CostRouter({
    clock,
    directory,
    random,
    node: NODES[opts.index]!,
    nodes: () => NODES,
    failureDomain: user.failureDomains[opts.index % user.failureDomains.length]!,
    hasRoom: () => true,
    expectedOutput: (item) => learner.expected(item),
    peerDemand: () => others,
    ...(opts.health === false ? {} : {
      healthWeight: (engine: string) => health.weight(engine),
      onObservation: (engine: string, observedMs: number, expectedMs: number) => {
        health.observe(engine, observedMs, expectedMs);
      },
    }),
    ...opts.router,
  });
  learner.router = router;
  return {
    directory,
    router,
    health,
    others,
    dispatcher: new FifoDispatcher({ clock, router: learner, maxQueued: 10_000 }),
    report: (engine, load) => {
      health.add(engine);
      router.report(engine, load, clock.monotonic() - load.at);
    },
  };
}

/** Entry with the baseline router. */
export function createBaselineEntry(clock: SimulatedClock, random: SeededRandom): SimulatedEntry {
  const directory = new EngineDirectory();
  const router = new LeastRequestsRouter({ directory, random, hasRoom: () => true });
  return { directory, dispatcher: new FifoDispatcher({ clock, router, maxQueued: 10_000 }) };
}

const DEMAND_PERIOD_MS = 1_000;

/** Lets entries publish their demand to each other every second, as they do with their heartbeats. */
export function shareDemand(simulation: Simulation, entries: readonly PolicyEntry[], untilMs: number): void {
  simulation.every(DEMAND_PERIOD_MS, untilMs, () => {
    const published = entries.map((entry) => entry.router.demand());
    entries.forEach((entry, index) => {
      Object.assign(entry.others, sumDemand(published.filter((_, other) => other !== index)));
    });
  });
}

const MOVE_PERIOD_MS = 500;

/** Most streams that leave one engine at a time. */
const MOVES_PER_ENGINE = 3;

/** Moves long answers off engines that have come to serve short ones, by export and import of their KV cache. */
export function moveMisplaced(simulation: Simulation, untilMs: number): void {
  simulation.every(MOVE_PERIOD_MS, untilMs, () => {
    for (const name of simulation.engines.keys()) {
      simulation.attemptsAt(name)
        .filter(({ options, placement }) => (
          placement !== null && (options.entry as PolicyEntry).router.shouldMove(options.item, placement)
        ))
        .slice(0, MOVES_PER_ENGINE)
        .forEach((attempt) => attempt.moveFrom(name));
    }
  });
}

/** Simulation of a user's deployment. */
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
    entries: ENTRIES,
    delayMs: user.delayMs,
    createEntry: (index) => createEntry(clock, new SeededRandom(seed * 100 + index), index),
  });
  return { simulation, clock };
}

/** Service of one request class. */
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

/** Goodput in requests a second and service per class. */
export function summarize(simulation: Simulation, durationMs: number): {
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
    const pace = all.filter((record) => record.endAt !== null).map(perTokenMs);
    classes[name] = {
      goodShare: round(all.filter((record) => isGood(record)).length / all.length),
      firstTokenP50Ms: round(quantile(first, 0.5)),
      firstTokenP95Ms: round(quantile(first, 0.95)),
      firstTokenP99Ms: round(quantile(first, 0.99)),
      perTokenP50Ms: round(quantile(pace, 0.5)),
      perTokenP95Ms: round(quantile(pace, 0.95)),
      perTokenP99Ms: round(quantile(pace, 0.99)),
    };
  }
  const good = records.filter((record) => isGood(record)).length;
  return {
    goodput: round(good / (durationMs / 1_000)),
    goodShare: round(good / records.length),
    refused: records.filter((record) => record.refusedAt !== null).length,
    classes,
  };
}
