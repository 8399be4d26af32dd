import type { Clock } from '../interfaces/index.js';
import { assertNever } from '../result.js';

/** Health of an engine, which decides how much work it gets. */
export enum HealthState {
  Healthy = 'healthy',
  /** Gets a few requests to test whether it has recovered. */
  Probation = 'probation',
  /** Gets no requests. */
  Ejected = 'ejected',
}

/** Options of {@link HealthTracker}. A ratio is an observed time divided by the expected time. */
export interface HealthOptions {
  readonly clock: Clock;
  /** Multiple of the fleet's median ratio above which an engine is an outlier. */
  readonly outlierRatio: number;
  /** Largest share of the known engines that may be ejected at the same time. */
  readonly maxEjectedShare: number;
  /** Time after which an ejected engine is put on probation. */
  readonly ejectionMs: number;
  /** Share of its normal work that an engine on probation gets, from 0 to 1. */
  readonly probationWeight: number;
}

/** Defaults of {@link HealthOptions}. */
export const DEFAULT_HEALTH_OPTIONS = {
  outlierRatio: 2.5,
  maxEjectedShare: 1 / 3,
  ejectionMs: 1_000,
  probationWeight: 0.1,
};

interface EngineHealth {
  state: HealthState;
  /** Smoothed ratio of observed to expected time. */
  ratio: number;
  samples: number;
  /** Monotonic time in ms, as is `ejectedUntil`. */
  lastObservedAt: number;
  ejectedUntil: number;
  /** Latest observations in a row that were below the outlier threshold. */
  consecutiveGood: number;
}

/**
 * Time constant in ms of the smoothing of an engine's ratio. An observation weighs more the longer the observed time
 * is, because a long wait is stronger evidence than a single interval between tokens.
 */
const SMOOTHING_MS = 400;

/** Observations that an engine needs before it can be ejected. */
const MIN_SAMPLES = 3;

/** Multiple of its long-term level above which the fleet's median counts as shifted. */
const MEDIAN_SHIFT_RATIO = 1.6;

/** Weight of the latest median in its long-term level. */
const BASELINE_SMOOTHING = 0.002;

/** Good observations in a row after which an engine on probation is healthy again. */
const RECOVERY_OBSERVATIONS = 3;

/** An engine on probation counts as healthy after this time without observations, as it may have recovered. */
const STALE_MS = 5_000;

/** Shortest interval between two calculations of the median. */
const MEDIAN_REFRESH_MS = 50;

/** Detects slow engines from the latencies that this process measures, before their late load reports show it. */
export class HealthTracker {
  private readonly engines = new Map<string, EngineHealth>();

  /** Median ratio of all engines with observations. */
  private median = 1;

  /** Long-term level of the median. */
  private baseline = 1;

  private medianUpdatedAt = -Infinity;

  public constructor(private readonly options: HealthOptions) {}

  /** Adds an engine, so that it counts towards the number from which {@link HealthOptions.maxEjectedShare} is taken. */
  public add(engine: string): void {
    if (!this.engines.has(engine)) {
      this.engines.set(engine, {
        state: HealthState.Healthy, ratio: 1, samples: 0, lastObservedAt: 0, ejectedUntil: 0, consecutiveGood: 0,
      });
    }
  }

  public remove(engine: string): void {
    this.engines.delete(engine);
  }

  /** Records a time between tokens or to a first token and its expected value, both in ms. */
  public observe(engine: string, observedMs: number, expectedMs: number): void {
    this.add(engine);
    const health = this.engines.get(engine)!;
    const ratio = Math.min(10, observedMs / Math.max(1, expectedMs));
    health.ratio += (1 - Math.exp(-observedMs / SMOOTHING_MS)) * (ratio - health.ratio);
    health.samples += 1;
    health.lastObservedAt = this.options.clock.monotonic();
    const threshold = this.outlierThreshold();
    health.consecutiveGood = ratio < threshold ? health.consecutiveGood + 1 : 0;
    this.updateState(health, threshold);
  }

  /** Share of its normal work that an engine may get, from 0 to 1; 1 for an unknown engine. */
  public weight(engine: string): number {
    const health = this.engines.get(engine);
    if (health === undefined) return 1;
    const now = this.options.clock.monotonic();
    if (health.state === HealthState.Ejected && now >= health.ejectedUntil) {
      Object.assign(health, { state: HealthState.Probation, consecutiveGood: 0 });
    }
    if (health.state !== HealthState.Healthy && this.hasMedianShifted()) this.restore(health);
    switch (health.state) {
      case HealthState.Healthy:
        return 1;
      case HealthState.Probation:
        if (now - health.lastObservedAt > STALE_MS && health.ejectedUntil + STALE_MS < now) this.restore(health);
        return this.options.probationWeight;
      case HealthState.Ejected:
        return 0;
      default:
        return assertNever(health.state);
    }
  }

  /** Current state of an engine; `Healthy` for an unknown one. */
  public state(engine: string): HealthState {
    this.weight(engine);
    return this.engines.get(engine)?.state ?? HealthState.Healthy;
  }

  /** State of each known engine for the diagnostic dump. */
  public dump(): Record<string, { readonly state: HealthState; readonly ratio: number; readonly ageMs: number }> {
    const now = this.options.clock.monotonic();
    return Object.fromEntries([...this.engines].map(([name, { state, ratio, lastObservedAt }]) => [
      name, { state, ratio, ageMs: now - lastObservedAt },
    ]));
  }

  private outlierThreshold(): number {
    this.refreshMedian();
    return this.options.outlierRatio * Math.max(this.median, 0.4);
  }

  private updateState(health: EngineHealth, threshold: number): void {
    switch (health.state) {
      case HealthState.Healthy:
        if (health.samples >= MIN_SAMPLES && health.ratio > threshold && !this.hasMedianShifted()) this.eject(health);
        break;
      case HealthState.Probation:
        if (health.consecutiveGood >= RECOVERY_OBSERVATIONS) this.restore(health);
        else if (health.consecutiveGood === 0) this.eject(health);
        break;
      case HealthState.Ejected:
        break;
      default:
        assertNever(health.state);
    }
  }

  private eject(target: EngineHealth): void {
    let ejected = 0;
    for (const health of this.engines.values()) if (health.state === HealthState.Ejected) ejected += 1;
    const allowed = Math.floor(this.engines.size * this.options.maxEjectedShare);
    Object.assign(target, ejected < allowed
      ? { state: HealthState.Ejected, ejectedUntil: this.options.clock.monotonic() + this.options.ejectionMs }
      : { state: HealthState.Probation, consecutiveGood: 0 });
  }

  private restore(health: EngineHealth): void {
    Object.assign(health, {
      state: HealthState.Healthy, ratio: this.median, samples: 0, consecutiveGood: 0,
    });
  }

  private hasMedianShifted(): boolean {
    this.refreshMedian();
    return this.median > MEDIAN_SHIFT_RATIO * this.baseline;
  }

  private refreshMedian(): void {
    const now = this.options.clock.monotonic();
    if (now - this.medianUpdatedAt < MEDIAN_REFRESH_MS) return;
    this.medianUpdatedAt = now;
    const ratios = [...this.engines.values()].filter((health) => health.samples > 0).map((health) => health.ratio);
    if (ratios.length === 0) return;
    ratios.sort((a, b) => a - b);
    this.median = ratios[Math.floor((ratios.length - 1) / 2)]!;
    this.baseline += BASELINE_SMOOTHING * (this.median - this.baseline);
  }
}
