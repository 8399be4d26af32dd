import type { EngineLoad, EngineSpeed } from './load.js';
import { SHORT_ANSWER_TOKENS } from './load.js';

/** Limits that the cost measures delays against, in ms. */
export interface CostTarget {
  readonly firstTokenMs: number;
  readonly perTokenMs: number;
}

/** First token within 0.74 s and 46 ms between tokens, as users state them. */
export const DEFAULT_COST_TARGET: CostTarget = { firstTokenMs: 740, perTokenMs: 46 };

/** Request as the cost sees it. */
export interface CostItem {
  /** Prompt tokens to prefill after the expected prefix hit. */
  readonly prefillTokens: number;
  readonly expectedOutput: number;
  /** Tokens of KV cache to import. */
  readonly importedTokens: number;
}

/** Engine as the cost sees it at one moment. */
export interface CostEngine {
  readonly load: EngineLoad;
  /** Own prompt tokens that wait for prefill. */
  readonly promptWaiting: number;
  /** Requests of other nodes expected to run there. */
  readonly others: number;
  readonly distanceMs: number;
  /** Share of the short answers there that other nodes send; 0 when no other node should. */
  readonly foreign: number;
  /** Whether the nodes send short answers there rather than long ones. */
  readonly forShort: boolean;
  /** Prompt tokens that one step takes. */
  readonly chunkTokens: number;
}

/** Predicted service of a request, and the harm that it does, counted in shares of missed limits. */
export interface CostEstimate {
  readonly firstTokenMs: number;
  readonly perTokenMs: number;
  /** Harm to requests that run there already or come from other nodes. */
  readonly harm: number;
  /** Harm to own short answers alone; it passes when they finish. */
  readonly shortHarm: number;
}

/** Price of a long answer on an engine for short ones, or the other way round. */
const MISFIT_COST = 10;

/** Price of a prompt that certainly meets short answers of another node. */
const COLLISION_COST = 3;

const MAX_PENALTY = 4;

/** Least slack in ms between tokens that the harm is measured against. */
const MIN_SLACK_MS = 2;

/** Gaps between tokens of a typical short answer. */
const SHORT_GAPS = 2;

/** Quadratic up to the limit, so that load spreads; steeper beyond it. */
function penalty(ratio: number): number {
  return Math.min(MAX_PENALTY, ratio <= 1 ? ratio * ratio : 1 + 3 * (ratio - 1));
}

/** Mean output tokens that are left to an own long request; a typical reply when there is none. */
function meanLeft(load: EngineLoad): number {
  const longs = load.count - load.shorts;
  return longs > 0 ? Math.max(8, load.outputLeft / longs) : 100;
}

/** The same service after own short answers there have finished. */
export function afterShorts(estimate: CostEstimate, shorts: number, speed: EngineSpeed): CostEstimate {
  return {
    ...estimate,
    firstTokenMs: estimate.firstTokenMs + shorts * SHORT_GAPS * speed.stepMs,
    harm: estimate.harm - estimate.shortHarm,
    shortHarm: 0,
  };
}

/** Price in shares of missed limits; `budgetMs` is what is left until the first token is late. */
export function priceOf(estimate: CostEstimate, budgetMs: number, target: CostTarget): number {
  return penalty(estimate.firstTokenMs / budgetMs) + penalty(estimate.perTokenMs / target.perTokenMs) + estimate.harm;
}

/** Predicts running the whole request, or its decode if all its prompt is imported, on one engine. */
export function estimateCost(
  item: CostItem,
  engine: CostEngine,
  speed: EngineSpeed,
  target: CostTarget,
): CostEstimate {
  const { load } = engine;
  const short = item.expectedOutput <= SHORT_ANSWER_TOKENS;
  const longs = Math.max(0, load.count - load.shorts) + engine.others;
  const chunkMs = engine.chunkTokens / speed.prefillTokensPerMs;
  const decodeMs = longs >= 0.5 ? speed.stepMs + speed.stepPerSequenceMs * longs : 0;
  const waiting = engine.promptWaiting + item.prefillTokens;
  const firstTokenMs = waiting / speed.prefillTokensPerMs
    + Math.ceil(waiting / engine.chunkTokens) * decodeMs
    + item.importedTokens * speed.transferMsPerToken
    + engine.distanceMs;
  const ownStepMs = speed.stepMs + speed.stepPerSequenceMs * (longs + 1);
  const foreignShare = short ? engine.foreign * load.prefillShare : load.prefillShare;
  const perTokenMs = ownStepMs + foreignShare * chunkMs;

  const delayMs = item.prefillTokens / speed.prefillTokensPerMs;
  const slackMs = Math.max(MIN_SLACK_MS, target.perTokenMs - decodeMs);
  const shortHarm = load.shorts * Math.min(1, delayMs / (SHORT_GAPS * (target.perTokenMs - speed.stepMs)));
  const longHarm = longs * Math.min(1, delayMs / (meanLeft(load) * slackMs));
  // A long answer adds its share to every step of the others, and slows prefill work by a decode in each chunk.
  const decodeHarm = short
    ? 0
    : longs * Math.min(1, speed.stepPerSequenceMs / slackMs)
      + (longs < 1 ? load.prefillShare * (speed.stepMs / chunkMs) : 0);
  // Work of the home node spoils this answer, and this prompt spoils the home node's answers.
  const collisions = COLLISION_COST * engine.foreign * load.prefillShare
    * Math.min(1, delayMs / (target.perTokenMs - speed.stepMs));
  const misfit = short === engine.forShort ? 0 : MISFIT_COST;
  return {
    firstTokenMs, perTokenMs, shortHarm, harm: shortHarm + longHarm + decodeHarm + collisions + misfit,
  };
}

/** Mean time between tokens of a short answer that is prefilled on one engine and decoded on another. */
export function handoverPerTokenMs(
  promptTokens: number,
  outputTokens: number,
  stepMs: number,
  speed: EngineSpeed,
): number {
  const gaps = Math.max(1, outputTokens - 1);
  // The transfer is followed by the rest of the running step, half of one on average.
  return (promptTokens * speed.transferMsPerToken + stepMs / 2 + gaps * stepMs) / gaps;
}
