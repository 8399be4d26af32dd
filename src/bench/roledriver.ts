import { sumDemand } from '../core/routing/index.js';
import { Role } from '../core/interfaces/index.js';
import type { PlannedEngine, RolePlanner, RoleCounts } from '../core/roles/index.js';
import { DEFAULT_ROLE_PLANNER_OPTIONS } from '../core/roles/index.js';
import type { PolicyEntry } from './policy.js';
import type { Simulation } from './simulation.js';

const PLANNING_PERIOD_MS = 1_000;

/** Lists the role of each engine of a division, prefill engines first, then decode, then mixed. */
export function listRoles(counts: RoleCounts): Role[] {
  return [
    ...Array<Role>(counts.prefill).fill(Role.Prefill),
    ...Array<Role>(counts.decode).fill(Role.Decode),
    ...Array<Role>(counts.mixed).fill(Role.Mixed),
  ];
}

/** Describes a division of engines among the roles, for reports. */
export function describeDivision(counts: RoleCounts): string {
  return `prefill ${counts.prefill} decode ${counts.decode} mixed ${counts.mixed}`;
}

/** Carries out role changes in a simulation and provides the view of its engines that a planner needs. */
export class RoleDriver {
  private readonly changing = new Map<string, Role>();

  public constructor(
    private readonly simulation: Simulation,
    private readonly failureDomains: readonly string[],
  ) {}

  /** Lists the engines; one whose role is changing has its next role. */
  public listEngines(): PlannedEngine[] {
    return [...this.simulation.engines].map(([name, engine], index) => {
      const next = this.changing.get(name);
      if (next !== undefined && engine.role === next && !engine.isUnavailable) this.changing.delete(name);
      return {
        name,
        failureDomain: this.failureDomains[index % this.failureDomains.length]!,
        role: this.changing.get(name) ?? engine.role,
        away: this.changing.has(name),
        running: this.simulation.listAttemptsAt(name).length,
      };
    });
  }

  /** Starts a role change; the engine's decodes are moved away first. */
  public changeRole(name: string, role: Role): void {
    this.changing.set(name, role);
    this.simulation.changeRole(name, role, { moveDecodes: true });
  }

  /** Runs a planner every second on the demand that the entries publish, and carries out its role changes. */
  public followPlanner(planner: RolePlanner, entries: readonly PolicyEntry[], untilMs: number): void {
    this.simulation.every(PLANNING_PERIOD_MS, untilMs, () => {
      const changes = planner.plan({
        now: this.simulation.options.clock.monotonic(),
        engines: this.listEngines(),
        demand: sumDemand(entries.map((entry) => entry.router.demand())),
      });
      for (const { engine, role } of changes) this.changeRole(engine, role);
    });
  }

  /** Moves engines to the division that `target` returns for the current time, within a planner's limit per change. */
  public followSchedule(target: (now: number) => RoleCounts, untilMs: number): void {
    this.simulation.every(PLANNING_PERIOD_MS, untilMs, () => {
      const wanted = listRoles(target(this.simulation.options.clock.monotonic()));
      const engines = this.listEngines();
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
        this.changeRole(engine.name, wanted.shift()!);
        allowed -= 1;
      }
    });
  }
}
