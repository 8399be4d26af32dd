import { createHash } from 'node:crypto';
import type { EngineDirectory, EngineInfo, WorkItem } from '../serving/index.js';
import { Role } from '../interfaces/index.js';
import { assertNever } from '../result.js';

/** Classes of work that run on separate mixed engines. */
export enum Lane {
  /** Short prompts. */
  Short = 'short',
  /** Long prompts, whose prefill delays the decodes that run on the same engine. */
  Long = 'long',
  /** Short prompts that are urgent or whose answers are expected to be short. */
  Quick = 'quick',
}

/** All lanes. */
export const LANES: readonly Lane[] = [Lane.Short, Lane.Long, Lane.Quick];

/** Position of this entry among the entries that use the same engines. */
export interface EntryPosition {
  /** Zero-based. */
  readonly index: number;
  readonly count: number;
}

/** Options of {@link LanePlan}. */
export interface LanePlanOptions {
  readonly directory: EngineDirectory;
  /** Prompts of at least this many tokens are long; 1,000 by default. */
  readonly longPromptTokens?: number;
  /** False lets every mixed engine serve all lanes. */
  readonly separate?: boolean;
  /** Tests whether a request with a short prompt belongs to the quick lane; if absent, the lane is not used. */
  readonly isQuick?: (item: WorkItem) => boolean;
  /** Assigns each entry its own engines of the long lane; if absent, every entry uses all of them. */
  readonly entryPosition?: () => EntryPosition;
}

const LONG_PROMPT_TOKENS = 1_000;

/** Factor on the demand of quick work, which needs small batches, and so more engines, to start and end in time. */
const QUICK_WEIGHT = 4;

/**
 * The number of a lane's engines changes only when the ideal differs from it by more than this. Each entry computes the
 * ideal from its own traffic; the results differ by less than this, and an entry that changes alone disturbs the rest.
 */
const HYSTERESIS_ENGINES = 0.7;

function hashName(name: string): number {
  return createHash('sha256').update(name).digest().readUInt32BE(0);
}

/** Lanes with a smaller share of the demand get no engines of their own and use all engines. */
const MIN_DEMAND_SHARE = 0.01;

/** Rounds an ideal number of engines; keeps the current number while the ideal is close to it. */
function stableCount(current: number, ideal: number, max: number): number {
  if (ideal === 0) return 0;
  const next = current > 0 && Math.abs(ideal - current) <= HYSTERESIS_ENGINES ? current : Math.round(ideal);
  return Math.max(1, Math.min(max, next));
}

/**
 * Assignment of the mixed engines of one model to the lanes. In the order of their ranks, the first `long` engines
 * serve the long lane, the last `quick` ones the quick lane and the rest the short lane.
 */
class ModelLanes {
  private ranks: ReadonlyMap<string, number> = new Map();

  private readonly demand: Record<Lane, number> = { [Lane.Short]: 0, [Lane.Long]: 0, [Lane.Quick]: 0 };

  public long = 0;

  public quick = 0;

  public get mixed(): number {
    return this.ranks.size;
  }

  public setEngines(names: readonly string[]): void {
    this.ranks = new Map(names.map((name, index) => [name, index]));
    this.allocateEngines();
  }

  public serves(name: string, lane: Lane, position: EntryPosition | undefined): boolean {
    const rank = this.ranks.get(name) ?? 0;
    const { long, quick, mixed } = this;
    switch (lane) {
      case Lane.Long:
        return long === 0 || (rank < long && this.isOwnedBy(rank, position));
      case Lane.Quick:
        return quick === 0 ? rank >= long || long === mixed : rank >= mixed - quick;
      case Lane.Short:
        return long + quick >= mixed || (rank >= long && rank < mixed - quick);
      default:
        return assertNever(lane);
    }
  }

  public isReservedForQuick(name: string): boolean {
    return this.quick > 0 && (this.ranks.get(name) ?? 0) >= this.mixed - this.quick;
  }

  public addDemand(lane: Lane, tokens: number): void {
    this.demand[lane] += tokens * (lane === Lane.Quick ? QUICK_WEIGHT : 1);
  }

  public rebalance(retainedShare: number): void {
    for (const lane of LANES) this.demand[lane] *= retainedShare;
    this.allocateEngines();
  }

