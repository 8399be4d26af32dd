/** The latency of shorter prompts depends more on the decode step than on the prefill rate, so they are ignored. */
const MIN_PROMPT_TOKENS = 500;
/** Factor by which the fastest observed prefill time grows per observation, in case engines have become slower. */
const BASELINE_GROWTH = 1.002;
/** A first token that takes at most this multiple of the fastest prefill time is no sign of an overloaded engine. */
const ALLOWED_FACTOR = 2;

/** Estimates the prefill time of a prompt on an engine without other work, from the fastest observations. */
export class PrefillBaseline {
  private msPerToken = Infinity;

  /** Records the time to first token of one prompt, in ms. */
  public observe(promptTokens: number, latencyMs: number): void {
    if (promptTokens < MIN_PROMPT_TOKENS) return;
    this.msPerToken = Math.min(this.msPerToken * BASELINE_GROWTH, latencyMs / promptTokens);
  }

  /** Longest time to first token in ms that is no sign of overload; 0 before the first observation. */
  public allowedMs(promptTokens: number): number {
    return Number.isFinite(this.msPerToken) ? ALLOWED_FACTOR * this.msPerToken * promptTokens : 0;
  }
}
