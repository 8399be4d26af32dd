import { interruptsWork } from './actions.js';
import type { Authority, Leadership } from '../authority/index.js';
import type {
  Clock, Engine, EngineStatus, Log, Meter, OrderAction, Random, Role,
} from '../interfaces/index.js';
import { DesiredRole, ServerState } from '../configuration/index.js';
import type { EngineSpec, Fleet } from '../configuration/index.js';
import type { Orders } from './orders.js';
import { sleep } from '../time.js';

/** Interval between two passes over the fleet. */
const PASS_MS = 500;

/** Mean interval after which an engine that needs no change is checked again. */
const RECHECK_MS = 5_000;

/** Mean interval after which an engine that cannot be reached is checked again. */
const UNREACHABLE_RETRY_MS = 1_000;

/** Largest backoff after failed orders, before jitter. */
const MAX_BACKOFF_MS = 60_000;

/** Largest number of engines that are processed at the same time. */
const MAX_CONCURRENT_ENGINES = 64;

/** Drains an engine before a change that would interrupt requests on it. */
export interface EngineDrain {
  /**
   * Makes all entries stop sending new requests to the engine and waits until none runs there. Resolves to false if
   * requests are left after `boundMs` or when `signal` aborts. A drain ends by itself when `signal` aborts or the
   * process that started it is gone.
   */
  drain(engine: string, opts: { readonly boundMs: number; readonly signal: AbortSignal }): Promise<boolean>;
  /** Ends the drain, so that entries send new requests to the engine again. */
  release(engine: string): void;
}

/** Chooses the roles of engines whose role in the fleet file is `auto`; engines without a planned role keep theirs. */
export interface RoleSource {
  plan(fleet: Fleet, engines: ReadonlyMap<string, EngineStatus>): ReadonlyMap<string, Role>;
}

/** Options of {@link Planning}. */
export interface PlanningOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly authority: Authority;
  readonly orders: Orders;
  /** Fleet file in force, or `null` before the first one. */
  readonly fleet: () => Fleet | null;
  /** Client of an engine. */
  readonly engine: (spec: EngineSpec) => Engine;
  readonly roles: RoleSource;
  readonly drain: EngineDrain;
  readonly log: Log;
  readonly meter: Meter;
  /** Longest wait for an engine to become idle; after it, the change is postponed. 120,000 by default. */
  readonly drainTimeoutMs?: number;
  /** Share of the active engines that may be drained at the same time, but at least one engine; 1/3 by default. */
  readonly maxDrainedShare?: number;
}

/** Latest failed order of an engine, and the backoff after it. */
interface Failure {
  readonly orderId: string;
  /** Orders in a row that have failed. */
  readonly count: number;
  /** Monotonic time in ms until which no new order is issued. */
  readonly until: number;
}

type DrainState = 'draining' | 'drained';

/** Action for the first difference between an engine's desired state in the fleet file and its status, if any. */
export function nextAction(
  spec: EngineSpec,
  fleet: Fleet,
  status: EngineStatus,
  role: Role | undefined,
): OrderAction | null {
  if (spec.state !== ServerState.Active || status.leaving) return null;
  const wanted = fleet.models.filter(({ name }) => spec.models.includes(name));
  for (const { name: model, version, adapters } of wanted) {
    const loaded = status.models.find((loadedModel) => loadedModel.model === model && loadedModel.version === version);
    if (loaded === undefined) return { type: 'load', model, version };
    const adapter = adapters.find((name) => loaded.adapters?.includes(name) !== true);
    if (adapter !== undefined) return { type: 'load_adapter', model, adapter };
  }
  const extra = status.models.find(({ model, version }) => !wanted
    .some((wantedModel) => wantedModel.name === model && wantedModel.version === version));
  if (extra !== undefined) return { type: 'unload', model: extra.model, version: extra.version };
  return role !== undefined && role !== status.role ? { type: 'role', role } : null;
}

