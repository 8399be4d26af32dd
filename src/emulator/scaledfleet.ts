import type { Authority } from '../core/authority/index.js';
import { StoreContact } from '../gateway/contact.js';
import type { Occupancy } from '../gateway/occupancy.js';
import { DutyOutcome } from '../gateway/provider.js';
import type { CapacityOrder, Provider } from '../gateway/provider.js';
import { RecordOrigin } from '../gateway/records.js';
import { CapacityScaler } from '../gateway/scaling/index.js';
import type { ScalingLimits } from '../gateway/scaling/index.js';
import { ServerRegistry } from '../gateway/serverregistry.js';
import { SimulatedClock } from './clock.js';
import { silentLogAndMeter } from './entry.js';
import { engineRecord } from './quarantinegroup.js';

/** Limits and prices of the emulated service. */
export const SCALING_LIMITS: ScalingLimits = {
  min: 1,
  max: 21,
  bootMs: 4_000,
  reclaimablePrice: 0.15,
  domainPrices: new Map([['a', 1], ['b', 0.8], ['c', 1.25]]),
};

const LEASE_MS = 3_000;

/** Provider whose servers register after their start, and a scaler that orders from it. */
export class ScaledFleet {
  public readonly clock = new SimulatedClock();

  public readonly orders: CapacityOrder[] = [];

  /** Failure domains in which no servers are to be had. */
  public readonly exhausted = new Set<string>();

  /** Open prefills of all gateways. */
  public load = 10;

  public mayAct = true;

  private readonly registry = new ServerRegistry({
    clock: this.clock, log: silentLogAndMeter, contact: new StoreContact(this.clock),
  });

  private readonly desired = new Map<string, number>();

  private started = 0;

  private readonly scaler: CapacityScaler;

  public constructor(lastingPerDomain: number) {
    for (const failureDomain of SCALING_LIMITS.domainPrices.keys()) {
      for (let count = 0; count < lastingPerDomain; count += 1) this.start(failureDomain, false);
    }
    const provider: Provider = {
      reportUsage: async () => DutyOutcome.Refused,
      orderServers: async (_fence, order, { mayStillSend }) => (
        mayStillSend() ? this.order(order) : DutyOutcome.Refused
      ),
    };
    const leadership = { term: 1, acquiredAt: 0, signal: new AbortController().signal };
    const authority = {
      term: 1, leaseMs: LEASE_MS, mayAct: () => this.mayAct, currentLeadership: () => (this.mayAct ? leadership : null),
    };
    const occupancy = {
      total: () => ({ prefills: this.load / this.present().length, continuations: 0, wholes: 0 }),
      waitingAtPeers: () => 0,
      heardShare: () => 1,
    };
    this.scaler = new CapacityScaler({
      clock: this.clock,
      log: silentLogAndMeter,
      meter: silentLogAndMeter,
      authority: authority as unknown as Authority,
      provider,
      registry: this.registry,
      occupancy: occupancy as unknown as Occupancy,
      services: () => [{
        name: 'engine', maxConnections: 10, engine: null, scaling: SCALING_LIMITS,
      }],
    }, 'g1');
    void this.scaler.run(new AbortController().signal);
  }

  public present(failureDomain?: string): readonly { readonly id: string; readonly reclaimable: boolean }[] {
    return this.registry.available('engine').filter((server) => (
      failureDomain === undefined || server.failureDomain === failureDomain
    ));
  }

  public count(reclaimable: boolean): number {
    return this.present().filter((server) => server.reclaimable === reclaimable).length;
  }

  /** Takes back all servers of the cheaper kind in a failure domain. */
  public reclaim(failureDomain: string): void {
    this.desired.set(`${failureDomain}/true`, 0);
    this.exhausted.add(failureDomain);
    for (const server of this.present(failureDomain)) {
      if (server.reclaimable) this.registry.remove(server.id, { origin: RecordOrigin.Change, revision: 1 });
    }
  }

  private order(order: CapacityOrder): DutyOutcome {
    if (this.exhausted.has(order.failureDomain)) return DutyOutcome.Exhausted;
    this.orders.push(order);
    const key = `${order.failureDomain}/${order.reclaimable}`;
    const own = this.present(order.failureDomain).filter(({ reclaimable }) => reclaimable === order.reclaimable);
    const before = this.desired.get(key) ?? own.length;
    this.desired.set(key, order.count);
    for (let count = before; count < order.count; count += 1) {
      this.clock.after(SCALING_LIMITS.bootMs, () => this.start(order.failureDomain, order.reclaimable));
    }
    for (const { id } of own.slice(order.count)) {
      this.registry.remove(id, { origin: RecordOrigin.Change, revision: 1 });
    }
    return DutyOutcome.Accepted;
  }

  private start(failureDomain: string, reclaimable: boolean): void {
    this.started += 1;
    const record = {
      ...engineRecord(`i-${this.started}`), bornAt: this.started, failureDomain, reclaimable,
    };
    this.registry.put(record, { origin: RecordOrigin.Change, revision: 1 });
  }
}
