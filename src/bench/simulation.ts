import { Role } from '../core/interfaces/index.js';
import type { WorkItem } from '../core/serving/index.js';
import type { SimulatedClock } from '../emulator/clock.js';
import { ENGINE_PARAMETERS, EngineModel } from '../emulator/enginemodel.js';
import type { EngineParameters } from '../emulator/enginemodel.js';
import type { SeededRandom } from '../emulator/random.js';
import { Attempt } from './attempt.js';
import type {
  AttemptRunner, AttemptStart, RequestRecord, SimulatedEntry,
} from './attempt.js';
import type { Arrival } from './workload.js';

/** Latency limits, in ms, within which an answer counts as good. */
export interface ServiceLevel {
  /** Limit on the time to the first token. */
  readonly firstTokenMs: number;
  /** Limit on the mean time between tokens. */
  readonly perTokenMs: number;
}

/** Service level that the users require: 0.74 s to the first token and 46 ms between tokens. */
export const SERVICE_LEVEL: ServiceLevel = { firstTokenMs: 740, perTokenMs: 46 };

/** Model name that all simulated requests ask for. */
export const SIMULATED_MODEL = 'model';

/** Interval of the load reports of an engine to an entry. */
const REPORT_PERIOD_MS = 1_000;

/** Interval at which an engine that changes its role tries again to move its decodes away. */
const DECODE_MOVE_PERIOD_MS = 100;

/** Options of {@link Simulation}. */
export interface SimulationOptions {
  readonly clock: SimulatedClock;
  readonly random: SeededRandom;
  /** Initial roles; one engine each, named `engine-0`, `engine-1` and so on. */
  readonly roles: readonly Role[];
  readonly failureDomains: readonly string[];
  readonly entries: number;
  readonly createEntry: (index: number, simulation: Simulation) => SimulatedEntry;
  readonly parameters?: EngineParameters;
  /** One-way delay from entry to engine in ms. */
  readonly delayMs?: number;
}

/** Runs arrivals through the real dispatchers and routers against simulated engines. */
export class Simulation implements AttemptRunner {
  public readonly engines = new Map<string, EngineModel>();

  public readonly entries: SimulatedEntry[] = [];

  public readonly records: RequestRecord[] = [];

  public roleChanges = 0;

  private readonly attempts = new Map<string, Set<Attempt>>();

  private readonly idleListeners = new Map<string, () => void>();

  private requestCount = 0;

  public constructor(public readonly options: SimulationOptions) {
    options.roles.forEach((role, index) => {
      const name = `engine-${index}`;
      this.engines.set(name, new EngineModel(options.clock, role, options.parameters ?? ENGINE_PARAMETERS));
      this.attempts.set(name, new Set());
    });
    for (let index = 0; index < options.entries; index += 1) {
      const entry = options.createEntry(index, this);
      this.entries.push(entry);
    }
    for (const name of this.engines.keys()) this.publish(name, true);
  }

  /** Replays the arrivals and advances the clock to `extraMs` after `durationMs`. */
  public run(arrivals: readonly Arrival[], durationMs: number, extraMs = 30_000): void {
    for (const arrival of arrivals) this.options.clock.after(arrival.at, () => this.startRequest(arrival));
    this.entries.forEach(({ report }, index) => {
      if (report === undefined) return;
      this.options.clock.after((index * REPORT_PERIOD_MS) / this.entries.length, () => {
        this.every(REPORT_PERIOD_MS, durationMs + extraMs, () => {
          for (const [name, engine] of this.engines) report(name, engine.reportedLoad());
        });
      });
    });
    this.options.clock.advanceSync(durationMs + extraMs);
  }

  /** Calls `action` every `periodMs` until `untilMs`. */
  public every(periodMs: number, untilMs: number, action: () => void): void {
    const { clock } = this.options;
    const tick = (): void => {
      action();
      if (clock.monotonic() < untilMs) clock.after(periodMs, tick);
    };
    clock.after(periodMs, tick);
  }

  /** Lists the attempts that are placed on an engine. */
  public listAttemptsAt(name: string): Attempt[] {
    return [...this.attempts.get(name)!];
  }