/**
 * Reconciliation loop of the process that holds authority: compares the fleet file with the status of each engine, and
 * orders the changes that remove the differences.
 */
export class Planning {
  private readonly statuses = new Map<string, EngineStatus>();

  private readonly drains = new Map<string, DrainState>();

  /** Engines that are being processed now. */
  private readonly inProgress = new Set<string>();

  /** Monotonic time in ms at which each engine is checked next. */
  private readonly dueAt = new Map<string, number>();

  private readonly failures = new Map<string, Failure>();

  private fleet: Fleet | null = null;

  private plannedRoles: ReadonlyMap<string, Role> = new Map();

  private passes = 0;

  /** Changes that were postponed because the engine did not become idle in time. */
  private postponed = 0;

  public constructor(private readonly options: PlanningOptions) {}

  /** Plans whenever this process holds authority, until `signal` aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    const { authority, clock } = this.options;
    while (!signal.aborted) {
      const changed = new AbortController();
      const listener = authority.onChange(() => changed.abort());
      const ownLeadership = authority.currentLeadership();
      if (ownLeadership === null) await sleep(clock, PASS_MS, AbortSignal.any([signal, changed.signal]));
      else await this.plan(ownLeadership, AbortSignal.any([signal, ownLeadership.signal]));
      listener.dispose();
    }
  }

  /** State under stable keys, for the diagnostic dump. */
  public dump(): Record<string, unknown> {
    return {
      passes: this.passes,
      engines_seen: this.statuses.size,
      drains: Object.fromEntries(this.drains),
      postponed: this.postponed,
      roles: Object.fromEntries(this.plannedRoles),
    };
  }

  private async plan(ownLeadership: Leadership, signal: AbortSignal): Promise<void> {
    const { clock, orders, log } = this.options;
    this.dueAt.clear();
    this.statuses.clear();
    while (!signal.aborted && !await orders.load()) await sleep(clock, PASS_MS, signal);
    log.info('planning', { term: ownLeadership.term });
    while (!signal.aborted) {
      this.startPass(signal);
      await sleep(clock, PASS_MS, signal);
    }
    // The drains end when the signal aborts. Releasing them here could end a drain that the next holder has started.
    for (const engine of this.drains.keys()) orders.releaseReservation(engine);
    this.drains.clear();
  }

  private startPass(signal: AbortSignal): void {
    const { fleet: readFleet, orders, roles } = this.options;
    const fleet = readFleet();
    if (fleet === null) return;
    this.passes += 1;
    if (fleet !== this.fleet) this.dueAt.clear();
    this.fleet = fleet;
    const planned = new Map(roles.plan(fleet, this.statuses));
    for (const spec of fleet.engines) {
      if (planned.get(spec.name) !== this.plannedRoles.get(spec.name)) this.dueAt.delete(spec.name);
    }
    this.plannedRoles = planned;
    const openEngines = new Set(orders.openEngines());
    const now = this.options.clock.monotonic();
    for (const spec of fleet.engines) {
      const due = openEngines.has(spec.name) || this.drains.has(spec.name) || (this.dueAt.get(spec.name) ?? 0) <= now;
      if (due && !this.inProgress.has(spec.name)
        && this.inProgress.size < MAX_CONCURRENT_ENGINES) void this.processEngine(spec, signal);
    }
  }

  private async processEngine(spec: EngineSpec, signal: AbortSignal): Promise<void> {
    this.inProgress.add(spec.name);
    try {
      await this.reconcile(spec, signal);
    } finally {
      this.inProgress.delete(spec.name);
    }
  }

