import { AdaptiveLimit } from './adaptive.js';
import type { EngineDirectory, Placement, WorkItem } from '../serving/index.js';
import type { Clock } from '../interfaces/index.js';
import { Priority, Role } from '../interfaces/index.js';
import { LANES, Lane } from './lanes.js';
import { PrefillBaseline } from './prefillbaseline.js';
import type { LanePlan } from './lanes.js';

/** Latencies in ms that 95 of 100 answers should meet. */
export interface ServiceTarget {
  readonly firstTokenMs: number;
  readonly perTokenMs: number;
}

/** Latency target of the service level that users require. */
export const SERVICE_TARGET: ServiceTarget = { firstTokenMs: 740, perTokenMs: 46 };

/** Phases of engine work, each with its own limit. */
enum Phase {
  /** Measured in prompt tokens that wait for prefill. */
  Prefill = 'prefill',
  /** Measured in sequences in the decode batch, which equals tokens per step. */
  Decode = 'decode',
}

/** Engines of one model, role and lane, which share their limits. */
interface LimitGroup {
  readonly limits: Record<Phase, AdaptiveLimit>;
  readonly inFlight: Record<Phase, number>;
  /** Available engines that serve the group. */
  engines: number;
}

/** Work of this entry in flight at one engine. */
interface EngineLoad {
  readonly inFlight: Record<Phase, number>;
  /** Share of the group's limit that applies to this engine; decreases while its own samples are late. */
  factor: number;
}

/** Where one phase of a placed request is counted. */
interface ReservationPart {
  readonly load: EngineLoad;
  readonly group: LimitGroup;
}

/** Capacity that a placed request occupies at its engines. */
export interface Reservation {
  readonly prefill: ReservationPart;
  readonly decode: ReservationPart;
  readonly promptTokens: number;
  /** True once the prompt tokens are no longer counted as waiting for prefill. */
  readonly prefilled: boolean;
}

/** Options of {@link EngineLimits}. */
export interface EngineLimitsOptions {
  readonly clock: Clock;
  readonly directory: EngineDirectory;
  readonly lanes: LanePlan;
  /** {@link SERVICE_TARGET} by default. */
  readonly target?: ServiceTarget;
  /** {@link LATE_SAMPLE_TOLERANCE} by default. */
  readonly tolerance?: number;
}

/** Part of the first-token target that may be spent at the engine; the rest is for waiting in the queue. */
const ENGINE_PART_OF_FIRST_TOKEN = 0.75;
const PREFILL_INITIAL_TOKENS = 4_000;
const PREFILL_MIN_TOKENS = 100;
const PREFILL_MAX_TOKENS = 200_000;
const PREFILL_STEP_TOKENS = 40;
const DECODE_INITIAL = 10;
const DECODE_MIN = 0.25;
const DECODE_MAX = 256;
const DECODE_STEP = 0.1;
/**
 * Largest share of late samples at which the limits are not reduced. It is larger than the 5% of answers that may be
 * late, because single samples vary more than whole answers.
 */
export const LATE_SAMPLE_TOLERANCE = 0.2;
const FACTOR_DECAY = 0.9;
const FACTOR_RECOVERY = 0.02;
const FACTOR_MIN = 0.1;

/** Share of the limit that each priority may use; the rest is reserved for higher priorities. */
const HEADROOM: Record<Priority, number> = {
  [Priority.Urgent]: 2,
  [Priority.Normal]: 1,
  [Priority.Bulk]: 0.85,
};

/** Part of that share for workspaces that are above their own share; the rest is reserved for the other workspaces. */
const ABOVE_SHARE_HEADROOM = 0.75;

/** Options of {@link EngineLimits.hasRoom}. */
export interface RoomOptions {
  /** The workspace has used more than its share. */
  readonly aboveShare?: boolean;
  /** Engines of other lanes may be used, except those reserved for quick work. */
  readonly anyLane?: boolean;
}

/** Adaptive limits on the work in flight at each engine, derived from this entry's own observations. */
export class EngineLimits {
  private readonly groups = new Map<string, LimitGroup>();

