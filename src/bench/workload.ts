import { Priority } from '../core/interfaces/index.js';
import { PREFIX_BLOCK_TOKENS } from '../core/routing/index.js';
import type { SeededRandom } from '../emulator/random.js';

/** Request of a workload. Policies must not read `outputTokens`, which no entry knows in advance. */
export interface Arrival {
  /** Time of arrival in ms. */
  readonly at: number;
  readonly requestClass: string;
  readonly workspace: string;
  readonly priority: Priority;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Hashes of the prompt's prefix blocks; empty when it shares no prefix. */
  readonly blocks: readonly string[];
}

/** Class of requests with log-normal distributions of its prompt and output lengths, in tokens. */
export interface RequestClass {
  readonly name: string;
  readonly workspace: string;
  readonly priority: Priority;
  readonly promptMedian: number;
  readonly promptSigma: number;
  readonly outputMedian: number;
  readonly outputSigma: number;
  /** Share of requests whose output is longer by the factor `STRAGGLER_FACTOR`. */
  readonly stragglerShare: number;
  /** Number of different documents with which prompts start; 0 means that prompts share no prefix. */
  readonly documents: number;
}

const STRAGGLER_FACTOR = 20;

/** Request classes of Halvorsen: long catalogues answered by yes or no, and short reply drafts. */
export const HALVORSEN: readonly RequestClass[] = [
  {
    name: 'catalogue',
    workspace: 'dealers',
    priority: Priority.Normal,
    promptMedian: 4_000,
    promptSigma: 0.4,
    outputMedian: 3,
    outputSigma: 0.3,
    stragglerShare: 0,
    documents: 0,
  },
  {
    name: 'reply',
    workspace: 'dealers',
    priority: Priority.Normal,
    promptMedian: 300,
    promptSigma: 0.5,
    outputMedian: 160,
    outputSigma: 0.5,
    stragglerShare: 0.01,
    documents: 0,
  },
];

/** Request classes of Galinheiro: long inspection notes answered by yes or no, rental replies, urgent questions. */
export const GALINHEIRO: readonly RequestClass[] = [
  {
    name: 'notes',
    workspace: 'farms',
    priority: Priority.Normal,
    promptMedian: 3_000,
    promptSigma: 0.5,
    outputMedian: 3,
    outputSigma: 0.3,
    stragglerShare: 0,
    documents: 0,
  },
  {
    name: 'rental',
    workspace: 'renters',
    priority: Priority.Normal,
    promptMedian: 250,
    promptSigma: 0.5,
    outputMedian: 120,
    outputSigma: 0.5,
    stragglerShare: 0.02,
    documents: 0,
  },
  {
    name: 'urgent',
    workspace: 'renters',
    priority: Priority.Urgent,
    promptMedian: 120,
    promptSigma: 0.4,
    outputMedian: 50,
    outputSigma: 0.4,
    stragglerShare: 0,
    documents: 0,
  },
];

/** Arrival rate of one class in requests per second, as a function of time in ms. */
export interface ClassRate {
  readonly requestClass: RequestClass;
  readonly ratePerSecond: (timeMs: number) => number;
  /** Upper bound of `ratePerSecond`. */
  readonly maxRatePerSecond: number;
}

/** Draws the lengths and the document of one request. */
function drawArrival(random: SeededRandom, at: number, requestClass: RequestClass): Arrival {
  const promptTokens = Math.max(8, Math.round(random.logNormal(requestClass.promptMedian, requestClass.promptSigma)));
  const straggler = random.float() < requestClass.stragglerShare;
  const output = random.logNormal(requestClass.outputMedian, requestClass.outputSigma);
  const blocks: string[] = [];
  if (requestClass.documents > 0) {
    const document = random.integer(0, requestClass.documents - 1);
    const count = Math.floor((promptTokens * 0.9) / PREFIX_BLOCK_TOKENS);
    for (let index = 0; index < count; index += 1) blocks.push(`${requestClass.name}-${document}-${index}`);
  }
  return {
    at,
    requestClass: requestClass.name,
    workspace: requestClass.workspace,
    priority: requestClass.priority,
    promptTokens,
    outputTokens: Math.max(1, Math.round(output * (straggler ? STRAGGLER_FACTOR : 1))),
    blocks,
  };
}

/** Generates Poisson arrivals of several classes over `durationMs`, sorted by time. */
export function generateArrivals(
  random: SeededRandom,
  rates: readonly ClassRate[],
  durationMs: number,
): Arrival[] {
  const arrivals: Arrival[] = [];
  for (const { requestClass, ratePerSecond, maxRatePerSecond } of rates) {
    let at = 0;
    while (maxRatePerSecond > 0) {
      at += random.exponential(1_000 / maxRatePerSecond);
      if (at >= durationMs) break;
      // Thinning: a candidate is kept with a probability of the current rate over the upper bound.
      if (random.float() * maxRatePerSecond < ratePerSecond(at)) arrivals.push(drawArrival(random, at, requestClass));
    }
  }
  return arrivals.sort((a, b) => a.at - b.at);
}
