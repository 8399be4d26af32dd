import type {
  Clock, OrderAction, WeightStore,
} from '../edges/index.js';
import type { Intents } from './intents.js';

const DESCRIBE_TIMEOUT_MS = 1_000;

/** Time after which an engine that cannot be reached no longer holds a permit. */
const UNREACHABLE_HOLD_MS = 60_000;

/** Shares the loads that the weight store allows; the open load intents themselves are the permits in use. */
export class Permits {
  private readonly reserved = new Set<string>();

  private readonly unreachableSince = new Map<string, number>();

  public constructor(
    private readonly clock: Clock,
    private readonly weightStore: WeightStore,
    private readonly intents: Intents,
  ) {}

  /** Records whether an engine answered. */
  public reached(engine: string, answered: boolean): void {
    if (answered) this.unreachableSince.delete(engine);
    else if (!this.unreachableSince.has(engine)) this.unreachableSince.set(engine, this.clock.monotonic());
  }

  /** Holds a place for a load until it is released; false when all are taken. Other actions need none. */
  public async reserve(engine: string, action: OrderAction): Promise<boolean> {
    if (action.type !== 'load' || this.reserved.has(engine)) return true;
    const limit = await this.limit(action.model, action.version);
    if (this.openLoads() >= limit) return false;
    this.reserved.add(engine);
    return true;
  }

  public release(engine: string): void {
    this.reserved.delete(engine);
  }

  /** Loads that are open or about to be. */
  public openLoads(): number {
    return new Set([...this.reserved, ...this.loading()]).size;
  }

  /** Whether an open order may be sent now; a write of an earlier holder that arrived late may exceed the limit. */
  public async mayRun(engine: string, action: OrderAction): Promise<boolean> {
    if (action.type !== 'load') return true;
    const limit = await this.limit(action.model, action.version);
    return this.loading().indexOf(engine) < limit;
  }

  private async limit(model: string, version: string): Promise<number> {
    const described = await this.weightStore.describe(model, version, { timeoutMs: DESCRIBE_TIMEOUT_MS });
    return described.success ? described.data.concurrentLoads : 0;
  }

  private loading(): string[] {
    const now = this.clock.monotonic();
    return this.intents.all()
      .filter(([engine, { state, action }]) => state === 'open' && action.type === 'load'
        && now - (this.unreachableSince.get(engine) ?? now) < UNREACHABLE_HOLD_MS)
      .map(([engine]) => engine)
      .sort();
  }
}