  private readonly loads = new Map<string, EngineLoad>();

  private readonly target: ServiceTarget;

  private readonly prefillBaseline = new PrefillBaseline();

  private countsAreStale = true;

  public constructor(private readonly options: EngineLimitsOptions) {
    this.target = options.target ?? SERVICE_TARGET;
    options.directory.onChange(() => {
      this.countsAreStale = true;
    });
  }

  /** Tests whether an engine may take a request now. */
  public hasRoom(name: string, item: WorkItem, opts: RoomOptions = {}): boolean {
    const engine = this.options.directory.get(name);
    if (engine === undefined) return false;
    const { lanes } = this.options;
    // An answer that has begun may continue on any engine; holding it back would cut it off.
    if (item.continuation === true || (item.importedTokens ?? 0) > 0) return true;
    let lane = lanes.laneOf(item);
    if (!lanes.serves(engine, item.model, lane)) {
      // When the quick engines are full, quick work overflows to engines of the short lane. Work whose own lane has no
      // usable engine may run on any engine.
      const overflows = lane === Lane.Quick && lanes.serves(engine, item.model, Lane.Short)
        && this.isFull(this.group(item.model, engine.role, lane));
      const mayUseAnyLane = (opts.anyLane === true && !lanes.isReservedForQuick(engine, item.model))
        || (item.excludedEngines !== undefined && item.excludedEngines.size > 0);
      if (!overflows && !mayUseAnyLane) return false;
      if (overflows) lane = Lane.Short;
    }
    const group = this.group(item.model, engine.role, lane);
    const headroom = HEADROOM[item.priority] * (opts.aboveShare === true ? ABOVE_SHARE_HEADROOM : 1);
    return (engine.role === Role.Decode || this.phaseHasRoom(engine.name, group, lane, Phase.Prefill, headroom))
      && (engine.role === Role.Prefill || this.phaseHasRoom(engine.name, group, lane, Phase.Decode, headroom));
  }

  /** Tests whether no request of this request's lane is in flight on mixed engines. */
  public isIdle(item: WorkItem): boolean {
    const group = this.group(item.model, Role.Mixed, this.options.lanes.laneOf(item));
    return group.inFlight[Phase.Decode] === 0;
  }

  /** Counts a placed request as in flight; the result is passed to the methods below. */
  public reserve(item: WorkItem, placement: Placement): Reservation {
    const lane = this.laneAt(item, placement.engine);
    const reservation: Reservation = {
      prefill: this.reservationPart(item.model, placement.prefill ?? placement.engine, lane),
      decode: this.reservationPart(item.model, placement.engine, lane),
      promptTokens: Math.max(0, item.promptTokens - (item.importedTokens ?? 0)),
      prefilled: false,
    };
    this.addInFlight(reservation.prefill, Phase.Prefill, reservation.promptTokens);
    this.addInFlight(reservation.decode, Phase.Decode, 1);
    return reservation;
  }

  /** Ends the prefill and records the time to first token, in ms from the placement. */
  public recordFirstToken(reservation: Reservation, latencyMs: number): void {
    const { promptTokens, prefilled } = reservation;
    this.endPrefill(reservation);
    const budget = this.target.firstTokenMs * ENGINE_PART_OF_FIRST_TOKEN;
    const allowedMs = prefilled ? budget : Math.max(budget, this.prefillBaseline.allowedMs(promptTokens));
    this.prefillBaseline.observe(promptTokens, latencyMs);
    this.addSample(reservation.prefill, Phase.Prefill, latencyMs > allowedMs);
  }

  /** Records a mean time between tokens, in ms. */
  public recordTokenTime(reservation: Reservation, gapMs: number): void {
    const late = gapMs > this.target.perTokenMs;
    this.addSample(reservation.decode, Phase.Decode, late);
    // Prefill on the same engine lengthens decode steps, so a delay counts against both limits of a mixed engine.
    if (reservation.decode.load === reservation.prefill.load) this.addSample(reservation.prefill, Phase.Prefill, late);
  }

