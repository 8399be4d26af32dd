import { z } from 'zod';
import { KeyValueErrorCode } from '../core/interfaces/index.js';
import type {
  CasResult, Clock, KeyValue, KeyValueEntry, Log, Meter, Random,
} from '../core/interfaces/index.js';
import { safeParseJson } from '../core/json.js';
import { sleep } from '../core/time.js';
import type { ServerRegistry } from './serverregistry.js';
import { MAX_TAKE_UP_MS, ServiceVersions, streamKey } from './streamversions.js';
import type { FleetStreams, StreamBindings, StreamOrigin } from './streamversions.js';

/** Prefix of the keys under which gateways write down their streams. */
const PREFIX = 'streams/';

/** Shortest time in ms between two writes of one gateway. */
const WRITE_PERIOD_MS = 200;

/** Writes per second of all gateways together. */
const WRITES_PER_S = 100;

/** Reads per second of all gateways together. */
const READS_PER_S = 200;

const MS_PER_S = 1_000;

/** TTL in ms of the lease of a gateway's keys; after the end of the process, its streams are taken up for so long. */
const LEASE_MS = MAX_TAKE_UP_MS + 15_000;

const RENEW_PERIOD_MS = 15_000;

const CALL_TIMEOUT_MS = 400;

const RETRY_MS = 300;

/**
 * Time in ms after the store came back from a copy within which all gateways and servers have written again what it
 * lacks.
 */
const REWRITE_MS = 2_500;

/** Time in ms for which a server of a version that is not written down yet begins no streams. */
const MAX_UNWRITTEN_MS = 1_000;

/** Largest number of streams in one value, so that it stays far below {@link KEY_VALUE_MAX_BYTES}. */
const STREAMS_PER_VALUE = 4_000;

/** Largest number of characters of a gateway's name in a key. */
const MAX_NAME_CHARACTERS = 80;

/** For each service and each version of its software that is in use, the ids of the streams that began there. */
const recordSchema = z.record(z.string(), z.record(z.string(), z.array(z.string())));

/** Dependencies of {@link StreamRecords}. */
export interface StreamRecordsDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly meter: Meter;
  readonly store: KeyValue;
  readonly registry: ServerRegistry;
  readonly bindings: StreamBindings;
  /** Services that have streams which may be taken up. */
  readonly services: () => ReadonlySet<string>;
  readonly gatewayCount: () => number;
  /** Number of times that the store has come back from a copy, as far as known. */
  readonly storeEra: () => number;
  /** Reads the changes of server records that the store has now; false where it does not answer. */
  readonly refreshServers: (timeoutMs: number) => Promise<boolean>;
}

/** Value that was written last, and the version of its key. */
interface Written {
  value: string;
  version: number;
}

/**
 * Writes down which versions of the software this gateway has in use for streams that may be taken up and, while there
 * are several, where each stream began; reads what all gateways have written. The keys of a gateway outlive its process
 * by the longest time in which callers take streams up.
 */
export class StreamRecords implements FleetStreams {
  private leaseId: string | null = null;

  private renewedAt = -Infinity;

  private era = 0;

  /** Values by key; a key without lease is written anew. */
  private readonly written = new Map<string, Written>();

  private acknowledged = new ServiceVersions();

  /** Monotonic time in ms since when a version is to be written down, by service and version. */
  private readonly unwrittenSince = new Map<string, number>();

  private origins = new Map<string, StreamOrigin>();

  /** Versions that some gateway had written down at the last read. */
  private recorded = new ServiceVersions();

  /** Era of the store, and the monotonic time in ms since when it is known. */
  private seenEra = { number: 0, since: -Infinity };

  /** Versions in the records of all gateways and among the servers, with the monotonic time in ms of the last sight. */
  private readonly seen = new Map<string, Map<string, number>>();

  private hasRead = false;

  private reading: Promise<boolean> | null = null;

  private nextRead: Promise<boolean> | null = null;

  /** Monotonic time in ms at which the last read began. */
  private readAt = -Infinity;

  private isFailing = false;

  private wake = (): void => {};

  private readonly keyPrefix: string;

  public constructor(
    private readonly deps: StreamRecordsDependencies,
    { name, incarnation }: { readonly name: string; readonly incarnation: string },
  ) {
    this.keyPrefix = `${PREFIX}${encodeURIComponent(name).slice(0, MAX_NAME_CHARACTERS)}/${incarnation}/`;
  }

