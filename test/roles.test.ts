import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { NO_DEMAND } from '../src/core/routing/demand.js';
import type { Demand } from '../src/core/routing/demand.js';
import { Role } from '../src/core/interfaces/index.js';
import { DEFAULT_ROLE_PLANNER_OPTIONS, RolePlanner } from '../src/core/roles/roles.js';
import type { PlannedEngine } from '../src/core/roles/roles.js';
import { DEFAULT_ROLE_CAPACITY_MODEL } from '../src/core/roles/capacity.js';

const MOSTLY_LONG: Demand = {
  shortPerSecond: 1, shortShare: 0.33, longPerSecond: 38, longPrefillShare: 0.7, tokensPerMs: 7.8,
};

const MOSTLY_SHORT: Demand = {
  shortPerSecond: 9, shortShare: 3, longPerSecond: 8, longPrefillShare: 0.2, tokensPerMs: 1.6,
};

function createEngines(roles: readonly Role[]): PlannedEngine[] {
  return roles.map((role, index) => ({
    name: `e${index}`, failureDomain: `d${index % 3}`, role, away: false, running: 5,
  }));
}

/** Runs the planner once per second, with role changes that take 6 s; returns the number of changes. */
function runPlanner(engines: PlannedEngine[], seconds: number, demandAt: (second: number) => Demand): number {
  const planner = new RolePlanner({ model: DEFAULT_ROLE_CAPACITY_MODEL, ...DEFAULT_ROLE_PLANNER_OPTIONS });
  const availableAt = new Map<string, number>();
  let changes = 0;
  for (let second = 0; second < seconds; second += 1) {
    engines.forEach((engine, index) => {
      if ((availableAt.get(engine.name) ?? Infinity) <= second) Object.assign(engines[index]!, { away: false });
    });
    for (const { engine, role } of planner.plan({ now: second * 1_000, engines, demand: demandAt(second) })) {
      Object.assign(engines.find(({ name }) => name === engine)!, { role, away: true });
      availableAt.set(engine, second + 6);
      changes += 1;
      const present = engines.filter(({ away }) => !away);
      expect(present.some((one) => one.role !== Role.Decode)).toBe(true);
      expect(present.some((one) => one.role !== Role.Prefill)).toBe(true);
    }
    expect(engines.filter(({ away }) => away).length).toBeLessThanOrEqual(2);
  }
  return changes;
}

const ROLES = [...Array<Role>(7).fill(Role.Prefill), ...Array<Role>(3).fill(Role.Decode)];

describe('RolePlanner', () => {
  // Guards against a fleet that keeps the division for an earlier mix of requests.
  it('changes the division after a lasting change in the mix of requests', () => {
    const engines = createEngines(ROLES);
    runPlanner(engines, 120, () => MOSTLY_LONG);
    expect(engines.filter(({ role }) => role !== Role.Prefill).length).toBeGreaterThanOrEqual(7);
  });

  // Guards against engines being unavailable for a swing that ends before they are available again.
  it('makes no role change for a swing in demand that is shorter than the change takes', () => {
    expect(runPlanner(createEngines(ROLES), 120, (second) => (second % 40 < 5 ? MOSTLY_LONG : MOSTLY_SHORT))).toBe(
      runPlanner(createEngines(ROLES), 120, () => MOSTLY_SHORT),
    );
  });

  // Guards against flapping: with a constant mix of requests, no more changes are made after a while.
  it('stops changing roles when the mix stays constant and keeps engines for prefill and decode', () => {
    const demand = fc.record({
      shortPerSecond: fc.double({ min: 0, max: 12, noNaN: true }),
      longPerSecond: fc.double({ min: 0, max: 40, noNaN: true }),
    }).map(({ shortPerSecond, longPerSecond }) => ({
      shortPerSecond,
      shortShare: shortPerSecond * 0.33,
      longPerSecond,
      longPrefillShare: longPerSecond * 0.02,
      tokensPerMs: longPerSecond * 0.2,
    }));
    const roles = fc.array(fc.constantFrom(Role.Prefill, Role.Decode, Role.Mixed), { minLength: 7, maxLength: 9 });
    fc.assert(fc.property(demand, roles, (mix, others) => {
      const engines = createEngines([Role.Prefill, Role.Mixed, Role.Mixed, ...others]);
      runPlanner(engines, 300, () => mix);
      expect(runPlanner(engines, 120, () => mix)).toBe(0);
    }), { seed: 1, numRuns: 40 });
  });

  it('makes no role change without demand', () => {
    expect(runPlanner(createEngines(ROLES), 60, () => NO_DEMAND)).toBe(0);
  });
});
