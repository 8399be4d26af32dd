import type { EngineDirectory } from './directory.js';
import type { Clock } from './edges.js';
import { Priority, Role } from './edges.js';
import { LANES, Lane } from './lanes.js';
import type { LanePlan } from './lanes.js';
import type { EngineFacts, Placement, WorkItem } from './placement.js';

/** Times that 95 of 100 answers should meet, in ms. */
export interface ServiceTarget {
  readonly firstTokenMs: number;
  readonly perTokenMs: number;
}

/** Service level that users state. */
export const SERVICE_TARGET: ServiceTarget = { firstTokenMs: 740, perTokenMs: 46 };

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

/** Kind of work on an engine that has a limit of its own. */
enum Phase {
  /** Prompt tokens that wait for prefill. */
  Prefill = 'prefill',
  /** Sequences in the decode batch, which are tokens per step. */
  Decode = 'decode',
}

interface Group {
  readonly limits: Record<Phase, AdaptiveLimit>;
  readonly inFlight: Record<Phase, number>;
  engines: number;
}

interface Load {
  readonly inFlight: Record<Phase, number>;
  /** Share of the group's limit that this engine gets; falls while the engine alone is late. */
  factor: number;
}

interface HeldShare {
  readonly load: Load;
  readonly group: Group;
}

/** What a placed request holds at its engines. */
export interface Held {
  readonly prefill: HeldShare;
  readonly decode: HeldShare;
  readonly promptTokens: number;
  readonly prefilled: boolean;
}

/** Options of {@link EngineLimits}. */
export interface EngineLimitsOptions {
  readonly clock: Clock;
  readonly directory: EngineDirectory;
  readonly lanes: LanePlan;
  readonly target?: ServiceTarget;
  readonly tolerance?: number;
}

/** Part of the first-token target that may pass at the engine; the rest is for the queue. */
const ENGINE_SHARE_OF_FIRST_TOKEN = 0.75;
const PREFILL_INITIAL_TOKENS = 1_000;
const PREFILL_MIN_TOKENS = 100;
const PREFILL_MAX_TOKENS = 200_000;
const PREFILL_STEP_TOKENS = 40;
const DECODE_INITIAL = 4;
const DECODE_MIN = 0.25;
const DECODE_MAX = 256;
const DECODE_STEP = 0.1;
/** Share of late samples at which the limits hold. Samples scatter more than whole answers, of which 5% may be late. */
export const TOLERANCE = 0.1;
const FACTOR_DECAY = 0.9;
const FACTOR_RECOVERY = 0.02;
const FACTOR_MIN = 0.1;

/** Share of the limit that each priority may use; the rest is reserved for higher ones. */
const HEADROOM: Record<Priority, number> = {
  [Priority.Urgent]: 2,
  [Priority.Normal]: 1,
  [Priority.Bulk]: 0.85,
};

/** Part of that share for workspaces above their own share; the rest is kept for the others. */
const ABOVE_SHARE_HEADROOM = 0.75;

/** Limits on the work in flight at each engine, learned from this entry's own observations. */
export class EngineLimits {
  private readonly groups = new Map<string, Group>();

  private readonly loads = new Map<string, Load>();

  private readonly target: ServiceTarget;

  private stale = true;

  public constructor(private readonly options: EngineLimitsOptions) {
    this.target = options.target ?? SERVICE_TARGET;
    options.directory.onChange(() => {
      this.stale = true;
    });
  }

  /** Whether the engine may take this request now. */
  public hasRoom(name: string, item: WorkItem, aboveShare = false): boolean {
    const engine = this.options.directory.get(name);
    if (engine === undefined) return false;
    const { lanes } = this.options;
    // An answer that has begun continues on any engine; holding it back would cut it.
    if (item.continuation === true || (item.importedTokens ?? 0) > 0) return true;
    let lane = lanes.laneOf(item);
    if (!lanes.serves(engine, lane)) {
      // Quick work beyond its own engines runs beside other short work.
      if (lane !== Lane.Quick || !this.isFull(engine.role, lane) || !lanes.serves(engine, Lane.Short)) return false;
      lane = Lane.Short;
    }
    const headroom = HEADROOM[item.priority] * (aboveShare ? ABOVE_SHARE_HEADROOM : 1);
    return (engine.role === Role.Decode || this.phaseHasRoom(engine, lane, Phase.Prefill, headroom))
      && (engine.role === Role.Prefill || this.phaseHasRoom(engine, lane, Phase.Decode, headroom));
  }

  /** Counts a placed request; the returned record goes back to the methods below. */
  public started(item: WorkItem, placement: Placement): Held {
    const lane = this.laneAt(item, placement.engine);
    const held: Held = {
      prefill: this.share(placement.prefill ?? placement.engine, lane),
      decode: this.share(placement.engine, lane),
      promptTokens: Math.max(0, item.promptTokens - (item.importedTokens ?? 0)),
      prefilled: false,
    };
    this.add(held.prefill, Phase.Prefill, held.promptTokens);
    this.add(held.decode, Phase.Decode, 1);
    return held;
  }

  /** Reports the first token; `latencyMs` counts from the placement. */
  public firstToken(held: Held, latencyMs: number): void {
    this.endPrefill(held);
    this.sample(held.prefill, Phase.Prefill, latencyMs > this.target.firstTokenMs * ENGINE_SHARE_OF_FIRST_TOKEN);
  }

