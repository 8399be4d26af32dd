import type { EngineDirectory, ServerDirectory } from '../core/serving/index.js';
import { EngineErrorCode, Role } from '../core/interfaces/index.js';
import type {
  CacheEvent, Clock, Engine, EngineStatus, LoadReport, Log, Meter, PlainService, Random,
} from '../core/interfaces/index.js';
import { DesiredRole, ServerState } from '../core/configuration/index.js';
import type { EngineSpec, Fleet, ServerSpec } from '../core/configuration/index.js';
import { sleep } from '../core/time.js';

/** Opens connections to backend servers; one implementation for each protocol. */
export interface BackendDriver {
  engine(spec: EngineSpec): Engine & { dispose?(): void };
  service(spec: ServerSpec): PlainService & { dispose?(): void };
}

/** What the monitor learns from the engines. */
export interface EngineObserver {
  status(spec: EngineSpec, status: EngineStatus): void;
  load(report: LoadReport): void;
  cacheEvents(engine: string, events: readonly CacheEvent[]): void;
  /** The engine has restarted or changed role, and its prefix cache is empty. */
  cacheLost(engine: string): void;
}

/** Options of {@link Backends}. */
export interface BackendsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly meter: Meter;
  readonly driver: BackendDriver;
  readonly directory: EngineDirectory;
  readonly servers: ServerDirectory;
  readonly observer: EngineObserver;
  /** Whether an engine may get new work, as the leaving signals and the planner's drains say. */
  readonly accepts: (engine: string) => boolean;
  /** Called after each change of the directory. */
  readonly changed: () => void;
}

interface MonitoredEngine {
  readonly spec: EngineSpec;
  readonly client: Engine & { dispose?(): void };
  readonly stop: AbortController;
  status: EngineStatus | null;
  failures: number;
  cacheSequence: number;
}

interface ConnectedServer {
  readonly spec: ServerSpec;
  readonly client: PlainService & { dispose?(): void };
}

/** Reports lag by about as much, and each call counts against the control traffic of 4 KB a second. */
const REPORT_PERIOD_MS = 2_000;
/** Engine status changes only by orders and restarts, so it is read less often than the load. */
const STATUS_EVERY_REPORTS = 4;
const CACHE_EVENTS_EVERY_REPORTS = 2;
const CALL_TIMEOUT_MS = 1_000;
/** An engine that fails this many reports in a row gets no new work until it answers again. */
const FAILURES_TO_UNAVAILABLE = 3;

function initialRole(desired: DesiredRole): Role {
  switch (desired) {
    case DesiredRole.Prefill:
      return Role.Prefill;
    case DesiredRole.Decode:
      return Role.Decode;
    case DesiredRole.Mixed:
    case DesiredRole.Auto:
    default:
      return Role.Mixed;
  }
}

/** Connections to the backend servers of the fleet file, with one monitoring task for each engine. */
export class Backends {
  private readonly engines = new Map<string, MonitoredEngine>();

  private readonly servers = new Map<string, ConnectedServer>();

  public constructor(private readonly options: BackendsOptions) {}

  /** Follows a new fleet file: opens what is new, closes what is gone, and keeps what stays. */
  public follow(fleet: Fleet): void {
    const engines = new Map(fleet.engines.map((spec) => [spec.name, spec]));
    for (const [name, known] of this.engines) {
      const spec = engines.get(name);
      if (spec === undefined || spec.address !== known.spec.address) this.dropEngine(name);
      else Object.assign(known, { spec });
    }
    for (const spec of fleet.engines) {
      if (!this.engines.has(spec.name)) this.addEngine(spec);
    }
    this.followServers(fleet);
    this.refresh();
  }

  /** Connection to an engine of the fleet file. */
  public engine(name: string): Engine | undefined {
    return this.engines.get(name)?.client;
  }

  public engineSpecs(): EngineSpec[] {
    return [...this.engines.values()].map(({ spec }) => spec);
  }

  public status(name: string): EngineStatus | null {
    return this.engines.get(name)?.status ?? null;
  }

  /** Writes what is known of all engines into the directory. */
  public refresh(): void {
    for (const engine of this.engines.values()) this.publish(engine);
    this.options.changed();
  }

  /** Facts for the dump. */
  public dump(): Record<string, unknown> {
    return {
      engines: [...this.engines.values()].map(({ spec, status, failures }) => ({
        engine: spec.name,
        address: spec.address,
        role: status?.role ?? null,
        models: status?.models ?? [],
        leaving: status?.leaving ?? null,
        failures,
        available: this.options.directory.get(spec.name)?.available ?? false,
      })),
      servers: [...this.servers.values()].map(({ spec }) => ({
        server: spec.name, service: spec.service, state: spec.state,
      })),
    };
  }

