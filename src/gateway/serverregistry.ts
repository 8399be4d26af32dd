import type {
  Clock, Disposable, Log, Role,
} from '../core/interfaces/index.js';
import type { StoreContact } from './contact.js';
import type { RecordSource } from './records.js';

/** Model weights that an engine has loaded. */
export interface ServedModel {
  readonly name: string;
  readonly version: number;
}

/** Record of one backend server in the store. */
export interface ServerRecord {
  readonly id: string;
  /** Unix time in ms at which the server started. A server that restarts under its id has lost its state. */
  readonly bornAt: number;
  /** Sequence number of the record among those that the server wrote since it started; `null` where it has none. */
  readonly sequence: number | null;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: string;
  /** Version of the server's software, not of its weights. */
  readonly softwareVersion: string;
  /** Number of requests that the server runs at once. */
  readonly slots: number;
  readonly draining: boolean;
  /** Whether the provider may take the server back at any time, as it costs less. */
  readonly reclaimable: boolean;
  /** `null` for a server of a plain service. */
  readonly role: Role | null;
  readonly models: readonly ServedModel[];
}

/** Record of a backend server, and where it came from. */
interface KnownServer {
  readonly record: ServerRecord;
  /** Monotonic time in ms at which this incarnation was first read. */
  readonly since: number;
  readonly source: RecordSource;
}

/** Dependencies of {@link ServerRegistry}. */
export interface ServerRegistryDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly contact: StoreContact;
}

/** Removal that is delayed to give its server time to register again. */
interface DelayedRemoval {
  readonly source: RecordSource;
  /** Monotonic time in ms at which the removal takes effect. */
  readonly dueAt: number;
  readonly timer: Disposable;
}

/** Largest number of removed servers of which the last record and the leaving are kept. */
const MAX_REMOVED_RECORDS = 1_000;

/** Whether the same incarnation of a server wrote `record` before `known`. */
function isOlder(record: ServerRecord, known: ServerRecord): boolean {
  return record.bornAt !== 0 && record.bornAt === known.bornAt
    && record.sequence !== null && known.sequence !== null && record.sequence < known.sequence;
}

/** Time in ms after an outage of the store within which every live server has registered again. */
const REGISTRATION_GRACE_MS = 2_200;

/**
 * Registered backend servers. A removal that is read shortly after an outage of the store takes effect only once the
 * server had time to register again.
 */
export class ServerRegistry implements Disposable {
  private readonly servers = new Map<string, KnownServer>();

  private readonly delayedRemovals = new Map<string, DelayedRemoval>();

  private readonly removedRecords = new Map<string, ServerRecord>();

  /** Start time of the incarnation that has said in an answer that it leaves, by server id. */
  private readonly leavingSince = new Map<string, number>();

  private readonly listeners = new Set<(id: string) => void>();

  private byService = new Map<string, readonly ServerRecord[]>();

  private readonly subscription: Disposable;

  public constructor(private readonly deps: ServerRegistryDependencies) {
    this.subscription = deps.contact.onChange(() => this.rescheduleRemovals());
  }

  /** Servers of a service that do not leave, ordered by id. */
  public available(service: string): readonly ServerRecord[] {
    let records = this.byService.get(service);
    if (records === undefined) {
      records = this.all()
        .filter((record) => record.service === service && !this.isLeaving(record))
        .sort((left, right) => (left.id < right.id ? -1 : 1));
      this.byService.set(service, records);
    }
    return records;
  }

  /** Whether an incarnation leaves, by its record or by what it has said in an answer. */
  public isLeaving({ id, bornAt, draining }: ServerRecord): boolean {
    return draining || this.leavingSince.get(id) === bornAt;
  }

  /**
   * Records that an incarnation has said in an answer that it leaves; returns whether that is new. Only a new
   * incarnation undoes it, no record and no removal.
   */
  public recordLeaving(id: string, bornAt: number): boolean {
    const known = this.leavingSince.get(id);
    const current = (this.get(id) ?? this.removedRecords.get(id))?.bornAt;
    if (known === bornAt || (known !== undefined && known === current)) return false;
    this.leavingSince.delete(id);
    this.leavingSince.set(id, bornAt);
    if (this.leavingSince.size > this.servers.size + MAX_REMOVED_RECORDS) {
      const oldest = [...this.leavingSince.keys()].find((other) => !this.servers.has(other));
      if (oldest !== undefined) this.leavingSince.delete(oldest);
    }
    this.changed(id);
    return true;
  }

  /** Number of incarnations that are remembered because they have said that they leave. */
  public get leavingCount(): number {
    return this.leavingSince.size;
  }

  public get(id: string): ServerRecord | null {
    return this.servers.get(id)?.record ?? null;
  }

