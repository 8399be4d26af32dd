import type { Dispatcher, PolicyDispatcherOptions } from '../core/admission/index.js';
import { FifoDispatcher, PolicyDispatcher } from '../core/admission/index.js';
import { EngineDirectory } from '../core/serving/index.js';
import { Role } from '../core/interfaces/index.js';
import { LeastRequestsRouter } from '../core/routing/index.js';
import { SimulatedClock } from '../emulator/clock.js';
import { SeededRandom } from '../emulator/random.js';
import { Simulation } from './simulation.js';
import type { SimulatedEntry } from './attempt.js';
import { GALINHEIRO, HALVORSEN, generateArrivals } from './workload.js';
import type { Arrival, ClassRate, RequestClass } from './workload.js';

/** Fleet and request mix of one user. */
export interface UserFleet {
  readonly name: string;
  readonly engines: number;
  readonly failureDomains: readonly string[];
  /** One-way delay from entry to engine in ms. */
  readonly delayMs: number;
  /** Request classes with their shares of all requests. */
  readonly mix: readonly { readonly requestClass: RequestClass; readonly share: number }[];
}

function createMix(classes: readonly RequestClass[], shares: Readonly<Record<string, number>>): UserFleet['mix'] {
  return classes.map((requestClass) => ({ requestClass, share: shares[requestClass.name]! }));
}

/** Fleet of Halvorsen. */
export const HALVORSEN_FLEET: UserFleet = {
  name: 'halvorsen',
  engines: 10,
  failureDomains: ['regina', 'brandon', 'saskatoon'],
  delayMs: 1.5,
  mix: createMix(HALVORSEN, { catalogue: 0.3, reply: 0.7 }),
};

/** Fleet of Galinheiro. */
export const GALINHEIRO_FLEET: UserFleet = {
  name: 'galinheiro',
  engines: 8,
  failureDomains: ['south-1', 'south-2', 'south-3', 'south-4'],
  delayMs: 0.5,
  mix: createMix(GALINHEIRO, { notes: 0.3, rental: 0.55, urgent: 0.15 }),
};

/** Users whose fleets the experiments simulate. */
export const USER_FLEETS: readonly UserFleet[] = [HALVORSEN_FLEET, GALINHEIRO_FLEET];

/** Number of entries of each user. */
export const ENTRY_COUNT = 6;

/** Most requests that wait at one entry. */
const MAX_QUEUED = 2_000;

/** Creates the dispatcher, or the complete entry, that a variant uses at one entry of a simulation. */
export type CreateDispatcher = (
  clock: SimulatedClock,
  random: SeededRandom,
  directory: EngineDirectory,
  index: number,
  user: UserFleet,
) => Dispatcher | SimulatedEntry;

/** Baseline: first in, first out, without a limit on the requests at an engine. */
export const createFifoDispatcher: CreateDispatcher = (clock, random, directory) => new FifoDispatcher({
  clock,
  router: new LeastRequestsRouter({ directory, random, hasRoom: () => true }),
  maxQueued: MAX_QUEUED,
});

/** Returns a function that creates the admission policy, with the same router as the baseline. */
export function createPolicyDispatcherFactory(options: Partial<PolicyDispatcherOptions> = {}): CreateDispatcher {
  return (clock, random, directory, index) => new PolicyDispatcher({
    clock,
    random,
    directory,
    createRouter: (hasRoom) => new LeastRequestsRouter({ directory, random, hasRoom }),
    maxQueued: MAX_QUEUED,
    entryPosition: () => ({ index, count: ENTRY_COUNT }),
    ...options,
  });
}

/** Finished simulation of one seed. */
export interface FleetRun {
  readonly records: Simulation['records'];
  readonly roleChanges: number;
  readonly simulation: Simulation;
}

/** Simulates arrivals on a user's fleet of mixed engines, with six entries. */
export function runFleet(
  user: UserFleet,
  seed: number,
  create: CreateDispatcher,
  arrivals: readonly Arrival[],
  durationMs: number,
): FleetRun {
  const clock = new SimulatedClock();
  const random = new SeededRandom(seed + 1_000_000);
  const simulation = new Simulation({
    clock,
    random,
    roles: Array.from({ length: user.engines }, () => Role.Mixed),
    failureDomains: user.failureDomains,
    entries: ENTRY_COUNT,
    delayMs: user.delayMs,
    createEntry: (index): SimulatedEntry => {
      const directory = new EngineDirectory();
      const entryRandom = new SeededRandom(seed * 100 + index);
      const created = create(clock, entryRandom, directory, index, user);
      return 'dispatcher' in created ? created : { directory, dispatcher: created };
    },
  });
  simulation.run(arrivals, durationMs, 20_000);
  return { records: simulation.records, roleChanges: simulation.roleChanges, simulation };
}

/** Random arrivals of a user's mix; the total rate in requests per second may change over time. */
export function mixArrivals(
  user: UserFleet,
  seed: number,
  ratePerSecond: (timeMs: number) => number,
  maxRatePerSecond: number,
  durationMs: number,
): Arrival[] {
  const rates: ClassRate[] = user.mix.map(({ requestClass, share }) => ({
    requestClass,
    ratePerSecond: (timeMs) => share * ratePerSecond(timeMs),
    maxRatePerSecond: share * maxRatePerSecond,
  }));
  return generateArrivals(new SeededRandom(seed), rates, durationMs);
}
