/** Options of {@link AdaptiveLimit}. */
export interface AdaptiveLimitOptions {
  readonly initial: number;
  readonly min: number;
  readonly max: number;
  /** Increase of one window in which the target was met. */
  readonly step: number;
  /** Share of late samples that is accepted. */
  readonly tolerance: number;
  readonly windowMs?: number;
}

const WINDOW_MS = 500;
const MIN_SAMPLES = 5;
const MAX_DECREASE = 0.3;
const STEP_GROWTH = 1.5;
const MAX_STEPS = 8;

/** Limit that grows additively while enough samples meet the target and shrinks multiplicatively otherwise. */
export class AdaptiveLimit {
  public value: number;

  private windowStart: number;

  private samples = 0;

  private late = 0;

  private used = false;

  private steps = 1;

  public constructor(now: number, private readonly options: AdaptiveLimitOptions) {
    this.value = options.initial;
    this.windowStart = now;
  }

  /** Tells that the limit held work back, or nearly did, in this window. */
  public noteUsed(): void {
    this.used = true;
  }

  /** Adds one observation; `late` when it missed the target. */
  public sample(now: number, late: boolean): void {
    this.samples += 1;
    if (late) this.late += 1;
    const { windowMs = WINDOW_MS, tolerance } = this.options;
    if (now - this.windowStart < windowMs || this.samples < MIN_SAMPLES) return;
    const share = this.late / this.samples;
    // Increases do not depend on the number of samples: an entry with much work gains no faster than one with little,
    // while decreases are proportional, so the limits of several entries converge.
    if (share > tolerance) this.shrink(share - tolerance);
    else if (this.used) this.grow();
    this.windowStart = now;
    this.samples = 0;
    this.late = 0;
    this.used = false;
  }

  private shrink(excess: number): void {
    const { min } = this.options;
    this.value = Math.max(min, this.value * (1 - Math.min(MAX_DECREASE, excess)));
    this.steps = 1;
  }

  private grow(): void {
    const { max, step } = this.options;
    this.value = Math.min(max, this.value + step * this.steps);
    this.steps = Math.min(MAX_STEPS, this.steps * STEP_GROWTH);
  }
}