  /** Monotonic time in ms at which the incarnation of a server was first read; now for an unknown server. */
  public knownSince(id: string): number {
    return this.servers.get(id)?.since ?? this.deps.clock.monotonic();
  }

  /** Store revision at which a server's record was read, or `null` for an unknown server. */
  public revision(id: string): number | null {
    return this.servers.get(id)?.source.revision ?? null;
  }

  public all(): readonly ServerRecord[] {
    return [...this.servers.values()].map(({ record }) => record);
  }

  /** Calls `listener` with the id of each server that was added, changed or removed. */
  public onChange(listener: (id: string) => void): Disposable {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  }

  /** Adds or updates a server, unless the record is older than the last known one. */
  public put(record: ServerRecord, source: RecordSource): void {
    const known = this.get(record.id);
    const last = known ?? this.removedRecords.get(record.id);
    if (last !== undefined && isOlder(record, last)) {
      this.deps.log.warn('server_record_older', {
        server: record.id, draining: record.draining, sequence: record.sequence, known: last.sequence, ...source,
      });
      return;
    }
    this.cancelRemoval(record.id);
    this.removedRecords.delete(record.id);
    const since = known?.bornAt === record.bornAt ? this.knownSince(record.id) : this.deps.clock.monotonic();
    this.servers.set(record.id, { record, source, since });
    this.changed(record.id);
    if (known?.draining === record.draining && known.role === record.role && known.bornAt === record.bornAt) return;
    this.deps.log.info('server', {
      server: record.id,
      service: record.service,
      software: record.softwareVersion,
      draining: record.draining,
      role: record.role,
      born: record.bornAt,
      sequence: record.sequence,
      ...source,
    });
  }

  /** Removes a server, at once or, shortly after an outage of the store, once it had time to register again. */
  public remove(id: string, source: RecordSource): void {
    if (!this.servers.has(id) || this.delayedRemovals.has(id)) return;
    const delayMs = this.removalDelayMs();
    this.deps.log.info('server_removed', { server: id, held_ms: Math.round(delayMs), ...source });
    if (delayMs === 0) this.removeNow(id);
    else this.delayRemoval(id, source, delayMs);
  }

  /** Removes a server at once, because its record is invalid. */
  public removeInvalid(id: string, source: RecordSource): void {
    if (!this.servers.has(id)) return;
    this.deps.log.info('server_removed', { server: id, held_ms: 0, ...source });
    this.removeNow(id);
  }

  /** Updates the registry to a complete list: removes the servers that are missing from it. */
  public replace(records: readonly ServerRecord[], source: RecordSource): void {
    const present = new Set(records.map(({ id }) => id));
    for (const id of [...this.servers.keys()]) if (!present.has(id)) this.remove(id, source);
    for (const record of records) this.put(record, source);
  }

  public dispose(): void {
    this.subscription.dispose();
    for (const { timer } of this.delayedRemovals.values()) timer.dispose();
    this.delayedRemovals.clear();
  }

  /** Time in ms by which a removal must be delayed now; 0 unless an outage ended a short time ago. */
  private removalDelayMs(): number {
    return Math.max(0, this.deps.contact.recoveredAt + REGISTRATION_GRACE_MS - this.deps.clock.monotonic());
  }

  private delayRemoval(id: string, source: RecordSource, delayMs: number): void {
    const { clock, log } = this.deps;
    const timer = clock.after(delayMs, () => {
      log.info('server_removal_due', { server: id, ...source });
      this.removeNow(id);
    });
    this.delayedRemovals.set(id, { source, dueAt: clock.monotonic() + delayMs, timer });
  }

  /** Advances delayed removals after it turned out that the outage ended earlier, or that there was none. */
  private rescheduleRemovals(): void {
    const delayMs = this.removalDelayMs();
    const now = this.deps.clock.monotonic();
    for (const [id, { source, dueAt, timer }] of [...this.delayedRemovals]) {
      if (now + delayMs >= dueAt) continue;
      timer.dispose();
      this.delayRemoval(id, source, delayMs);
    }
  }

  private removeNow(id: string): void {
    this.cancelRemoval(id);
    const record = this.get(id);
    if (record !== null) this.removedRecords.set(id, record);
    const [oldest] = this.removedRecords.keys();
    if (this.removedRecords.size > MAX_REMOVED_RECORDS && oldest !== undefined) this.removedRecords.delete(oldest);
    this.servers.delete(id);
    this.changed(id);
  }

  private cancelRemoval(id: string): void {
    this.delayedRemovals.get(id)?.timer.dispose();
    this.delayedRemovals.delete(id);
  }

  /** Discards cached lists and notifies the listeners of a change. */
  private changed(id: string): void {
    this.byService = new Map();
    for (const listener of this.listeners) listener(id);
  }
}
