import { Abandonment } from './abandonment.js';
import { inEffect } from './actions.js';
import type { Authority, Tenure } from '../authority/index.js';
import { Deliveries } from './deliveries.js';
import { EngineErrorCode, OrderState } from '../edges/index.js';
import type {
  Clock, Engine, EngineError, EngineStatus, KeyValue, Log, Meter, Order, OrderAction, PeerClient, PeerServer, Random,
  WeightStore,
} from '../edges/index.js';
import { Intents } from './intents.js';
import type { Intent, Sender } from './intents.js';
import { Permits } from './permits.js';
import { assertNever } from '../result.js';
import { within } from '../time.js';

const STATUS_TIMEOUT_MS = 1_000;

/** Times that an order is sent again after an engine has lost it, before it is given up and planned anew. */
const MAX_SENDS = 3;

/** What an engine can be ordered now; a different order may be issued if it is `ready`. */
export type OrderProgress =
  | { readonly type: 'ready'; readonly status: EngineStatus }
  /** An order is open. */
  | { readonly type: 'open'; readonly status: EngineStatus | null; readonly action: OrderAction }
  /** No order is open, but an earlier sender may still deliver one. */
  | { readonly type: 'waiting'; readonly status: EngineStatus }
  | { readonly type: 'unreachable' };

/** Outcome of {@link Orders.issue}. */
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
  readonly orderTimeoutMs?: number;
  /** Longest pause of a process between its guard and its write that is allowed for. */
  readonly pauseAllowanceMs?: number;
}

