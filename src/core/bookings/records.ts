import { createHash } from 'node:crypto';
import { z } from 'zod';
import { KeyValueErrorCode } from '../interfaces/index.js';
import type {
  CallOptions, Clock, KeyValue, KeyValueEntry, KeyValueError, Random,
} from '../interfaces/index.js';
import type { Result } from '../result.js';
import { sleep } from '../time.js';

/** State of a booking record. */
export enum BookingState {
  /** An attempt may be running or may have run; its outcome is not known. */
  Started = 'started',
  /** The attempt was answered. */
  Done = 'done',
  /** The attempt was certainly not sent, so another one may run. */
  Released = 'released',
}

const outcomeSchema = z.strictObject({ requestId: z.string(), status: z.number().int(), body: z.string() });

const recordSchema = z.strictObject({
  state: z.enum(BookingState),
  attempt: z.string(),
  entry: z.string(),
  /** Hash of service, operation and body; a repeat must have the same. */
  hash: z.string(),
  startedAt: z.string(),
  outcome: outcomeSchema.optional(),
});

/** Answer of a plain service as it is stored in a booking record. */
export type StoredOutcome = z.infer<typeof outcomeSchema>;

/** Booking record as it is stored; `outcome` is missing if the answer was too large. */
export type BookingRecord = z.infer<typeof recordSchema>;

/** Record as read from the key-value service; `record` is `null` if the value cannot be parsed. */
export interface StoredRecord {
  readonly version: number;
  readonly record: BookingRecord | null;
}

/** Result of a compare-and-swap on a record. */
export type PutOutcome =
  | { readonly type: 'applied'; readonly version: number }
  | { readonly type: 'conflict'; readonly current: StoredRecord | null }
  | { readonly type: 'lease_lost' }
  /** The service did not answer; `mayApply` is true if the write may have taken effect or may still do so. */
  | { readonly type: 'unavailable'; readonly mayApply: boolean };

/** Compare-and-swap on one record. */
export interface PutRequest {
  readonly key: string;
  readonly expected: number;
  readonly record: BookingRecord;
  readonly leaseId: string;
  /** Monotonic time in ms until which a failed write is tried again. */
  readonly until: number;
}

/** Upper bound of the timeout of a call to the service. */
const CALL_TIMEOUT_MS = 1_000;

/** Lower bound of the timeout. The service answers within milliseconds, and repeating a lost write is safe. */
const FIRST_TIMEOUT_MS = 150;

/** The timeout is at least this multiple of the typical latency, so that a slow service does not get a write twice. */
const TIMEOUT_FACTOR = 4;

/** Weight of the latest call in the typical latency. */
const LATENCY_SMOOTHING = 0.3;

const BACKOFF_FIRST_MS = 25;
const BACKOFF_MAX_MS = 2_000;

/** Key of a booking record. */
export function recordKey(workspace: string, idempotencyKey: string): string {
  return `bookings/${encodeURIComponent(workspace)}/${encodeURIComponent(idempotencyKey)}`;
}

/** Hash that is equal for two calls with the same key only if they are the same call. */
export function callHash(service: string, operation: string, body: string): string {
  return createHash('sha256').update(JSON.stringify([service, operation, body])).digest('base64url');
}

function parseRecord(entry: KeyValueEntry | null): StoredRecord | null {
  if (entry === null) return null;
  try {
    const parsed = recordSchema.safeParse(JSON.parse(entry.value));
    return { version: entry.version, record: parsed.success ? parsed.data : null };
  } catch {
    return { version: entry.version, record: null };
  }
}

/** Reads and writes booking records. If the answer to a write is lost, the record's attempt id shows the outcome. */
export class BookingRecords {
  /** Smoothed latency of the service, in ms. */
  private typicalMs = 0;

