import type { ServiceClient, ServiceRequest } from './calls.js';
import type {
  Clock, KeyValue, Log, Random,
} from '../interfaces/index.js';
import {
  BookingRecords, BookingState, callHash, recordKey, SharedLease,
} from './records.js';
import type { BookingRecord, StoredOutcome, StoredRecord } from './records.js';
import { RanStatus } from '../refusals.js';
import type { Refusal } from '../refusals.js';
import { assertNever, fail, ok } from '../result.js';
import type { Result } from '../result.js';
import { FinalWrites } from './finalwrites.js';
import { sleep, withTimeout } from '../time.js';

/** Answer of a plain service; `repeated` is true if it is the stored outcome of an earlier call. */
export interface ServiceOutcome {
  readonly requestId: string;
  readonly status: number;
  readonly body: string;
  readonly repeated: boolean;
}

/** Dependencies of {@link Bookings}. */
export interface BookingsDependencies {
  readonly clock: Clock;
  readonly random: Random;
  /** Preferably a `BatchingKeyValue`, so that records written at the same time share a call. */
  readonly keyValue: KeyValue;
  readonly log: Log;
}

type Answer = Result<ServiceOutcome, Refusal>;

/** Record that this process has created; it gives the process the right to run the call. */
interface Claim {
  readonly key: string;
  readonly version: number;
  readonly leaseId: string;
  readonly record: BookingRecord;
}

/** Longest idempotency key, in characters. */
export const IDEMPOTENCY_KEY_MAX = 256;

/** Largest body of an outcome that is stored, in bytes; a repeat after a larger one is answered with `ran: unknown`. */
const OUTCOME_MAX_BYTES = 262_144;

/** Longest time for which a call tries to create its record while the key-value service does not answer. */
const STORE_TIMEOUT_MS = 2_000;

/** Longest time for which an answer is held back until its outcome is stored; the write continues after it. */
const OUTCOME_WAIT_MS = 100;

/** Pauses between reads of a record whose call is still running. */
const POLL_FIRST_MS = 25;
const POLL_MAX_MS = 500;

/** Time after which callers are told to retry a refused call. */
const RETRY_AFTER_MS = 1_000;

function toStoredOutcome({ requestId, status, body }: StoredOutcome): StoredOutcome {
  return { requestId, status, body };
}

function notSentRefusal(reason: 'no_server' | 'deadline'): Refusal {
  return reason === 'deadline'
    ? { code: 'deadline_exceeded', ran: RanStatus.No }
    : { code: 'no_server', retryAfterMs: RETRY_AFTER_MS };
}

/**
 * Whether a call with the record's key has run. This is about the key, whatever the body: a caller that reuses a key
 * with another body must not conclude that nothing has run.
 */
function ranFromRecord({ state }: BookingRecord): RanStatus {
  switch (state) {
    case BookingState.Done:
      return RanStatus.Yes;
    case BookingState.Released:
      return RanStatus.No;
    case BookingState.Started:
      return RanStatus.Unknown;
    default:
      return assertNever(state);
  }
}

/** Answer to a call with `hash` whose key already has a record; `null` if the call may run. */
function answerFromRecord({ record }: StoredRecord, hash: string): Answer | null {
  if (record === null) return fail({ code: 'outcome_unknown' });
  if (record.hash !== hash) return fail({ code: 'idempotency_key_reused', ran: ranFromRecord(record) });
  if (record.state === BookingState.Released) return null;
  if (record.outcome === undefined) return fail({ code: 'outcome_unknown' });
  return ok({ ...record.outcome, repeated: true });
}

/**
 * Calls of plain services. A call of a non-idempotent operation ("booking") runs at most once for each workspace and
 * idempotency key, which a record in the key-value service ensures.
 */
export class Bookings {
  /** Counts since the start, for the diagnostic dump. */
  public readonly counters = {
    bookings: 0, repeats: 0, unknown: 0, released: 0,
  };

