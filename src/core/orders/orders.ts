import { Abandonment } from './abandonment.js';
import { isInEffect } from './actions.js';
import type { Authority, Leadership } from '../authority/index.js';
import { Deliveries } from './deliveries.js';
import { EngineErrorCode, OrderState } from '../interfaces/index.js';
import type {
  Clock, Engine, EngineError, EngineStatus, KeyValue, Log, Meter, Order, OrderAction, PeerClient, PeerServer, Random,
  WeightStore,
} from '../interfaces/index.js';
import { Intents } from './intents.js';
import type { Intent, OrderSender } from './intents.js';
import { Permits } from './permits.js';
import { assertNever } from '../result.js';
import { withTimeout } from '../time.js';

const STATUS_TIMEOUT_MS = 1_000;

/** Copies of an order that are sent to an engine that loses them, before the order fails and is planned again. */
const MAX_SENDS = 3;

/** State of an engine with respect to orders; a new order may be issued only if it is `ready`. */
export type OrderProgress =
  | { readonly type: 'ready'; readonly status: EngineStatus }
  /** An order is open. `status` is its latest status. */
  | { readonly type: 'open'; readonly status: EngineStatus | null; readonly action: OrderAction }
  /** No order is open, but an order of an earlier sender may still arrive or run. */
  | { readonly type: 'waiting'; readonly status: EngineStatus }
  /** The engine or the key-value service did not answer, or this process has lost authority. */
  | { readonly type: 'unreachable' };

/** Outcome of {@link Orders.issue}; `written` if the intent is stored but the engine has not confirmed the order. */
export type IssueOutcome = 'sent' | 'written' | 'refused' | 'no_permit' | 'not_written';

/** Options of {@link Orders}. */
export interface OrdersOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly keyValue: KeyValue;
  readonly authority: Authority;
  readonly peers: PeerClient;
  readonly server: PeerServer;
  readonly weightStore: WeightStore;
  readonly log: Log;
  readonly meter: Meter;
  /** Time that an engine has to answer an order; 2,000 by default. */
  readonly orderTimeoutMs?: number;
  /** Longest tolerated pause of a process between its last check of authority and the send; 10,000 by default. */
  readonly pauseAllowanceMs?: number;
}

/**
 * Sends orders to engines while this process holds authority. Each order is first stored as an intent, every engine has
 * at most one open order, and conflicting orders are never in transit at the same time.
 */
export class Orders {
  public readonly abandonment: Abandonment;

  private readonly intents: Intents;

  private readonly permits: Permits;

  private readonly deliveries: Deliveries;

  private readonly orderTimeoutMs: number;

  public constructor(private readonly options: OrdersOptions) {
    this.orderTimeoutMs = options.orderTimeoutMs ?? 2_000;
    this.deliveries = new Deliveries(options.clock, this.orderTimeoutMs);
    this.intents = new Intents(options.keyValue);
    this.permits = new Permits(options.clock, options.weightStore, this.intents);
    this.abandonment = new Abandonment({
      ...options,
      longestDeliveryMs: options.authority.leaseMs + this.orderTimeoutMs + (options.pauseAllowanceMs ?? 10_000),
      transitMs: this.orderTimeoutMs,
      unanswered: (term) => this.deliveries.unansweredEngines(term),
    });
  }

  /** Reads all intents when this process has gained authority; false if the key-value service did not answer. */
  public async load(): Promise<boolean> {
    if (!await this.intents.load()) return false;
    this.abandonment.trackSenders(this.intents.all().flatMap(([, { senders }]) => senders));
    return true;
  }

  /** Last intent of an engine, open or completed. */
  public lastIntent(engine: string): Intent | null {
    return this.intents.get(engine);
  }

  /** Reserves a permit of the weight store for a load that is about to be issued; always true for other actions. */
  public reserve(engine: string, action: OrderAction): Promise<boolean> {
    return this.permits.reserve(engine, action);
  }

  /** Ends the reservation for an engine. */
  public releaseReservation(engine: string): void {
    this.permits.release(engine);
  }

