import { Role } from '../core/edges.js';
import type { DispatchHandle, Dispatcher } from '../core/dispatch.js';
import type { EngineDirectory } from '../core/directory.js';
import { AttemptOutcome } from '../core/placement.js';
import type { Placement, WorkItem } from '../core/placement.js';
import type { SimulatedClock } from '../emulator/clock.js';
import { ENGINE_PARAMETERS, EngineModel } from '../emulator/enginemodel.js';
import type { EngineParameters } from '../emulator/enginemodel.js';
import type { SeededRandom } from '../emulator/random.js';
import type { Arrival } from './workload.js';

/** What became of one request. */
export interface RequestRecord {
  readonly arrival: Arrival;
  firstTokenAt: number | null;
  endAt: number | null;
  refusedAt: number | null;
  attempts: number;
}

/** Limits that a good answer meets. */
export interface ServiceLevel {
  readonly firstTokenMs: number;
  readonly perTokenMs: number;
}

/** Service level that users state: 0.74 s to the first token and 46 ms between tokens. */
export const SERVICE_LEVEL: ServiceLevel = { firstTokenMs: 740, perTokenMs: 46 };

/** Model name that all simulated requests ask for. */
export const SIMULATED_MODEL = 'model';

/** One entry of the simulation with decision parts of its own. */
export interface SimulatedEntry {
  readonly dispatcher: Dispatcher;
  readonly directory: EngineDirectory;
}

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

/** Runs arrivals through the real dispatchers and routers against engine fakes. */
export class Simulation {
  public readonly engines = new Map<string, EngineModel>();

  public readonly entries: SimulatedEntry[] = [];

  public readonly records: RequestRecord[] = [];

  public roleChanges = 0;

  private readonly inFlight = new Map<string, number>();

  private readonly idleListeners = new Map<string, () => void>();

  private requests = 0;

  public constructor(private readonly options: SimulationOptions) {
    options.roles.forEach((role, index) => {
      const name = `engine-${index}`;
      this.engines.set(name, new EngineModel(options.clock, role, options.parameters ?? ENGINE_PARAMETERS));
    });
    for (let index = 0; index < options.entries; index += 1) {
      const entry = options.createEntry(index, this);
      this.entries.push(entry);
    }
    for (const name of this.engines.keys()) this.publish(name, true);
  }

  /** Plays arrivals, then runs on until `extraMs` after the last one. */
  public run(arrivals: readonly Arrival[], durationMs: number, extraMs = 30_000): void {
    for (const arrival of arrivals) this.options.clock.after(arrival.at, () => this.arrive(arrival));
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

  /** Stops new work on an engine, waits until it is idle, and changes its role. */
  public changeRole(name: string, role: Role): void {
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
    if ((this.inFlight.get(name) ?? 0) === 0) change();
    else this.idleListeners.set(name, change);
  }

  /** Sets the availability of an engine at every entry. */
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
      dispatcher.pump();
    }
  }

  private arrive(arrival: Arrival): void {
    const record: RequestRecord = {
      arrival, firstTokenAt: null, endAt: null, refusedAt: null, attempts: 0,
    };
    this.records.push(record);
    const entry = this.options.random.pick(this.entries);
    const item: WorkItem = {
      requestId: `r${this.requests}`,
      workspace: arrival.workspace,
      model: SIMULATED_MODEL,
      kind: arrival.requestClass,
      priority: arrival.priority,
      promptTokens: arrival.promptTokens,
      maxTokens: 8_192,
      blocks: arrival.blocks,
      deadline: this.options.clock.monotonic() + 10 * SERVICE_LEVEL.firstTokenMs,
      arrival: this.options.clock.monotonic(),
    };
    this.requests += 1;
    this.attempt(entry, item, record, 0);
  }

  private attempt(entry: SimulatedEntry, item: WorkItem, record: RequestRecord, produced: number): void {
    Object.assign(record, { attempts: record.attempts + 1 });
    let handle: DispatchHandle | null = null;
    // The dispatcher may place the request before `submit` returns, so the work starts one event later.
    handle = entry.dispatcher.submit(item, {
      placed: (placement) => {
        for (const name of [placement.engine, placement.prefill]) {
          if (name !== null) this.inFlight.set(name, (this.inFlight.get(name) ?? 0) + 1);
        }
        this.options.clock.after(this.options.delayMs ?? 0, () => {
          this.execute(entry, item, record, placement, handle!, produced);
        });
      },
      refused: () => {
        Object.assign(record, { refusedAt: this.options.clock.monotonic() });
      },
    });
  }

  private execute(
    entry: SimulatedEntry,
    item: WorkItem,
    record: RequestRecord,
    placement: Placement,
    handle: DispatchHandle,
    alreadyProduced: number,
  ): void {
    const { clock } = this.options;
    const decode = this.engines.get(placement.engine)!;
    const total = record.arrival.outputTokens;
    let produced = alreadyProduced;
    const token = (): void => {
      produced += 1;
      if (record.firstTokenAt === null) Object.assign(record, { firstTokenAt: clock.monotonic() });
      if (produced === alreadyProduced + 1) handle.firstToken();
      handle.progress(produced - alreadyProduced);
    };
    const end = (outcome: 'done' | 'lost'): void => {
      this.leave(placement.engine);
      if (outcome === 'done') {
        Object.assign(record, { endAt: clock.monotonic() });
        handle.finish(AttemptOutcome.Done);
        return;
      }
      handle.finish(AttemptOutcome.Failed);
      this.attempt(entry, item, record, produced);
    };
    const job = { priority: item.priority, blocks: item.blocks, promptTokens: item.promptTokens + alreadyProduced };
    if (placement.prefill === null) {
      decode.submit({
        ...job, id: item.requestId, outputTokens: total - alreadyProduced, onToken: token, onEnd: end,
      });
      return;
    }
    const prefillName = placement.prefill;
    this.engines.get(prefillName)!.submit({
      ...job,
      id: item.requestId,
      outputTokens: 1,
      prefillOnly: true,
      onToken: token,
      onEnd: (outcome) => {
        this.leave(prefillName);
        if (outcome === 'lost' || total - produced <= 0) {
          end(outcome);
          return;
        }
        decode.submit({
          ...job,
          id: item.requestId,
          imported: true,
          outputTokens: total - produced,
          onToken: token,
          onEnd: end,
        });
      },
    });
  }

  private leave(name: string): void {
    const left = (this.inFlight.get(name) ?? 0) - 1;
    this.inFlight.set(name, left);
    if (left === 0) this.idleListeners.get(name)?.();
  }
}

/** Time to the first token in ms; only for records that have one. */
export function firstTokenMs(record: RequestRecord): number {
  return record.firstTokenAt! - record.arrival.at;
}

/** Mean time between tokens in ms. */
export function perTokenMs(record: RequestRecord): number {
  const gaps = Math.max(1, record.arrival.outputTokens - 1);
  return (record.endAt! - record.firstTokenAt!) / gaps;
}

/** True when the whole answer arrived within the service level. */
export function isGood(record: RequestRecord, level: ServiceLevel = SERVICE_LEVEL): boolean {
  if (record.endAt === null || record.firstTokenAt === null) return false;
  return firstTokenMs(record) <= level.firstTokenMs && perTokenMs(record) <= level.perTokenMs;
}

/** Value at a quantile of unsorted numbers; 0 when there are none. */
export function quantile(values: readonly number[], share: number): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]!;
}
