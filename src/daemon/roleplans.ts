import type { Demand } from '../core/routing/index.js';
import type {
  Clock, EngineStatus, LoadReport, Log, Role,
} from '../core/interfaces/index.js';
import { DesiredRole, ServerState } from '../core/configuration/index.js';
import type { EngineSpec, Fleet } from '../core/configuration/index.js';
import type { RoleSource } from '../core/orders/index.js';
import { DEFAULT_ROLE_PLANNER_OPTIONS, RolePlanner, DEFAULT_ROLE_CAPACITY_MODEL } from '../core/roles/index.js';
import type { PlannedEngine } from '../core/roles/index.js';

/** Options of {@link RolePlans}. */
export interface RolePlansOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Total demand for a set of models at all entries. */
  readonly demand: (models: readonly string[]) => Demand;
  readonly lastLoad: (engine: string) => LoadReport | null;
}

const PLAN_PERIOD_MS = 1_000;

/** Plans the roles of engines with the role `auto` in the fleet file; there is one planner per set of models. */
export class RolePlans implements RoleSource {
  private readonly planners = new Map<string, RolePlanner>();

  private readonly plannedRoles = new Map<string, Role>();

  private plannedAt = -Infinity;

  public constructor(private readonly options: RolePlansOptions) {}

  /** Planned roles by engine; the plan is updated at most once per second. */
  public plan(fleet: Fleet, statuses: ReadonlyMap<string, EngineStatus>): ReadonlyMap<string, Role> {
    const now = this.options.clock.monotonic();
    if (now - this.plannedAt < PLAN_PERIOD_MS) return this.plannedRoles;
    // Planning pauses while another process holds the authority lease; then it restarts from the engines' actual roles.
    if (now - this.plannedAt > 5 * PLAN_PERIOD_MS) this.plannedRoles.clear();
    this.plannedAt = now;
    const groups = new Map<string, EngineSpec[]>();
    for (const spec of fleet.engines) {
      if (spec.role !== DesiredRole.Auto || spec.state !== ServerState.Active) continue;
      const models = [...spec.models].sort().join(' ');
      groups.set(models, [...groups.get(models) ?? [], spec]);
    }
    for (const [models, specs] of groups) this.planGroup(models, specs, statuses, now);
    return this.plannedRoles;
  }

  private planGroup(
    models: string,
    specs: readonly EngineSpec[],
    statuses: ReadonlyMap<string, EngineStatus>,
    now: number,
  ): void {
    const planner = this.planners.get(models)
      ?? new RolePlanner({ model: DEFAULT_ROLE_CAPACITY_MODEL, ...DEFAULT_ROLE_PLANNER_OPTIONS });
    this.planners.set(models, planner);
    const engines = specs.flatMap((spec) => this.toPlannedEngine(spec, statuses.get(spec.name)));
    if (engines.length < specs.length) return;
    const demand = this.options.demand(models.split(' '));
    for (const { engine, role } of planner.plan({ now, engines, demand })) {
      this.plannedRoles.set(engine, role);
      this.options.log.info('role_planned', { engine, role });
    }
  }

  private toPlannedEngine(spec: EngineSpec, status: EngineStatus | undefined): PlannedEngine[] {
    if (status === undefined) return [];
    const role = this.plannedRoles.get(spec.name) ?? status.role;
    return [{
      name: spec.name,
      failureDomain: spec.failureDomain,
      role,
      away: status.leaving || role !== status.role,
      running: this.options.lastLoad(spec.name)?.running ?? 0,
    }];
  }
}