  public dispose(): void {
    for (const name of [...this.engines.keys()]) this.dropEngine(name);
    for (const { client } of this.servers.values()) client.dispose?.();
    this.servers.clear();
  }

  private addEngine(spec: EngineSpec): void {
    const engine: MonitoredEngine = {
      spec,
      client: this.options.driver.engine(spec),
      stop: new AbortController(),
      status: null,
      failures: 0,
      cacheSequence: 0,
    };
    this.engines.set(spec.name, engine);
    void this.monitor(engine);
  }

  private dropEngine(name: string): void {
    const engine = this.engines.get(name);
    if (engine === undefined) return;
    engine.stop.abort();
    engine.client.dispose?.();
    this.engines.delete(name);
    this.options.directory.remove(name);
  }

  private followServers(fleet: Fleet): void {
    const wanted = new Map(fleet.servers.map((spec) => [spec.name, spec]));
    for (const [name, { spec, client }] of this.servers) {
      if (wanted.get(name)?.address === spec.address) continue;
      client.dispose?.();
      this.servers.delete(name);
      this.options.servers.remove(name);
    }
    for (const spec of fleet.servers) {
      const client = this.servers.get(spec.name)?.client ?? this.options.driver.service(spec);
      this.servers.set(spec.name, { spec, client });
      const {
        name, service, host, failureDomain, state,
      } = spec;
      this.options.servers.set({
        name, service, host, failureDomain, available: state === ServerState.Active, client,
      });
    }
  }

  private publish({ spec, status, failures }: MonitoredEngine): void {
    const available = spec.state === ServerState.Active
      && failures < FAILURES_TO_UNAVAILABLE
      && status !== null
      && !status.leaving
      && this.options.accepts(spec.name);
    this.options.directory.set({
      name: spec.name,
      failureDomain: spec.failureDomain,
      models: status === null ? [] : status.models.map(({ model }) => model),
      role: status?.role ?? initialRole(spec.role),
      available,
    });
  }

  private async monitor(engine: MonitoredEngine): Promise<void> {
    const { clock, random } = this.options;
    const { signal } = engine.stop;
    for (let round = 0; !signal.aborted; round += 1) {
      const before = this.options.directory.get(engine.spec.name);
      if (round % STATUS_EVERY_REPORTS === 0 || engine.status === null) await this.readStatus(engine);
      await this.readLoad(engine);
      if (round % CACHE_EVENTS_EVERY_REPORTS === 0) await this.readCacheEvents(engine);
      if (signal.aborted) return;
      this.publish(engine);
      const after = this.options.directory.get(engine.spec.name);
      if (before?.available !== after?.available || before?.role !== after?.role) this.options.changed();
      await sleep(clock, REPORT_PERIOD_MS * (0.75 + random.float() / 2), signal);
    }
  }

  private async readStatus(engine: MonitoredEngine): Promise<void> {
    const status = await engine.client.status({ timeoutMs: CALL_TIMEOUT_MS, signal: engine.stop.signal });
    if (!status.success) {
      this.countFailure(engine, status.error.code);
      return;
    }
    const { status: before } = engine;
    const restarted = before !== null && before.incarnation !== status.data.incarnation;
    engine.status = status.data;
    engine.failures = 0;
    // A restarted engine numbers its cache events from the beginning.
    if (restarted) engine.cacheSequence = 0;
    if (restarted || (before !== null && before.role !== status.data.role)) {
      this.options.observer.cacheLost(engine.spec.name);
    }
    this.options.observer.status(engine.spec, status.data);
  }

  private async readLoad(engine: MonitoredEngine): Promise<void> {
    const load = await engine.client.loadReport({ timeoutMs: CALL_TIMEOUT_MS, signal: engine.stop.signal });
    if (load.success) this.options.observer.load(load.data);
    else this.countFailure(engine, load.error.code);
  }

  private async readCacheEvents(engine: MonitoredEngine): Promise<void> {
    const opts = { timeoutMs: CALL_TIMEOUT_MS, signal: engine.stop.signal };
    const events = await engine.client.cacheEvents(engine.cacheSequence, opts);
    if (!events.success || events.data.length === 0) return;
    engine.cacheSequence = events.data.at(-1)!.sequence;
    this.options.observer.cacheEvents(engine.spec.name, events.data);
  }

  private countFailure(engine: MonitoredEngine, code: EngineErrorCode): void {
    engine.failures += 1;
    this.options.meter.count('engine_report_failures_total', 1, { engine: engine.spec.name });
    if (engine.failures === FAILURES_TO_UNAVAILABLE) {
      this.options.log.warn('engine_unavailable', { engine: engine.spec.name, code });
    }
  }
}