  /**
   * Stops new work on an engine and changes its role once it is idle. With `moveDecodes` its decodes are moved to other
   * engines; otherwise they run to their end.
   */
  public changeRole(name: string, role: Role, opts: { readonly moveDecodes?: boolean } = {}): void {
    const engine = this.engines.get(name)!;
    this.roleChanges += 1;
    this.publish(name, false);
    const change = (): void => {
      this.idleListeners.delete(name);
      engine.changeRole(role);
      this.options.clock.after((this.options.parameters ?? ENGINE_PARAMETERS).roleChangeMs, () => {
        this.publish(name, true);
      });
    };
    this.idleListeners.set(name, change);
    const move = (): void => {
      if (!this.idleListeners.has(name)) return;
      for (const attempt of this.listAttemptsAt(name)) attempt.moveFrom(name);
      this.options.clock.after(DECODE_MOVE_PERIOD_MS, move);
    };
    if (opts.moveDecodes === true) move();
    if (this.attempts.get(name)!.size === 0) this.idleListeners.get(name)?.();
  }

  /** Updates the role and availability of an engine in the directory of every entry. */
  public publish(name: string, available: boolean): void {
    const index = [...this.engines.keys()].indexOf(name);
    const { failureDomains } = this.options;
    for (const { directory, dispatcher } of this.entries) {
      directory.set({
        name,
        failureDomain: failureDomains[index % failureDomains.length]!,
        models: [SIMULATED_MODEL],
        role: this.engines.get(name)!.role,
        available,
      });
      dispatcher.placeWaiting();
    }
  }

  private startRequest(arrival: Arrival): void {
    const record: RequestRecord = {
      arrival, firstTokenAt: null, endAt: null, refusedAt: null, attempts: 0,
    };
    this.records.push(record);
    const entry = this.options.random.pick(this.entries);
    const item: WorkItem = {
      requestId: `r${this.requestCount}`,
      workspace: arrival.workspace,
      model: SIMULATED_MODEL,
      kind: arrival.requestClass,
      priority: arrival.priority,
      promptTokens: arrival.promptTokens,
      maxTokens: 8_192,
      prefixBlockHashes: arrival.blocks,
      deadline: this.options.clock.monotonic() + 10 * SERVICE_LEVEL.firstTokenMs,
      arrival: this.options.clock.monotonic(),
    };
    this.requestCount += 1;
    this.startAttempt({
      entry, item, record, produced: 0, importedTokens: 0,
    });
  }

  /** Submits a request, or the rest of it after a lost or moved attempt, at an entry. */
  public startAttempt(attempt: AttemptStart): Attempt {
    Object.assign(attempt.record, { attempts: attempt.record.attempts + 1 });
    return new Attempt(this, {
      ...attempt,
      onRefused: () => {
        Object.assign(attempt.record, { refusedAt: this.options.clock.monotonic() });
      },
      onLost: (produced) => {
        const item = produced > 0 ? { ...attempt.item, continuation: true } : attempt.item;
        this.startAttempt({
          ...attempt, item, produced, importedTokens: 0,
        });
      },
    });
  }

  /** Adds an attempt to those placed on an engine. */
  public addAttempt(attempt: Attempt, name: string): void {
    this.attempts.get(name)!.add(attempt);
  }

  /** Removes an attempt that {@link addAttempt} added, and starts a pending role change when it was the last one. */
  public removeAttempt(attempt: Attempt, name: string): void {
    const attempts = this.attempts.get(name)!;
    if (attempts.delete(attempt) && attempts.size === 0) this.idleListeners.get(name)?.();
  }
}

/** Time to the first token in ms; only for records that have one. */
export function firstTokenMs(record: RequestRecord): number {
  return record.firstTokenAt! - record.arrival.at;
}

/** Mean time between tokens in ms; only for records that have ended. */
export function perTokenMs(record: RequestRecord): number {
  const gaps = Math.max(1, record.arrival.outputTokens - 1);
  return (record.endAt! - record.firstTokenAt!) / gaps;
}

/** Tests whether the complete answer arrived within the service level. */
export function meetsServiceLevel(record: RequestRecord, level: ServiceLevel = SERVICE_LEVEL): boolean {
  if (record.endAt === null || record.firstTokenAt === null) return false;
  return firstTokenMs(record) <= level.firstTokenMs && perTokenMs(record) <= level.perTokenMs;
}

/** Value at a quantile of unsorted numbers; 0 when there are none. */
export function quantile(values: readonly number[], share: number): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]!;
}