  private async reconcile(spec: EngineSpec, signal: AbortSignal): Promise<void> {
    const { orders, random, clock } = this.options;
    const { name } = spec;
    const engine = this.options.engine(spec);
    const mayInterrupt = (action: OrderAction, status: EngineStatus) => this
      .ensureDrained(spec, action, status, signal);
    const progress = await orders.advance(engine, mayInterrupt);
    if (progress.type === 'unreachable') {
      this.statuses.delete(name);
      this.dueAt.set(name, clock.monotonic() + UNREACHABLE_RETRY_MS * (0.5 + random.float()));
      return;
    }
    if (progress.status !== null) this.statuses.set(name, progress.status);
    if (progress.type !== 'ready' || signal.aborted) return;
    const { status } = progress;
    const { fleet } = this;
    const action = fleet === null ? null : nextAction(spec, fleet, status, this.wantedRole(spec));
    if (action === null) {
      this.endDrain(name);
      this.dueAt.set(name, clock.monotonic() + RECHECK_MS * (0.5 + random.float()));
      return;
    }
    // The permit is reserved before the drain, so that no drained engine sits idle waiting for a permit.
    if (this.isBackingOff(name) || !await orders.reserve(name, action)) return;
    if (this.ensureDrained(spec, action, status, signal)) await orders.issue(engine, action, status);
    else if (!this.drains.has(name)) orders.releaseReservation(name);
  }

  /** Whether an engine is in backoff after a failed order; the backoff doubles with each failure in a row. */
  private isBackingOff(engine: string): boolean {
    const { orders, random, clock } = this.options;
    const last = orders.lastIntent(engine);
    if (last?.state !== 'failed') {
      this.failures.delete(engine);
      return false;
    }
    const known = this.failures.get(engine);
    const now = clock.monotonic();
    if (known?.orderId === last.orderId) return now < known.until;
    const count = (known?.count ?? 0) + 1;
    const waitMs = Math.min(MAX_BACKOFF_MS, PASS_MS * 2 ** count) * (0.5 + random.float());
    this.failures.set(engine, { orderId: last.orderId, count, until: now + waitMs });
    return true;
  }

  private wantedRole(spec: EngineSpec): Role | undefined {
    return spec.role === DesiredRole.Auto ? this.plannedRoles.get(spec.name) : spec.role as unknown as Role;
  }

  /** Whether the action may be sent without interrupting a request; if not, starts to drain the engine. */
  private ensureDrained(spec: EngineSpec, action: OrderAction, status: EngineStatus, signal: AbortSignal): boolean {
    const { name } = spec;
    if (!interruptsWork(action, status)) return true;
    const state = this.drains.get(name);
    if (state === undefined && this.mayDrain(spec)) void this.startDrain(name, signal);
    return state === 'drained';
  }

  private async startDrain(engine: string, signal: AbortSignal): Promise<void> {
    const { drain, drainTimeoutMs = 120_000, meter } = this.options;
    this.drains.set(engine, 'draining');
    const idle = await drain.drain(engine, { boundMs: drainTimeoutMs, signal });
    if (this.drains.get(engine) !== 'draining') return;
    if (idle && !signal.aborted) {
      this.drains.set(engine, 'drained');
      return;
    }
    this.postponed += 1;
    meter.count('changes_postponed');
    this.endDrain(engine);
  }

  private endDrain(engine: string): void {
    if (!this.drains.delete(engine)) return;
    this.options.orders.releaseReservation(engine);
    this.options.drain.release(engine);
  }

  /**
   * Whether a further engine may be drained: only a share of the engines at a time, and another engine must still serve
   * each of its models, unless the fleet file has no other engine for the model.
   */
  private mayDrain(spec: EngineSpec): boolean {
    const active = (this.fleet?.engines ?? []).filter(({ state }) => state === ServerState.Active);
    const limit = Math.max(1, Math.floor(active.length * (this.options.maxDrainedShare ?? 1 / 3)));
    if (this.drains.size >= limit) return false;
    const own = this.statuses.get(spec.name)?.models ?? [];
    return own.every(({ model }) => {
      const others = active.filter(({ name, models }) => name !== spec.name && models.includes(model));
      return others.length === 0 || others.some(({ name }) => !this.drains.has(name)
        && this.statuses.get(name)?.models.some((loaded) => loaded.model === model) === true);
    });
  }
}
