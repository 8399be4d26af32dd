import { createHash } from 'node:crypto';
import type { EngineDirectory } from './directory.js';
import { Role } from './edges.js';
import type { EngineFacts, WorkItem } from './placement.js';

/** Work that is kept apart on mixed engines because long prefills delay the decodes beside them. */
export enum Lane {
  Short = 'short',
  Long = 'long',
}

/** Options of {@link LanePlan}. */
export interface LanePlanOptions {
  readonly directory: EngineDirectory;
  /** Prompts of this many tokens or more are long. */
  readonly longPromptTokens?: number;
  /** False gives every mixed engine to both lanes. */
  readonly separate?: boolean;
}

const LONG_PROMPT_TOKENS = 1_000;
const INITIAL_LONG_SHARE = 0.5;

function hash(name: string): number {
  return createHash('sha256').update(name).digest().readUInt32BE(0);
}

/** Divides the mixed engines between the lanes; every entry orders them in the same way without talking. */
export class LanePlan {
  private readonly longPromptTokens: number;

  private ranks = new Map<string, number>();

  private mixed = 0;

  private stale = true;

  private demand: Record<Lane, number> = { [Lane.Short]: 0, [Lane.Long]: 0 };

  private longShare = INITIAL_LONG_SHARE;

  public constructor(private readonly options: LanePlanOptions) {
    this.longPromptTokens = options.longPromptTokens ?? LONG_PROMPT_TOKENS;
    options.directory.onChange(() => {
      this.stale = true;
    });
  }

  public laneOf(item: WorkItem): Lane {
    return item.promptTokens >= this.longPromptTokens ? Lane.Long : Lane.Short;
  }

  /** Whether an engine takes work of a lane. */
  public serves(engine: EngineFacts, lane: Lane): boolean {
    if (this.stale) this.rank();
    if (this.options.separate === false || engine.role !== Role.Mixed || this.mixed < 2) return true;
    const rank = this.ranks.get(engine.name) ?? 0;
    const boundary = this.boundary();
    return lane === Lane.Long ? rank < Math.ceil(boundary) : rank >= Math.floor(boundary);
  }

  /** Engines of the long lane, as a share of a whole; the engine at a fraction serves both lanes. */
  public boundary(): number {
    if (this.demand[Lane.Short] === 0) return this.mixed;
    if (this.demand[Lane.Long] === 0) return 0;
    const boundary = Math.min(this.mixed - 1, Math.max(1, this.longShare * this.mixed));
    return Math.round(boundary);
  }

  /** Adds the expected engine time of one arrival in ms. */
  public arrived(lane: Lane, engineMs: number): void {
    this.demand[lane] += engineMs;
  }

  /** Moves the division toward the demand of the last `elapsedMs`. */
  public rebalance(elapsedMs: number, timeConstantMs: number): void {
    const total = this.demand[Lane.Short] + this.demand[Lane.Long];
    if (total > 0) {
      const weight = 1 - Math.exp(-elapsedMs / timeConstantMs);
      this.longShare += weight * (this.demand[Lane.Long] / total - this.longShare);
    }
    const keep = Math.exp(-elapsedMs / timeConstantMs);
    this.demand[Lane.Short] *= keep;
    this.demand[Lane.Long] *= keep;
  }

  private rank(): void {
    const mixed = this.options.directory.all()
      .filter((engine) => engine.role === Role.Mixed && engine.available)
      .map(({ name }) => ({ name, hash: hash(name) }))
      .sort((a, b) => a.hash - b.hash || a.name.localeCompare(b.name));
    this.ranks = new Map(mixed.map((engine, index) => [engine.name, index]));
    this.mixed = mixed.length;
    this.stale = false;
  }
}
