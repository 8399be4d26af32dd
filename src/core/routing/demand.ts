import type { EngineSpeed } from './load.js';
import { SHORT_ANSWER_TOKENS } from './load.js';
import { rendezvousWeight } from '../rendezvous.js';

/** Time constant of the exponential smoothing of demand, in ms. */
const SMOOTHING_MS = 6_000;

/** Number of sequences that an engine decodes in one step while it meets the target time between tokens. */
const TYPICAL_BATCH = 16;

/** Share of its time that an engine can spend on prefill while first tokens still meet their target. */
const PREFILL_UTILIZATION = 0.45;

/** Smoothed demand for one model, as one node sees it. Nodes publish it to each other and to the role planner. */
export interface Demand {
  /** Requests per second whose expected answer has at most {@link SHORT_ANSWER_TOKENS} tokens. */
  readonly shortPerSecond: number;
  /** Number of engines that these requests would keep busy if each engine ran one of them at a time. */
  readonly shortShare: number;
  /** Requests per second with a longer expected answer. */
  readonly longPerSecond: number;
  /** Number of engines that the prefill of these requests would keep busy. */
  readonly longPrefillShare: number;
  /** Expected output tokens of long answers per ms. */
  readonly tokensPerMs: number;
}

/** Demand of a node that sees no requests. */
export const NO_DEMAND: Demand = {
  shortPerSecond: 0, shortShare: 0, longPerSecond: 0, longPrefillShare: 0, tokensPerMs: 0,
};

/** Adds up the demand of several nodes or models. */
export function sumDemand(demands: readonly Demand[]): Demand {
  return demands.reduce((sum, demand) => ({
    shortPerSecond: sum.shortPerSecond + demand.shortPerSecond,
    shortShare: sum.shortShare + demand.shortShare,
    longPerSecond: sum.longPerSecond + demand.longPerSecond,
    longPrefillShare: sum.longPrefillShare + demand.longPrefillShare,
    tokensPerMs: sum.tokensPerMs + demand.tokensPerMs,
  }), NO_DEMAND);
}

/** The number of engines changes only if the wanted number differs from it by more than this many engines. */
const HYSTERESIS = 0.7;

/** The same as a share of all engines; the larger of the two bounds applies. */
const HYSTERESIS_SHARE = 0.03;

/**
 * Decides how many engines of one model take short answers, mostly to long prompts; the others take long answers. The
 * number follows the demand. All nodes take the engines in the same order, so nodes that see similar demand choose the
 * same engines without messages.
 */
export class ShortPoolSizer {
  private readonly sums = {
    shorts: 0, shortMs: 0, longs: 0, longPrefillMs: 0, tokens: 0,
  };

  private decayedAt = 0;

  private currentCount: number | null = null;

  public constructor(private readonly speed: EngineSpeed) {}

  /** Adds one request to the demand; `now` is monotonic time in ms. */
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
   * How many of `total` engines should take short answers, given the demand of all nodes. Short answers of two nodes
   * never collide if each node has an engine of its own, so the result is at least the number of nodes as long as
   * enough engines are left for long answers.
   */
  public shortEngineCount(total: number, nodes: number, demand: Demand): number {
    const neededForShort = demand.shortShare / PREFILL_UTILIZATION;
    const stepMs = this.speed.stepMs + TYPICAL_BATCH * this.speed.stepPerSequenceMs;
    const neededForLong = demand.longPrefillShare + (demand.tokensPerMs * stepMs) / TYPICAL_BATCH;
    if (neededForShort + neededForLong === 0 || total < 2) return 0;
    const spare = total - Math.ceil(neededForLong);
    const wanted = neededForShort === 0
      ? 0
      : Math.max((total * neededForShort) / (neededForShort + neededForLong), Math.min(nodes, spare));
    const slack = Math.max(HYSTERESIS, total * HYSTERESIS_SHARE);
    if (this.currentCount === null || this.currentCount > total || Math.abs(wanted - this.currentCount) > slack) {
      const least = neededForShort > 0 ? 1 : 0;
      const most = neededForLong > 0 ? total - 1 : total;
      this.currentCount = Math.min(most, Math.max(least, Math.round(wanted)));
    }
    return this.currentCount;
  }

  private decay(now: number): void {
    const factor = Math.exp((this.decayedAt - now) / SMOOTHING_MS);
    this.sums.shorts *= factor;
    this.sums.shortMs *= factor;
    this.sums.longs *= factor;
    this.sums.longPrefillMs *= factor;
    this.sums.tokens *= factor;
    this.decayedAt = now;
  }
}

const ORDER_KEY = 'order';

/** Sorts engines by a hash of their names: the order is the same at every node and unrelated to the names' order. */
export function orderByRendezvous<T extends { readonly name: string }>(engines: readonly T[]): T[] {
  return [...engines].sort((a, b) => rendezvousWeight(ORDER_KEY, a.name) - rendezvousWeight(ORDER_KEY, b.name));
}
