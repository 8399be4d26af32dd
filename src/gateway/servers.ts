import type {
  Clock, Disposable, Log, Role,
} from '../core/edges/index.js';
import type { StoreContact } from './contact.js';
import type { RecordSource } from './records.js';

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
  /** Number of the record among those that its server has written since its start; `null` where it states none. */
  readonly sequence: number | null;
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

/** Record of a backend server with how it was learned. */
interface KnownServer {
  readonly record: ServerRecord;
  readonly source: RecordSource;
}

/** Edges of {@link ServerRegistry}. */
export interface ServerRegistryEdges {
  readonly clock: Clock;
  readonly log: Log;
  readonly contact: StoreContact;
}

/** Removal that takes effect once its server had time to register again. */
interface HeldRemoval {
  readonly source: RecordSource;
  /** Monotonic time in ms. */
  readonly dueAt: number;
  readonly timer: Disposable;
}

/** Removed servers whose last own write is remembered, so that an older one does not bring them back. */
const MAX_REMEMBERED = 1_000;

/** Whether a server wrote `record` before `known`, in the same life. */
function isOlder(record: ServerRecord, known: ServerRecord): boolean {
  return record.bornAt !== 0 && record.bornAt === known.bornAt
    && record.sequence !== null && known.sequence !== null && record.sequence < known.sequence;
}

/** Time in ms after an outage of the store within which a live server registers again. */
const RETURN_GRACE_MS = 2_200;

/**
 * Backend servers that may be sent work. A removal that is seen after an outage of the store takes effect only once the
 * server had time to register again.
 */
export class ServerRegistry implements Disposable {
  private readonly servers = new Map<string, KnownServer>();

  private readonly removals = new Map<string, HeldRemoval>();

  private readonly removed = new Map<string, ServerRecord>();

  private readonly listeners = new Set<(id: string) => void>();

  private byService = new Map<string, readonly ServerRecord[]>();

  private readonly subscription: Disposable;

  public constructor(private readonly edges: ServerRegistryEdges) {
    this.subscription = edges.contact.onChange(() => this.reviewRemovals());
  }

  /** Servers of a service that are not draining, in order of their ids. */
  public available(service: string): readonly ServerRecord[] {
    let records = this.byService.get(service);
    if (records === undefined) {
      records = this.all()
        .filter((record) => record.service === service && !record.draining)
        .sort((left, right) => (left.id < right.id ? -1 : 1));
      this.byService.set(service, records);
    }
    return records;
  }

  public get(id: string): ServerRecord | null {
    return this.servers.get(id)?.record ?? null;
  }

  /** Revision of the store at which a server's record was learned, or `null` for an unknown one. */
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

  /** Takes over what a server wrote, unless it wrote that before what is known of it. */
  public put(record: ServerRecord, source: RecordSource): void {
    const known = this.get(record.id);
    const last = known ?? this.removed.get(record.id);
    if (last !== undefined && isOlder(record, last)) {
      this.edges.log.warn('server_record_older', {
        server: record.id, draining: record.draining, sequence: record.sequence, known: last.sequence, ...source,
      });
      return;
    }
    this.cancelRemoval(record.id);
    this.removed.delete(record.id);
    this.servers.set(record.id, { record, source });
    this.changed(record.id);
    if (known?.draining === record.draining && known.role === record.role && known.bornAt === record.bornAt) return;
    this.edges.log.info('server', {
      server: record.id,
      service: record.service,
      draining: record.draining,
      role: record.role,
      born: record.bornAt,
      sequence: record.sequence,
      ...source,
    });
  }

  /** Takes a server out, at once or after the grace that follows an outage of the store. */
  public remove(id: string, source: RecordSource): void {
    if (!this.servers.has(id) || this.removals.has(id)) return;
    const heldMs = this.graceLeftMs();
    this.edges.log.info('server_removed', { server: id, held_ms: Math.round(heldMs), ...source });
    if (heldMs === 0) this.drop(id);
    else this.hold(id, source, heldMs);
  }

  /** Takes a server out at once, whose record names none that could be used. */
  public withdraw(id: string, source: RecordSource): void {
    if (!this.servers.has(id)) return;
    this.edges.log.info('server_removed', { server: id, held_ms: 0, ...source });
    this.drop(id);
  }

  /** Takes over a complete list. */
  public replace(records: readonly ServerRecord[], source: RecordSource): void {
    const present = new Set(records.map(({ id }) => id));
    for (const id of [...this.servers.keys()]) if (!present.has(id)) this.remove(id, source);
    for (const record of records) this.put(record, source);
  }

  public dispose(): void {
    this.subscription.dispose();
    for (const { timer } of this.removals.values()) timer.dispose();
    this.removals.clear();
  }

  /** Time in ms for which removals are still held back. */
  private graceLeftMs(): number {
    return Math.max(0, this.edges.contact.returnedAt + RETURN_GRACE_MS - this.edges.clock.monotonic());
  }

  private hold(id: string, source: RecordSource, heldMs: number): void {
    const { clock, log } = this.edges;
    const timer = clock.after(heldMs, () => {
      log.info('server_removal_due', { server: id, ...source });
      this.drop(id);
    });
    this.removals.set(id, { source, dueAt: clock.monotonic() + heldMs, timer });
  }

  /** Brings held removals forward where the store turns out to have returned earlier, or never to have been away. */
  private reviewRemovals(): void {
    const heldMs = this.graceLeftMs();
    const now = this.edges.clock.monotonic();
    for (const [id, { source, dueAt, timer }] of [...this.removals]) {
      if (now + heldMs >= dueAt) continue;
      timer.dispose();
      this.hold(id, source, heldMs);
    }
  }

  private drop(id: string): void {
    this.cancelRemoval(id);
    const record = this.get(id);
    if (record !== null) this.removed.set(id, record);
    const [oldest] = this.removed.keys();
    if (this.removed.size > MAX_REMEMBERED && oldest !== undefined) this.removed.delete(oldest);
    this.servers.delete(id);
    this.changed(id);
  }

  private cancelRemoval(id: string): void {
    this.removals.get(id)?.timer.dispose();
    this.removals.delete(id);
  }

  private changed(id: string): void {
    this.byService = new Map();
    for (const listener of this.listeners) listener(id);
  }
}
