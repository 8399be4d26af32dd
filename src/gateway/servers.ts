import type { Clock, Disposable, Role } from '../core/edges/index.js';

/** Model weights that an engine has loaded. */
export interface ServedModel {
  readonly name: string;
  readonly version: number;
}

/** What discovery says of one backend server. */
export interface ServerRecord {
  readonly id: string;
  /** Unix time of the server's start in ms; a server that starts again under its id holds nothing of before. */
  readonly bornAt: number;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly draining: boolean;
  /** `null` for a server of a plain service. */
  readonly role: Role | null;
  readonly models: readonly ServedModel[];
}

/** Time in ms after an outage of discovery within which a live server registers again. */
const RETURN_GRACE_MS = 2_200;

/**
 * Backend servers that may be sent work. A removal that is seen around an outage of discovery takes effect only once
 * the server had time to register again.
 */
export class ServerRegistry implements Disposable {
  private readonly records = new Map<string, ServerRecord>();

  private readonly removals = new Map<string, Disposable>();

  private readonly listeners = new Set<(id: string) => void>();

  private byService = new Map<string, readonly ServerRecord[]>();

  private graceUntil = -Infinity;

  public constructor(private readonly clock: Clock) {}

  /** Servers of a service that are not draining, in order of their ids. */
  public available(service: string): readonly ServerRecord[] {
    let records = this.byService.get(service);
    if (records === undefined) {
      records = [...this.records.values()]
        .filter((record) => record.service === service && !record.draining)
        .sort((left, right) => (left.id < right.id ? -1 : 1));
      this.byService.set(service, records);
    }
    return records;
  }

  public get(id: string): ServerRecord | null {
    return this.records.get(id) ?? null;
  }

  public all(): readonly ServerRecord[] {
    return [...this.records.values()];
  }

  /** Calls `listener` with the id of each server that was added, changed or removed. */
  public onChange(listener: (id: string) => void): Disposable {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  }

  /** Notes that discovery answers again after an outage. */
  public discoveryReturned(): void {
    this.graceUntil = this.clock.monotonic() + RETURN_GRACE_MS;
  }

  public put(record: ServerRecord): void {
    this.cancelRemoval(record.id);
    this.records.set(record.id, record);
    this.changed(record.id);
  }

  /** Takes a server out, at once or after the grace that follows an outage of discovery. */
  public remove(id: string): void {
    if (!this.records.has(id) || this.removals.has(id)) return;
    const delayMs = this.graceUntil - this.clock.monotonic();
    if (delayMs <= 0) this.drop(id);
    else this.removals.set(id, this.clock.after(delayMs, () => this.drop(id)));
  }

  /** Takes over a complete list. */
  public replace(records: readonly ServerRecord[]): void {
    const present = new Set(records.map(({ id }) => id));
    for (const id of [...this.records.keys()]) if (!present.has(id)) this.remove(id);
    for (const record of records) this.put(record);
  }

  public dispose(): void {
    for (const removal of this.removals.values()) removal.dispose();
    this.removals.clear();
  }

  private drop(id: string): void {
    this.cancelRemoval(id);
    this.records.delete(id);
    this.changed(id);
  }

  private cancelRemoval(id: string): void {
    this.removals.get(id)?.dispose();
    this.removals.delete(id);
  }

  private changed(id: string): void {
    this.byService = new Map();
    for (const listener of this.listeners) listener(id);
  }
}
