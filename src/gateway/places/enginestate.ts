import type { Clock } from '../../core/interfaces/index.js';
import { SmoothedEstimate } from '../engineestimates.js';
import { HeldParts } from './heldparts.js';
import type { ChainedPart } from './heldparts.js';

/** What a call would get at an engine now; times in ms. */
export interface Quote {
  /** Time until the engine begins to read the prompt. */
  readonly waitMs: number;
  /** Time that it reads. */
  readonly readMs: number;
  /** Time that it would read more if it held nothing of the prompt. */
  readonly savedMs: number;
}

/** Factor by which an older sample counts less than the next one. */
const FORGETTING = 0.97;

/** Number of samples from which on a line is fitted. */
const MIN_SAMPLES = 6;

/** Number of samples, and their largest age in ms, by which an engine counts as disturbed now. */
const RECENT = { samples: 6, ageMs: 800 };

/** Largest sample of the lasting speed, as a multiple of the expected time. */
const MAX_SAMPLE_FACTOR = 3;

/** Bounds on the factor by which a disturbed engine is slower than usual. */
const SLOWDOWN = { least: 0.7, most: 5 };

/** Time in ms that a call takes by the tokens that are read: a line fitted to samples, newer ones counting more. */
export class LinearEstimate {
  private weight = 0;

  private sums = {
    x: 0, y: 0, xx: 0, xy: 0,
  };

  private samples = 0;

  public add(tokens: number, ms: number): void {
    const {
      x, y, xx, xy,
    } = this.sums;
    this.weight = FORGETTING * this.weight + 1;
    this.sums = {
      x: FORGETTING * x + tokens,
      y: FORGETTING * y + ms,
      xx: FORGETTING * xx + tokens * tokens,
      xy: FORGETTING * xy + tokens * ms,
    };
    this.samples += 1;
  }

  /** Expected time in ms, or `null` while there are too few samples. */
  public predict(tokens: number): number | null {
    if (this.samples < MIN_SAMPLES) return null;
    const {
      x, y, xx, xy,
    } = this.sums;
    const spread = this.weight * xx - x * x;
    const mean = y / this.weight;
    // All samples alike say nothing of the slope.
    if (spread <= 1e-6 * xx * this.weight) return mean;
    const slope = Math.max(0, (this.weight * xy - x * y) / spread);
    return Math.max(0, mean + slope * (tokens - x / this.weight));
  }
}

interface Reading {
  readonly at: number;
  readonly tokens: number;
}

/**
 * What the gateway that gives out an engine's places knows of it: the parts that it holds, how fast it reads, whether
 * it is disturbed now, and what it has still to read. All of it is learned from the calls that got places.
 */
export class EngineState {
  private readonly held: HeldParts;

  private readonly times = new LinearEstimate();

  private readonly busyMs = new SmoothedEstimate();

  private readonly queueMs = new SmoothedEstimate();

  private readonly reading = new Map<string, Reading>();

  private readonly recent: { readonly at: number; readonly tookMs: number; readonly expectedMs: number }[] = [];

  /** Monotonic time in ms at which the engine last ended a call. */
  private endedAt = -Infinity;

  public constructor(private readonly clock: Clock, cacheTokens: number) {
    this.held = new HeldParts(cacheTokens);
  }

  /** Mean time in ms between the ends of calls while the engine had others; `null` while too little is known. */
  public usualReadMs(): number | null {
    return this.busyMs.mean;
  }

  /** Mean time in ms that calls have waited at the engine for others. */
  public usualQueueMs(): number {
    return this.queueMs.mean ?? 0;
  }

  /** What a call would get now, behind `queued` others without a place; `null` while too little is known. */
  public quote(parts: readonly ChainedPart[], queued = 0): Quote | null {
    const missing = this.held.missing(parts);
    const all = parts.reduce((sum, { tokens }) => sum + tokens, 0);
    const readMs = this.times.predict(missing);
    const allMs = this.times.predict(all);
    if (readMs === null || allMs === null) return null;
    const slowdown = this.slowdown();
    return {
      waitMs: slowdown * (this.unreadMs() + queued * this.meanReadMs(readMs)),
      readMs: slowdown * readMs,
      savedMs: slowdown * Math.max(0, allMs - readMs),
    };
  }

  /** Records a call that got a place. */
  public begin(key: string, parts: readonly ChainedPart[]): void {
    this.reading.set(key, { at: this.clock.monotonic(), tokens: this.held.missing(parts) });
    this.held.add(parts);
  }

  /** Records a call that was not read to its end, which says nothing of the engine's speed. */
  public abandon(key: string): void {
    this.reading.delete(key);
  }

  /** Records a call whose prompt has been read. */
  public end(key: string): void {
    const call = this.reading.get(key);
    if (call === undefined) return;
    this.reading.delete(key);
    const now = this.clock.monotonic();
    const tookMs = now - Math.max(call.at, this.endedAt);
    // A call that began before the last end was read behind another one.
    const queuedMs = Math.max(0, this.endedAt - call.at);
    if (queuedMs > 0) this.busyMs.add(tookMs);
    this.queueMs.add(queuedMs);
    this.endedAt = now;
    const expectedMs = this.times.predict(call.tokens);
    // A disturbance that passes changes the lasting speed little.
    this.times.add(call.tokens, Math.min(tookMs, MAX_SAMPLE_FACTOR * (expectedMs ?? Infinity)));
    if (expectedMs === null) return;
    this.recent.push({ at: now, tookMs, expectedMs });
    if (this.recent.length > RECENT.samples) this.recent.shift();
  }

  /** Time in ms that the engine, undisturbed, needs for what it has still to read; longer if it is overdue. */
  private unreadMs(): number {
    let total = 0;
    let firstAt = Infinity;
    for (const { at, tokens } of this.reading.values()) {
      total += this.times.predict(tokens) ?? 0;
      firstAt = Math.min(firstAt, at);
    }
    if (this.reading.size === 0) return 0;
    const sinceMs = this.clock.monotonic() - Math.max(firstAt, this.endedAt);
    const eachMs = total / this.reading.size;
    return sinceMs <= eachMs ? total - sinceMs : total - eachMs + (sinceMs - eachMs);
  }

  private meanReadMs(otherwise: number): number {
    if (this.reading.size === 0) return otherwise;
    const tokens = [...this.reading.values()].reduce((sum, call) => sum + call.tokens, 0) / this.reading.size;
    return this.times.predict(tokens) ?? otherwise;
  }

  /** Factor by which the engine is slower now than usual. */
  private slowdown(): number {
    const since = this.clock.monotonic() - RECENT.ageMs;
    let [took, expected] = [0, 0];
    for (const { at, tookMs, expectedMs } of this.recent) {
      if (at < since) continue;
      took += tookMs;
      expected += expectedMs;
    }
    return expected === 0 ? 1 : Math.min(SLOWDOWN.most, Math.max(SLOWDOWN.least, took / expected));
  }
}
