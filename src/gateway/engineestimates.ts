/** Weight of a new sample in the smoothed mean. */
const MEAN_WEIGHT = 1 / 8;

/** Weight of a new deviation in the smoothed deviation. */
const DEVIATION_WEIGHT = 1 / 4;

/** Number of deviations above the mean that a sample rarely exceeds. */
const BOUND_DEVIATIONS = 4;

/** Factor by which a time that ran out is counted, so that repeated timeouts lengthen the next one. */
const BACKOFF_FACTOR = 2;

/**
 * Share of the samples that lie below the rate of an engine without other work. Most samples are longer, because they
 * include waiting and the prefill of parts that were not cached.
 */
const UNLOADED_SHARE = 0.2;

/** Relative step by which the unloaded rate follows its samples. */
const UNLOADED_STEP = 0.1;

/** Largest share of the remaining time of a call that passes without an answer before another engine is tried. */
const MAX_SILENCE_SHARE = 0.5;

/** Multiple of a route's target time after which an engine counts as silent before anything was measured. */
const INITIAL_SILENCE_FACTOR = 2;

/** Number of samples from which on an estimate of engines without other work is used to choose who reads a prompt. */
const MIN_UNLOADED_SAMPLES = 16;

/** One in so many prompts that decoders should read goes the other way, so that its time is still measured. */
const SAMPLED_SHORT_PROMPTS = 8;

/** Prompt length in tokens that counts as long before anything was measured. */
const INITIAL_LONG_PROMPT_TOKENS = 1_000;

/** Share of a route's target time above which a prefill would noticeably delay the answers of a decoder. */
const LONG_PREFILL_SHARE = 1 / 2;

/** Smoothed mean and mean deviation of a measured quantity, from which a bound of further samples follows. */
export class SmoothedEstimate {
  private average: number | null = null;

  private deviation = 0;

  /** Smoothed mean, or `null` before the first sample. */
  public get mean(): number | null {
    return this.average;
  }

  /** Value that samples rarely exceed, or `null` before the first sample. */
  public get bound(): number | null {
    return this.average === null ? null : this.average + BOUND_DEVIATIONS * this.deviation;
  }

  public add(sample: number): void {
    if (this.average === null) {
      this.average = sample;
      this.deviation = sample / 2;
      return;
    }
    this.deviation += DEVIATION_WEIGHT * (Math.abs(sample - this.average) - this.deviation);
    this.average += MEAN_WEIGHT * (sample - this.average);
  }
}

/** Sizes of a prompt in tokens. */
export interface PromptSize {
  readonly promptTokens: number;
  /** Tokens of the last part, which no engine has cached. */
  readonly ownTokens: number;
}

/** Lower bound of a measured quantity, which most samples exceed because they include waiting. */
class UnloadedEstimate {
  private quantile: number | null = null;

  private samples = 0;

  /** Value that a small share of the samples is below, or `null` before the first sample. */
  public get value(): number | null {
    return this.quantile;
  }

  /** Whether there were enough samples that the first ones no longer decide. */
  public get isSettled(): boolean {
    return this.samples >= MIN_UNLOADED_SAMPLES;
  }

  public add(sample: number): void {
    this.samples += 1;
    // The first samples say little of their distribution, but none is below the least of them by much.
    if (!this.isSettled) {
      this.quantile = Math.min(this.quantile ?? sample, sample);
      return;
    }
    const known = this.quantile ?? sample;
    const direction = sample < known ? UNLOADED_SHARE - 1 : UNLOADED_SHARE;
    this.quantile = known * (1 + UNLOADED_STEP * direction);
  }
}

/** Prefill of one prompt at an engine. */
export interface PrefillWork extends PromptSize {
  /** Number of other prefills that were open at the engine when this one was sent. */
  readonly ahead: number;
}

/** Estimates of one engine; to be discarded with its incarnation. */
export class EngineTimes {
  /** Prefill time in ms per prompt token, with the work that was sent to the engine before. */
  public readonly msPerToken = new SmoothedEstimate();
}

/**
 * Estimates for the engines of one service, learned from the calls of this gateway. What all engines have in common is
 * learned from all of them; an engine that is slower than the others has times of its own.
 */
export class ServiceEstimates {
  /** Prefill time in ms per prompt token, with the work that was sent to the engine before. */
  private readonly msPerToken = new SmoothedEstimate();

  /** Time in ms per prompt token from sending a prefill to its end. */
  private readonly tookPerToken = new SmoothedEstimate();

  /** Time in ms from sending a continuation to the head of its answer. */
  private readonly continuationMs = new SmoothedEstimate();

  private readonly promptTokens = new SmoothedEstimate();

  /** Time in ms per token that an engine without other work needs to prefill. */
  private readonly unloadedMsPerToken = new UnloadedEstimate();

  /** Time in ms from sending a continuation to the head of its answer, at an engine without other work. */
  private readonly unloadedContinuationMs = new UnloadedEstimate();

  /** Prompts of a usual length that decoders read. */
  private shortPrompts = 0;

