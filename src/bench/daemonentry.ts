import type { Demand } from '../core/routing/index.js';
import { NO_DEMAND, sumDemand } from '../core/routing/index.js';
import type { EngineDirectory } from '../core/serving/index.js';
import { ServingPolicy } from '../daemon/policy.js';
import type { SimulatedClock } from '../emulator/clock.js';
import type { SeededRandom } from '../emulator/random.js';
import type { SimulatedEntry } from './attempt.js';

/** Simulated entry with the policy that the daemon runs. */
interface DaemonEntry extends SimulatedEntry {
  readonly policy: ServingPolicy;
}

/** Creates the entries of one simulation, in order of their index. */
export type CreateDaemon = (
  clock: SimulatedClock,
  random: SeededRandom,
  directory: EngineDirectory,
  index: number,
  user: { readonly failureDomains: readonly string[] },
) => SimulatedEntry;

const MAX_QUEUED = 2_000;

/** Entries that run the daemon's ServingPolicy and see each other's demand. */
export function createDaemon(count: number): CreateDaemon {
  const entries: DaemonEntry[] = [];
  const nodes = Array.from({ length: count }, (_, index) => `entry-${index}`);
  return (clock, random, directory, index, { failureDomains }) => {
    // The first entry begins a new simulation.
    if (index === 0) entries.length = 0;
    const others = (model: string): Demand => sumDemand(entries
      .filter((_, other) => other !== index)
      .map(({ policy }) => policy.demand()[model] ?? NO_DEMAND));
    const policy = new ServingPolicy({
      clock,
      random,
      directory,
      node: nodes[index]!,
      failureDomain: failureDomains[index % failureDomains.length]!,
      nodes: () => nodes,
      othersDemand: others,
      maxQueued: MAX_QUEUED,
    });
    const entry: DaemonEntry = {
      directory,
      policy,
      dispatcher: policy.dispatcher,
      report: (engine, load) => {
        policy.follow(engine);
        policy.report({
          engine, ageMs: clock.monotonic() - load.at, kvBlocksTotal: 1, leaving: false, ...load,
        });
      },
    };
    entries.push(entry);
    return entry;
  };
}