  public constructor(
    private readonly keyValue: KeyValue,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Reads a record; `null` if there is none, `undefined` if the service does not answer. */
  public async read(key: string, timeoutMs: number): Promise<StoredRecord | null | undefined> {
    const result = await this.callWithTimeout(0, timeoutMs, (opts) => this.keyValue.get(key, opts));
    return result.success ? parseRecord(result.data) : undefined;
  }

  /**
   * Writes a record by compare-and-swap. A try without an answer is repeated unchanged: if the first one took effect,
   * the repeat is not applied and returns the record, which has the attempt id of this writer.
   */
  public async put({
    key, expected, record, leaseId, until,
  }: PutRequest): Promise<PutOutcome> {
    const operation = {
      key, expected, value: JSON.stringify(record), leaseId,
    };
    let mayApply = false;
    for (let tries = 0; ; tries += 1) {
      const remainingMs = until - this.clock.monotonic();
      if (remainingMs <= 0) return { type: 'unavailable', mayApply };
      const result = await this
        .callWithTimeout(tries, remainingMs, (opts) => this.keyValue.transact([operation], opts));
      if (result.success) {
        const cas = result.data[0]!;
        if (cas.applied) return { type: 'applied', version: cas.version };
        const current = parseRecord(cas.current);
        const isOwn = current?.record?.attempt === record.attempt && current.record.state === record.state;
        return isOwn ? { type: 'applied', version: current.version } : { type: 'conflict', current };
      }
      if (result.error.code === KeyValueErrorCode.LeaseNotFound) return { type: 'lease_lost' };
      mayApply ||= result.error.code === KeyValueErrorCode.OutcomeUnknown;
      await sleep(this.clock, this.backoffMs(tries));
    }
  }

  /** Calls the service with a timeout that follows its typical latency and doubles with each try. */
  private async callWithTimeout<T>(
    tries: number,
    remainingMs: number,
    call: (opts: CallOptions) => Promise<Result<T, KeyValueError>>,
  ): Promise<Result<T, KeyValueError>> {
    const tryTimeoutMs = Math.max(FIRST_TIMEOUT_MS, this.typicalMs * TIMEOUT_FACTOR) * 2 ** Math.min(tries, 8);
    const startedAt = this.clock.monotonic();
    const result = await call({ timeoutMs: Math.min(remainingMs, tryTimeoutMs, CALL_TIMEOUT_MS) });
    if (result.success || result.error.code === KeyValueErrorCode.OutcomeUnknown) {
      const tookMs = Math.min(CALL_TIMEOUT_MS, this.clock.monotonic() - startedAt);
      this.typicalMs += LATENCY_SMOOTHING * (tookMs - this.typicalMs);
    }
    return result;
  }

  /** Pause in ms, with jitter, after `tries + 1` failed tries. */
  public backoffMs(tries: number): number {
    return Math.min(BACKOFF_MAX_MS, BACKOFF_FIRST_MS * 2 ** tries) * (0.5 + this.random.float());
  }
}

/** Time in ms for which an idempotency key protects against a second run. */
export const RETENTION_MS = 24 * 3_600_000;

/** Time in ms for which a lease is used for new records. */
const LEASE_REUSE_MS = 3_600_000;

/**
 * Lease shared by all records that one entry creates within an hour. Its TTL is long enough that the last of them is
 * kept for the retention time.
 */
export class SharedLease {
  private current: { readonly id: string; readonly since: number } | null = null;

  private pending: Promise<string | null> | null = null;

  public constructor(private readonly keyValue: KeyValue, private readonly clock: Clock) {}

  /** Id of the lease for a new record; `null` if the service did not grant one. */
  public async get(timeoutMs: number): Promise<string | null> {
    const isReusable = this.current !== null && this.clock.monotonic() - this.current.since < LEASE_REUSE_MS;
    if (isReusable) return this.current!.id;
    this.pending ??= this.grant(timeoutMs);
    return this.pending;
  }

  /** Stops using a lease that the service no longer has. */
  public forget(id: string): void {
    if (this.current?.id === id) this.current = null;
  }

  private async grant(timeoutMs: number): Promise<string | null> {
    const since = this.clock.monotonic();
    const opts = { timeoutMs: Math.min(timeoutMs, CALL_TIMEOUT_MS) };
    const result = await this.keyValue.leaseGrant(RETENTION_MS + LEASE_REUSE_MS, opts);
    this.pending = null;
    if (!result.success) return null;
    this.current = { id: result.data, since };
    return result.data;
  }
}