  /** Reads once, and then writes down what changes and renews the lease until `signal` aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    const { clock, registry } = this.deps;
    const subscription = registry.onChange((id) => this.serverChanged(id));
    try {
      while (!signal.aborted) {
        const startedAt = clock.monotonic();
        if (!this.hasRead) await this.read();
        const isDone = await this.step();
        const periodMs = Math.max(WRITE_PERIOD_MS, this.shareMs(WRITES_PER_S));
        const restMs = (isDone ? periodMs : RETRY_MS) - (clock.monotonic() - startedAt);
        if (restMs > 0) await this.pause(restMs, signal);
      }
    } finally {
      subscription.dispose();
    }
  }

  public find(id: string): StreamOrigin | null {
    return this.origins.get(streamKey(id)) ?? null;
  }

  public versions(service: string): readonly string[] {
    const since = this.deps.clock.monotonic() - MAX_TAKE_UP_MS;
    return [...this.seen.get(service) ?? []].filter(([, at]) => at >= since).map(([version]) => version);
  }

  public mayBegin(server: StreamOrigin): boolean {
    if (this.acknowledged.has(server) || !this.deps.services().has(server.service)) return true;
    const key = `${server.service}\n${server.softwareVersion}`;
    const now = this.deps.clock.monotonic();
    // The lease of a record that was just read lasts until this gateway has written its own.
    if (this.recorded.has(server) && now - this.readAt < MAX_UNWRITTEN_MS) return true;
    const since = this.unwrittenSince.get(key) ?? now;
    this.unwrittenSince.set(key, since);
    return now - since >= MAX_UNWRITTEN_MS;
  }

  /** A read that began after the call of this method; calls meanwhile share the next one. */
  public read(): Promise<boolean> {
    if (this.reading === null) {
      this.reading = this.readNow().finally(() => {
        this.reading = null;
      });
      return this.reading;
    }
    this.nextRead ??= this.reading.then(() => {
      this.nextRead = null;
      return this.read();
    });
    return this.nextRead;
  }

  /** State under stable keys. */
  public dump(): Record<string, unknown> {
    return {
      key: this.keyPrefix,
      lease: this.leaseId,
      era: this.era,
      values: this.written.size,
      in_use: Object.fromEntries(this.acknowledged.services.map((service) => [service, this.acknowledged.of(service)])),
      read: this.hasRead,
      known: this.origins.size,
    };
  }

  /** Time in ms between two calls of this gateway, by which all gateways together make no more than `perS` a second. */
  private shareMs(perS: number): number {
    return this.deps.gatewayCount() * (MS_PER_S / perS);
  }

  private async pause(ms: number, signal: AbortSignal): Promise<void> {
    const woken = new AbortController();
    this.wake = () => woken.abort();
    await sleep(this.deps.clock, ms, AbortSignal.any([signal, woken.signal]));
    this.wake = () => {};
  }

  private serverChanged(id: string): void {
    const record = this.deps.registry.get(id);
    if (record === null) return;
    this.note(record.service, record.softwareVersion);
    if (this.acknowledged.has(record) || !this.deps.services().has(record.service)) return;
    // All gateways learn of a new version at the same time.
    this.deps.clock.after(this.deps.random.float() * this.shareMs(WRITES_PER_S), () => this.wake());
  }

  private note(service: string, version: string): void {
    const versions = this.seen.get(service) ?? new Map<string, number>();
    this.seen.set(service, versions.set(version, this.deps.clock.monotonic()));
  }

  private async readNow(): Promise<boolean> {
    const { clock } = this.deps;
    await sleep(clock, Math.max(0, this.readAt + this.shareMs(READS_PER_S) - clock.monotonic()));
    this.readAt = clock.monotonic();
    const entries = await this.deps.store.range(PREFIX, { timeoutMs: CALL_TIMEOUT_MS });
    this.deps.meter.count('stream_records_read', 1, { outcome: entries.success ? 'read' : entries.error.code });
    if (!entries.success) {
      this.recorded = new ServiceVersions();
      return false;
    }
    this.hasRead = true;
    this.adoptRecords(entries.data);
    // The store may have come back from a copy between the two reads.
    return this.hasOneVersion() && await this.deps.refreshServers(CALL_TIMEOUT_MS) && this.hasBeenRewritten();
  }

  /** Whether a service is known to have one version only, so that it matters whether that is all. */
  private hasOneVersion(): boolean {
    return [...this.deps.services()].some((service) => this.versions(service).length < 2);
  }

  /** Whether the store has been back from its last copy long enough to have again what that lacked. */
  private hasBeenRewritten(): boolean {
    this.noticeEra();
    return this.deps.clock.monotonic() - this.seenEra.since >= REWRITE_MS;
  }

  private noticeEra(): void {
    const number = this.deps.storeEra();
    if (number !== this.seenEra.number) this.seenEra = { number, since: this.deps.clock.monotonic() };
  }

  private adoptRecords(entries: readonly KeyValueEntry[]): void {
    const origins = new Map<string, StreamOrigin>();
    const recorded = new ServiceVersions();
    for (const { key, value } of entries) {
      const record = recordSchema.safeParse(safeParseJson(value));
      if (!record.success) {
        this.deps.log.warn('stream_record_unreadable', { key, problem: z.prettifyError(record.error) });
        continue;
      }
      for (const [service, versions] of Object.entries(record.data)) {
        for (const [softwareVersion, ids] of Object.entries(versions)) {
          this.note(service, softwareVersion);
          recorded.add({ service, softwareVersion });
          for (const id of ids) origins.set(id, { service, softwareVersion });
        }
      }
    }
    this.origins = origins;
    this.recorded = recorded;
  }

