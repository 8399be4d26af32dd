import type { EngineLoad, EngineSpeed } from './load.js';
import { SHORT_ANSWER_TOKENS } from './load.js';

/** Latency targets in ms; the cost expresses delays as ratios to them. */
export interface CostTarget {
  readonly firstTokenMs: number;
  readonly perTokenMs: number;
}

/** First token within 740 ms and 46 ms between tokens: the targets that users state. */
export const DEFAULT_COST_TARGET: CostTarget = { firstTokenMs: 740, perTokenMs: 46 };

/** Request properties that the cost depends on. */
export interface CostRequest {
  /** Prompt tokens that must be prefilled, without those expected in the engine's prefix cache. */
  readonly prefillTokens: number;
  /** Expected output tokens. */
  readonly expectedOutput: number;
  /** Prompt tokens whose KV cache is imported. */
  readonly importedTokens: number;
}

/** Engine state that the cost depends on, at one moment. */
export interface CostEngine {
  readonly load: EngineLoad;
  /** Prompt tokens of this node's requests that wait for prefill there. */
  readonly waitingPromptTokens: number;
  /** Expected number of requests of other nodes that run there. */
  readonly peerRequests: number;
  /** Extra network delay. */
  readonly distanceMs: number;
  /** Share of the short answers there that other nodes send; 0 if no other node should send any. */
  readonly peerShare: number;
  /** Whether the engine takes short answers rather than long ones. */
  readonly forShort: boolean;
  /** Prompt tokens that the engine prefills in one step. */
  readonly chunkTokens: number;
}

/** Predicted latency of a request, and the delay that it causes to other requests, relative to their targets. */
export interface CostEstimate {
  readonly firstTokenMs: number;
  readonly perTokenMs: number;
  /** Delay caused to requests that already run there or that other nodes send there. */
  readonly interference: number;
  /** The part of `interference` that falls on short answers of this node; it ends when they finish. */
  readonly shortInterference: number;
}

/** Cost of running a long answer on an engine for short answers, or the other way round. */
const MISMATCH_COST = 10;

/** Cost of a prompt that is certain to run at the same time as short answers of another node. */
const COLLISION_COST = 3;

/** Upper bound of the cost of one ratio to a target. */
const MAX_PENALTY = 4;

/** Lower bound, in ms, of the slack between tokens that interference is divided by. */
const MIN_SLACK_MS = 2;

/** Number of intervals between the tokens of a typical short answer. */
const TYPICAL_SHORT_GAPS = 2;

/** Cost of a ratio to a target: quadratic up to 1, so that load spreads, and steeper above. */
function penalty(ratio: number): number {
  return Math.min(MAX_PENALTY, ratio <= 1 ? ratio * ratio : 1 + 3 * (ratio - 1));
}

/** Mean expected output left to this node's long requests on an engine; a typical reply if there are none. */
function meanOutputLeft(load: EngineLoad): number {
  const longs = load.requestCount - load.shortCount;
  return longs > 0 ? Math.max(8, load.outputLeft / longs) : 100;
}

/** Estimate for a request that waits until `shorts` short answers of this node at the same engine have finished. */
export function afterShortAnswers(estimate: CostEstimate, shorts: number, speed: EngineSpeed): CostEstimate {
  return {
    ...estimate,
    firstTokenMs: estimate.firstTokenMs + shorts * TYPICAL_SHORT_GAPS * speed.stepMs,
    interference: estimate.interference - estimate.shortInterference,
    shortInterference: 0,
  };
}

/** Cost of an estimate, without unit; `budgetMs` is the time left until the first token is late. */
export function totalCost(estimate: CostEstimate, budgetMs: number, target: CostTarget): number {
  return penalty(estimate.firstTokenMs / budgetMs) + penalty(estimate.perTokenMs / target.perTokenMs)
    + estimate.interference;
}

/** Predicts the latency of a request on one engine; of its decode only if the KV cache of its prompt is imported. */
export function estimateCost(
  request: CostRequest,
  engine: CostEngine,
  speed: EngineSpeed,
  target: CostTarget,
): CostEstimate {
  const { load } = engine;
  const short = request.expectedOutput <= SHORT_ANSWER_TOKENS;
  const longs = Math.max(0, load.requestCount - load.shortCount) + engine.peerRequests;
  const chunkMs = engine.chunkTokens / speed.prefillTokensPerMs;
  const decodeMs = longs >= 0.5 ? speed.stepMs + speed.stepPerSequenceMs * longs : 0;
  const tokensToPrefill = engine.waitingPromptTokens + request.prefillTokens;
  const firstTokenMs = tokensToPrefill / speed.prefillTokensPerMs
    + Math.ceil(tokensToPrefill / engine.chunkTokens) * decodeMs
    + request.importedTokens * speed.transferMsPerToken
    + engine.distanceMs;
  const ownStepMs = speed.stepMs + speed.stepPerSequenceMs * (longs + 1);
  const peerPrefillShare = short ? engine.peerShare * load.prefillShare : load.prefillShare;
  const perTokenMs = ownStepMs + peerPrefillShare * chunkMs;

  const delayMs = request.prefillTokens / speed.prefillTokensPerMs;
  const slackMs = Math.max(MIN_SLACK_MS, target.perTokenMs - decodeMs);
  const shortInterference = load.shortCount
    * Math.min(1, delayMs / (TYPICAL_SHORT_GAPS * (target.perTokenMs - speed.stepMs)));
  const longInterference = longs * Math.min(1, delayMs / (meanOutputLeft(load) * slackMs));
  // The decode of a long answer lengthens every step of the other requests, and adds a decode to each prefill chunk.
  const decodeInterference = short
    ? 0
    : longs * Math.min(1, speed.stepPerSequenceMs / slackMs)
      + (longs < 1 ? load.prefillShare * (speed.stepMs / chunkMs) : 0);
  // Requests of the nodes that prefer this engine delay this answer, and this prompt delays their answers.
  const collisions = COLLISION_COST * engine.peerShare * load.prefillShare
    * Math.min(1, delayMs / (target.perTokenMs - speed.stepMs));
  const mismatch = short === engine.forShort ? 0 : MISMATCH_COST;
  return {
    firstTokenMs,
    perTokenMs,
    shortInterference,
    interference: shortInterference + longInterference + decodeInterference + collisions + mismatch,
  };
}

/** Mean time in ms between tokens of a short answer that is prefilled on one engine and decoded on another. */
export function handoverPerTokenMs(
  promptTokens: number,
  outputTokens: number,
  stepMs: number,
  speed: EngineSpeed,
): number {
  const gaps = Math.max(1, outputTokens - 1);
  // After the transfer the request waits for the end of the step in progress, half a step on average.
  return (promptTokens * speed.transferMsPerToken + stepMs / 2 + gaps * stepMs) / gaps;
}
