import type { Clock } from '../edges/index.js';
import { assertNever } from '../result.js';

/** How much work an engine gets. */
export enum HealthState {
  Healthy = 'healthy',
  /** Gets a few requests to find out whether it has recovered. */
  Probation = 'probation',
  Ejected = 'ejected',
}

/** Options of {@link HealthTracker}; ratios are observed time over expected time. */
export interface HealthOptions {
  readonly clock: Clock;
  /** Ratio to the fleet's median above which an engine is an outlier. */
  readonly outlierRatio: number;
  /** Largest share of the known engines that is ejected at the same time. */
  readonly maxEjectedShare: number;
  readonly ejectionMs: number;
  /** Share of normal work on probation. */
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
  ratio: number;
  samples: number;
  lastAt: number;
  ejectedUntil: number;
  goodInRow: number;
}

/** Observed time over which an engine's ratio is smoothed; long waits say more than single gaps between tokens. */
const SMOOTHING_MS = 400;

const MIN_SAMPLES = 3;

/** Factor over its long-term level at which the fleet's median counts as moved. */
const MEDIAN_MOVED_RATIO = 1.6;

const BASELINE_SMOOTHING = 0.002;

const RECOVERED_IN_ROW = 3;

/** A slow engine that is not observed any more may have recovered. */
const STALE_MS = 5_000;

const MEDIAN_PERIOD_MS = 50;

/** Finds slow engines from this process's own observations, before their late load reports show it. */
export class HealthTracker {
  private readonly engines = new Map<string, EngineHealth>();

  private median = 1;

  private baseline = 1;

  private medianAt = -Infinity;

  public constructor(private readonly options: HealthOptions) {}

  /** Makes an engine known, so that it counts for the ejection cap. */
  public add(engine: string): void {
    if (!this.engines.has(engine)) {
      this.engines.set(engine, {
        state: HealthState.Healthy, ratio: 1, samples: 0, lastAt: 0, ejectedUntil: 0, goodInRow: 0,
      });
    }
  }

  public remove(engine: string): void {
    this.engines.delete(engine);
  }

  /** Takes the time of a token or of a first token, and what it should have been, both in ms. */
  public observe(engine: string, observedMs: number, expectedMs: number): void {
    this.add(engine);
    const health = this.engines.get(engine)!;
    const ratio = Math.min(10, observedMs / Math.max(1, expectedMs));
    health.ratio += (1 - Math.exp(-observedMs / SMOOTHING_MS)) * (ratio - health.ratio);
    health.samples += 1;
    health.lastAt = this.options.clock.monotonic();
    const limit = this.limit();
    health.goodInRow = ratio < limit ? health.goodInRow + 1 : 0;
    this.judge(health, limit);
  }

  /** Share of normal work that an engine may get, from 0 to 1. */
  public weight(engine: string): number {
    const health = this.engines.get(engine);
    if (health === undefined) return 1;
    const now = this.options.clock.monotonic();
    if (health.state === HealthState.Ejected && now >= health.ejectedUntil) {
      Object.assign(health, { state: HealthState.Probation, goodInRow: 0 });
    }
    if (health.state !== HealthState.Healthy && this.medianMoved()) this.release(health);
    switch (health.state) {
      case HealthState.Healthy:
        return 1;
      case HealthState.Probation:
        if (now - health.lastAt > STALE_MS && health.ejectedUntil + STALE_MS < now) this.release(health);
        return this.options.probationWeight;
      case HealthState.Ejected:
        return 0;
      default:
        return assertNever(health.state);
    }
  }

  public state(engine: string): HealthState {
    this.weight(engine);
    return this.engines.get(engine)?.state ?? HealthState.Healthy;
  }

  /** State of each known engine, for the dump. */
  public dump(): Record<string, { readonly state: HealthState; readonly ratio: number; readonly ageMs: number }> {
    const now = this.options.clock.monotonic();
    return Object.fromEntries([...this.engines].map(([name, { state, ratio, lastAt }]) => [
      name, { state, ratio, ageMs: now - lastAt },
    ]));
  }

  private limit(): number {
    this.refreshMedian();
    return this.options.outlierRatio * Math.max(this.median, 0.4);
  }

  private judge(health: EngineHealth, limit: number): void {
    switch (health.state) {
      case HealthState.Healthy:
        if (health.samples >= MIN_SAMPLES && health.ratio > limit && !this.medianMoved()) this.eject(health);
        break;
      case HealthState.Probation:
        if (health.goodInRow >= RECOVERED_IN_ROW) this.release(health);
        else if (health.goodInRow === 0) this.eject(health);
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
      : { state: HealthState.Probation, goodInRow: 0 });
  }

  private release(health: EngineHealth): void {
    Object.assign(health, {
      state: HealthState.Healthy, ratio: this.median, samples: 0, goodInRow: 0,
    });
  }

  private medianMoved(): boolean {
    this.refreshMedian();
    return this.median > MEDIAN_MOVED_RATIO * this.baseline;
  }

  private refreshMedian(): void {
    const now = this.options.clock.monotonic();
    if (now - this.medianAt < MEDIAN_PERIOD_MS) return;
    this.medianAt = now;
    const ratios = [...this.engines.values()].filter((health) => health.samples > 0).map((health) => health.ratio);
    if (ratios.length === 0) return;
    ratios.sort((a, b) => a - b);
    this.median = ratios[Math.floor((ratios.length - 1) / 2)]!;
    this.baseline += BASELINE_SMOOTHING * (this.median - this.baseline);
  }
}
