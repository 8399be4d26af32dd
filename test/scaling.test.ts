import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { SimulatedClock } from '../src/emulator/clock.js';
import { SCALING_LIMITS as LIMITS, ScaledFleet } from '../src/emulator/scaledfleet.js';
import { DemandMeter, serversFor } from '../src/gateway/scaling/demand.js';
import { planCapacity } from '../src/gateway/scaling/plan.js';
import type { DomainServers, DomainTarget } from '../src/gateway/scaling/plan.js';

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
  const idle = {
    prefills: 0, continuations: 0, wholes: 0, slots: 6,
  };

  it('follows the share of the servers that is busy', () => {
    expect(serversFor([{ ...idle, prefills: 1 }, { ...idle, wholes: 3 }, idle])).toBeCloseTo(1.5 / 0.6);
  });

  // Guards against orders in a storm: calls pile up at servers that do not answer.
  it('counts a server that holds many calls as one', () => {
    expect(serversFor([{ ...idle, prefills: 4 }, { ...idle, continuations: 18 }])).toBeCloseTo(2 / 0.6);
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

describe('ordered servers', () => {
  it('become of the cheaper kind, and never fewer than needed on the way', async () => {
    const fleet = new ScaledFleet(5);
    let fewest = Infinity;
    for (let at = 0; at < 40_000; at += 500) {
      await fleet.clock.advance(500);
      fewest = Math.min(fewest, fleet.present().length);
    }
    expect(fewest).toBeGreaterThanOrEqual(Math.ceil(15 / 2));
    expect(fleet.count(true)).toBeGreaterThan(fleet.count(false));
    // Ten busy engines need 17, of which an eighth lasts.
    expect(fleet.count(false)).toBeLessThanOrEqual(Math.ceil(17 / 8));
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
