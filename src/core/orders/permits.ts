import type {
  Clock, OrderAction, WeightStore,
} from '../interfaces/index.js';
import type { Intents } from './intents.js';

const DESCRIBE_TIMEOUT_MS = 1_000;

/** Time after which an engine that cannot be reached no longer uses a permit. */
const UNREACHABLE_PERMIT_MS = 60_000;

/**
 * Limits the model loads that run at the same time to the number that the weight store allows. Every open intent for a
 * load uses a permit, so permits need no record of their own.
 */
export class Permits {
  /** Engines for which a load is about to be ordered. */
  private readonly reserved = new Set<string>();

  /** Monotonic time in ms since which each engine has not answered. */
  private readonly unreachableSince = new Map<string, number>();

  public constructor(
    private readonly clock: Clock,
    private readonly weightStore: WeightStore,
    private readonly intents: Intents,
  ) {}

  /** Records whether an engine answered. */
  public recordReachability(engine: string, answered: boolean): void {
    if (answered) this.unreachableSince.delete(engine);
    else if (!this.unreachableSince.has(engine)) this.unreachableSince.set(engine, this.clock.monotonic());
  }

  /** Reserves a permit for a load, until {@link release}; false if all are in use. Other actions need none. */
  public async reserve(engine: string, action: OrderAction): Promise<boolean> {
    if (action.type !== 'load' || this.reserved.has(engine)) return true;
    const limit = await this.concurrentLoadLimit(action.model, action.version);
    if (this.openLoads() >= limit) return false;
    this.reserved.add(engine);
    return true;
  }

  /** Ends the reservation for an engine. */
  public release(engine: string): void {
    this.reserved.delete(engine);
  }

  /** Number of loads that are ordered or about to be ordered. */
  public openLoads(): number {
    return new Set([...this.reserved, ...this.loadingEngines()]).size;
  }

  /**
   * Whether an open order may be sent now. The limit is checked again, because an intent that an earlier holder wrote
   * may have taken effect late and exceed it.
   */
  public async mayRun(engine: string, action: OrderAction): Promise<boolean> {
    if (action.type !== 'load') return true;
    const limit = await this.concurrentLoadLimit(action.model, action.version);
    return this.loadingEngines().indexOf(engine) < limit;
  }

  private async concurrentLoadLimit(model: string, version: string): Promise<number> {
    const described = await this.weightStore.describe(model, version, { timeoutMs: DESCRIBE_TIMEOUT_MS });
    return described.success ? described.data.concurrentLoads : 0;
  }

  /** Engines with an open intent for a load, in the order of their names. */
  private loadingEngines(): string[] {
    const now = this.clock.monotonic();
    return this.intents.all()
      .filter(([engine, { state, action }]) => state === 'open' && action.type === 'load'
        && now - (this.unreachableSince.get(engine) ?? now) < UNREACHABLE_PERMIT_MS)
      .map(([engine]) => engine)
      .sort();
  }
}