  /** Adds the time in ms that a prefill took. */
  public recordPrefill(engine: EngineTimes, work: PrefillWork, tookMs: number): void {
    const msPerToken = tookMs / this.tokensUntilEnd(work);
    this.msPerToken.add(msPerToken);
    engine.msPerToken.add(msPerToken);
    this.tookPerToken.add(tookMs / Math.max(1, work.promptTokens));
    this.promptTokens.add(work.promptTokens);
    this.unloadedMsPerToken.add(tookMs / Math.max(1, work.ownTokens));
  }

  /**
   * Adds a prefill that was aborted after `lastedMs` without an answer. Only the estimate of its engine changes, so
   * that an engine that stopped answering does not delay the detection of others.
   */
  public recordSilence(engine: EngineTimes, work: PrefillWork, lastedMs: number): void {
    engine.msPerToken.add((BACKOFF_FACTOR * lastedMs) / this.tokensUntilEnd(work));
  }

  /** Adds the time in ms from sending a continuation to the head of its answer. */
  public recordContinuation(tookMs: number): void {
    this.continuationMs.add(tookMs);
    this.unloadedContinuationMs.add(tookMs);
  }

  /** Mean time in ms from sending a continuation to the head of its answer; 0 before the first sample. */
  public get continuationMeanMs(): number {
    return this.continuationMs.mean ?? 0;
  }

  /** Expected time in ms from sending a long prompt to the first event of its answer; 0 before the first sample. */
  public firstEventMs(promptTokens: number): number {
    return (this.tookPerToken.mean ?? 0) * promptTokens + (this.continuationMs.mean ?? 0);
  }

  /** Time in ms that an idle engine needs to prefill `tokens`, or `null` before the first sample. */
  public prefillMs(tokens: number): number | null {
    const { value } = this.unloadedMsPerToken;
    return value === null ? null : value * tokens;
  }

  /**
   * Whether an engine with the prefill role should prefill a prompt before a decoder continues from it: where the
   * cached shared parts save more time than the handover takes, or where the prefill would hold up the answers of a
   * decoder.
   */
  public isLongPrompt({ promptTokens, ownTokens }: PromptSize, targetMs: number): boolean {
    const savedMs = this.prefillMs(promptTokens - ownTokens);
    const prefillMs = this.prefillMs(promptTokens);
    const handoverMs = this.unloadedContinuationMs.value;
    const isUsual = promptTokens >= INITIAL_LONG_PROMPT_TOKENS;
    const isMeasured = this.unloadedMsPerToken.isSettled && this.unloadedContinuationMs.isSettled;
    if (!isMeasured || savedMs === null || prefillMs === null || handoverMs === null) return isUsual;
    if (savedMs > handoverMs || prefillMs > LONG_PREFILL_SHARE * targetMs) return true;
    if (!isUsual) return false;
    this.shortPrompts += 1;
    return this.shortPrompts % SAMPLED_SHORT_PROMPTS === 0;
  }

  /** Time in ms without an answer after which the engine of a prefill counts as silent. */
  public prefillSilenceMs(engine: EngineTimes, work: PrefillWork, targetMs: number, leftMs: number): number {
    const msPerToken = Math.max(this.msPerToken.bound ?? 0, engine.msPerToken.bound ?? 0);
    const expectedMs = Math.min(msPerToken * this.tokensUntilEnd(work), MAX_SILENCE_SHARE * leftMs);
    return Math.max(INITIAL_SILENCE_FACTOR * targetMs, expectedMs);
  }

  /** Time in ms without an answer after which the engine of a continuation or of a whole call counts as silent. */
  public answerSilenceMs(targetMs: number): number {
    return Math.max(INITIAL_SILENCE_FACTOR * targetMs, this.continuationMs.bound ?? 0);
  }

  /** Learned values under stable keys; times in ms. */
  public dump(): Record<string, unknown> {
    return {
      prefill_ms_per_token: this.msPerToken.mean,
      prefill_ms_per_token_bound: this.msPerToken.bound,
      unloaded_ms_per_token: this.unloadedMsPerToken.value,
      unloaded_continuation_ms: this.unloadedContinuationMs.value,
      continuation_ms: this.continuationMs.mean,
      prompt_tokens: this.promptTokens.mean,
    };
  }

  /** Tokens of a prompt and of the usual prompts that its engine prefills first. */
  private tokensUntilEnd({ promptTokens, ahead }: PrefillWork): number {
    return Math.max(1, promptTokens + ahead * (this.promptTokens.mean ?? promptTokens));
  }
}

/** Estimates of all services. */
export class Estimates {
  private readonly services = new Map<string, ServiceEstimates>();

  /** Estimates of a service; created at their first use. */
  public forService(service: string): ServiceEstimates {
    let estimates = this.services.get(service);
    if (estimates === undefined) {
      estimates = new ServiceEstimates();
      this.services.set(service, estimates);
    }
    return estimates;
  }

  public dump(): Record<string, unknown> {
    return Object.fromEntries([...this.services].map(([name, estimates]) => [name, estimates.dump()]));
  }
}
