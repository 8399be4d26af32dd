import { EngineErrorCode } from '../interfaces/index.js';
import type {
  Clock, EngineError, OrderState,
} from '../interfaces/index.js';
import type { Intent } from './intents.js';
import type { Result } from '../result.js';

/** One copy of an order that this process is sending or has sent. */
export interface Delivery {
  readonly orderId: string;
  readonly term: number;
  /** Monotonic time in ms at which the wait for its answer ended; `null` before. */
  endedAt: number | null;
}

/** Tracks the orders that this process has sent to each engine, and which of them may still be in transit. */
export class Deliveries {
  /** Copies that were sent and have not been answered; at most one for each engine. */
  private readonly pending = new Map<string, Delivery>();

  /** Number of copies sent of the latest order of each engine. */
  private readonly sendCounts = new Map<string, { readonly orderId: string; readonly count: number }>();

  /** `transitMs` is the time after which data that this process has sent can no longer arrive. */
  public constructor(private readonly clock: Clock, private readonly transitMs: number) {}

  /** Counts a further copy of an order, before it is sent. */
  public begin(engine: string, { orderId, term }: Intent): Delivery {
    const sent = this.sendCounts.get(engine);
    this.sendCounts.set(engine, { orderId, count: sent?.orderId === orderId ? sent.count + 1 : 1 });
    return { orderId, term, endedAt: null };
  }

  /** Records that the copy passed the check before sending and is being sent now. */
  public markSent(engine: string, delivery: Delivery): void {
    this.pending.set(engine, delivery);
  }

  /** Records that the wait for the answer has ended, with or without one. */
  public markWaitEnded(delivery: Delivery): void {
    Object.assign(delivery, { endedAt: this.clock.monotonic() });
  }

  /** Handles the result of sending a copy. An answer, even a late one, shows that the copy is no longer in transit. */
  public handleAnswer(engine: string, delivery: Delivery, result: Result<OrderState, EngineError>): void {
    if (!result.success && result.error.code === EngineErrorCode.NotSent) this.sendCounts.delete(engine);
    const hasArrived = result.success || result.error.code !== EngineErrorCode.Broken;
    if (hasArrived && this.pending.get(engine) === delivery) this.pending.delete(engine);
  }

  /** Handles that an engine knows an order: a copy has arrived, so if only one was sent, none is in transit. */
  public handleArrival(engine: string, intent: Intent): void {
    const isOnlyCopy = intent.senders.every((sender) => sender.term === intent.term)
      && this.sendCount(engine, intent) === 1;
    if (isOnlyCopy && this.pending.get(engine)?.endedAt !== null) this.pending.delete(engine);
  }

  /** Number of copies of an order that this process has sent to an engine. */
  public sendCount(engine: string, intent: Intent): number {
    const sent = this.sendCounts.get(engine);
    return sent?.orderId === intent.orderId ? sent.count : 0;
  }

  /** Whether a copy that was sent to an engine may still be in transit. */
  public isPending(engine: string): boolean {
    const delivery = this.pending.get(engine);
    if (delivery === undefined) return false;
    if (delivery.endedAt === null || this.clock.monotonic() - delivery.endedAt < this.transitMs) return true;
    this.pending.delete(engine);
    return false;
  }

  /** Engines to which a copy of an order of a term up to `term` may still be in transit. */
  public unansweredEngines(term: number): string[] {
    return [...this.pending]
      .filter(([engine, delivery]) => delivery.term <= term && this.isPending(engine))
      .map(([engine]) => engine);
  }
}
