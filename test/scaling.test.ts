import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { Authority } from '../src/core/authority/index.js';
import { SimulatedClock } from '../src/emulator/clock.js';
import { silentLogAndMeter } from '../src/emulator/entry.js';
import { StoreContact } from '../src/gateway/contact.js';
import type { Occupancy } from '../src/gateway/occupancy.js';
import { DutyOutcome } from '../src/gateway/provider.js';
import type { CapacityOrder, Provider } from '../src/gateway/provider.js';
import { RecordOrigin } from '../src/gateway/records.js';
import { DemandMeter, serversFor } from '../src/gateway/scaling/demand.js';
import { planCapacity } from '../src/gateway/scaling/plan.js';
import type { DomainServers, DomainTarget, ScalingLimits } from '../src/gateway/scaling/plan.js';
import { CapacityScaler } from '../src/gateway/scaling/scaler.js';
import { ServerRegistry } from '../src/gateway/serverregistry.js';
import { createServerRecord } from './support/serverrecord.js';

const LIMITS: ScalingLimits = {
  min: 1,
  max: 21,
  bootMs: 4_000,
  reclaimablePrice: 0.15,
  domainPrices: new Map([['a', 1], ['b', 0.8], ['c', 1.25]]),
};

const LEASE_MS = 3_000;

function domain(failureDomain: string, lasting: number, reclaimable = 0, exhausted = false): DomainServers {
  return {
    failureDomain, lasting, reclaimable, exhausted,
  };
}

function sum(targets: readonly DomainTarget[], kind: 'lasting' | 'reclaimable'): number {
  return targets.reduce((total, target) => total + target[kind], 0);
}

describe('planned servers', () => {
  it('are as many as needed after the loss of any failure domain, for any need and any prices', () => {
    const prices = fc.array(fc.float({ min: Math.fround(0.1), max: 3, noNaN: true }), { minLength: 2, maxLength: 6 });
    fc.assert(fc.property(prices, fc.integer({ min: 1, max: 20 }), fc.boolean(), (perDomain, needed, cheap) => {
      const domainPrices = new Map(perDomain.map((price, index) => [`d${index}`, price]));
      const limits = { ...LIMITS, domainPrices, reclaimablePrice: cheap ? 0.2 : null };
      const targets = planCapacity(needed, [...domainPrices.keys()].map((name) => domain(name, 0)), limits);
      for (const lost of targets) {
        const left = targets.filter((target) => target !== lost);
        expect(sum(left, 'lasting') + sum(left, 'reclaimable')).toBeGreaterThanOrEqual(needed);
      }
    }), { seed: 20_261_206 });
  });

  it('are of the cheaper kind, on a base that lasts, once those are there', () => {
    const targets = planCapacity(10, [domain('a', 5, 5), domain('b', 5, 5), domain('c', 5, 5)], LIMITS);
    expect(targets).toEqual([
      { failureDomain: 'a', lasting: 1, reclaimable: 5 },
      { failureDomain: 'b', lasting: 1, reclaimable: 5 },
      { failureDomain: 'c', lasting: 0, reclaimable: 5 },
    ]);
  });

  // Guards against giving up the servers that serve before the cheaper ones do.
  it('keep what lasts until the cheaper kind takes work', () => {
    expect(sum(planCapacity(10, [domain('a', 5), domain('b', 5), domain('c', 5)], LIMITS), 'lasting')).toBe(10);
  });

  it('that last replace those that were taken back, where some are to be had', () => {
    const targets = planCapacity(10, [domain('a', 1, 0, true), domain('b', 1, 0), domain('c', 1, 0)], LIMITS);
    expect(targets.find(({ failureDomain }) => failureDomain === 'a')?.lasting).toBe(0);
    expect(sum(targets, 'lasting')).toBe(10);
  });

  it('stay within the limits of a failure domain, whatever is needed and present', () => {
    const count = fc.integer({ min: 0, max: 21 });
    fc.assert(fc.property(fc.integer({ min: 0, max: 200 }), count, count, (needed, lasting, reclaimable) => {
      for (const target of planCapacity(needed, ['a', 'b', 'c'].map((name) => domain(name, lasting, reclaimable)), LIMITS)) {
        expect(target.lasting + target.reclaimable).toBeGreaterThanOrEqual(LIMITS.min);
        expect(target.lasting).toBeLessThanOrEqual(LIMITS.max);
        expect(target.reclaimable).toBeLessThanOrEqual(LIMITS.max);
      }
    }), { seed: 20_261_206 });
  });
});

