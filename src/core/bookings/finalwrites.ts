import type { Clock, Log } from '../interfaces/index.js';
import { BookingState } from './records.js';
import type { BookingRecord, BookingRecords } from './records.js';
import { sleep } from '../time.js';

/** Longest time for which writing the final state of a record is retried while the key-value service is down. */
const FINAL_WRITE_TIMEOUT_MS = 60_000;

/** Largest number of records that wait to be written. Beyond it, a record stays `started`, which is safe. */
const MAX_PENDING = 2_000;

/** Key, version and lease of a record that this process has created. */
export interface RecordHandle {
  readonly key: string;
  readonly version: number;
  readonly leaseId: string;
}

/** Writes the final states of booking records, if necessary after their callers have been answered. */
export class FinalWrites {
  private readonly pending = new Set<Promise<void>>();

  /** Final states that were not written. */
  private failedCount = 0;

  public constructor(
    private readonly records: BookingRecords,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Writes a final state; resolves once it is stored, refused by the service or given up. */
  public write({ key, version, leaseId }: RecordHandle, record: BookingRecord): Promise<void> {
    return this.trackPending(async () => {
      const put = await this.records.put({
        key, expected: version, record, leaseId, until: this.clock.monotonic() + FINAL_WRITE_TIMEOUT_MS,
      });
      if (put.type !== 'applied') this.giveUp(record, put.type);
    });
  }

  /** Releases a record that may still replace `version` although its call was never sent. */
  public withdraw({ key, version, leaseId }: RecordHandle, record: BookingRecord): void {
    void this.trackPending(async () => {
      const until = this.clock.monotonic() + FINAL_WRITE_TIMEOUT_MS;
      for (let tries = 0; this.clock.monotonic() < until; tries += 1) {
        await sleep(this.clock, this.records.backoffMs(tries + 4));
        const current = await this.records.read(key, until - this.clock.monotonic());
        if (current === undefined || (current?.version ?? 0) === version) continue;
        const isOwn = current?.record?.attempt === record.attempt && current.record.state === BookingState.Started;
        if (current === null || !isOwn) return;
        const released = { ...record, state: BookingState.Released };
        await this.records.put({
          key, expected: current.version, record: released, leaseId, until,
        });
        return;
      }
    });
  }

  /** Resolves once all pending writes have ended. */
  public async waitUntilIdle(): Promise<void> {
    await Promise.all(this.pending);
  }

  /** State under stable keys, for the diagnostic dump. */
  public dump(): Record<string, unknown> {
    return { pendingRecords: this.pending.size, unsettledRecords: this.failedCount };
  }

  private async trackPending(work: () => Promise<void>): Promise<void> {
    if (this.pending.size >= MAX_PENDING) {
      this.failedCount += 1;
      return;
    }
    const task = work();
    this.pending.add(task);
    await task;
    this.pending.delete(task);
  }

  private giveUp(record: BookingRecord, reason: string): void {
    this.failedCount += 1;
    this.log.warn('booking_unsettled', { attempt: record.attempt, state: record.state, reason });
  }
}