  /** Reports a mean time between tokens in ms. */
  public tokenTime(held: Held, gapMs: number): void {
    const late = gapMs > this.target.perTokenMs;
    this.sample(held.decode, Phase.Decode, late);
    // Prefill beside a decode lengthens its steps, so both limits of a mixed engine answer for the delay.
    if (held.decode.load === held.prefill.load) this.sample(held.prefill, Phase.Prefill, late);
  }

  /** Frees what the request held. */
  public finished(held: Held): void {
    this.endPrefill(held);
    this.add(held.decode, Phase.Decode, -1);
  }

  /** Limits in force, for the state dump. */
  public dump(): Record<string, { engines: number; prefillTokens: number; sequences: number }> {
    return Object.fromEntries([...this.groups].map(([key, group]) => [key, {
      engines: group.engines,
      prefillTokens: group.limits[Phase.Prefill].value,
      sequences: group.limits[Phase.Decode].value,
    }]));
  }

  private phaseHasRoom(engine: EngineFacts, lane: Lane, phase: Phase, headroom: number): boolean {
    const group = this.group(engine.role, lane);
    if (this.stale) this.count();
    const load = this.load(engine.name);
    const limit = group.limits[phase].value * headroom;
    // The last request may exceed a limit. A share of an engine can be smaller than one request, therefore an idle
    // engine takes one as long as the sum over the group allows it.
    // Quick work goes elsewhere instead of waiting when its engines are late.
    const factor = lane === Lane.Quick ? 1 : load.factor;
    const roomAtEngine = load.inFlight[phase] === 0 || load.inFlight[phase] < limit * factor;
    const room = roomAtEngine && group.inFlight[phase] < limit * Math.max(1, group.engines);
    if (!room) group.limits[phase].noteUsed();
    return room;
  }

  private laneAt(item: WorkItem, name: string): Lane {
    const lane = this.options.lanes.laneOf(item);
    const engine = this.options.directory.get(name);
    return lane === Lane.Quick && engine !== undefined && !this.options.lanes.serves(engine, lane) ? Lane.Short : lane;
  }

  private isFull(role: Role, lane: Lane): boolean {
    const group = this.group(role, lane);
    return [Phase.Prefill, Phase.Decode]
      .some((phase) => group.inFlight[phase] >= group.limits[phase].value * Math.max(1, group.engines));
  }

  private endPrefill(held: Held): void {
    if (held.prefilled) return;
    Object.assign(held, { prefilled: true });
    this.add(held.prefill, Phase.Prefill, -held.promptTokens);
  }

  private add({ load, group }: HeldShare, phase: Phase, amount: number): void {
    for (const counted of [load, group]) counted.inFlight[phase] += amount;
  }

  private sample({ load, group }: HeldShare, phase: Phase, late: boolean): void {
    group.limits[phase].sample(this.options.clock.monotonic(), late);
    Object.assign(load, {
      factor: late ? Math.max(FACTOR_MIN, load.factor * FACTOR_DECAY) : Math.min(1, load.factor + FACTOR_RECOVERY),
    });
  }

  private share(name: string, lane: Lane): HeldShare {
    // An engine that left the directory between choice and start is counted with the mixed ones.
    const role = this.options.directory.get(name)?.role ?? Role.Mixed;
    return { load: this.load(name), group: this.group(role, lane) };
  }

  private load(name: string): Load {
    let load = this.loads.get(name);
    if (load === undefined) {
      load = { inFlight: { [Phase.Prefill]: 0, [Phase.Decode]: 0 }, factor: 1 };
      this.loads.set(name, load);
    }
    return load;
  }

  private group(role: Role, lane: Lane): Group {
    const key = `${role}/${lane}`;
    let group = this.groups.get(key);
    if (group === undefined) {
      group = this.createGroup();
      this.groups.set(key, group);
      this.stale = true;
    }
    return group;
  }

  private createGroup(): Group {
    const now = this.options.clock.monotonic();
    const tolerance = this.options.tolerance ?? TOLERANCE;
    return {
      limits: {
        [Phase.Prefill]: new AdaptiveLimit(now, {
          initial: PREFILL_INITIAL_TOKENS,
          min: PREFILL_MIN_TOKENS,
          max: PREFILL_MAX_TOKENS,
          step: PREFILL_STEP_TOKENS,
          tolerance,
        }),
        [Phase.Decode]: new AdaptiveLimit(now, {
          initial: DECODE_INITIAL, min: DECODE_MIN, max: DECODE_MAX, step: DECODE_STEP, tolerance,
        }),
      },
      inFlight: { [Phase.Prefill]: 0, [Phase.Decode]: 0 },
      engines: 0,
    };
  }

  /** Tells that the lanes of engines have moved. */
  public lanesMoved(): void {
    this.stale = true;
  }

  private count(): void {
    this.stale = false;
    for (const group of this.groups.values()) group.engines = 0;
    for (const engine of this.options.directory.all()) {
      if (!engine.available) continue;
      for (const lane of LANES) {
        const group = this.groups.get(`${engine.role}/${lane}`);
        if (group !== undefined && this.options.lanes.serves(engine, lane)) group.engines += 1;
      }
    }
  }
}