  private allocateEngines(): void {
    const total = LANES.reduce((sum, lane) => sum + this.demand[lane], 0);
    const demandOf = (lane: Lane): number => (this.demand[lane] < MIN_DEMAND_SHARE * total ? 0 : this.demand[lane]);
    const [short, long, quick] = [demandOf(Lane.Short), demandOf(Lane.Long), demandOf(Lane.Quick)];
    const engines = this.mixed;
    const laneCount = [short, long, quick].filter((demand) => demand > 0).length;
    if (laneCount < 2 || engines < laneCount) {
      this.long = 0;
      this.quick = 0;
      return;
    }
    this.quick = stableCount(this.quick, (quick / (short + long + quick)) * engines, engines - laneCount + 1);
    const rest = engines - this.quick;
    this.long = long === 0 ? 0 : stableCount(this.long, (long / (short + long)) * rest, rest - (short > 0 ? 1 : 0));
  }

  private isOwnedBy(rank: number, position: EntryPosition | undefined): boolean {
    if (position === undefined || position.count <= 1) return true;
    return this.long >= position.count ? rank % position.count === position.index : rank === position.index % this.long;
  }
}

/**
 * Divides the mixed engines of each model between the lanes. All entries order the engines by the same hash, so they
 * arrive at similar divisions without communicating.
 */
export class LanePlan {
  private readonly longPromptTokens: number;

  private readonly models = new Map<string, ModelLanes>();

  private ranksAreStale = true;

  private lastLane: { readonly item: WorkItem; readonly lane: Lane } | null = null;

  public constructor(private readonly options: LanePlanOptions) {
    this.longPromptTokens = options.longPromptTokens ?? LONG_PROMPT_TOKENS;
    options.directory.onChange(() => {
      this.ranksAreStale = true;
    });
  }

  /** Lane of a request. */
  public laneOf(item: WorkItem): Lane {
    if (item.promptTokens >= this.longPromptTokens) return Lane.Long;
    // Choosing a placement asks for the lane of the same request once per engine, so the last result is kept.
    if (this.lastLane?.item !== item) {
      this.lastLane = { item, lane: this.options.isQuick?.(item) === true ? Lane.Quick : Lane.Short };
    }
    return this.lastLane.lane;
  }

  /** Tests whether an engine serves a lane of a model. */
  public serves(engine: EngineInfo, model: string, lane: Lane): boolean {
    if (this.options.separate === false || engine.role !== Role.Mixed) return true;
    if (this.ranksAreStale) this.rankEngines();
    const lanes = this.models.get(model);
    return lanes === undefined || lanes.serves(engine.name, lane, this.options.entryPosition?.());
  }

  /** Tests whether an engine is reserved for the quick lane of a model. */
  public isReservedForQuick(engine: EngineInfo, model: string): boolean {
    return this.models.get(model)?.isReservedForQuick(engine.name) === true;
  }

  /** Adds the expected engine work of one arrived request, in tokens, to the demand of its lane. */
  public recordArrival(model: string, lane: Lane, tokens: number): void {
    if (this.ranksAreStale) this.rankEngines();
    this.models.get(model)?.addDemand(lane, tokens);
  }

  /** Decays the demand exponentially with the time constant and divides the engines again. */
  public rebalance(elapsedMs: number, timeConstantMs: number): void {
    const retainedShare = Math.exp(-elapsedMs / timeConstantMs);
    for (const lanes of this.models.values()) lanes.rebalance(retainedShare);
  }

  /** Number of mixed engines per model, and of those reserved for the long and quick lanes, for the state dump. */
  public dump(): Record<string, { mixed: number; long: number; quick: number }> {
    const rows = [...this.models].map(([model, { mixed, long, quick }]) => [model, { mixed, long, quick }]);
    return Object.fromEntries(rows);
  }

  private rankEngines(): void {
    this.ranksAreStale = false;
    const engines = this.options.directory.all()
      .filter((engine) => engine.role === Role.Mixed && engine.available)
      .map(({ name, models }) => ({ name, models, hash: hashName(name) }))
      .sort((a, b) => a.hash - b.hash || a.name.localeCompare(b.name));
    const names = new Map<string, string[]>();
    for (const model of this.models.keys()) names.set(model, []);
    for (const { name, models } of engines) {
      for (const model of models) {
        const list = names.get(model);
        if (list === undefined) names.set(model, [name]);
        else list.push(name);
      }
    }
    for (const [model, list] of names) {
      const lanes = this.models.get(model) ?? new ModelLanes();
      this.models.set(model, lanes);
      lanes.setEngines(list);
      if (list.length === 0) this.models.delete(model);
    }
  }
}
