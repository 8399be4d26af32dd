import type { KeyValueEntry, Log, Meter } from '../core/edges/index.js';
import type { Dialect } from './dialect.js';
import type { RecordsListener, RecordSource } from './records.js';
import type { ServerRecord, ServerRegistry } from './servers.js';

/** Longest part of a key or of a problem in a log line, in characters. */
const LOGGED_CHARACTERS = 200;

/** Keeps the registry of backend servers in step with their records; one that can't be read names no server. */
export class Discovery implements RecordsListener {
  public constructor(
    private readonly registry: ServerRegistry,
    private readonly edges: { readonly dialect: Dialect; readonly log: Log; readonly meter: Meter },
  ) {}

  public replaced(entries: readonly KeyValueEntry[], source: RecordSource): void {
    const records = entries.map(({ key, value }) => this.read(key, value) ?? this.edges.dialect.serverId(key));
    for (const record of records) if (typeof record === 'string') this.registry.withdraw(record, source);
    this.registry.replace(records.filter((record) => typeof record !== 'string'), source);
  }

  public put({ key, value }: KeyValueEntry, source: RecordSource): void {
    const record = this.read(key, value);
    if (record === null) this.registry.withdraw(this.edges.dialect.serverId(key), source);
    else this.registry.put(record, source);
  }

  public removed(key: string, source: RecordSource): void {
    this.registry.remove(this.edges.dialect.serverId(key), source);
  }

  private read(key: string, value: string): ServerRecord | null {
    const record = this.edges.dialect.readServer(key, value);
    if (record.success) return record.data;
    const problem = record.error.slice(0, LOGGED_CHARACTERS);
    this.edges.log.warn('server_unreadable', { key: key.slice(0, LOGGED_CHARACTERS), problem });
    this.edges.meter.count('servers_unreadable');
    return null;
  }
}
