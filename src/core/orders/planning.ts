import { takesAway } from './actions.js';
import type { Authority, Tenure } from '../authority/index.js';
import type {
  Clock, Engine, EngineStatus, Log, Meter, OrderAction, Random, Role,
} from '../edges/index.js';
import { DesiredRole, ServerState } from '../configuration/index.js';
import type { EngineSpec, Fleet } from '../configuration/index.js';
import type { Orders } from './orders.js';
import { sleep } from '../time.js';

const PASS_MS = 500;

/** Interval at which engines without an open change are looked at again. */
const SURVEY_MS = 5_000;

const UNREACHABLE_MS = 1_000;

const MAX_BACKOFF_MS = 60_000;

/** Engines that are worked on at the same time. */
const CONCURRENT_ENGINES = 64;

/** Takes the work away from an engine before a change that would cut it. */
export interface EngineDrain {
  /**
   * Stops new work at the engine on all entries and waits until it has none. False if work is left after `boundMs`
   * or `signal` aborts. A drain ends by itself when `signal` aborts or the process that asked for it is gone.
   */
  drain(engine: string, opts: { readonly boundMs: number; readonly signal: AbortSignal }): Promise<boolean>;
  /** Lets new work in again. */
  release(engine: string): void;
}

/** Chooses the roles of engines whose fleet file says `auto`; engines that it leaves out keep their role. */
export interface RoleSource {
  plan(fleet: Fleet, engines: ReadonlyMap<string, EngineStatus>): ReadonlyMap<string, Role>;
}

/** Options of {@link Planning}. */
export interface PlanningOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly authority: Authority;
  readonly orders: Orders;
  /** Fleet file in force, or `null` before the first. */
  readonly fleet: () => Fleet | null;
  readonly engine: (spec: EngineSpec) => Engine;
  readonly roles: RoleSource;
  readonly drain: EngineDrain;
  readonly log: Log;
  readonly meter: Meter;
  /** Longest wait for an engine to become idle; then the change is put off, and no request is cut. */
  readonly drainBoundMs?: number;
  /** Share of the active engines that may be away for changes at the same time; one always may. */
  readonly awayShare?: number;
}

interface Failure {
  readonly orderId: string;
  readonly count: number;
  readonly until: number;
}

type DrainState = 'draining' | 'drained';

/** First difference between what the fleet file wants of an engine and what the engine has. */
export function nextAction(
  spec: EngineSpec,
  fleet: Fleet,
  status: EngineStatus,
  role: Role | undefined,
): OrderAction | null {
  if (spec.state !== ServerState.Active || status.leaving) return null;
  const wanted = fleet.models.filter(({ name }) => spec.models.includes(name));
  for (const { name: model, version, adapters } of wanted) {
    const loaded = status.models.find((held) => held.model === model && held.version === version);
    if (loaded === undefined) return { type: 'load', model, version };
    const adapter = adapters.find((name) => loaded.adapters?.includes(name) !== true);
    if (adapter !== undefined) return { type: 'load_adapter', model, adapter };
  }
  const extra = status.models.find(({ model, version }) => !wanted
    .some((held) => held.name === model && held.version === version));
  if (extra !== undefined) return { type: 'unload', model: extra.model, version: extra.version };
  return role !== undefined && role !== status.role ? { type: 'role', role } : null;
}

/** Loop of the holder of authority: compares the fleet file with the engines and orders the differences. */
export class Planning {
  private readonly statuses = new Map<string, EngineStatus>();

  private readonly drains = new Map<string, DrainState>();

  private readonly busy = new Set<string>();

  /** Monotonic time at which each engine is looked at next. */
  private readonly dueAt = new Map<string, number>();

  private readonly failures = new Map<string, Failure>();

  private fleet: Fleet | null = null;

  private planned: ReadonlyMap<string, Role> = new Map();

  private passes = 0;

  private postponed = 0;

  public constructor(private readonly options: PlanningOptions) {}

  /** Plans whenever this process holds authority, until `signal` aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    const { authority, clock } = this.options;
    while (!signal.aborted) {
      const changed = new AbortController();
      const listener = authority.onChange(() => changed.abort());
      const tenure = authority.tenure();
      if (tenure === null) await sleep(clock, PASS_MS, AbortSignal.any([signal, changed.signal]));
      else await this.plan(tenure, AbortSignal.any([signal, tenure.signal]));
      listener.dispose();
    }
  }

  /** State under stable keys. */
  public dump(): Record<string, unknown> {
    return {
      passes: this.passes,
      engines_seen: this.statuses.size,
      drains: Object.fromEntries(this.drains),
      postponed: this.postponed,
      roles: Object.fromEntries(this.planned),
    };
  }

