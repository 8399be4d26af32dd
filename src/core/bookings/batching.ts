import {
  KEY_VALUE_MAX_BYTES, KEY_VALUE_MAX_OPERATIONS, KeyValueErrorCode,
} from '../interfaces/index.js';
import type {
  CallOptions, CasOperation, CasResult, Clock, KeyValue, KeyValueEntry, KeyValueError, WatchEvent,
} from '../interfaces/index.js';
import { fail, ok } from '../result.js';
import type { Result } from '../result.js';
import { withTimeout } from '../time.js';

/** Time for which a compare-and-swap waits for others that can be sent in the same call. */
export const BATCH_WAIT_MS = 2;

type TransactResult = Result<readonly CasResult[], KeyValueError>;

/** Compare-and-swaps of one caller that wait for the next call. */
interface QueuedTransaction {
  readonly operations: readonly CasOperation[];
  readonly bytes: number;
  readonly timeoutMs: number;
  readonly resolve: (result: TransactResult) => void;
}

/** Key-value client that sends compare-and-swaps that start within {@link BATCH_WAIT_MS} of each other in one call. */
export class BatchingKeyValue implements KeyValue {
  private queue: QueuedTransaction[] = [];

  private scheduled = false;

  public constructor(private readonly inner: KeyValue, private readonly clock: Clock) {}

  public async transact(operations: readonly CasOperation[], opts: CallOptions): Promise<TransactResult> {
    const bytes = operations.reduce((sum, { key, value }) => sum + key.length + Buffer.byteLength(value ?? ''), 0);
    const result = new Promise<TransactResult>((resolve) => {
      this.queue.push({
        operations, bytes, timeoutMs: opts.timeoutMs, resolve,
      });
    });
    if (!this.scheduled) {
      this.scheduled = true;
      this.clock.after(BATCH_WAIT_MS, () => this.flush());
    }
    return (await withTimeout(this.clock, opts.timeoutMs + BATCH_WAIT_MS, result))
      ?? fail({ code: KeyValueErrorCode.OutcomeUnknown, message: 'no answer within the time limit' });
  }

  public get(key: string, opts: CallOptions): Promise<Result<KeyValueEntry | null, KeyValueError>> {
    return this.inner.get(key, opts);
  }

  public range(prefix: string, opts: CallOptions): Promise<Result<readonly KeyValueEntry[], KeyValueError>> {
    return this.inner.range(prefix, opts);
  }

  public leaseGrant(ttlMs: number, opts: CallOptions): Promise<Result<string, KeyValueError>> {
    return this.inner.leaseGrant(ttlMs, opts);
  }

  public leaseRenew(leaseId: string, opts: CallOptions): Promise<Result<void, KeyValueError>> {
    return this.inner.leaseRenew(leaseId, opts);
  }

  public leaseRevoke(leaseId: string, opts: CallOptions): Promise<Result<void, KeyValueError>> {
    return this.inner.leaseRevoke(leaseId, opts);
  }

  public watch(prefix: string, fromVersion: number, signal: AbortSignal): AsyncIterable<WatchEvent> {
    return this.inner.watch(prefix, fromVersion, signal);
  }

  private flush(): void {
    this.scheduled = false;
    let group: QueuedTransaction[] = [];
    let count = 0;
    let bytes = 0;
    for (const item of this.queue) {
      const full = count + item.operations.length > KEY_VALUE_MAX_OPERATIONS
        || bytes + item.bytes > KEY_VALUE_MAX_BYTES;
      if (full && group.length > 0) {
        void this.send(group);
        [group, count, bytes] = [[], 0, 0];
      }
      group.push(item);
      count += item.operations.length;
      bytes += item.bytes;
    }
    this.queue = [];
    if (group.length > 0) void this.send(group);
  }

  private async send(group: readonly QueuedTransaction[]): Promise<void> {
    const operations = group.flatMap((item) => item.operations);
    const timeoutMs = Math.max(...group.map((item) => item.timeoutMs));
    const result = await this.inner.transact(operations, { timeoutMs });
    if (result.success) {
      let offset = 0;
      for (const item of group) {
        item.resolve(ok(result.data.slice(offset, offset + item.operations.length)));
        offset += item.operations.length;
      }
      return;
    }
    const { code } = result.error;
    // A single bad operation makes the service refuse the whole call, so each transaction is sent again by itself.
    const refused = code === KeyValueErrorCode.LeaseNotFound || code === KeyValueErrorCode.TooLarge;
    if (refused && group.length > 1) {
      await Promise.all(group.map((item) => this.send([item])));
      return;
    }
    for (const item of group) item.resolve(result);
  }
}
