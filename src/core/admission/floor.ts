/** Prompts below this length say more about the decode step than about the prefill rate. */
const FLOOR_MIN_TOKENS = 500;
/** The fastest prefill that was seen is forgotten slowly, in case engines have become slower. */
const FLOOR_DRIFT = 1.002;
/** A first token within this factor of the fastest prefill does not show that the engine has too much work. */
const FLOOR_SLACK = 2;

/** Time that a prompt needs on an engine without other work, as far as observations show. */
export class PrefillFloor {
  private msPerToken = Infinity;

  public observe(promptTokens: number, latencyMs: number): void {
    if (promptTokens < FLOOR_MIN_TOKENS) return;
    this.msPerToken = Math.min(this.msPerToken * FLOOR_DRIFT, latencyMs / promptTokens);
  }

  /** Latency that is not a sign of too much work; 0 before anything was seen. */
  public allowedMs(promptTokens: number): number {
    return Number.isFinite(this.msPerToken) ? FLOOR_SLACK * this.msPerToken * promptTokens : 0;
  }
}