  private async plan(tenure: Tenure, signal: AbortSignal): Promise<void> {
    const { clock, orders, log } = this.options;
    this.dueAt.clear();
    this.statuses.clear();
    while (!signal.aborted && !await orders.load()) await sleep(clock, PASS_MS, signal);
    log.info('planning', { term: tenure.term });
    while (!signal.aborted) {
      this.pass(signal);
      await sleep(clock, PASS_MS, signal);
    }
    // The drains end with the signal. A release from here could end a drain of the next holder.
    for (const engine of this.drains.keys()) orders.unreserve(engine);
    this.drains.clear();
  }

  private pass(signal: AbortSignal): void {
    const { fleet: read, orders, roles } = this.options;
    const fleet = read();
    if (fleet === null) return;
    this.passes += 1;
    if (fleet !== this.fleet) this.dueAt.clear();
    this.fleet = fleet;
    const planned = new Map(roles.plan(fleet, this.statuses));
    for (const spec of fleet.engines) {
      if (planned.get(spec.name) !== this.planned.get(spec.name)) this.dueAt.delete(spec.name);
    }
    this.planned = planned;
    const open = new Set(orders.open());
    const now = this.options.clock.monotonic();
    for (const spec of fleet.engines) {
      const due = open.has(spec.name) || this.drains.has(spec.name) || (this.dueAt.get(spec.name) ?? 0) <= now;
      if (due && !this.busy.has(spec.name) && this.busy.size < CONCURRENT_ENGINES) void this.visit(spec, signal);
    }
  }

  private async visit(spec: EngineSpec, signal: AbortSignal): Promise<void> {
    this.busy.add(spec.name);
    try {
      await this.change(spec, signal);
    } finally {
      this.busy.delete(spec.name);
    }
  }

  private async change(spec: EngineSpec, signal: AbortSignal): Promise<void> {
    const { orders, random, clock } = this.options;
    const { name } = spec;
    const engine = this.options.engine(spec);
    const mayDisturb = (action: OrderAction, status: EngineStatus) => this.isDrained(spec, action, status, signal);
    const progress = await orders.advance(engine, mayDisturb);
    if (progress.type === 'unreachable') {
      this.statuses.delete(name);
      this.dueAt.set(name, clock.monotonic() + UNREACHABLE_MS * (0.5 + random.float()));
      return;
    }
    if (progress.status !== null) this.statuses.set(name, progress.status);
    if (progress.type !== 'ready' || signal.aborted) return;
    const { status } = progress;
    const { fleet } = this;
    const action = fleet === null ? null : nextAction(spec, fleet, status, this.wantedRole(spec));
    if (action === null) {
      this.endDrain(name);
      this.dueAt.set(name, clock.monotonic() + SURVEY_MS * (0.5 + random.float()));
      return;
    }
    // The permit comes before the drain, so that no engine waits idle for one.
    if (this.backsOff(name) || !await orders.reserve(name, action)) return;
    if (this.isDrained(spec, action, status, signal)) await orders.issue(engine, action, status);
    else if (!this.drains.has(name)) orders.unreserve(name);
  }

  /** Whether the last order failed a short time ago; the wait doubles with each failure. */
  private backsOff(engine: string): boolean {
    const { orders, random, clock } = this.options;
    const last = orders.last(engine);
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
    return spec.role === DesiredRole.Auto ? this.planned.get(spec.name) : spec.role as unknown as Role;
  }

  /** Whether the action may be sent without cutting a request; starts the drain that makes it so. */
  private isDrained(spec: EngineSpec, action: OrderAction, status: EngineStatus, signal: AbortSignal): boolean {
    const { name } = spec;
    if (!takesAway(action, status)) return true;
    const state = this.drains.get(name);
    if (state === undefined && this.mayBeAway(spec)) void this.startDrain(name, signal);
    return state === 'drained';
  }

  private async startDrain(engine: string, signal: AbortSignal): Promise<void> {
    const { drain, drainBoundMs = 120_000, meter } = this.options;
    this.drains.set(engine, 'draining');
    const idle = await drain.drain(engine, { boundMs: drainBoundMs, signal });
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
    this.options.orders.unreserve(engine);
    this.options.drain.release(engine);
  }

  /** Whether another engine may be taken away: few are at a time, and each model keeps one that serves it. */
  private mayBeAway(spec: EngineSpec): boolean {
    const active = (this.fleet?.engines ?? []).filter(({ state }) => state === ServerState.Active);
    const limit = Math.max(1, Math.floor(active.length * (this.options.awayShare ?? 1 / 3)));
    if (this.drains.size >= limit) return false;
    const own = this.statuses.get(spec.name)?.models ?? [];
    return own.every(({ model }) => {
      const others = active.filter(({ name, models }) => name !== spec.name && models.includes(model));
      return others.length === 0 || others.some(({ name }) => !this.drains.has(name)
        && this.statuses.get(name)?.models.some((held) => held.model === model) === true);
    });
  }
}