  private readonly records: BookingRecords;

  private readonly lease: SharedLease;

  private readonly finalWrites: FinalWrites;

  /** Running calls of this process by record key, so that repeats in this process wait without reading the record. */
  private readonly running = new Map<string, Promise<unknown>>();

  public constructor(
    private readonly entry: string,
    private readonly caller: ServiceClient,
    private readonly deps: BookingsDependencies,
  ) {
    this.records = new BookingRecords(deps.keyValue, deps.clock, deps.random);
    this.lease = new SharedLease(deps.keyValue, deps.clock);
    this.finalWrites = new FinalWrites(this.records, deps.clock, deps.log);
  }

  /** Calls an idempotent operation; after a failure, other backend servers are tried. */
  public async callIdempotent(req: ServiceRequest): Promise<Answer> {
    if (!this.caller.has(req.service)) return fail({ code: 'unknown_service', service: req.service });
    const outcome = await this.caller.call(req, {
      requestId: this.deps.random.id(),
      attemptId: this.deps.random.id(),
      deadline: this.deps.clock.monotonic() + req.deadlineMs,
      repeatable: true,
    });
    switch (outcome.type) {
      case 'answered':
        return ok({ ...toStoredOutcome(outcome.answer), repeated: false });
      case 'not_sent':
        return fail(notSentRefusal(outcome.reason));
      case 'unknown':
        return fail({ code: 'outcome_unknown' });
      default:
        return assertNever(outcome);
    }
  }

  /** Calls a non-idempotent operation at most once for its workspace and idempotency key. */
  public async book(req: ServiceRequest): Promise<Answer> {
    const { idempotencyKey } = req;
    if (idempotencyKey === undefined) return fail({ code: 'idempotency_key_required', operation: req.operation });
    if (idempotencyKey.length === 0 || idempotencyKey.length > IDEMPOTENCY_KEY_MAX) {
      return fail({ code: 'invalid_request', path: 'Idempotency-Key', expected: `1 to ${IDEMPOTENCY_KEY_MAX} characters` });
    }
    // The record is checked before the service's servers, because an earlier attempt may have run even if none is left.
    this.counters.bookings += 1;
    const deadline = this.deps.clock.monotonic() + req.deadlineMs;
    const answer = await this.claimAndRun(req, recordKey(req.workspace, idempotencyKey), deadline);
    if (answer.success && answer.data.repeated) this.counters.repeats += 1;
    if (!answer.success && answer.error.code === 'outcome_unknown') this.counters.unknown += 1;
    return answer;
  }

  /** Resolves once no call is running and no outcome waits to be stored; for a planned stop. */
  public async waitForPendingWrites(): Promise<void> {
    await Promise.all(this.running.values());
    await this.finalWrites.waitUntilIdle();
  }

  /** State under stable keys, for the diagnostic dump. */
  public dump(): Record<string, unknown> {
    return { ...this.counters, running: this.running.size, ...this.finalWrites.dump() };
  }

  /** Creates the record and runs the call, or answers from the record that is already there. */
  private async claimAndRun(req: ServiceRequest, key: string, deadline: number): Promise<Answer> {
    const { clock, random } = this.deps;
    const hash = callHash(req.service, req.operation, req.body);
    const attemptId = random.id();
    const storeDown: Refusal = { code: 'record_store_unavailable', ran: RanStatus.Unknown, retryAfterMs: RETRY_AFTER_MS };
    let expected = 0;
    while (clock.monotonic() < deadline) {
      const storeDeadline = Math.min(deadline, clock.monotonic() + STORE_TIMEOUT_MS);
      const leaseId = await this.lease.get(storeDeadline - clock.monotonic());
      if (leaseId === null) return fail(storeDown);
      const record: BookingRecord = {
        state: BookingState.Started, attempt: attemptId, entry: this.entry, hash, startedAt: clock.now().toISOString(),
      };
      const put = await this.records.put({
        key, expected, record, leaseId, until: storeDeadline,
      });
      switch (put.type) {
        case 'applied':
          return this.trackRunning(key, this.run(req, {
            key, version: put.version, leaseId, record,
          }, deadline));
        case 'lease_lost':
          this.lease.forget(leaseId);
          break;
        case 'unavailable':
          // The write may still take effect. The record would then block the key although the call was never sent.
          if (put.mayApply) this.finalWrites.withdraw({ key, version: expected, leaseId }, record);
          return fail(storeDown);
        case 'conflict': {
          const existing = await this.waitWhileStarted(key, put.current, hash, deadline);
          if (existing === undefined) return fail({ code: 'outcome_unknown' });
          const answer = existing === null ? null : answerFromRecord(existing, hash);
          if (answer !== null) return answer;
          expected = existing?.version ?? 0;
          break;
        }
        default:
          return assertNever(put);
      }
    }
    return fail({ code: 'outcome_unknown' });
  }

