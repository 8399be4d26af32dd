import { sumDemand } from '../core/routing/index.js';
import { Role } from '../core/interfaces/index.js';
import type { PlannedEngine, RolePlanner, RoleCounts } from '../core/roles/index.js';
import { DEFAULT_ROLE_PLANNER_OPTIONS } from '../core/roles/index.js';
import type { PolicyEntry } from './policy.js';
import type { Simulation } from './simulation.js';

const TICK_MS = 1_000;

/** Engine roles of a division, prefill engines first. */
export function rolesOf(counts: RoleCounts): Role[] {
  return [
    ...Array<Role>(counts.prefill).fill(Role.Prefill),
    ...Array<Role>(counts.decode).fill(Role.Decode),
    ...Array<Role>(counts.mixed).fill(Role.Mixed),
  ];
}

/** Short name of a division, for reports. */
export function nameOf(counts: RoleCounts): string {
  return `prefill ${counts.prefill} decode ${counts.decode} mixed ${counts.mixed}`;
}

/** Carries out role changes in a simulation and shows engines as a planner sees them. */
export class RoleDriver {
  private readonly changing = new Map<string, Role>();

  public constructor(
    private readonly simulation: Simulation,
    private readonly failureDomains: readonly string[],
  ) {}

  /** Engines; one that is changing counts under its next role. */
  public engines(): PlannedEngine[] {
    return [...this.simulation.engines].map(([name, engine], index) => {
      const next = this.changing.get(name);
      if (next !== undefined && engine.role === next && !engine.away) this.changing.delete(name);
      return {
        name,
        failureDomain: this.failureDomains[index % this.failureDomains.length]!,
        role: this.changing.get(name) ?? engine.role,
        away: this.changing.has(name),
        running: this.simulation.attemptsAt(name).length,
      };
    });
  }

  public change(name: string, role: Role): void {
    this.changing.set(name, role);
    this.simulation.changeRole(name, role, { moveDecodes: true });
  }

  /** Lets a planner decide every second from the demand that the entries publish. */
  public follow(planner: RolePlanner, entries: readonly PolicyEntry[], untilMs: number): void {
    this.simulation.every(TICK_MS, untilMs, () => {
      const changes = planner.plan({
        now: this.simulation.options.clock.monotonic(),
        engines: this.engines(),
        demand: sumDemand(entries.map((entry) => entry.router.demand())),
      });
      for (const { engine, role } of changes) this.change(engine, role);
    });
  }

  /** Moves to the division that `target` names for each moment, as many engines at a time as a planner may. */
  public schedule(target: (now: number) => RoleCounts, untilMs: number): void {
    this.simulation.every(TICK_MS, untilMs, () => {
      const wanted = rolesOf(target(this.simulation.options.clock.monotonic()));
      const engines = this.engines();
      const limit = Math.max(1, Math.floor(engines.length / DEFAULT_ROLE_PLANNER_OPTIONS.enginesPerChange));
      let allowed = limit - engines.filter((engine) => engine.away).length;
      for (const engine of engines) {
        const index = wanted.indexOf(engine.role);
        if (index >= 0) wanted.splice(index, 1);
        else Object.assign(engine, { surplus: true });
      }
      const surplus = engines.filter((engine) => 'surplus' in engine && !engine.away)
        .sort((a, b) => a.running - b.running);
      for (const engine of surplus) {
        if (allowed <= 0 || wanted.length === 0) break;
        this.change(engine.name, wanted.shift()!);
        allowed -= 1;
      }
    });
  }
}
