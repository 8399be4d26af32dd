import type { Authority, Leadership } from '../../core/authority/index.js';
import type { Clock, Log, Meter } from '../../core/interfaces/index.js';
import { sleep } from '../../core/time.js';
import type { ForwardingService } from '../configuration.js';
import type { Occupancy } from '../occupancy.js';
import { DutyOutcome } from '../provider.js';
import type { CapacityOrder, Provider } from '../provider.js';
import type { ServerRegistry } from '../serverregistry.js';
import { DemandMeter, serversFor } from './demand.js';
import { planCapacity } from './plan.js';
import type { DomainServers, ScalingLimits } from './plan.js';

const PERIOD_MS = 500;

const CALL_TIMEOUT_MS = 900;

/** Time in ms after which an order that was refused is sent again. */
const RETRY_MS = 1_000;

/** Time in ms for which a failure domain counts as exhausted. */
const EXHAUSTED_MS = 2_500;

/** Time in ms for which fewer servers must suffice before they are ordered. */
const SHRINK_AFTER_MS = 3_000;

/** The same for servers of the cheaper kind: they cost little, and each change of their number shifts roles. */
const SHRINK_RECLAIMABLE_AFTER_MS = 10_000;

/** Largest share of the servers of one kind that one order takes away. */
const MAX_SHRINK_SHARE = 1 / 2;

/** Time in ms beyond the start of a server after which an order that shows no effect is sent again. */
const EFFECT_MARGIN_MS = 3_000;

/** Share of the servers that were there at first that is assumed to be needed before the load is known. */
const INITIAL_SHARE = 3 / 4;

/** What this process knows of one kind of servers in one failure domain. */
interface OrderState {
  /** Newest ordered number, or the number that was present when this process became holder. */
  ordered: number;
  /** Monotonic time in ms of the newest order. */
  at: number;
  /** Monotonic time in ms until which none are to be had; `-Infinity` where the provider has not said so. */
  exhaustedUntil: number;
  /** Monotonic time in ms since which fewer suffice, or `null`. */
  fewerSince: number | null;
}

/** What one order answers. */
interface OrderContext {
  /** Servers of that kind that take work in the failure domain. */
  readonly present: number;
  /** Servers that the load of the service needs. */
  readonly needed: number;
  readonly limits: ScalingLimits;
}

/** Dependencies of {@link CapacityScaler}. */
export interface CapacityScalerDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly meter: Meter;
  readonly authority: Authority;
  readonly provider: Provider;
  readonly registry: ServerRegistry;
  readonly occupancy: Occupancy;
  /** Services in force; none before the first configuration. */
  readonly services: () => readonly ForwardingService[];
}

function orderKey({ service, failureDomain, reclaimable }: Omit<CapacityOrder, 'count'>): string {
  return `${service}/${failureDomain}/${reclaimable ? 'reclaimable' : 'lasting'}`;
}

/** Orders the servers of the services that operators let scale, while this process holds the authority lease. */
export class CapacityScaler {
  private readonly demand = new Map<string, DemandMeter>();

  /** Number of servers that a service had when this process first saw it as holder. */
  private readonly firstPresent = new Map<string, number>();

  private orders = new Map<string, OrderState>();

  private term = 0;

  public constructor(private readonly deps: CapacityScalerDependencies, private readonly holder: string) {}

  /** Follows the demand, and orders servers while this process is the holder, until `signal` aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    const { clock, authority } = this.deps;
    while (!signal.aborted) {
      await sleep(clock, PERIOD_MS, signal);
      const services = this.deps.services().flatMap((service) => (
        service.scaling === null ? [] : [{ service, limits: service.scaling }]
      ));
      for (const { service } of services) this.sample(service);
      const leadership = authority.currentLeadership();
      // Orders of the previous holder may still arrive until its lease would have expired.
      if (leadership === null || clock.monotonic() - leadership.acquiredAt < authority.leaseMs) continue;
      for (const { service, limits } of services) await this.step(service.name, limits, leadership);
    }
  }

  /** Demand and newest orders under stable keys. */
  public dump(): Record<string, unknown> {
    return {
      needed: Object.fromEntries([...this.demand].map(([service, meter]) => [service, meter.needed(0)])),
      ordered: Object.fromEntries([...this.orders].map(([key, { ordered }]) => [key, ordered])),
    };
  }