/** Sends orders to engines under authority: an intent first, one order per engine, and never two that conflict. */
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
      unanswered: (term) => this.deliveries.unanswered(term),
    });
  }

  /** Reads all intents at the begin of a tenure; false when the service did not answer. */
  public async load(): Promise<boolean> {
    if (!await this.intents.load()) return false;
    this.abandonment.observe(this.intents.all().flatMap(([, { senders }]) => senders));
    return true;
  }

  /** Last intent of an engine, open or settled. */
  public last(engine: string): Intent | null {
    return this.intents.get(engine);
  }

  /** Holds a permit of the weight store for a load that is about to be issued; true at once for other actions. */
  public reserve(engine: string, action: OrderAction): Promise<boolean> {
    return this.permits.reserve(engine, action);
  }

  public unreserve(engine: string): void {
    this.permits.release(engine);
  }

  /** Engines with an open order. */
  public open(): string[] {
    return this.intents.all().filter(([, { state }]) => state === 'open').map(([engine]) => engine);
  }

  /**
   * Reads an engine's status and takes its open order one step further: takes it over, sends or settles it.
   * `mayDisturb` tells whether an order that takes the engine away may be sent now.
   */
  public async advance(
    engine: Engine,
    mayDisturb: (action: OrderAction, status: EngineStatus) => boolean = () => true,
  ): Promise<OrderProgress> {
    const { name } = engine;
    const answer = await engine.status({ timeoutMs: STATUS_TIMEOUT_MS });
    const tenure = this.options.authority.tenure();
    this.permits.reached(name, answer.success);
    if (!answer.success || tenure === null || !await this.intents.settleWrite(name)) return { type: 'unreachable' };
    const status = answer.data;
    const intent = this.intents.get(name);
    if (intent?.state !== 'open') {
      return { type: this.isClear(name, intent, status) ? 'ready' : 'waiting', status };
    }
    await this.continue(engine, intent, status, tenure, mayDisturb);
    return { type: 'open', status, action: intent.action };
  }

  /** Records and sends a new order to an engine that is `ready` by `status`. */
  public async issue(engine: Engine, action: OrderAction, status: EngineStatus): Promise<IssueOutcome> {
    const { authority, random, meter } = this.options;
    const { name } = engine;
    if (!await this.permits.reserve(name, action)) return 'no_permit';
    try {
      const tenure = authority.tenure();
      const last = this.intents.get(name);
      if (tenure === null || last?.state === 'open' || !this.isClear(name, last, status)) return 'refused';
      const written = await this.intents.write(name, {
        sequence: (last?.sequence ?? 0) + 1,
        orderId: random.id(),
        term: tenure.term,
        holder: authority.holder,
        action,
        state: 'open',
        senders: [...this.remaining(name, last), { term: tenure.term, holder: authority.holder }],
      });
      const intent = this.intents.get(name);
      if (written !== 'written' || intent === null) return 'not_written';
      meter.count('orders_issued', 1, { action: action.type });
      return await this.send(engine, intent, tenure) ? 'sent' : 'written';
    } finally {
      this.permits.release(name);
    }
  }

  /** State under stable keys, with ages in ms. */
  public dump(): Record<string, unknown> {
    return {
      ...this.intents.dump(),
      unanswered: this.deliveries.unanswered(Infinity),
      earlier_senders: this.abandonment.dump(),
      open_loads: this.permits.openLoads(),
    };
  }

  public dispose(): void {
    this.abandonment.dispose();
  }

  private async continue(
    engine: Engine,
    intent: Intent,
    status: EngineStatus,
    tenure: Tenure,
    mayDisturb: (action: OrderAction, status: EngineStatus) => boolean,
  ): Promise<void> {
    const { name } = engine;
    const state = status.orders[intent.orderId];
    if (state !== undefined) {
      this.deliveries.arrived(name, intent);
      if (state === OrderState.Running) return;
      // A holder has at most one copy on its way, so the only sender of an order that the engine knows has no other.
      const [sender] = intent.senders;
      const arrived = intent.senders.length === 1 && sender?.term === intent.term && !this.deliveries.isPending(name);
      const settled = arrived ? { ...intent, senders: [] } : intent;
      await this.settle(name, settled, state === OrderState.Done ? 'done' : 'failed');
      return;
    }
    if (this.deliveries.isPending(name) || Object.values(status.orders).includes(OrderState.Running)) return;
    if (inEffect(intent.action, status)) await this.settle(name, intent, 'done');
    else if (this.deliveries.count(name, intent) >= MAX_SENDS) await this.settle(name, intent, 'failed');
    else if (mayDisturb(intent.action, status) && await this.permits.mayRun(name, intent.action)) {
      const own = intent.term === tenure.term ? intent : await this.takeOver(name, intent, tenure);
      if (own !== null) await this.send(engine, own, tenure);
    }
  }

  /**
   * Whether nothing that was ordered earlier can still take effect at the engine. The same rule holds for engines that
   * enforce fencing, because an engine may forget the highest term when it restarts.
   */
  private isClear(engine: string, last: Intent | null, status: EngineStatus): boolean {
    if (Object.values(status.orders).includes(OrderState.Running) || this.deliveries.isPending(engine)) return false;
    return this.remaining(engine, last).length === 0;
  }

  /** Senders of earlier orders that are not known to have abandoned them. */
  private remaining(engine: string, intent: Intent | null): Sender[] {
    return (intent?.senders ?? []).filter((sender) => !this.abandonment.cleared(sender, engine));
  }

  private async takeOver(engine: string, intent: Intent, tenure: Tenure): Promise<Intent | null> {
    const { holder } = this.options.authority;
    const { term } = tenure;
    const written = await this.intents.write(engine, {
      ...intent, term, holder, senders: [...intent.senders, { term, holder }],
    });
    return written === 'written' ? this.intents.get(engine) : null;
  }

  private async send(engine: Engine, intent: Intent, tenure: Tenure): Promise<boolean> {
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
      const passed = delivery.endedAt === null && authority.mayAct() && authority.term === term
        && this.intents.get(name) === intent;
      if (passed) this.deliveries.passed(name, delivery);
      return passed;
    };
    const call = engine.order(order, { timeoutMs: this.orderTimeoutMs, mayStillSend, signal: tenure.signal });
    void call.then((late) => this.deliveries.answered(name, delivery, late));
    const result = await within(clock, this.orderTimeoutMs, call);
    this.deliveries.ended(delivery);
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
        if (this.intents.get(engine) === intent) await this.settle(engine, intent, 'failed');
        return;
      case EngineErrorCode.NotSent:
      case EngineErrorCode.Broken:
        return;
      default: assertNever(err.code);
    }
  }

  private async settle(engine: string, intent: Intent, state: 'done' | 'failed'): Promise<void> {
    const written = await this.intents.write(engine, { ...intent, state, senders: this.remaining(engine, intent) });
    if (written !== 'written') return;
    this.options.meter.count('orders_settled', 1, { state });
    this.options.log.info('order settled', { engine, order: intent.orderId, state });
  }
}
