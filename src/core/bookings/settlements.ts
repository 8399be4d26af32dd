import type { Clock, Log } from '../edges/index.js';
import { BookingState } from './records.js';
import type { BookingRecord, BookingRecords } from './records.js';
import { sleep } from '../time.js';

/** Time for which the final state of a record is tried to be written while the service is down. */
const SETTLE_MS = 60_000;

/** Most records that wait to be written; beyond it a record stays `started`, which is safe. */
const PENDING_MAX = 2_000;

/** Version and lease of a record that this process created. */
export interface Settled {
  readonly key: string;
  readonly version: number;
  readonly leaseId: string;
}

/** Writes the final states of booking records, also after their callers have been answered. */
export class Settlements {
  private readonly pending = new Set<Promise<void>>();

  private failed = 0;

  public constructor(
    private readonly records: BookingRecords,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Writes the final state; resolves when it is stored, refused or given up. */
  public write({ key, version, leaseId }: Settled, record: BookingRecord): Promise<void> {
    return this.track(async () => {
      const put = await this.records.put({
        key, expected: version, record, leaseId, until: this.clock.monotonic() + SETTLE_MS,
      });
      if (put.type !== 'applied') this.giveUp(record, put.type);
    });
  }

  /** Releases a record that may still appear over `version` although its call was not sent. */
  public withdraw({ key, version, leaseId }: Settled, record: BookingRecord): void {
    void this.track(async () => {
      const until = this.clock.monotonic() + SETTLE_MS;
      for (let tries = 0; this.clock.monotonic() < until; tries += 1) {
        await sleep(this.clock, this.records.backoffMs(tries + 4));
        const current = await this.records.read(key, until - this.clock.monotonic());
        if (current === undefined || (current?.version ?? 0) === version) continue;
        const own = current?.record?.attempt === record.attempt && current.record.state === BookingState.Started;
        if (current === null || !own) return;
        const released = { ...record, state: BookingState.Released };
        await this.records.put({
          key, expected: current.version, record: released, leaseId, until,
        });
        return;
      }
    });
  }

  public async idle(): Promise<void> {
    await Promise.all(this.pending);
  }

  public dump(): Record<string, unknown> {
    return { pendingRecords: this.pending.size, unsettledRecords: this.failed };
  }

  private async track(work: () => Promise<void>): Promise<void> {
    if (this.pending.size >= PENDING_MAX) {
      this.failed += 1;
      return;
    }
    const task = work();
    this.pending.add(task);
    await task;
    this.pending.delete(task);
  }

  private giveUp(record: BookingRecord, reason: string): void {
    this.failed += 1;
    this.log.warn('booking_unsettled', { attempt: record.attempt, state: record.state, reason });
  }
}
