import type { KeyValueEntry, Log, Meter } from '../core/interfaces/index.js';
import { fail } from '../core/result.js';
import type { Result } from '../core/result.js';
import { reportUnexpected } from '../core/unexpected.js';
import type { Codec } from './codec.js';
import type { RecordsListener, RecordSource } from './records.js';
import type { ServerRecord, ServerRegistry } from './serverregistry.js';

/** Largest number of characters of a key or a parse error in a log line. */
const MAX_LOGGED_CHARACTERS = 200;

/** Applies server records to the registry. An invalid record removes its server. */
export class Discovery implements RecordsListener {
  public constructor(
    private readonly registry: ServerRegistry,
    private readonly deps: { readonly codec: Codec; readonly log: Log; readonly meter: Meter },
  ) {}

  public replaced(entries: readonly KeyValueEntry[], source: RecordSource): void {
    const records = entries.map(({ key, value }) => this.read(key, value) ?? this.deps.codec.serverId(key));
    for (const record of records) if (typeof record === 'string') this.registry.removeInvalid(record, source);
    this.registry.replace(records.filter((record) => typeof record !== 'string'), source);
  }

  public put({ key, value }: KeyValueEntry, source: RecordSource): void {
    const record = this.read(key, value);
    if (record === null) this.registry.removeInvalid(this.deps.codec.serverId(key), source);
    else this.registry.put(record, source);
  }

  public removed(key: string, source: RecordSource): void {
    this.registry.remove(this.deps.codec.serverId(key), source);
  }

  private read(key: string, value: string): ServerRecord | null {
    const record = this.decode(key, value);
    if (record.success) return record.data;
    const problem = record.error.slice(0, MAX_LOGGED_CHARACTERS);
    this.deps.log.warn('server_unreadable', { key: key.slice(0, MAX_LOGGED_CHARACTERS), problem });
    this.deps.meter.count('servers_unreadable');
    return null;
  }

  private decode(key: string, value: string): Result<ServerRecord, string> {
    try {
      return this.deps.codec.readServer(key, value);
    } catch (err) {
      reportUnexpected(this.deps, 'server_record', err);
      return fail(String(err));
    }
  }
}