  /** Writes what has changed; false where the store did not do so. */
  private async step(): Promise<boolean> {
    const { clock, store, storeEra } = this.deps;
    const inUse = this.versionsInUse();
    const values = this.valuesOf(inUse);
    this.noticeEra();
    if (this.era !== storeEra()) {
      // The store may have lost what was written last, and given the number of the lease to another process.
      this.era = storeEra();
      this.forgetLease();
    }
    if (this.leaseId === null) {
      const lease = await store.leaseGrant(LEASE_MS, { timeoutMs: CALL_TIMEOUT_MS });
      if (!lease.success) return this.failed(lease.error.code);
      this.leaseId = lease.data;
      this.renewedAt = clock.monotonic();
    } else if (clock.monotonic() - this.renewedAt >= RENEW_PERIOD_MS) {
      const sentAt = clock.monotonic();
      const renewed = await store.leaseRenew(this.leaseId, { timeoutMs: CALL_TIMEOUT_MS });
      if (renewed.success) this.renewedAt = sentAt;
      else return this.failed(renewed.error.code);
    }
    return this.write(values, inUse);
  }

  private async write(values: ReadonlyMap<string, string>, inUse: ServiceVersions): Promise<boolean> {
    const { store, meter, log } = this.deps;
    const changed = [...new Set([...values.keys(), ...this.written.keys()])]
      .filter((key) => (values.get(key) ?? null) !== (this.written.get(key)?.value ?? null));
    if (changed.length > 0) {
      const leaseId = this.leaseId ?? '';
      const results = await store.transact(changed.map((key) => {
        const value = values.get(key) ?? null;
        const expected = this.written.get(key)?.version ?? 0;
        return value === null ? { key, expected, value } : {
          key, expected, value, leaseId,
        };
      }), { timeoutMs: CALL_TIMEOUT_MS });
      const isApplied = results.success && results.data.every(({ applied }) => applied);
      const outcome = results.success ? 'conflict' : results.error.code;
      meter.count('stream_records_written', 1, { outcome: isApplied ? 'written' : outcome });
      if (!results.success) return this.failed(results.error.code);
      changed.forEach((key, index) => this.adopt(key, values.get(key) ?? null, results.data[index]));
      if (!isApplied) return false;
    }
    for (const service of inUse.services) {
      const added = inUse.of(service).filter((softwareVersion) => !this.acknowledged.has({ service, softwareVersion }));
      if (added.length > 0) log.info('stream_versions', { service, versions: inUse.of(service).join(' ') });
    }
    this.acknowledged = inUse;
    this.isFailing = false;
    this.unwrittenSince.clear();
    return true;
  }

  /** Takes over the version of a key after a write, or what the store has instead, because an answer was lost. */
  private adopt(key: string, value: string | null, result: CasResult | undefined): void {
    if (result === undefined) return;
    if (result.applied && value === null) this.written.delete(key);
    else if (result.applied && value !== null) this.written.set(key, { value, version: result.version });
    else if (!result.applied && result.current === null) this.written.delete(key);
    else if (!result.applied && result.current !== null) {
      this.written.set(key, { value: '', version: result.current.version });
    }
  }

  private failed(code: KeyValueErrorCode): false {
    if (!this.isFailing) this.deps.log.warn('stream_records_not_written', { code });
    this.isFailing = true;
    if (code === KeyValueErrorCode.LeaseNotFound) this.forgetLease();
    return false;
  }

  /** Has all values written again, under a lease that is to be granted. */
  private forgetLease(): void {
    this.leaseId = null;
    this.written.clear();
  }

  private versionsInUse(): ServiceVersions {
    const { registry, bindings, services } = this.deps;
    const tracked = services();
    const inUse = new ServiceVersions();
    for (const record of registry.all()) {
      if (!tracked.has(record.service)) continue;
      inUse.add(record);
      this.note(record.service, record.softwareVersion);
    }
    for (const origin of bindings.inUse()) inUse.add(origin);
    const oldest = this.deps.clock.monotonic() - MAX_TAKE_UP_MS;
    for (const versions of this.seen.values()) {
      for (const [version, at] of versions) if (at < oldest) versions.delete(version);
    }
    return inUse;
  }

  private valuesOf(inUse: ServiceVersions): ReadonlyMap<string, string> {
    const streams = [...this.deps.bindings.unexpired()].filter(([, { service, finished }]) => (
      !finished && inUse.of(service).length > 1
    ));
    const values = new Map<string, string>();
    for (let part = 0; part === 0 || part * STREAMS_PER_VALUE < streams.length; part += 1) {
      const ids = streams.slice(part * STREAMS_PER_VALUE, (part + 1) * STREAMS_PER_VALUE);
      const record = inUse.services.map((service) => [service, Object.fromEntries(inUse.of(service).map((version) => [
        version,
        ids.flatMap(([id, origin]) => (origin.service === service && origin.softwareVersion === version ? [id] : [])),
      ]))]);
      values.set(`${this.keyPrefix}${part}`, JSON.stringify(Object.fromEntries(record)));
    }
    return values;
  }
}
