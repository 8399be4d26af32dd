import type { Demand } from '../routing/index.js';

/** Engines per role. */
export interface RoleCounts {
  readonly prefill: number;
  readonly decode: number;
  readonly mixed: number;
}

/** How much an engine of each role serves within the target. */
export interface SplitModel {
  /** Output tokens per ms that a decode engine produces before the time between tokens exceeds its target. */
  readonly decodeTokensPerMs: number;
  /** The same for a mixed engine, which also prefills. */
  readonly mixedTokensPerMs: number;
  /** Share of a mixed engine's time that short answers can use, relative to a prefill engine. */
  readonly mixedPrefillShare: number;
}

/** Figures for {@link DEFAULT_ENGINE_SPEED} and 46 ms between tokens. */
export const DEFAULT_SPLIT_MODEL: SplitModel = {
  decodeTokensPerMs: 1,
  mixedTokensPerMs: 0.76,
  mixedPrefillShare: 0.9,
};

/** Load relative to capacity from which fluctuations begin to cost answers. */
const SHOULDER_LOAD = 0.85;

/** Load at which queues grow so fast that no answer is good any more. */
const COLLAPSE_LOAD = 1.3;

/** Loss of short answers per square of the share of time that their engines are busy. */
const BUSY_LOSS = 1.2;

/** Share of answers to long requests that are good at a load relative to capacity. */
function decodeShare(load: number): number {
  if (load <= SHOULDER_LOAD) return 1;
  if (load <= 1) return 1 - (0.05 * (load - SHOULDER_LOAD)) / (1 - SHOULDER_LOAD);
  return Math.max(0, 0.95 * (1 - (load - 1) / (COLLAPSE_LOAD - 1)));
}

/** Share of short answers that are good, and of first tokens in time, at a busy share of prefill engines. */
function prefillShare(busy: number): number {
  return Math.max(0, 1 - BUSY_LOSS * busy * busy);
}

function ratio(work: number, capacity: number): number {
  if (work <= 0) return 0;
  return capacity <= 0 ? Infinity : work / capacity;
}

/** Expected good answers a second of a division of engines under a demand. */
export function splitValue(counts: RoleCounts, demand: Demand, model: SplitModel): number {
  let best = 0;
  // Mixed engines are divided between short answers and decodes as the router would.
  for (let forShort = 0; forShort <= counts.mixed; forShort += 1) {
    const forLong = counts.mixed - forShort;
    const decodeCapacity = counts.decode * model.decodeTokensPerMs + forLong * model.mixedTokensPerMs;
    const onDecode = decodeCapacity > 0 ? (counts.decode * model.decodeTokensPerMs) / decodeCapacity : 0;
    const prefillCapacity = counts.prefill + forShort * model.mixedPrefillShare;
    // Mixed engines prefill their own long answers.
    const prefillWork = demand.shortShare + demand.longPrefillShare * onDecode;
    const busy = ratio(prefillWork, prefillCapacity);
    const longGood = decodeShare(ratio(demand.tokensPerMs, decodeCapacity));
    const firstGood = onDecode === 0 || busy < 0.9 ? 1 : 1 - onDecode * Math.min(1, (busy - 0.9) * 2);
    const value = demand.shortPerSecond * prefillShare(busy) + demand.longPerSecond * longGood * Math.max(0, firstGood);
    if (value > best) best = value;
  }
  return best;
}