  /** Engines with an open order. */
  public openEngines(): string[] {
    return this.intents.all().filter(([, { state }]) => state === 'open').map(([engine]) => engine);
  }

  /**
   * Reads an engine's status and advances its open order by one step: takes the order over from an earlier holder,
   * sends it or completes it. `mayInterrupt` returns whether an order that interrupts work may be sent now.
   */
  public async advance(
    engine: Engine,
    mayInterrupt: (action: OrderAction, status: EngineStatus) => boolean = () => true,
  ): Promise<OrderProgress> {
    const { name } = engine;
    const answer = await engine.status({ timeoutMs: STATUS_TIMEOUT_MS });
    const ownLeadership = this.options.authority.currentLeadership();
    this.permits.recordReachability(name, answer.success);
    if (!answer.success || ownLeadership === null
      || !await this.intents.resolveWrite(name)) return { type: 'unreachable' };
    const status = answer.data;
    const intent = this.intents.get(name);
    if (intent?.state !== 'open') {
      return { type: this.canReceiveNewOrder(name, intent, status) ? 'ready' : 'waiting', status };
    }
    await this.advanceOpenOrder(engine, intent, status, ownLeadership, mayInterrupt);
    return { type: 'open', status, action: intent.action };
  }

  /** Stores the intent of a new order and sends the order, to an engine that is `ready` with `status`. */
  public async issue(engine: Engine, action: OrderAction, status: EngineStatus): Promise<IssueOutcome> {
    const { authority, random, meter } = this.options;
    const { name } = engine;
    if (!await this.permits.reserve(name, action)) return 'no_permit';
    try {
      const ownLeadership = authority.currentLeadership();
      const last = this.intents.get(name);
      if (ownLeadership === null || last?.state === 'open' || !this.canReceiveNewOrder(name, last, status)) return 'refused';
      const written = await this.intents.write(name, {
        sequence: (last?.sequence ?? 0) + 1,
        orderId: random.id(),
        term: ownLeadership.term,
        holder: authority.holder,
        action,
        state: 'open',
        senders: [...this.remainingSenders(name, last), { term: ownLeadership.term, holder: authority.holder }],
      });
      const intent = this.intents.get(name);
      if (written !== 'written' || intent === null) return 'not_written';
      meter.count('orders_issued', 1, { action: action.type });
      return await this.send(engine, intent, ownLeadership) ? 'sent' : 'written';
    } finally {
      this.permits.release(name);
    }
  }

  /** State under stable keys, with ages in ms, for the diagnostic dump. */
  public dump(): Record<string, unknown> {
    return {
      ...this.intents.dump(),
      unanswered: this.deliveries.unansweredEngines(Infinity),
      earlier_senders: this.abandonment.dump(),
      open_loads: this.permits.openLoads(),
    };
  }

  public dispose(): void {
    this.abandonment.dispose();
  }

  private async advanceOpenOrder(
    engine: Engine,
    intent: Intent,
    status: EngineStatus,
    ownLeadership: Leadership,
    mayInterrupt: (action: OrderAction, status: EngineStatus) => boolean,
  ): Promise<void> {
    const { name } = engine;
    const state = status.orders[intent.orderId];
    if (state !== undefined) {
      this.deliveries.handleArrival(name, intent);
      if (state === OrderState.Running) return;
      // A holder has at most one copy in transit. If an order has a single sender and the engine has received it, no
      // other copy can arrive.
      const [sender] = intent.senders;
      const noOtherCopies = intent.senders.length === 1 && sender?.term === intent.term
        && !this.deliveries.isPending(name);
      const completedIntent = noOtherCopies ? { ...intent, senders: [] } : intent;
      await this.complete(name, completedIntent, state === OrderState.Done ? 'done' : 'failed');
      return;
    }
    if (this.deliveries.isPending(name) || Object.values(status.orders).includes(OrderState.Running)) return;
    if (isInEffect(intent.action, status)) await this.complete(name, intent, 'done');
    else if (this.deliveries.sendCount(name, intent) >= MAX_SENDS) await this.complete(name, intent, 'failed');
    else if (mayInterrupt(intent.action, status) && await this.permits.mayRun(name, intent.action)) {
      const ownIntent = intent.term === ownLeadership.term
        ? intent
        : await this.takeOver(name, intent, ownLeadership);
      if (ownIntent !== null) await this.send(engine, ownIntent, ownLeadership);
    }
  }