  /** Frees the capacity that the request occupied. */
  public release(reservation: Reservation): void {
    this.endPrefill(reservation);
    this.addInFlight(reservation.decode, Phase.Decode, -1);
  }

  /** Current limits per group, for the state dump. */
  public dump(): Record<string, { engines: number; prefillTokens: number; sequences: number }> {
    return Object.fromEntries([...this.groups].map(([key, group]) => [key, {
      engines: group.engines,
      prefillTokens: group.limits[Phase.Prefill].value,
      sequences: group.limits[Phase.Decode].value,
    }]));
  }

  private phaseHasRoom(name: string, group: LimitGroup, lane: Lane, phase: Phase, headroom: number): boolean {
    if (this.countsAreStale) this.countEngines();
    const load = this.load(name);
    const limit = group.limits[phase].value * headroom;
    // The last request may exceed a limit. This entry's share of an engine can be smaller than one request, so an idle
    // engine takes one as long as the sum over the group allows it.
    // The factor is not applied to quick work, which goes to other engines instead of waiting when its own are late.
    const factor = lane === Lane.Quick ? 1 : load.factor;
    const roomAtEngine = load.inFlight[phase] === 0 || load.inFlight[phase] < limit * factor;
    const room = roomAtEngine && group.inFlight[phase] < limit * Math.max(1, group.engines);
    if (!room) group.limits[phase].markConstrained();
    return room;
  }

  private laneAt(item: WorkItem, name: string): Lane {
    const lane = this.options.lanes.laneOf(item);
    const engine = this.options.directory.get(name);
    return lane === Lane.Quick && engine !== undefined && !this.options.lanes.serves(engine, item.model, lane)
      ? Lane.Short : lane;
  }

  private isFull(group: LimitGroup): boolean {
    return [Phase.Prefill, Phase.Decode]
      .some((phase) => group.inFlight[phase] >= group.limits[phase].value * Math.max(1, group.engines));
  }

  private endPrefill(reservation: Reservation): void {
    if (reservation.prefilled) return;
    Object.assign(reservation, { prefilled: true });
    this.addInFlight(reservation.prefill, Phase.Prefill, -reservation.promptTokens);
  }

  private addInFlight({ load, group }: ReservationPart, phase: Phase, amount: number): void {
    for (const counted of [load, group]) counted.inFlight[phase] += amount;
  }

  private addSample({ load, group }: ReservationPart, phase: Phase, late: boolean): void {
    group.limits[phase].addSample(this.options.clock.monotonic(), late);
    Object.assign(load, {
      factor: late ? Math.max(FACTOR_MIN, load.factor * FACTOR_DECAY) : Math.min(1, load.factor + FACTOR_RECOVERY),
    });
  }

  private reservationPart(model: string, name: string, lane: Lane): ReservationPart {
    // An engine that left the directory between the choice and the placement is counted as a mixed one.
    const role = this.options.directory.get(name)?.role ?? Role.Mixed;
    return { load: this.load(name), group: this.group(model, role, lane) };
  }

  private load(name: string): EngineLoad {
    let load = this.loads.get(name);
    if (load === undefined) {
      load = { inFlight: { [Phase.Prefill]: 0, [Phase.Decode]: 0 }, factor: 1 };
      this.loads.set(name, load);
    }
    return load;
  }

  private group(model: string, role: Role, lane: Lane): LimitGroup {
    const key = `${model}/${role}/${lane}`;
    let group = this.groups.get(key);
    if (group === undefined) {
      group = this.createGroup();
      this.groups.set(key, group);
      this.countsAreStale = true;
    }
    return group;
  }

  private createGroup(): LimitGroup {
    const now = this.options.clock.monotonic();
    const tolerance = this.options.tolerance ?? LATE_SAMPLE_TOLERANCE;
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

  /** Makes the engines of each group be counted again, after the lanes were divided anew. */
  public invalidateEngineCounts(): void {
    this.countsAreStale = true;
  }

  private countEngines(): void {
    this.countsAreStale = false;
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
