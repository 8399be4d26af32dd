import type { Demand } from '../core/routing/index.js';
import { NO_DEMAND, sumDemand } from '../core/routing/index.js';
import type { EngineDirectory } from '../core/serving/index.js';
import { ServingPolicy } from '../daemon/policy.js';
import type { SimulatedClock } from '../emulator/clock.js';
import type { SeededRandom } from '../emulator/random.js';
import type { SimulatedEntry } from './attempt.js';

/** Simulated entry that uses the serving policy of the daemon. */
interface DaemonEntry extends SimulatedEntry {
  readonly policy: ServingPolicy;
}

/** Creates an entry of a simulation. Must be called for the indexes 0, 1, 2 and so on, in this order. */
export type CreateDaemonEntry = (
  clock: SimulatedClock,
  random: SeededRandom,
  directory: EngineDirectory,
  index: number,
  user: { readonly failureDomains: readonly string[] },
) => SimulatedEntry;

/** Most requests that wait at one entry. */
const MAX_QUEUED = 2_000;

/** Returns a factory of `count` entries that run the daemon's `ServingPolicy` and share their demand. */
export function createDaemonEntryFactory(count: number): CreateDaemonEntry {
  const entries: DaemonEntry[] = [];
  const nodes = Array.from({ length: count }, (_, index) => `entry-${index}`);
  return (clock, random, directory, index, { failureDomains }) => {
    // The factory is used for several simulations; index 0 starts a new one.
    if (index === 0) entries.length = 0;
    const peerDemand = (model: string): Demand => sumDemand(entries
      .filter((_, otherIndex) => otherIndex !== index)
      .map(({ policy }) => policy.demand()[model] ?? NO_DEMAND));
    const policy = new ServingPolicy({
      clock,
      random,
      directory,
      node: nodes[index]!,
      failureDomain: failureDomains[index % failureDomains.length]!,
      nodes: () => nodes,
      peerDemand,
      maxQueued: MAX_QUEUED,
    });
    const entry: DaemonEntry = {
      directory,
      policy,
      dispatcher: policy.dispatcher,
      report: (engine, load) => {
        policy.addEngine(engine);
        policy.recordLoadReport({
          engine, ageMs: clock.monotonic() - load.at, kvBlocksTotal: 1, leaving: false, ...load,
        });
      },
    };
    entries.push(entry);
    return entry;
  };
}
