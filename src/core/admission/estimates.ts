import type { WorkItem } from '../serving/index.js';

/** Histogram buckets per doubling of the length. */
const BUCKETS_PER_OCTAVE = 4;
const OCTAVES = 17;
const BUCKETS = OCTAVES * BUCKETS_PER_OCTAVE;

/** Factor between the weights of successive observations; one counts half as much after about 230 newer ones. */
const WEIGHT_GROWTH = 1.003;
const MAX_WEIGHT = 1e12;

/** A histogram with fewer observations is not used; a more general one takes its place. */
const MIN_OBSERVATIONS = 1;
const MAX_HISTOGRAMS = 4_096;
/** Output length that is assumed before any answer has been observed. */
const DEFAULT_OUTPUT_TOKENS = 128;

function bucketOf(tokens: number): number {
  return Math.min(BUCKETS - 1, Math.floor(Math.log2(Math.max(1, tokens)) * BUCKETS_PER_OCTAVE));
}

function bucketMidpoint(bucket: number): number {
  return 2 ** ((bucket + 0.5) / BUCKETS_PER_OCTAVE);
}

/** Histogram of lengths in tokens with logarithmic buckets; newer observations weigh more. */
export class LengthHistogram {
  private readonly weights = new Float64Array(BUCKETS);

  private nextWeight = 1;

  /** Number of lengths added. */
  public observations = 0;

  /** Adds one length. */
  public add(tokens: number): void {
    const bucket = bucketOf(tokens);
    this.weights[bucket] = this.weights[bucket]! + this.nextWeight;
    this.observations += 1;
    this.nextWeight *= WEIGHT_GROWTH;
    if (this.nextWeight < MAX_WEIGHT) return;
    for (let index = 0; index < BUCKETS; index += 1) this.weights[index] = this.weights[index]! / this.nextWeight;
    this.nextWeight = 1;
  }

  /** Quantile (`fraction` from 0 to 1) in tokens among the lengths above `produced`, or `null` if there are none. */
  public quantile(fraction: number, produced = 0): number | null {
    const first = produced > 0 ? bucketOf(produced) : 0;
    let total = 0;
    for (let index = first; index < BUCKETS; index += 1) total += this.weights[index]!;
    if (total <= 0) return null;
    let remainingWeight = total * fraction;
    for (let index = first; index < BUCKETS; index += 1) {
      remainingWeight -= this.weights[index]!;
      if (remainingWeight <= 0 && this.weights[index]! > 0) return Math.max(produced + 1, bucketMidpoint(index));
    }
    return Math.max(produced + 1, bucketMidpoint(BUCKETS - 1));
  }
}

/** Estimates output lengths per workspace and kind, and service times of the engines, from completed requests. */
export class Estimates {
  private readonly histograms = new Map<string, LengthHistogram>();

  private readonly allLengths = new LengthHistogram();

  private prefillMsPerToken = 0;

  private firstTokenBaseMs = 0;

  private perTokenMs = 0;

  /** Records the output length of a finished answer in tokens. */
  public observeLength(item: WorkItem, outputTokens: number): void {
    this.histogramFor(`${item.workspace}\n${item.kind}`).add(outputTokens);
    this.histogramFor(`\n${item.kind}`).add(outputTokens);
    this.allLengths.add(outputTokens);
  }

  /** Records the time from placement to first token in ms. */
  public observeFirstToken(promptTokens: number, latencyMs: number): void {
    const tokens = Math.max(1, promptTokens);
    if (this.prefillMsPerToken === 0) {
      this.prefillMsPerToken = latencyMs / Math.max(tokens, 256);
      return;
    }
    // Stochastic gradient on latency = base + slope * tokens, normalised so that long prompts do not dominate.
    const error = latencyMs - this.firstTokenMs(promptTokens);
    const step = 0.05 / (1 + (tokens / 1_000) ** 2);
    this.firstTokenBaseMs = Math.max(0, this.firstTokenBaseMs + step * error);
    this.prefillMsPerToken = Math.max(0, this.prefillMsPerToken + (step * error * (tokens / 1_000)) / 1_000);
  }

  /** Records a mean time between output tokens, in ms. */
  public observeTokenTime(gapMs: number): void {
    this.perTokenMs = this.perTokenMs === 0 ? gapMs : this.perTokenMs * 0.95 + gapMs * 0.05;
  }

  /** Quantile of the expected output tokens; grows with `produced` once an answer is longer than the first estimate. */
  public outputTokens(item: WorkItem, fraction = 0.5, produced = 0): number {
    for (const key of [`${item.workspace}\n${item.kind}`, `\n${item.kind}`]) {
      const histogram = this.histograms.get(key);
      if (histogram === undefined || histogram.observations < MIN_OBSERVATIONS) continue;
      const estimate = histogram.quantile(fraction, produced);
      if (estimate !== null) return Math.min(item.maxTokens, estimate);
    }
    const overall = this.allLengths.observations < MIN_OBSERVATIONS
      ? null : this.allLengths.quantile(fraction, produced);
    return Math.min(item.maxTokens, overall ?? Math.max(DEFAULT_OUTPUT_TOKENS, 2 * produced));
  }

  /** Expected time from placement to first token in ms; 0 before the first observation. */
  public firstTokenMs(promptTokens: number): number {
    return this.firstTokenBaseMs + this.prefillMsPerToken * promptTokens;
  }

  /** Expected time from placement to the last token in ms. */
  public serviceMs(item: WorkItem, produced = 0): number {
    const remaining = this.outputTokens(item, 0.5, produced) - produced;
    return (produced > 0 ? 0 : this.firstTokenMs(item.promptTokens)) + Math.max(0, remaining) * this.perTokenMs;
  }

  private histogramFor(key: string): LengthHistogram {
    let histogram = this.histograms.get(key);
    if (histogram === undefined) {
      histogram = new LengthHistogram();
      if (this.histograms.size >= MAX_HISTOGRAMS) this.histograms.delete(this.histograms.keys().next().value!);
    } else {
      this.histograms.delete(key);
    }
    // The map's insertion order is the order of last use, so the least recently used histogram is evicted first.
    this.histograms.set(key, histogram);
    return histogram;
  }
}
