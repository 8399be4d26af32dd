import { AdaptiveLimit } from './adaptive.js';
import type { EngineDirectory, Placement, WorkItem } from '../serving/index.js';
import type { Clock } from '../edges/index.js';
import { Priority, Role } from '../edges/index.js';
import { LANES, Lane } from './lanes.js';
import { PrefillFloor } from './floor.js';
import type { LanePlan } from './lanes.js';

/** Times that 95 of 100 answers should meet, in ms. */
export interface ServiceTarget {
  readonly firstTokenMs: number;
  readonly perTokenMs: number;
}

/** Service level that users state. */
export const SERVICE_TARGET: ServiceTarget = { firstTokenMs: 740, perTokenMs: 46 };

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
const PREFILL_INITIAL_TOKENS = 4_000;
const PREFILL_MIN_TOKENS = 100;
const PREFILL_MAX_TOKENS = 200_000;
const PREFILL_STEP_TOKENS = 40;
const DECODE_INITIAL = 10;
const DECODE_MIN = 0.25;
const DECODE_MAX = 256;
const DECODE_STEP = 0.1;
/** Share of late samples at which the limits hold. Samples scatter more than whole answers, of which 5% may be late. */
export const TOLERANCE = 0.2;
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

/** Options of {@link EngineLimits.hasRoom}. */
export interface RoomOptions {
  /** The workspace is above its share. */
  readonly aboveShare?: boolean;
  /** Engines of other lanes may be used, but those of quick work. */
  readonly anyLane?: boolean;
}

/** Limits on the work in flight at each engine, learned from this entry's own observations. */
export class EngineLimits {
  private readonly groups = new Map<string, Group>();

  private readonly loads = new Map<string, Load>();

  private readonly target: ServiceTarget;

  private readonly floor = new PrefillFloor();

  private stale = true;

  public constructor(private readonly options: EngineLimitsOptions) {
    this.target = options.target ?? SERVICE_TARGET;
    options.directory.onChange(() => {
      this.stale = true;
    });
  }

  /** Whether the engine may take this request now. */
  public hasRoom(name: string, item: WorkItem, opts: RoomOptions = {}): boolean {
    const engine = this.options.directory.get(name);
    if (engine === undefined) return false;
    const { lanes } = this.options;
    // An answer that has begun continues on any engine; holding it back would cut it.
    if (item.continuation === true || (item.importedTokens ?? 0) > 0) return true;
    let lane = lanes.laneOf(item);
    if (!lanes.serves(engine, item.model, lane)) {
      // Quick work beyond its own engines runs beside other short work, and work whose lane may not be used, anywhere.
      const beyond = lane === Lane.Quick && lanes.serves(engine, item.model, Lane.Short)
        && this.isFull(this.group(item.model, engine.role, lane));
      const displaced = (opts.anyLane === true && !lanes.isQuick(engine, item.model))
        || (item.excluded !== undefined && item.excluded.size > 0);
      if (!beyond && !displaced) return false;
      if (beyond) lane = Lane.Short;
    }
    const group = this.group(item.model, engine.role, lane);
    const headroom = HEADROOM[item.priority] * (opts.aboveShare === true ? ABOVE_SHARE_HEADROOM : 1);
    return (engine.role === Role.Decode || this.phaseHasRoom(engine.name, group, lane, Phase.Prefill, headroom))
      && (engine.role === Role.Prefill || this.phaseHasRoom(engine.name, group, lane, Phase.Decode, headroom));
  }

  /** Whether nothing of the request's lane is in flight on mixed engines. */
  public isIdle(item: WorkItem): boolean {
    const group = this.group(item.model, Role.Mixed, this.options.lanes.laneOf(item));
    return group.inFlight[Phase.Decode] === 0;
  }

  /** Counts a placed request; the returned record goes back to the methods below. */
  public started(item: WorkItem, placement: Placement): Held {
    const lane = this.laneAt(item, placement.engine);
    const held: Held = {
      prefill: this.share(item.model, placement.prefill ?? placement.engine, lane),
      decode: this.share(item.model, placement.engine, lane),
      promptTokens: Math.max(0, item.promptTokens - (item.importedTokens ?? 0)),
      prefilled: false,
    };
    this.add(held.prefill, Phase.Prefill, held.promptTokens);
    this.add(held.decode, Phase.Decode, 1);
    return held;
  }

  /** Reports the first token; `latencyMs` counts from the placement. */
  public firstToken(held: Held, latencyMs: number): void {
    const { promptTokens, prefilled } = held;
    this.endPrefill(held);
    const budget = this.target.firstTokenMs * ENGINE_SHARE_OF_FIRST_TOKEN;
    const allowed = prefilled ? budget : Math.max(budget, this.floor.allowedMs(promptTokens));
    this.floor.observe(promptTokens, latencyMs);
    this.sample(held.prefill, Phase.Prefill, latencyMs > allowed);
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

  private phaseHasRoom(name: string, group: Group, lane: Lane, phase: Phase, headroom: number): boolean {
    if (this.stale) this.count();
    const load = this.load(name);
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
    return lane === Lane.Quick && engine !== undefined && !this.options.lanes.serves(engine, item.model, lane)
      ? Lane.Short : lane;
  }

  private isFull(group: Group): boolean {
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

  private share(model: string, name: string, lane: Lane): HeldShare {
    // An engine that left the directory between choice and start is counted with the mixed ones.
    const role = this.options.directory.get(name)?.role ?? Role.Mixed;
    return { load: this.load(name), group: this.group(model, role, lane) };
  }

  private load(name: string): Load {
    let load = this.loads.get(name);
    if (load === undefined) {
      load = { inFlight: { [Phase.Prefill]: 0, [Phase.Decode]: 0 }, factor: 1 };
      this.loads.set(name, load);
    }
    return load;
  }

  private group(model: string, role: Role, lane: Lane): Group {
    const key = `${model}/${role}/${lane}`;
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
      for (const model of engine.models) {
        for (const lane of LANES) {
          const group = this.groups.get(`${model}/${engine.role}/${lane}`);
          if (group !== undefined && this.options.lanes.serves(engine, model, lane)) group.engines += 1;
        }
      }
    }
  }
}
