import {
  KEY_VALUE_MAX_BYTES, KEY_VALUE_MAX_OPERATIONS, KeyValueErrorCode,
} from '../core/interfaces/index.js';
import type {
  CallOptions, CasOperation, CasResult, Clock, KeyValue, KeyValueEntry, KeyValueError, WatchEvent,
} from '../core/interfaces/index.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { sleep } from '../core/time.js';

interface Lease {
  readonly ttlMs: number;
  expiresAt: number;
}

interface Watcher {
  readonly prefix: string;
  readonly pending: WatchEvent[];
  wake: () => void;
  ended: boolean;
}

const MAX_HISTORY_EVENTS = 10_000;

function matchesPrefix(event: WatchEvent, prefix: string): boolean {
  return (event.type === 'put' ? event.entry.key : event.key).startsWith(prefix);
}

function versionOf(event: WatchEvent): number {
  return event.type === 'put' ? event.entry.version : event.version;
}

/** Data, leases and watches of the emulated key-value service, shared by all of its clients. */
export class KeyValueStore {
  private readonly entries = new Map<string, KeyValueEntry>();

  private readonly leases = new Map<string, Lease>();

  private readonly watchers = new Set<Watcher>();

  private readonly history: WatchEvent[] = [];

  private version = 0;

  private batchVersion: number | null = null;

  private leaseCount = 0;

  /** While true, every call fails. */
  public down = false;

  /** Delay before each answer, in ms; half of it passes before the call takes effect. */
  public latencyMs = 2;

  /** Number of following writes, by any client, that take effect but whose answer is lost. */
  public loseAnswers = 0;

  /** Number of calls since the start, by method; a watch counts as one call, however long it lasts. */
  public readonly calls: Record<string, number> = {};

  public constructor(private readonly clock: Clock) {}

  /** Current entry of a key, for tests; not counted as a call. */
  public peek(key: string): KeyValueEntry | undefined {
    this.expireLeases();
    return this.entries.get(key);
  }

  /** Ends all watches, as a restart of the service does. */
  public breakWatches(): void {
    for (const watcher of this.watchers) {
      watcher.ended = true;
      watcher.wake();
    }
  }

  /** Expires a lease at once and deletes its keys. */
  public expireLease(leaseId: string): void {
    const lease = this.leases.get(leaseId);
    if (lease !== undefined) lease.expiresAt = this.clock.monotonic();
    this.expireLeases();
  }

  /** Ids of all leases that have not expired. */
  public leaseIds(): string[] {
    this.expireLeases();
    return [...this.leases.keys()];
  }

  public read(key: string): KeyValueEntry | null {
    this.expireLeases();
    return this.entries.get(key) ?? null;
  }

  public list(prefix: string): KeyValueEntry[] {
    this.expireLeases();
    return [...this.entries.values()]
      .filter((entry) => entry.key.startsWith(prefix))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  /** Applies the operations of one call, each on its own condition; all writes of the call get the same version. */
  public applyAll(operations: readonly CasOperation[]): CasResult[] {
    this.expireLeases();
    this.batchVersion = this.version + 1;
    const results = operations.map((operation) => this.apply(operation));
    this.batchVersion = null;
    return results;
  }

  private apply(operation: CasOperation): CasResult {
    const current = this.entries.get(operation.key) ?? null;
    if ((current?.version ?? 0) !== operation.expected) return { applied: false, current };
    if (operation.value === null) this.remove(operation.key);
    else this.put(operation.key, operation.value, operation.leaseId);
    return { applied: true, version: this.version };
  }

  public grant(ttlMs: number): string {
    this.leaseCount += 1;
    const leaseId = String(this.leaseCount);
    this.leases.set(leaseId, { ttlMs, expiresAt: this.clock.monotonic() + ttlMs });
    this.clock.after(ttlMs, () => this.expireLeases());
    return leaseId;
  }

  public renew(leaseId: string): boolean {
    this.expireLeases();
    const lease = this.leases.get(leaseId);
    if (lease === undefined) return false;
    lease.expiresAt = this.clock.monotonic() + lease.ttlMs;
    this.clock.after(lease.ttlMs, () => this.expireLeases());
    return true;
  }

  public hasLease(leaseId: string): boolean {
    this.expireLeases();
    return this.leases.has(leaseId);
  }

  public revoke(leaseId: string): void {
    this.expireLease(leaseId);
  }

  public addWatcher(prefix: string, fromVersion: number): Watcher {
    const watcher: Watcher = {
      prefix,
      pending: this.history.filter((event) => matchesPrefix(event, prefix) && versionOf(event) >= fromVersion),
      wake: () => {},
      ended: false,
    };
    this.watchers.add(watcher);
    return watcher;
  }

  public removeWatcher(watcher: Watcher): void {
    this.watchers.delete(watcher);
  }

  private put(key: string, value: string, leaseId: string | undefined): void {
    this.version = this.batchVersion ?? this.version + 1;
    const entry: KeyValueEntry = {
      key, value, version: this.version, ...(leaseId === undefined ? {} : { leaseId }),
    };
    this.entries.set(key, entry);
    this.publish({ type: 'put', entry });
  }

  private remove(key: string): void {
    this.version = this.batchVersion ?? this.version + 1;
    this.entries.delete(key);
    this.publish({ type: 'delete', key, version: this.version });
  }

  private publish(event: WatchEvent): void {
    this.history.push(event);
    if (this.history.length > MAX_HISTORY_EVENTS) this.history.splice(0, MAX_HISTORY_EVENTS / 2);
    for (const watcher of this.watchers) {
      if (!matchesPrefix(event, watcher.prefix)) continue;
      watcher.pending.push(event);
      watcher.wake();
    }
  }

  private expireLeases(): void {
    const time = this.clock.monotonic();
    for (const [leaseId, lease] of this.leases) {
      if (lease.expiresAt > time) continue;
      this.leases.delete(leaseId);
      for (const entry of [...this.entries.values()]) {
        if (entry.leaseId === leaseId) this.remove(entry.key);
      }
    }
  }
}

function unavailableError(): KeyValueError {
  return { code: KeyValueErrorCode.Unavailable, message: 'the key-value service did not answer' };
}

function outcomeUnknownError(): KeyValueError {
  return { code: KeyValueErrorCode.OutcomeUnknown, message: 'the answer to the write was lost' };
}

/** One client's connection to the emulated service; `cut` simulates a network partition of this client only. */
export class EmulatedKeyValue implements KeyValue {
  /** While true, this client's calls fail. */
  public cut = false;

