import type { EngineSpeed } from './load.js';
import { SHORT_ANSWER_TOKENS } from './load.js';
import { rendezvousWeight } from './subset.js';

/** Time over which the demand is smoothed, in ms. */
const SMOOTHING_MS = 15_000;

/** Decodes that share a step at the target pace. */
const TYPICAL_BATCH = 14;

/** Share of time that an engine can spend on prefill work while first tokens stay in time. */
const PREFILL_UTILIZATION = 0.45;

/** Demand for one model in engine milliseconds over the smoothing time; the planner and the entries share it. */
export interface Demand {
  /** Prefill of long prompts with short answers, at the share of time that prefill work can use. */
  readonly prefillMs: number;
  /** Long answers at a typical batch. */
  readonly decodeMs: number;
}

/** Distance of the wanted number from the current one at which it changes, in engines. */
const HYSTERESIS = 0.7;

/**
 * Divides mixed engines between short answers to long prompts and long answers, by the demand that this node sees.
 * All nodes use the same order of engines, so they agree without messages when they see similar demand.
 */
export class WorkAffinity {
  private prefillMs = 0;

  private decodeMs = 0;

  private at = 0;

  private count: number | null = null;

  public constructor(private readonly speed: EngineSpeed) {}

  /** Counts one arrival. */
  public observe(now: number, prefillTokens: number, expectedOutput: number): void {
    this.decay(now);
    const { prefillTokensPerMs, stepMs, stepPerSequenceMs } = this.speed;
    const prefillMs = prefillTokens / prefillTokensPerMs;
    if (expectedOutput <= SHORT_ANSWER_TOKENS) {
      this.prefillMs += (prefillMs + expectedOutput * stepMs) / PREFILL_UTILIZATION;
    } else {
      this.decodeMs += prefillMs + (expectedOutput * (stepMs + TYPICAL_BATCH * stepPerSequenceMs)) / TYPICAL_BATCH;
    }
  }

  /** Smoothed demand that this node sees. */
  public demand(now: number): Demand {
    this.decay(now);
    return { prefillMs: this.prefillMs, decodeMs: this.decodeMs };
  }

  /**
   * Engines of `total` that should take the short answers, given the demand of all nodes. With an engine of its own,
   * a node's short answers never meet those of other nodes, so there are as many as nodes if the rest can spare them.
   */
  public shortEngines(total: number, nodes: number, demand: Demand): number {
    const sum = demand.prefillMs + demand.decodeMs;
    if (sum === 0 || total < 2) return 0;
    const spare = total - Math.ceil(demand.decodeMs / SMOOTHING_MS);
    const wanted = demand.prefillMs === 0
      ? 0
      : Math.max((total * demand.prefillMs) / sum, Math.min(nodes, spare));
    if (this.count === null || this.count > total || Math.abs(wanted - this.count) > HYSTERESIS) {
      const least = demand.prefillMs > 0 ? 1 : 0;
      const most = demand.decodeMs > 0 ? total - 1 : total;
      this.count = Math.min(most, Math.max(least, Math.round(wanted)));
    }
    return this.count;
  }

  private decay(now: number): void {
    const factor = Math.exp((this.at - now) / SMOOTHING_MS);
    this.prefillMs *= factor;
    this.decodeMs *= factor;
    this.at = now;
  }
}

const ORDER = 'order';

/** Order of engines that is the same at every node and does not follow their names. */
export function sharedOrder<T extends { readonly name: string }>(engines: readonly T[]): T[] {
  return [...engines].sort((a, b) => rendezvousWeight(ORDER, a.name) - rendezvousWeight(ORDER, b.name));
}
