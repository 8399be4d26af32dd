/** Options of {@link AdaptiveLimit}; the limit values are in the unit of the limited quantity. */
export interface AdaptiveLimitOptions {
  readonly initial: number;
  readonly min: number;
  readonly max: number;
  /** Amount by which the limit first grows after a window that met the target; later steps are larger. */
  readonly step: number;
  /** Share of samples, from 0 to 1, that may miss the target without the limit being reduced. */
  readonly tolerance: number;
  /** Shortest time between two adjustments in ms; 500 by default. */
  readonly windowMs?: number;
}

const WINDOW_MS = 500;
const MIN_SAMPLES = 5;
const MAX_DECREASE = 0.3;
const STEP_GROWTH = 1.5;
const MAX_STEP_MULTIPLIER = 8;

/**
 * Limit that adapts to the observed latency: it increases additively while enough samples meet the target and
 * decreases multiplicatively otherwise (AIMD).
 */
export class AdaptiveLimit {
  /** Current limit, between `min` and `max`. */
  public value: number;

  private windowStart: number;

  private sampleCount = 0;

  private lateCount = 0;

  private wasConstrained = false;

  private stepMultiplier = 1;

  public constructor(now: number, private readonly options: AdaptiveLimitOptions) {
    this.value = options.initial;
    this.windowStart = now;
  }

  /** Records that the limit held work back in the current window; only then does a good window increase it. */
  public markConstrained(): void {
    this.wasConstrained = true;
  }

  /**
   * Adds one observation and adjusts the limit at the end of a window. `now` is monotonic time in ms; `late` is true
   * when the observation missed the target.
   */
  public addSample(now: number, late: boolean): void {
    this.sampleCount += 1;
    if (late) this.lateCount += 1;
    const { windowMs = WINDOW_MS, tolerance } = this.options;
    if (now - this.windowStart < windowMs || this.sampleCount < MIN_SAMPLES) return;
    const lateShare = this.lateCount / this.sampleCount;
    // Increases don't depend on the number of samples, so the limit of a busy entry grows no faster than that of a
    // quiet one. Decreases are proportional to the limit. Together this makes the limits of several entries converge.
    if (lateShare > tolerance) this.decrease(lateShare - tolerance);
    else if (this.wasConstrained) this.increase();
    this.windowStart = now;
    this.sampleCount = 0;
    this.lateCount = 0;
    this.wasConstrained = false;
  }

  private decrease(excess: number): void {
    const { min } = this.options;
    this.value = Math.max(min, this.value * (1 - Math.min(MAX_DECREASE, excess)));
    this.stepMultiplier = 1;
  }

  private increase(): void {
    const { max, step } = this.options;
    this.value = Math.min(max, this.value + step * this.stepMultiplier);
    this.stepMultiplier = Math.min(MAX_STEP_MULTIPLIER, this.stepMultiplier * STEP_GROWTH);
  }
}