  /** Number of following writes of this client that take effect but whose answer is lost. */
  public loseAnswers = 0;

  public constructor(private readonly store: KeyValueStore, private readonly clock: Clock) {}

  public get(key: string, opts: CallOptions): Promise<Result<KeyValueEntry | null, KeyValueError>> {
    return this.simulateCall('get', opts, () => ok(this.store.read(key)));
  }

  public range(prefix: string, opts: CallOptions): Promise<Result<readonly KeyValueEntry[], KeyValueError>> {
    return this.simulateCall('range', opts, () => ok(this.store.list(prefix)));
  }

  public transact(
    operations: readonly CasOperation[],
    opts: CallOptions,
  ): Promise<Result<readonly CasResult[], KeyValueError>> {
    return this.simulateCall('transact', opts, () => {
      const isTooLarge = operations.length > KEY_VALUE_MAX_OPERATIONS
        || operations.some((operation) => Buffer.byteLength(operation.value ?? '') > KEY_VALUE_MAX_BYTES);
      if (isTooLarge) return fail({ code: KeyValueErrorCode.TooLarge, message: 'the request is too large' });
      const leaseIsMissing = operations.some(({ leaseId }) => leaseId !== undefined && !this.store.hasLease(leaseId));
      if (leaseIsMissing) return fail({ code: KeyValueErrorCode.LeaseNotFound, message: 'the lease has expired' });
      return ok(this.store.applyAll(operations));
    }, true);
  }

  public leaseGrant(ttlMs: number, opts: CallOptions): Promise<Result<string, KeyValueError>> {
    return this.simulateCall('leaseGrant', opts, () => ok(this.store.grant(ttlMs)), true);
  }

  public leaseRenew(leaseId: string, opts: CallOptions): Promise<Result<void, KeyValueError>> {
    return this.simulateCall('leaseRenew', opts, () => (this.store.renew(leaseId)
      ? ok(undefined)
      : fail({ code: KeyValueErrorCode.LeaseNotFound, message: 'the lease has expired' })), true);
  }

  public leaseRevoke(leaseId: string, opts: CallOptions): Promise<Result<void, KeyValueError>> {
    return this.simulateCall('leaseRevoke', opts, () => {
      this.store.revoke(leaseId);
      return ok(undefined);
    }, true);
  }

  public async* watch(prefix: string, fromVersion: number, signal: AbortSignal): AsyncIterable<WatchEvent> {
    this.countCall('watch');
    if (this.isUnreachable()) return;
    const watcher = this.store.addWatcher(prefix, fromVersion);
    const wake = (): void => watcher.wake();
    signal.addEventListener('abort', wake);
    try {
      while (!signal.aborted && !watcher.ended && !this.isUnreachable()) {
        const event = watcher.pending.shift();
        if (event !== undefined) {
          yield event;
          continue;
        }
        await new Promise<void>((resolve) => {
          watcher.wake = resolve;
        });
      }
    } finally {
      signal.removeEventListener('abort', wake);
      this.store.removeWatcher(watcher);
    }
  }

  private async simulateCall<T>(
    method: string,
    opts: CallOptions,
    action: () => Result<T, KeyValueError>,
    write = false,
  ): Promise<Result<T, KeyValueError>> {
    this.countCall(method);
    const delayMs = this.store.latencyMs;
    if (this.isUnreachable()) {
      await sleep(this.clock, Math.min(delayMs, opts.timeoutMs), opts.signal);
      return fail(unavailableError());
    }
    if (delayMs > opts.timeoutMs) {
      // As with a real slow server, the write takes effect although the client has already timed out.
      if (write) this.clock.after(delayMs / 2, action);
      await sleep(this.clock, opts.timeoutMs, opts.signal);
      return fail(write ? outcomeUnknownError() : unavailableError());
    }
    await sleep(this.clock, delayMs / 2, opts.signal);
    if (this.isUnreachable()) return fail(write ? outcomeUnknownError() : unavailableError());
    const result = action();
    if (write && this.shouldLoseAnswer()) {
      await sleep(this.clock, opts.timeoutMs, opts.signal);
      return fail(outcomeUnknownError());
    }
    await sleep(this.clock, delayMs / 2, opts.signal);
    if (this.isUnreachable()) return fail(write ? outcomeUnknownError() : unavailableError());
    return result;
  }

  private shouldLoseAnswer(): boolean {
    if (this.loseAnswers > 0) {
      this.loseAnswers -= 1;
      return true;
    }
    if (this.store.loseAnswers > 0) {
      this.store.loseAnswers -= 1;
      return true;
    }
    return false;
  }

  private isUnreachable(): boolean {
    return this.cut || this.store.down;
  }

  private countCall(method: string): void {
    this.store.calls[method] = (this.store.calls[method] ?? 0) + 1;
  }
}
