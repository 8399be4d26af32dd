import { createHash } from 'node:crypto';
import type { EngineDirectory } from './directory.js';
import { Role } from './edges.js';
import type { EngineFacts, WorkItem } from './placement.js';
import { assertNever } from './result.js';

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

/** Whole number of engines for an ideal one; keeps the current number while the ideal is near it. */
function settle(current: number, ideal: number, max: number): number {
  if (ideal === 0) return 0;
  const next = current > 0 && Math.abs(ideal - current) <= HYSTERESIS_ENGINES ? current : Math.round(ideal);
  return Math.max(1, Math.min(max, next));
}

/** Divides the mixed engines between the lanes; every entry orders them in the same way without talking. */
export class LanePlan {
  private readonly longPromptTokens: number;

  private ranks = new Map<string, number>();

  private mixed = 0;

  private stale = true;

  private readonly demand: Record<Lane, number> = { [Lane.Short]: 0, [Lane.Long]: 0, [Lane.Quick]: 0 };

  private latest: { readonly item: WorkItem; readonly lane: Lane } | null = null;

  private longEngines = 0;

  private quickEngines = 0;

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

  /** Whether an engine takes work of a lane. */
  public serves(engine: EngineFacts, lane: Lane): boolean {
    if (this.stale) this.rank();
    if (this.options.separate === false || engine.role !== Role.Mixed) return true;
    const rank = this.ranks.get(engine.name) ?? 0;
    const long = this.longEngines;
    const quick = this.quickEngines;
    switch (lane) {
      case Lane.Long:
        return long === 0 || (rank < long && this.owns(rank, long));
      case Lane.Quick:
        return quick === 0 ? rank >= long || long === this.mixed : rank >= this.mixed - quick;
      case Lane.Short:
        return long + quick >= this.mixed || (rank >= long && rank < this.mixed - quick);
      default:
        return assertNever(lane);
    }
  }

  /** Adds the expected engine work of one arrival in tokens. */
  public arrived(lane: Lane, tokens: number): void {
    this.demand[lane] += tokens * (lane === Lane.Quick ? QUICK_WEIGHT : 1);
  }

  /** Forgets old demand with this time constant and divides the engines by what remains. */
  public rebalance(elapsedMs: number, timeConstantMs: number): void {
    const keep = Math.exp(-elapsedMs / timeConstantMs);
    for (const lane of LANES) this.demand[lane] *= keep;
    this.divide();
  }

  /** Engines per lane, for the state dump. */
  public dump(): Record<string, number> {
    return { mixed: this.mixed, long: this.longEngines, quick: this.quickEngines };
  }

  private divide(): void {
    const { [Lane.Short]: short, [Lane.Long]: long, [Lane.Quick]: quick } = this.demand;
    const engines = this.mixed;
    const present = [short, long, quick].filter((demand) => demand > 0).length;
    if (present < 2 || engines < present) {
      this.longEngines = 0;
      this.quickEngines = 0;
      return;
    }
    const quickIdeal = (quick / (short + long + quick)) * engines;
    this.quickEngines = settle(this.quickEngines, quickIdeal, engines - present + 1);
    const rest = engines - this.quickEngines;
    const longIdeal = (long / (short + long)) * rest;
    this.longEngines = settle(this.longEngines, longIdeal, rest - (short > 0 ? 1 : 0));
  }

  private owns(rank: number, engines: number): boolean {
    const share = this.options.share?.();
    if (share === undefined || share.count <= 1) return true;
    return engines >= share.count ? rank % share.count === share.index : rank === share.index % engines;
  }

  private rank(): void {
    const mixed = this.options.directory.all()
      .filter((engine) => engine.role === Role.Mixed && engine.available)
      .map(({ name }) => ({ name, hash: hash(name) }))
      .sort((a, b) => a.hash - b.hash || a.name.localeCompare(b.name));
    this.ranks = new Map(mixed.map((engine, index) => [engine.name, index]));
    this.mixed = mixed.length;
    this.stale = false;
    this.divide();
  }
}
