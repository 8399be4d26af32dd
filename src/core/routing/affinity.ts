import type { EngineSpeed } from './load.js';
import { SHORT_ANSWER_TOKENS } from './load.js';
import { rendezvousWeight } from '../rendezvous.js';

/** Time over which the demand is smoothed, in ms. */
const SMOOTHING_MS = 6_000;

/** Decodes that share a step at the target pace. */
const TYPICAL_BATCH = 16;

/** Share of time that an engine can spend on prefill work while first tokens stay in time. */
const PREFILL_UTILIZATION = 0.45;

/** Smoothed demand for one model; the planner and the entries share it. Sums of nodes add up. */
export interface Demand {
  /** Requests a second with short expected answers. */
  readonly shortPerSecond: number;
  /** Engines that they would keep busy, one at a time on each. */
  readonly shortShare: number;
  readonly longPerSecond: number;
  /** Engines that the prompts of long answers would keep busy. */
  readonly longPrefillShare: number;
  /** Expected output of long answers. */
  readonly tokensPerMs: number;
}

/** No demand at all. */
export const NO_DEMAND: Demand = {
  shortPerSecond: 0, shortShare: 0, longPerSecond: 0, longPrefillShare: 0, tokensPerMs: 0,
};

/** Sum of the demand of several nodes. */
export function sumDemand(demands: readonly Demand[]): Demand {
  return demands.reduce((sum, demand) => ({
    shortPerSecond: sum.shortPerSecond + demand.shortPerSecond,
    shortShare: sum.shortShare + demand.shortShare,
    longPerSecond: sum.longPerSecond + demand.longPerSecond,
    longPrefillShare: sum.longPrefillShare + demand.longPrefillShare,
    tokensPerMs: sum.tokensPerMs + demand.tokensPerMs,
  }), NO_DEMAND);
}

/** Distance of the wanted number from the current one at which it changes, in engines and as a share of them. */
const HYSTERESIS = 0.7;

const HYSTERESIS_SHARE = 0.03;

/**
 * Divides mixed engines between short answers to long prompts and long answers, by the demand that this node sees.
 * All nodes use the same order of engines, so they agree without messages when they see similar demand.
 */
export class WorkAffinity {
  private readonly sums = {
    shorts: 0, shortMs: 0, longs: 0, longPrefillMs: 0, tokens: 0,
  };

  private at = 0;

  private count: number | null = null;

  public constructor(private readonly speed: EngineSpeed) {}

  /** Counts one arrival. */
  public observe(now: number, prefillTokens: number, expectedOutput: number): void {
    this.decay(now);
    const { sums } = this;
    const prefillMs = prefillTokens / this.speed.prefillTokensPerMs;
    if (expectedOutput <= SHORT_ANSWER_TOKENS) {
      sums.shorts += 1;
      sums.shortMs += prefillMs + expectedOutput * this.speed.stepMs;
    } else {
      sums.longs += 1;
      sums.longPrefillMs += prefillMs;
      sums.tokens += expectedOutput;
    }
  }

  /** Smoothed demand that this node sees. */
  public demand(now: number): Demand {
    this.decay(now);
    const { sums } = this;
    return {
      shortPerSecond: (sums.shorts * 1_000) / SMOOTHING_MS,
      shortShare: sums.shortMs / SMOOTHING_MS,
      longPerSecond: (sums.longs * 1_000) / SMOOTHING_MS,
      longPrefillShare: sums.longPrefillMs / SMOOTHING_MS,
      tokensPerMs: sums.tokens / SMOOTHING_MS,
    };
  }

  /**
   * Engines of `total` that should take the short answers, given the demand of all nodes. With an engine of its own,
   * a node's short answers never meet those of other nodes, so there are as many as nodes if the rest can spare them.
   */
  public shortEngines(total: number, nodes: number, demand: Demand): number {
    const forShort = demand.shortShare / PREFILL_UTILIZATION;
    const stepMs = this.speed.stepMs + TYPICAL_BATCH * this.speed.stepPerSequenceMs;
    const forLong = demand.longPrefillShare + (demand.tokensPerMs * stepMs) / TYPICAL_BATCH;
    if (forShort + forLong === 0 || total < 2) return 0;
    const spare = total - Math.ceil(forLong);
    const wanted = forShort === 0 ? 0 : Math.max((total * forShort) / (forShort + forLong), Math.min(nodes, spare));
    const slack = Math.max(HYSTERESIS, total * HYSTERESIS_SHARE);
    if (this.count === null || this.count > total || Math.abs(wanted - this.count) > slack) {
      const least = forShort > 0 ? 1 : 0;
      const most = forLong > 0 ? total - 1 : total;
      this.count = Math.min(most, Math.max(least, Math.round(wanted)));
    }
    return this.count;
  }

  private decay(now: number): void {
    const factor = Math.exp((this.at - now) / SMOOTHING_MS);
    this.sums.shorts *= factor;
    this.sums.shortMs *= factor;
    this.sums.longs *= factor;
    this.sums.longPrefillMs *= factor;
    this.sums.tokens *= factor;
    this.at = now;
  }
}

const ORDER = 'order';

/** Order of engines that is the same at every node and does not follow their names. */
export function sharedOrder<T extends { readonly name: string }>(engines: readonly T[]): T[] {
  return [...engines].sort((a, b) => rendezvousWeight(ORDER, a.name) - rendezvousWeight(ORDER, b.name));
}
