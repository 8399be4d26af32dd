import type { Demand } from '../routing/index.js';

/** Number of engines per role, also called a division. */
export interface RoleCounts {
  readonly prefill: number;
  readonly decode: number;
  readonly mixed: number;
}

/** How much work an engine of each role completes within the latency target. */
export interface RoleCapacityModel {
  /** Output tokens per ms of a decode engine at which the time between tokens reaches its target. */
  readonly decodeTokensPerMs: number;
  /** The same for a mixed engine, which also prefills. */
  readonly mixedTokensPerMs: number;
  /** Capacity of a mixed engine for short answers, relative to a prefill engine. */
  readonly mixedPrefillShare: number;
}

/** Figures for {@link DEFAULT_ENGINE_SPEED} and 46 ms between tokens. */
export const DEFAULT_ROLE_CAPACITY_MODEL: RoleCapacityModel = {
  decodeTokensPerMs: 1,
  mixedTokensPerMs: 0.76,
  mixedPrefillShare: 0.9,
};

/** Load relative to capacity above which fluctuations make some answers miss the target. */
const DEGRADED_LOAD = 0.85;

/** Load relative to capacity at which queues grow so fast that all answers miss the target. */
const COLLAPSE_LOAD = 1.3;

/** Share of short answers that miss the target, divided by the square of the busy share of their engines. */
const BUSY_LOSS_FACTOR = 1.2;

/** Share of answers to long requests that meet the target at a load relative to capacity. */
function goodLongShare(load: number): number {
  if (load <= DEGRADED_LOAD) return 1;
  if (load <= 1) return 1 - (0.05 * (load - DEGRADED_LOAD)) / (1 - DEGRADED_LOAD);
  return Math.max(0, 0.95 * (1 - (load - 1) / (COLLAPSE_LOAD - 1)));
}

/** Share of short answers that meet the target when prefill engines are busy for this share of the time. */
function goodShortShare(busy: number): number {
  return Math.max(0, 1 - BUSY_LOSS_FACTOR * busy * busy);
}

function relativeLoad(work: number, capacity: number): number {
  if (work <= 0) return 0;
  return capacity <= 0 ? Infinity : work / capacity;
}

/** Estimates how many answers per second a division of engines serves within the target under a demand. */
export function estimateGoodAnswersPerSecond(counts: RoleCounts, demand: Demand, model: RoleCapacityModel): number {
  let best = 0;
  // Keeps the best assignment of mixed engines to short answers and decodes, since the router assigns them that way.
  for (let shortEngines = 0; shortEngines <= counts.mixed; shortEngines += 1) {
    const longEngines = counts.mixed - shortEngines;
    const decodeCapacity = counts.decode * model.decodeTokensPerMs + longEngines * model.mixedTokensPerMs;
    const decodeShare = decodeCapacity > 0 ? (counts.decode * model.decodeTokensPerMs) / decodeCapacity : 0;
    const prefillCapacity = counts.prefill + shortEngines * model.mixedPrefillShare;
    // Mixed engines prefill the long answers that they decode; only those of the decode engines are prefilled here.
    const prefillWork = demand.shortShare + demand.longPrefillShare * decodeShare;
    const busy = relativeLoad(prefillWork, prefillCapacity);
    const goodLong = goodLongShare(relativeLoad(demand.tokensPerMs, decodeCapacity));
    const goodFirst = decodeShare === 0 || busy < 0.9 ? 1 : 1 - decodeShare * Math.min(1, (busy - 0.9) * 2);
    const value = demand.shortPerSecond * goodShortShare(busy)
      + demand.longPerSecond * goodLong * Math.max(0, goodFirst);
    if (value > best) best = value;
  }
  return best;
}
