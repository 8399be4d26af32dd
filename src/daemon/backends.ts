import type { EngineDirectory, ServerDirectory } from '../core/serving/index.js';
import { EngineErrorCode, Role } from '../core/interfaces/index.js';
import type {
  CacheEvent, Clock, Engine, EngineStatus, LoadReport, Log, Meter, PlainService, Random,
} from '../core/interfaces/index.js';
import { DesiredRole, ServerState } from '../core/configuration/index.js';
import type { EngineSpec, Fleet, ServerSpec } from '../core/configuration/index.js';
import { sleep } from '../core/time.js';

/** Creates clients for backend servers; there is one implementation per protocol. */
export interface BackendDriver {
  engine(spec: EngineSpec): Engine & { dispose?(): void };
  service(spec: ServerSpec): PlainService & { dispose?(): void };
}

/** Receives what the monitoring tasks read from the engines. */
export interface EngineObserver {
  onStatus(spec: EngineSpec, status: EngineStatus): void;
  onLoad(report: LoadReport): void;
  onCacheEvents(engine: string, events: readonly CacheEvent[]): void;
  /** The engine restarted or changed its role, which empties its prefix cache. */
  onCacheLost(engine: string): void;
}

/** Options of {@link BackendConnections}. */
export interface BackendConnectionsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly meter: Meter;
  readonly driver: BackendDriver;
  readonly directory: EngineDirectory;
  readonly servers: ServerDirectory;
  readonly observer: EngineObserver;
  /** Whether an engine may get new requests; false while it is leaving or held for a change. */
  readonly acceptsWork: (engine: string) => boolean;
  /** Called after each change of the directory. */
  readonly onDirectoryChange: () => void;
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

/**
 * More frequent reads would gain little, because the reports lag by about this much, and each read counts against the
 * limit of 4 KB/s for control traffic.
 */
const REPORT_PERIOD_MS = 2_000;
/** An engine's status changes only through orders and restarts, so it is read less often than its load. */
const STATUS_EVERY_REPORTS = 4;
const CACHE_EVENTS_EVERY_REPORTS = 2;
const CALL_TIMEOUT_MS = 1_000;
/** After this many failed reads in a row, an engine gets no new requests until it answers again. */
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

/** Clients for the backend servers of the fleet file, with one monitoring task for each engine. */
export class BackendConnections {
  private readonly engines = new Map<string, MonitoredEngine>();

  private readonly servers = new Map<string, ConnectedServer>();

  public constructor(private readonly options: BackendConnectionsOptions) {}

  /** Applies a fleet file: adds new servers, removes old ones, and keeps the clients of unchanged addresses. */
  public applyFleet(fleet: Fleet): void {
    const engines = new Map(fleet.engines.map((spec) => [spec.name, spec]));
    for (const [name, monitored] of this.engines) {
      const spec = engines.get(name);
      if (spec === undefined || spec.address !== monitored.spec.address) this.dropEngine(name);
      else Object.assign(monitored, { spec });
    }
    for (const spec of fleet.engines) {
      if (!this.engines.has(spec.name)) this.addEngine(spec);
    }
    this.updateServers(fleet);
    this.refreshDirectory();
  }

  /** Client for an engine of the fleet file. */
  public engine(name: string): Engine | undefined {
    return this.engines.get(name)?.client;
  }

  public engineSpecs(): EngineSpec[] {
    return [...this.engines.values()].map(({ spec }) => spec);
  }

  public status(name: string): EngineStatus | null {
    return this.engines.get(name)?.status ?? null;
  }

  /** Updates the directory entries of all engines. */
  public refreshDirectory(): void {
    for (const engine of this.engines.values()) this.publish(engine);
    this.options.onDirectoryChange();
  }

  /** State for the dump. */
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

  private updateServers(fleet: Fleet): void {
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
      && this.options.acceptsWork(spec.name);
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
      if (before?.available !== after?.available || before?.role !== after?.role) this.options.onDirectoryChange();
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
    // A restarted engine numbers its cache events from the start again.
    if (restarted) engine.cacheSequence = 0;
    if (restarted || (before !== null && before.role !== status.data.role)) {
      this.options.observer.onCacheLost(engine.spec.name);
    }
    this.options.observer.onStatus(engine.spec, status.data);
  }

  private async readLoad(engine: MonitoredEngine): Promise<void> {
    const load = await engine.client.loadReport({ timeoutMs: CALL_TIMEOUT_MS, signal: engine.stop.signal });
    if (load.success) this.options.observer.onLoad(load.data);
    else this.countFailure(engine, load.error.code);
  }

  private async readCacheEvents(engine: MonitoredEngine): Promise<void> {
    const opts = { timeoutMs: CALL_TIMEOUT_MS, signal: engine.stop.signal };
    const events = await engine.client.cacheEvents(engine.cacheSequence, opts);
    if (!events.success || events.data.length === 0) return;
    engine.cacheSequence = events.data.at(-1)!.sequence;
    this.options.observer.onCacheEvents(engine.spec.name, events.data);
  }

  private countFailure(engine: MonitoredEngine, code: EngineErrorCode): void {
    engine.failures += 1;
    this.options.meter.count('engine_report_failures_total', 1, { engine: engine.spec.name });
    if (engine.failures === FAILURES_TO_UNAVAILABLE) {
      this.options.log.warn('engine_unavailable', { engine: engine.spec.name, code });
    }
  }
}
