import { createHash } from 'node:crypto';
import { z } from 'zod';
import { KeyValueErrorCode } from '../edges/index.js';
import type {
  CallOptions, Clock, KeyValue, KeyValueEntry, KeyValueError, Random,
} from '../edges/index.js';
import type { Result } from '../result.js';
import { sleep } from '../time.js';

/** Where a booking stands. */
export enum BookingState {
  /** An attempt may be running, may have run, or was lost. */
  Started = 'started',
  Done = 'done',
  /** The attempt was certainly not sent; the next one may run. */
  Released = 'released',
}

const outcomeSchema = z.strictObject({ requestId: z.string(), status: z.number().int(), body: z.string() });

const recordSchema = z.strictObject({
  state: z.enum(BookingState),
  attempt: z.string(),
  entry: z.string(),
  /** Hash of service, operation and body, which a repeat must match. */
  hash: z.string(),
  startedAt: z.string(),
  outcome: outcomeSchema.optional(),
});

export type StoredOutcome = z.infer<typeof outcomeSchema>;
export type BookingRecord = z.infer<typeof recordSchema>;

/** Record as read from the service; `record` is `null` where the value cannot be read. */
export interface StoredRecord {
  readonly version: number;
  readonly record: BookingRecord | null;
}

/** What became of a compare-and-swap on a record. */
export type PutOutcome =
  | { readonly type: 'applied'; readonly version: number }
  | { readonly type: 'conflict'; readonly current: StoredRecord | null }
  | { readonly type: 'lease_lost' }
  /** `maybe` tells that the write may still take effect. */
  | { readonly type: 'unavailable'; readonly maybe: boolean };

/** Compare-and-swap on one record. */
export interface PutRequest {
  readonly key: string;
  readonly expected: number;
  readonly record: BookingRecord;
  readonly leaseId: string;
  /** Monotonic time in ms until which failed tries are repeated. */
  readonly until: number;
}

const CALL_TIMEOUT_MS = 1_000;

/** The service answers in milliseconds; a repeat of a lost write is safe, so it need not wait for long. */
const FIRST_TIMEOUT_MS = 150;

/** A try waits for this multiple of the usual answer time, so that a slow service is not asked twice at once. */
const PATIENCE = 4;

/** Weight of the latest answer in the usual answer time. */
const SMOOTHING = 0.3;

const BACKOFF_FIRST_MS = 25;
const BACKOFF_MAX_MS = 2_000;

/** Key of a booking record. */
export function recordKey(workspace: string, idempotencyKey: string): string {
  return `bookings/${encodeURIComponent(workspace)}/${encodeURIComponent(idempotencyKey)}`;
}

/** Hash that tells whether two calls with the same key are the same call. */
export function callHash(service: string, operation: string, body: string): string {
  return createHash('sha256').update(JSON.stringify([service, operation, body])).digest('base64url');
}

function parse(entry: KeyValueEntry | null): StoredRecord | null {
  if (entry === null) return null;
  try {
    const parsed = recordSchema.safeParse(JSON.parse(entry.value));
    return { version: entry.version, record: parsed.success ? parsed.data : null };
  } catch {
    return { version: entry.version, record: null };
  }
}

/** Booking records in the key-value service; lost answers are settled by the attempt id. */
export class BookingRecords {
  /** Usual time to an answer, in ms. */
  private usualMs = 0;

  public constructor(
    private readonly keyValue: KeyValue,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Reads a record; `undefined` when the service gives no answer. */
  public async read(key: string, timeoutMs: number): Promise<StoredRecord | null | undefined> {
    const result = await this.timed(0, timeoutMs, (opts) => this.keyValue.get(key, opts));
    return result.success ? parse(result.data) : undefined;
  }

  /**
   * Writes a record by compare-and-swap. A try without an answer is repeated as it was: if the first one took effect,
   * the repeat does not apply and shows the record with the attempt id of this writer.
   */
  public async put({
    key, expected, record, leaseId, until,
  }: PutRequest): Promise<PutOutcome> {
    const operation = {
      key, expected, value: JSON.stringify(record), leaseId,
    };
    let maybe = false;
    for (let tries = 0; ; tries += 1) {
      const remainingMs = until - this.clock.monotonic();
      if (remainingMs <= 0) return { type: 'unavailable', maybe };
      const result = await this.timed(tries, remainingMs, (opts) => this.keyValue.transact([operation], opts));
      if (result.success) {
        const cas = result.data[0]!;
        if (cas.applied) return { type: 'applied', version: cas.version };
        const current = parse(cas.current);
        const own = current?.record?.attempt === record.attempt && current.record.state === record.state;
        return own ? { type: 'applied', version: current.version } : { type: 'conflict', current };
      }
      if (result.error.code === KeyValueErrorCode.LeaseNotFound) return { type: 'lease_lost' };
      maybe ||= result.error.code === KeyValueErrorCode.OutcomeUnknown;
      await sleep(this.clock, this.backoffMs(tries));
    }
  }

  /** Calls the service with a time limit that follows its usual answer time and doubles with each try. */
  private async timed<T>(
    tries: number,
    remainingMs: number,
    call: (opts: CallOptions) => Promise<Result<T, KeyValueError>>,
  ): Promise<Result<T, KeyValueError>> {
    const patienceMs = Math.max(FIRST_TIMEOUT_MS, this.usualMs * PATIENCE) * 2 ** Math.min(tries, 8);
    const startedAt = this.clock.monotonic();
    const result = await call({ timeoutMs: Math.min(remainingMs, patienceMs, CALL_TIMEOUT_MS) });
    if (result.success || result.error.code === KeyValueErrorCode.OutcomeUnknown) {
      const tookMs = Math.min(CALL_TIMEOUT_MS, this.clock.monotonic() - startedAt);
      this.usualMs += SMOOTHING * (tookMs - this.usualMs);
    }
    return result;
  }

  /** Jittered pause before try `tries + 2`, in ms. */
  public backoffMs(tries: number): number {
    return Math.min(BACKOFF_MAX_MS, BACKOFF_FIRST_MS * 2 ** tries) * (0.5 + this.random.float());
  }
}

/** How long a key protects against a second run. */
export const RETENTION_MS = 24 * 3_600_000;

/** Time for which one lease takes in new records. */
const LEASE_SHARED_MS = 3_600_000;

/** Lease that all records of one entry and hour share; it outlives the last of them by the retention time. */
export class SharedLease {
  private current: { readonly id: string; readonly since: number } | null = null;

  private pending: Promise<string | null> | null = null;

  public constructor(private readonly keyValue: KeyValue, private readonly clock: Clock) {}

  /** Lease for a new record; `null` while the service gives none. */
  public async get(timeoutMs: number): Promise<string | null> {
    const fresh = this.current !== null && this.clock.monotonic() - this.current.since < LEASE_SHARED_MS;
    if (fresh) return this.current!.id;
    this.pending ??= this.grant(timeoutMs);
    return this.pending;
  }

  /** Forgets a lease that the service does not know any more. */
  public lost(id: string): void {
    if (this.current?.id === id) this.current = null;
  }

  private async grant(timeoutMs: number): Promise<string | null> {
    const since = this.clock.monotonic();
    const opts = { timeoutMs: Math.min(timeoutMs, CALL_TIMEOUT_MS) };
    const result = await this.keyValue.leaseGrant(RETENTION_MS + LEASE_SHARED_MS, opts);
    this.pending = null;
    if (!result.success) return null;
    this.current = { id: result.data, since };
    return result.data;
  }
}