  /**
   * Whether no earlier order can still take effect at the engine. This is also required for engines that enforce
   * fencing, because an engine may lose the highest term that it has seen when it restarts.
   */
  private canReceiveNewOrder(engine: string, last: Intent | null, status: EngineStatus): boolean {
    if (Object.values(status.orders).includes(OrderState.Running) || this.deliveries.isPending(engine)) return false;
    return this.remainingSenders(engine, last).length === 0;
  }

  /** Senders whose copies of an order may still arrive at an engine. */
  private remainingSenders(engine: string, intent: Intent | null): OrderSender[] {
    return (intent?.senders ?? []).filter((sender) => !this.abandonment.cleared(sender, engine));
  }

  /** Adds this process as a sender to an intent of an earlier holder; `null` if the intent was not written. */
  private async takeOver(engine: string, intent: Intent, ownLeadership: Leadership): Promise<Intent | null> {
    const { holder } = this.options.authority;
    const { term } = ownLeadership;
    const written = await this.intents.write(engine, {
      ...intent, term, holder, senders: [...intent.senders, { term, holder }],
    });
    return written === 'written' ? this.intents.get(engine) : null;
  }

  /** Sends a copy of an order; false if the engine has not confirmed it in time or has returned an error. */
  private async send(engine: Engine, intent: Intent, ownLeadership: Leadership): Promise<boolean> {
    const { authority, clock } = this.options;
    const { name } = engine;
    const {
      orderId, term, sequence, action,
    } = intent;
    const order: Order = {
      orderId, engine: name, term, sequence, action,
    };
    const delivery = this.deliveries.begin(name, intent);
    const mayStillSend = (): boolean => {
      const isAllowed = delivery.endedAt === null && authority.mayAct() && authority.term === term
        && this.intents.get(name) === intent;
      if (isAllowed) this.deliveries.markSent(name, delivery);
      return isAllowed;
    };
    const call = engine.order(order, { timeoutMs: this.orderTimeoutMs, mayStillSend, signal: ownLeadership.signal });
    void call.then((lateResult) => this.deliveries.handleAnswer(name, delivery, lateResult));
    const result = await withTimeout(clock, this.orderTimeoutMs, call);
    this.deliveries.markWaitEnded(delivery);
    if (result?.success !== false) return result !== null;
    await this.handleError(name, intent, result.error);
    return false;
  }

  private async handleError(engine: string, intent: Intent, err: EngineError): Promise<void> {
    const { authority, log, meter } = this.options;
    meter.count('order_errors', 1, { code: err.code });
    switch (err.code) {
      case EngineErrorCode.Fenced:
        log.error('order refused by fencing', { engine, term: intent.term });
        authority.abandon(intent.term);
        return;
      case EngineErrorCode.Refused:
      case EngineErrorCode.Leaving:
      case EngineErrorCode.NotServed:
      case EngineErrorCode.NotFound:
        if (this.intents.get(engine) === intent) await this.complete(engine, intent, 'failed');
        return;
      case EngineErrorCode.NotSent:
      case EngineErrorCode.Broken:
        return;
      default: assertNever(err.code);
    }
  }

  private async complete(engine: string, intent: Intent, state: 'done' | 'failed'): Promise<void> {
    const written = await this.intents.write(engine, {
      ...intent, state, senders: this.remainingSenders(engine, intent),
    });
    if (written !== 'written') return;
    this.options.meter.count('orders_settled', 1, { state });
    this.options.log.info('order settled', { engine, order: intent.orderId, state });
  }
}
