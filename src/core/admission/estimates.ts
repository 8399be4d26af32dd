import type { WorkItem } from '../serving/index.js';

/** Buckets per doubling of the length. */
const BUCKETS_PER_OCTAVE = 4;
const OCTAVES = 17;
const BUCKETS = OCTAVES * BUCKETS_PER_OCTAVE;

/** Growth of the weight of each new observation; old ones lose half their weight after about 230 newer ones. */
const WEIGHT_GROWTH = 1.003;
const MAX_WEIGHT = 1e12;

/** Observations below which a sketch is not trusted alone. */
const COLD_OBSERVATIONS = 1;
const MAX_SKETCHES = 4_096;
const COLD_OUTPUT_TOKENS = 128;

function bucketOf(tokens: number): number {
  return Math.min(BUCKETS - 1, Math.floor(Math.log2(Math.max(1, tokens)) * BUCKETS_PER_OCTAVE));
}

function bucketMiddle(bucket: number): number {
  return 2 ** ((bucket + 0.5) / BUCKETS_PER_OCTAVE);
}

/** Histogram of lengths in logarithmic buckets; newer observations weigh more. */
export class LengthSketch {
  private readonly weights = new Float64Array(BUCKETS);

  private next = 1;

  public observations = 0;

  public add(tokens: number): void {
    const bucket = bucketOf(tokens);
    this.weights[bucket] = this.weights[bucket]! + this.next;
    this.observations += 1;
    this.next *= WEIGHT_GROWTH;
    if (this.next < MAX_WEIGHT) return;
    for (let index = 0; index < BUCKETS; index += 1) this.weights[index] = this.weights[index]! / this.next;
    this.next = 1;
  }

  /** Quantile in tokens among lengths above `produced`, or `null` when none was seen. */
  public quantile(share: number, produced = 0): number | null {
    const first = produced > 0 ? bucketOf(produced) : 0;
    let total = 0;
    for (let index = first; index < BUCKETS; index += 1) total += this.weights[index]!;
    if (total <= 0) return null;
    let left = total * share;
    for (let index = first; index < BUCKETS; index += 1) {
      left -= this.weights[index]!;
      if (left <= 0 && this.weights[index]! > 0) return Math.max(produced + 1, bucketMiddle(index));
    }
    return Math.max(produced + 1, bucketMiddle(BUCKETS - 1));
  }
}

/** Output lengths per workspace and kind, and service times of the engines, learned from finished work. */
export class Estimates {
  private readonly sketches = new Map<string, LengthSketch>();

  private readonly all = new LengthSketch();

  private prefillMsPerToken = 0;

  private firstTokenBaseMs = 0;

  private tokenMs = 0;

  /** Records the output length of a finished answer in tokens. */
  public observeLength(item: WorkItem, outputTokens: number): void {
    this.sketch(`${item.workspace}\n${item.kind}`).add(outputTokens);
    this.sketch(`\n${item.kind}`).add(outputTokens);
    this.all.add(outputTokens);
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

  /** Records a mean time between tokens in ms. */
  public observeTokenTime(gapMs: number): void {
    this.tokenMs = this.tokenMs === 0 ? gapMs : this.tokenMs * 0.95 + gapMs * 0.05;
  }

  /** Expected output tokens at a quantile; grows with `produced` while an answer outlives the estimate. */
  public outputTokens(item: WorkItem, share = 0.5, produced = 0): number {
    for (const key of [`${item.workspace}\n${item.kind}`, `\n${item.kind}`]) {
      const sketch = this.sketches.get(key);
      if (sketch === undefined || sketch.observations < COLD_OBSERVATIONS) continue;
      const estimate = sketch.quantile(share, produced);
      if (estimate !== null) return Math.min(item.maxTokens, estimate);
    }
    const shared = this.all.observations < COLD_OBSERVATIONS ? null : this.all.quantile(share, produced);
    return Math.min(item.maxTokens, shared ?? Math.max(COLD_OUTPUT_TOKENS, 2 * produced));
  }

  /** Expected time from placement to first token in ms; 0 before anything was seen. */
  public firstTokenMs(promptTokens: number): number {
    return this.firstTokenBaseMs + this.prefillMsPerToken * promptTokens;
  }

  /** Expected time from placement to the last token in ms. */
  public serviceMs(item: WorkItem, produced = 0): number {
    const remaining = this.outputTokens(item, 0.5, produced) - produced;
    return (produced > 0 ? 0 : this.firstTokenMs(item.promptTokens)) + Math.max(0, remaining) * this.tokenMs;
  }

  private sketch(key: string): LengthSketch {
    let sketch = this.sketches.get(key);
    if (sketch === undefined) {
      sketch = new LengthSketch();
      if (this.sketches.size >= MAX_SKETCHES) this.sketches.delete(this.sketches.keys().next().value!);
    } else {
      this.sketches.delete(key);
    }
    // Insertion order is the order of last use, so the bound drops the sketch that was unused for longest.
    this.sketches.set(key, sketch);
    return sketch;
  }
}