  /** Sends a call whose record this process has created, and writes the record's final state. */
  private async run(req: ServiceRequest, claim: Claim, deadline: number): Promise<Answer> {
    const { clock, random } = this.deps;
    const requestId = random.id();
    const outcome = await this.caller.call(req, {
      requestId, attemptId: claim.record.attempt, deadline, repeatable: false,
    });
    switch (outcome.type) {
      case 'answered': {
        const stored = toStoredOutcome(outcome.answer);
        const write = this.storeOutcome(claim, stored);
        await withTimeout(clock, Math.min(OUTCOME_WAIT_MS, Math.max(0, deadline - clock.monotonic())), write);
        return ok({ ...stored, repeated: false });
      }
      case 'not_sent':
        // The refusal is decided while no other process can run a call with this key. The record is released only
        // after that.
        this.counters.released += 1;
        void this.finalWrites.write(claim, { ...claim.record, state: BookingState.Released });
        return fail(notSentRefusal(outcome.reason));
      case 'unknown':
        void outcome.late
          .then((answer) => (answer === null ? null : this.storeOutcome(claim, toStoredOutcome(answer))));
        return fail({ code: 'outcome_unknown' });
      default:
        return assertNever(outcome);
    }
  }

  private storeOutcome(claim: Claim, outcome: StoredOutcome): Promise<unknown> {
    const fits = Buffer.byteLength(outcome.body) <= OUTCOME_MAX_BYTES;
    return this.finalWrites.write(claim, {
      ...claim.record, state: BookingState.Done, ...(fits ? { outcome } : {}),
    });
  }

  /**
   * Waits as long as a record with this hash is `started`. Returns the record, `null` if it has been deleted, or
   * `undefined` once the deadline has passed.
   */
  private async waitWhileStarted(
    key: string,
    first: StoredRecord | null,
    hash: string,
    deadline: number,
  ): Promise<StoredRecord | null | undefined> {
    const { clock, random } = this.deps;
    let current: StoredRecord | null | undefined = first;
    for (let pauseMs = POLL_FIRST_MS; ; pauseMs = Math.min(POLL_MAX_MS, pauseMs * 1.5)) {
      const mustWait = current === undefined
        || (current?.record?.state === BookingState.Started && current.record.hash === hash);
      if (!mustWait) return current;
      const remainingMs = deadline - clock.monotonic();
      if (remainingMs <= 0) return undefined;
      const local = this.running.get(key);
      if (local === undefined) await sleep(clock, Math.min(remainingMs, pauseMs * (0.5 + random.float())));
      else await withTimeout(clock, remainingMs, local);
      const leftMs = deadline - clock.monotonic();
      if (leftMs <= 0) return undefined;
      current = await this.records.read(key, leftMs);
    }
  }

  private async trackRunning(key: string, work: Promise<Answer>): Promise<Answer> {
    this.running.set(key, work);
    try {
      return await work;
    } finally {
      if (this.running.get(key) === work) this.running.delete(key);
    }
  }
}
