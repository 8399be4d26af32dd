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
  /** Demand for some models at all entries together. */
  readonly demand: (models: readonly string[]) => Demand;
  readonly lastLoad: (engine: string) => LoadReport | null;
}

const TICK_MS = 1_000;

/** Wanted roles of the engines whose fleet file says `auto`, one planner for each set of models. */
export class RolePlans implements RoleSource {
  private readonly planners = new Map<string, RolePlanner>();

  private readonly wanted = new Map<string, Role>();

  private plannedAt = -Infinity;

  public constructor(private readonly options: RolePlansOptions) {}

  public plan(fleet: Fleet, statuses: ReadonlyMap<string, EngineStatus>): ReadonlyMap<string, Role> {
    const now = this.options.clock.monotonic();
    if (now - this.plannedAt < TICK_MS) return this.wanted;
    // A process that has just become the holder starts from the roles that engines have.
    if (now - this.plannedAt > 5 * TICK_MS) this.wanted.clear();
    this.plannedAt = now;
    const groups = new Map<string, EngineSpec[]>();
    for (const spec of fleet.engines) {
      if (spec.role !== DesiredRole.Auto || spec.state !== ServerState.Active) continue;
      const models = [...spec.models].sort().join(' ');
      groups.set(models, [...groups.get(models) ?? [], spec]);
    }
    for (const [models, specs] of groups) this.planGroup(models, specs, statuses, now);
    return this.wanted;
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
    const engines = specs.flatMap((spec) => this.describe(spec, statuses.get(spec.name)));
    if (engines.length < specs.length) return;
    const demand = this.options.demand(models.split(' '));
    for (const { engine, role } of planner.plan({ now, engines, demand })) {
      this.wanted.set(engine, role);
      this.options.log.info('role_planned', { engine, role });
    }
  }

  private describe(spec: EngineSpec, status: EngineStatus | undefined): PlannedEngine[] {
    if (status === undefined) return [];
    const role = this.wanted.get(spec.name) ?? status.role;
    return [{
      name: spec.name,
      failureDomain: spec.failureDomain,
      role,
      away: status.leaving || role !== status.role,
      running: this.options.lastLoad(spec.name)?.running ?? 0,
    }];
  }
}