describe('the demand for servers', () => {
  const load = {
    prefills: 0, continuations: 0, wholes: 0, waiting: 0, slots: 6,
  };

  it('follows the open and waiting calls', () => {
    expect(serversFor({ ...load, prefills: 8, wholes: 6 })).toBe(6);
    expect(serversFor({ ...load, waiting: 16 })).toBe(2);
  });

  it('is the largest of the last half minute, and at least the floor until then', () => {
    const clock = new SimulatedClock();
    const meter = new DemandMeter(clock);
    const sample = (servers: number, forMs: number): void => {
      for (let at = 0; at < forMs; at += 500) {
        meter.add(servers);
        clock.advanceSync(500);
      }
    };
    sample(2, 10_000);
    expect(meter.needed(9)).toBe(9);
    sample(12, 5_000);
    expect(meter.needed(9)).toBe(12);
    sample(2, 26_000);
    expect(meter.needed(9)).toBe(12);
    sample(2, 10_000);
    expect(meter.needed(9)).toBe(2);
  });
});

/** Provider whose servers register after their start, and a scaler that orders from it. */
class ScaledFleet {
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
    for (const failureDomain of LIMITS.domainPrices.keys()) {
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
        name: 'engine', maxConnections: 10, engine: null, scaling: LIMITS,
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
      this.clock.after(LIMITS.bootMs, () => this.start(order.failureDomain, order.reclaimable));
    }
    for (const { id } of own.slice(order.count)) {
      this.registry.remove(id, { origin: RecordOrigin.Change, revision: 1 });
    }
    return DutyOutcome.Accepted;
  }

  private start(failureDomain: string, reclaimable: boolean): void {
    this.started += 1;
    const record = createServerRecord(`i-${this.started}`, { service: 'engine', failureDomain, reclaimable });
    this.registry.put(record, { origin: RecordOrigin.Change, revision: 1 });
  }
}

describe('ordered servers', () => {
  it('become of the cheaper kind, and never fewer than needed on the way', async () => {
    const fleet = new ScaledFleet(5);
    let fewest = Infinity;
    for (let at = 0; at < 40_000; at += 500) {
      await fleet.clock.advance(500);
      fewest = Math.min(fewest, fleet.present().length);
    }
    expect(fewest).toBeGreaterThanOrEqual(12);
    expect(fleet.count(true)).toBeGreaterThan(fleet.count(false));
    expect(fleet.count(false)).toBeLessThanOrEqual(3);
  });

  it('come back within one start time when the demand doubles', async () => {
    const fleet = new ScaledFleet(5);
    await fleet.clock.advance(60_000);
    fleet.load = 60;
    await fleet.clock.advance(LIMITS.bootMs + 3_000);
    expect(fleet.present().length).toBeGreaterThanOrEqual(30);
  });

  // Guards against a service that is left with too few servers when the cheaper kind is taken back.
  it.each([[['a']], [['a', 'b']], [['a', 'b', 'c']]])('are replaced when those in %j are taken back', async (lost) => {
    const fleet = new ScaledFleet(5);
    await fleet.clock.advance(60_000);
    for (const failureDomain of lost) fleet.reclaim(failureDomain);
    expect(fleet.present().length).toBeGreaterThanOrEqual(2);
    await fleet.clock.advance(5_000);
    fleet.exhausted.clear();
    await fleet.clock.advance(2 * LIMITS.bootMs + 4_000);
    expect(fleet.present().length).toBeGreaterThanOrEqual(5);
  });

  it('are not ordered by a process that is not the holder, and change rarely under a steady load', async () => {
    const fleet = new ScaledFleet(5);
    fleet.mayAct = false;
    await fleet.clock.advance(20_000);
    expect(fleet.orders).toEqual([]);
    fleet.mayAct = true;
    await fleet.clock.advance(60_000);
    const before = fleet.orders.length;
    await fleet.clock.advance(120_000);
    expect(fleet.orders.length).toBe(before);
  });

  it('are asked for at a bounded rate while there are none', async () => {
    const fleet = new ScaledFleet(5);
    let asked = 0;
    const { exhausted } = fleet;
    exhausted.has = (failureDomain: string): boolean => {
      asked += 1;
      return failureDomain !== '';
    };
    await fleet.clock.advance(30_000);
    expect(asked).toBeLessThanOrEqual(6 * Math.ceil(30_000 / 2_500));
  });
});
