import { createHash } from 'node:crypto';
import type { EngineDirectory, EngineFacts, WorkItem } from '../serving/index.js';
import { Role } from '../edges/index.js';
import { assertNever } from '../result.js';

/** Work that is kept apart on mixed engines. */
export enum Lane {
  /** Short prompts. */
  Short = 'short',
  /** Long prompts, whose prefill delays the decodes beside it. */
  Long = 'long',
  /** Short prompts that are urgent or whose answers are expected to be short. */
  Quick = 'quick',
}

/** All lanes. */
export const LANES: readonly Lane[] = [Lane.Short, Lane.Long, Lane.Quick];

/** Position of this entry among the entries that use the same engines. */
export interface EntryShare {
  readonly index: number;
  readonly count: number;
}

/** Options of {@link LanePlan}. */
export interface LanePlanOptions {
  readonly directory: EngineDirectory;
  /** Prompts of this many tokens or more are long. */
  readonly longPromptTokens?: number;
  /** False gives every mixed engine to all lanes. */
  readonly separate?: boolean;
  /** Whether a request with a short prompt belongs to the quick lane; absent leaves the lane unused. */
  readonly isQuick?: (item: WorkItem) => boolean;
  /** Gives each entry long-lane engines of its own; absent lets every entry use all of them. */
  readonly share?: () => EntryShare;
}

const LONG_PROMPT_TOKENS = 1_000;

/** Quick work needs small batches to start and end in time, so its engines carry less of it. */
const QUICK_WEIGHT = 4;

/** Entries that judge by their own traffic differ by less than this, and one that moves alone disturbs the others. */
const HYSTERESIS_ENGINES = 0.7;

function hash(name: string): number {
  return createHash('sha256').update(name).digest().readUInt32BE(0);
}

/** Lanes with a smaller share of the work get no engines of their own and use all. */
const MIN_DEMAND_SHARE = 0.01;

/** Whole number of engines for an ideal one; keeps the current number while the ideal is near it. */
function settle(current: number, ideal: number, max: number): number {
  if (ideal === 0) return 0;
  const next = current > 0 && Math.abs(ideal - current) <= HYSTERESIS_ENGINES ? current : Math.round(ideal);
  return Math.max(1, Math.min(max, next));
}

/** Lanes of the mixed engines that hold one model. */
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
    this.divide();
  }

  public serves(name: string, lane: Lane, share: EntryShare | undefined): boolean {
    const rank = this.ranks.get(name) ?? 0;
    const { long, quick, mixed } = this;
    switch (lane) {
      case Lane.Long:
        return long === 0 || (rank < long && this.owns(rank, share));
      case Lane.Quick:
        return quick === 0 ? rank >= long || long === mixed : rank >= mixed - quick;
      case Lane.Short:
        return long + quick >= mixed || (rank >= long && rank < mixed - quick);
      default:
        return assertNever(lane);
    }
  }

  public isQuick(name: string): boolean {
    return this.quick > 0 && (this.ranks.get(name) ?? 0) >= this.mixed - this.quick;
  }

  public arrived(lane: Lane, tokens: number): void {
    this.demand[lane] += tokens * (lane === Lane.Quick ? QUICK_WEIGHT : 1);
  }

  public rebalance(keep: number): void {
    for (const lane of LANES) this.demand[lane] *= keep;
    this.divide();
  }

  private divide(): void {
    const total = LANES.reduce((sum, lane) => sum + this.demand[lane], 0);
    const present = (lane: Lane): number => (this.demand[lane] < MIN_DEMAND_SHARE * total ? 0 : this.demand[lane]);
    const [short, long, quick] = [present(Lane.Short), present(Lane.Long), present(Lane.Quick)];
    const engines = this.mixed;
    const lanes = [short, long, quick].filter((demand) => demand > 0).length;
    if (lanes < 2 || engines < lanes) {
      this.long = 0;
      this.quick = 0;
      return;
    }
    this.quick = settle(this.quick, (quick / (short + long + quick)) * engines, engines - lanes + 1);
    const rest = engines - this.quick;
    this.long = long === 0 ? 0 : settle(this.long, (long / (short + long)) * rest, rest - (short > 0 ? 1 : 0));
  }

  private owns(rank: number, share: EntryShare | undefined): boolean {
    if (share === undefined || share.count <= 1) return true;
    return this.long >= share.count ? rank % share.count === share.index : rank === share.index % this.long;
  }
}

/** Divides the mixed engines of each model between the lanes; entries order them in the same way without talking. */
export class LanePlan {
  private readonly longPromptTokens: number;

  private readonly models = new Map<string, ModelLanes>();

  private stale = true;

  private latest: { readonly item: WorkItem; readonly lane: Lane } | null = null;

  public constructor(private readonly options: LanePlanOptions) {
    this.longPromptTokens = options.longPromptTokens ?? LONG_PROMPT_TOKENS;
    options.directory.onChange(() => {
      this.stale = true;
    });
  }

  public laneOf(item: WorkItem): Lane {
    if (item.promptTokens >= this.longPromptTokens) return Lane.Long;
    // A choice asks for the lane of one request once for each engine.
    if (this.latest?.item !== item) {
      this.latest = { item, lane: this.options.isQuick?.(item) === true ? Lane.Quick : Lane.Short };
    }
    return this.latest.lane;
  }

  /** Whether an engine takes work of a model and lane. */
  public serves(engine: EngineFacts, model: string, lane: Lane): boolean {
    if (this.options.separate === false || engine.role !== Role.Mixed) return true;
    if (this.stale) this.rank();
    const lanes = this.models.get(model);
    return lanes === undefined || lanes.serves(engine.name, lane, this.options.share?.());
  }

  /** Whether an engine is kept for quick work of a model. */
  public isQuick(engine: EngineFacts, model: string): boolean {
    return this.models.get(model)?.isQuick(engine.name) === true;
  }

  /** Adds the expected engine work of one arrival in tokens. */
  public arrived(model: string, lane: Lane, tokens: number): void {
    if (this.stale) this.rank();
    this.models.get(model)?.arrived(lane, tokens);
  }

  /** Forgets old demand with this time constant and divides the engines by what remains. */
  public rebalance(elapsedMs: number, timeConstantMs: number): void {
    const keep = Math.exp(-elapsedMs / timeConstantMs);
    for (const lanes of this.models.values()) lanes.rebalance(keep);
  }

  /** Engines per model and lane, for the state dump. */
  public dump(): Record<string, { mixed: number; long: number; quick: number }> {
    const rows = [...this.models].map(([model, { mixed, long, quick }]) => [model, { mixed, long, quick }]);
    return Object.fromEntries(rows);
  }

  private rank(): void {
    this.stale = false;
    const engines = this.options.directory.all()
      .filter((engine) => engine.role === Role.Mixed && engine.available)
      .map(({ name, models }) => ({ name, models, hash: hash(name) }))
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