  /** Sends the orders that bring one service to its plan. */
  public async step(service: string, limits: ScalingLimits, { term }: Leadership): Promise<void> {
    if (this.term !== term) {
      this.term = term;
      this.orders = new Map();
    }
    const domains = this.presentServers(service, limits);
    const present = domains.reduce((sum, { lasting, reclaimable }) => sum + lasting + reclaimable, 0);
    // Nothing is known of the service yet, or the list of servers is not complete.
    if (present === 0) return;
    const first = this.firstPresent.get(service) ?? present;
    this.firstPresent.set(service, first);
    const needed = this.meterOf(service).needed(Math.ceil(first * INITIAL_SHARE));
    for (const target of planCapacity(needed, domains, limits)) {
      const { failureDomain } = target;
      const found = domains.find((domain) => domain.failureDomain === failureDomain);
      const order = { service, failureDomain };
      const lasting = { ...order, reclaimable: false, count: target.lasting };
      const reclaimable = { ...order, reclaimable: true, count: target.reclaimable };
      await this.bring(reclaimable, { present: found?.reclaimable ?? 0, needed, limits });
      await this.bring(lasting, { present: found?.lasting ?? 0, needed, limits });
    }
  }

  private sample(service: ForwardingService): void {
    const { registry, occupancy } = this.deps;
    const servers = registry.available(service.name);
    if (servers.length === 0) return;
    const share = occupancy.heardShare();
    const loads = servers.map(({ id, slots }) => {
      const { prefills, continuations, wholes } = occupancy.total(id);
      return {
        prefills: prefills / share, continuations: continuations / share, wholes: wholes / share, slots,
      };
    });
    this.meterOf(service.name).add(serversFor(loads));
  }

  private meterOf(service: string): DemandMeter {
    const known = this.demand.get(service) ?? new DemandMeter(this.deps.clock);
    this.demand.set(service, known);
    return known;
  }

  private presentServers(service: string, limits: ScalingLimits): readonly DomainServers[] {
    const now = this.deps.clock.monotonic();
    const servers = this.deps.registry.available(service);
    return [...limits.domainPrices.keys()].map((failureDomain) => {
      const own = servers.filter((server) => server.failureDomain === failureDomain);
      const reclaimable = own.filter((server) => server.reclaimable).length;
      const lastingOrder = this.orders.get(orderKey({ service, failureDomain, reclaimable: false }));
      const exhausted = (lastingOrder?.exhaustedUntil ?? -Infinity) > now;
      return {
        failureDomain, reclaimable, lasting: own.length - reclaimable, exhausted,
      };
    });
  }

  /** Sends one order if the number that is to be there differs from the one that was ordered. */
  private async bring(order: CapacityOrder, { present, needed, limits }: OrderContext): Promise<void> {
    const now = this.deps.clock.monotonic();
    const key = orderKey(order);
    const state = this.orders.get(key) ?? {
      ordered: present, at: -Infinity, exhaustedUntil: -Infinity, fewerSince: null,
    };
    this.orders.set(key, state);
    if (now < state.exhaustedUntil || now - state.at < RETRY_MS) return;
    if (order.count < state.ordered) {
      state.fewerSince ??= now;
      const shrinkAfterMs = order.reclaimable ? SHRINK_RECLAIMABLE_AFTER_MS : SHRINK_AFTER_MS;
      if (now - state.fewerSince < shrinkAfterMs) return;
      const least = Math.floor(state.ordered * (1 - MAX_SHRINK_SHARE));
      await this.send({ ...order, count: Math.max(order.count, least) }, state, needed);
      return;
    }
    state.fewerSince = null;
    const hasNoEffect = present < state.ordered && now - state.at > limits.bootMs + EFFECT_MARGIN_MS;
    if (order.count > state.ordered || (hasNoEffect && state.at > -Infinity)) await this.send(order, state, needed);
  }

  private async send(order: CapacityOrder, state: OrderState, needed: number): Promise<void> {
    const {
      clock, provider, authority, log, meter,
    } = this.deps;
    state.at = clock.monotonic();
    const outcome = await provider.orderServers({ holder: this.holder, token: this.term }, order, {
      timeoutMs: CALL_TIMEOUT_MS, mayStillSend: () => authority.mayAct() && authority.term === this.term,
    });
    meter.count('capacity_orders', 1, { outcome });
    log.info('servers_ordered', {
      ...order, needed, outcome, term: this.term,
    });
    if (outcome === DutyOutcome.Accepted || outcome === DutyOutcome.Unknown) state.ordered = order.count;
    if (outcome === DutyOutcome.Exhausted) state.exhaustedUntil = clock.monotonic() + EXHAUSTED_MS;
    state.fewerSince = null;
  }
}
