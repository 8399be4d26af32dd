import { EngineErrorCode } from '../edges/index.js';
import type {
  Clock, EngineError, OrderState,
} from '../edges/index.js';
import type { Intent } from './intents.js';
import type { Result } from '../result.js';

/** One copy of an order that this process sends or has sent. */
export interface Delivery {
  readonly orderId: string;
  readonly term: number;
  /** Monotonic time at which the wait for its answer ended. */
  endedAt: number | null;
}

/** What this process has sent to each engine, and what of it may still be on its way. */
export class Deliveries {
  /** Copies that passed the guard and were not answered so far; at most one for each engine. */
  private readonly pending = new Map<string, Delivery>();

  private readonly sends = new Map<string, { readonly orderId: string; readonly count: number }>();

  /** `transitMs` is the time after which bytes that left this process cannot arrive any more. */
  public constructor(private readonly clock: Clock, private readonly transitMs: number) {}

  public begin(engine: string, { orderId, term }: Intent): Delivery {
    const sent = this.sends.get(engine);
    this.sends.set(engine, { orderId, count: sent?.orderId === orderId ? sent.count + 1 : 1 });
    return { orderId, term, endedAt: null };
  }

  /** The guard has passed, so the copy leaves now. */
  public passed(engine: string, delivery: Delivery): void {
    this.pending.set(engine, delivery);
  }

  public ended(delivery: Delivery): void {
    Object.assign(delivery, { endedAt: this.clock.monotonic() });
  }

  /** An answer, also a late one, shows that the copy is no longer on its way. */
  public answered(engine: string, delivery: Delivery, result: Result<OrderState, EngineError>): void {
    if (!result.success && result.error.code === EngineErrorCode.NotSent) this.sends.delete(engine);
    const arrived = result.success || result.error.code !== EngineErrorCode.Broken;
    if (arrived && this.pending.get(engine) === delivery) this.pending.delete(engine);
  }

  /** The engine knows the order, so a copy has arrived; if only one was sent, none is on its way any more. */
  public arrived(engine: string, intent: Intent): void {
    const alone = intent.senders.every((sender) => sender.term === intent.term) && this.count(engine, intent) === 1;
    if (alone && this.pending.get(engine)?.endedAt !== null) this.pending.delete(engine);
  }

  public count(engine: string, intent: Intent): number {
    const sent = this.sends.get(engine);
    return sent?.orderId === intent.orderId ? sent.count : 0;
  }

  public isPending(engine: string): boolean {
    const delivery = this.pending.get(engine);
    if (delivery === undefined) return false;
    if (delivery.endedAt === null || this.clock.monotonic() - delivery.endedAt < this.transitMs) return true;
    this.pending.delete(engine);
    return false;
  }

  /** Engines with a pending copy of a term up to `term`. */
  public unanswered(term: number): string[] {
    return [...this.pending]
      .filter(([engine, delivery]) => delivery.term <= term && this.isPending(engine))
      .map(([engine]) => engine);
  }
}
