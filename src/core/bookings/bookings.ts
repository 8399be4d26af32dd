import type { ServiceCaller, ServiceRequest } from './calls.js';
import type {
  Clock, KeyValue, Log, Random,
} from '../edges/index.js';
import {
  BookingRecords, BookingState, callHash, recordKey, SharedLease,
} from './records.js';
import type { BookingRecord, StoredOutcome, StoredRecord } from './records.js';
import { Ran } from '../refusals.js';
import type { Refusal } from '../refusals.js';
import { assertNever, fail, ok } from '../result.js';
import type { Result } from '../result.js';
import { Settlements } from './settlements.js';
import { sleep, within } from '../time.js';

/** Answer of a plain service; `repeated` tells that a stored outcome was returned. */
export interface ServiceOutcome {
  readonly requestId: string;
  readonly status: number;
  readonly body: string;
  readonly repeated: boolean;
}

/** Edges of {@link Bookings}. */
export interface BookingsEdges {
  readonly clock: Clock;
  readonly random: Random;
  /** Best a `BatchingKeyValue`, so that records that meet share a call. */
  readonly keyValue: KeyValue;
  readonly log: Log;
}

type Answer = Result<ServiceOutcome, Refusal>;

/** Record that this process created and may run. */
interface Claim {
  readonly key: string;
  readonly version: number;
  readonly leaseId: string;
  readonly record: BookingRecord;
}

/** Longest idempotency key, in characters. */
export const IDEMPOTENCY_KEY_MAX = 256;

/** Largest outcome that is stored, in bytes; repeats of larger ones are answered with `ran: unknown`. */
const OUTCOME_MAX_BYTES = 262_144;

/** Time for which a call waits for a service that gives no answer. */
const STORE_PATIENCE_MS = 2_000;

/** Time for which an answer waits for its outcome to be stored; the write goes on after it. */
const OUTCOME_WAIT_MS = 100;

const POLL_FIRST_MS = 25;
const POLL_MAX_MS = 500;
const RETRY_AFTER_MS = 1_000;

function pickOutcome({ requestId, status, body }: StoredOutcome): StoredOutcome {
  return { requestId, status, body };
}

function notSent(reason: 'no_server' | 'deadline'): Refusal {
  return reason === 'deadline'
    ? { code: 'deadline_exceeded', ran: Ran.No }
    : { code: 'no_server', retryAfterMs: RETRY_AFTER_MS };
}

/** Speaks of the key, not of the body: a caller that changed the body must not conclude that nothing ran. */
function ranOfRecord({ state }: BookingRecord): Ran {
  switch (state) {
    case BookingState.Done:
      return Ran.Yes;
    case BookingState.Released:
      return Ran.No;
    case BookingState.Started:
      return Ran.Unknown;
    default:
      return assertNever(state);
  }
}

/** Answer that a record gives to a call with `hash`; `null` if the call may run. */
function answerOf({ record }: StoredRecord, hash: string): Answer | null {
  if (record === null) return fail({ code: 'outcome_unknown' });
  if (record.hash !== hash) return fail({ code: 'idempotency_key_reused', ran: ranOfRecord(record) });
  if (record.state === BookingState.Released) return null;
  if (record.outcome === undefined) return fail({ code: 'outcome_unknown' });
  return ok({ ...record.outcome, repeated: true });
}

/** Plain-service calls; non-idempotent ones run at most once for each workspace and idempotency key. */
export class Bookings {
  public readonly counters = {
    bookings: 0, repeats: 0, unknown: 0, released: 0,
  };

  private readonly records: BookingRecords;

  private readonly lease: SharedLease;

  private readonly settlements: Settlements;

  /** Attempts of this process by record key, so that local repeats wait without reading the record. */
  private readonly running = new Map<string, Promise<unknown>>();

  public constructor(
    private readonly entry: string,
    private readonly caller: ServiceCaller,
    private readonly edges: BookingsEdges,
  ) {
    this.records = new BookingRecords(edges.keyValue, edges.clock, edges.random);
    this.lease = new SharedLease(edges.keyValue, edges.clock);
    this.settlements = new Settlements(this.records, edges.clock, edges.log);
  }

  /** Calls an idempotent operation; other backend servers are tried after a failure. */
  public async callIdempotent(req: ServiceRequest): Promise<Answer> {
    if (!this.caller.has(req.service)) return fail({ code: 'unknown_service', service: req.service });
    const outcome = await this.caller.call(req, {
      requestId: this.edges.random.id(),
      attemptId: this.edges.random.id(),
      deadline: this.edges.clock.monotonic() + req.deadlineMs,
      repeatable: true,
    });
    switch (outcome.type) {
      case 'answered':
        return ok({ ...pickOutcome(outcome.answer), repeated: false });
      case 'not_sent':
        return fail(notSent(outcome.reason));
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
    // Whether the service still has servers is asked after the record, because an earlier attempt may have run.
    this.counters.bookings += 1;
    const deadline = this.edges.clock.monotonic() + req.deadlineMs;
    const answer = await this.claimAndRun(req, recordKey(req.workspace, idempotencyKey), deadline);
    if (answer.success && answer.data.repeated) this.counters.repeats += 1;
    if (!answer.success && answer.error.code === 'outcome_unknown') this.counters.unknown += 1;
    return answer;
  }

  /** Resolves once no outcome waits to be stored; for a planned stop. */
  public async settled(): Promise<void> {
    await Promise.all(this.running.values());
    await this.settlements.idle();
  }

  public dump(): Record<string, unknown> {
    return { ...this.counters, running: this.running.size, ...this.settlements.dump() };
  }

  private async claimAndRun(req: ServiceRequest, key: string, deadline: number): Promise<Answer> {
    const { clock, random } = this.edges;
    const hash = callHash(req.service, req.operation, req.body);
    const attempt = random.id();
    const storeDown: Refusal = { code: 'record_store_unavailable', ran: Ran.Unknown, retryAfterMs: RETRY_AFTER_MS };
    let expected = 0;
    while (clock.monotonic() < deadline) {
      const until = Math.min(deadline, clock.monotonic() + STORE_PATIENCE_MS);
      const leaseId = await this.lease.get(until - clock.monotonic());
      if (leaseId === null) return fail(storeDown);
      const record: BookingRecord = {
        state: BookingState.Started, attempt, entry: this.entry, hash, startedAt: clock.now().toISOString(),
      };
      const put = await this.records.put({
        key, expected, record, leaseId, until,
      });
      switch (put.type) {
        case 'applied':
          return this.track(key, this.run(req, {
            key, version: put.version, leaseId, record,
          }, deadline));
        case 'lease_lost':
          this.lease.lost(leaseId);
          break;
        case 'unavailable':
          // The record may still appear although nothing was sent; left alone it would block the key.
          if (put.maybe) this.settlements.withdraw({ key, version: expected, leaseId }, record);
          return fail(storeDown);
        case 'conflict': {
          const resting = await this.waitForRest(key, put.current, hash, deadline);
          if (resting === undefined) return fail({ code: 'outcome_unknown' });
          const answer = resting === null ? null : answerOf(resting, hash);
          if (answer !== null) return answer;
          expected = resting?.version ?? 0;
          break;
        }
        default:
          return assertNever(put);
      }
    }
    return fail({ code: 'outcome_unknown' });
  }

  /** Sends a call whose record this process owns, and settles the record. */
  private async run(req: ServiceRequest, claim: Claim, deadline: number): Promise<Answer> {
    const { clock, random } = this.edges;
    const requestId = random.id();
    const outcome = await this.caller.call(req, {
      requestId, attemptId: claim.record.attempt, deadline, repeatable: false,
    });
    switch (outcome.type) {
      case 'answered': {
        const stored = pickOutcome(outcome.answer);
        const write = this.store(claim, stored);
        await within(clock, Math.min(OUTCOME_WAIT_MS, Math.max(0, deadline - clock.monotonic())), write);
        return ok({ ...stored, repeated: false });
      }
      case 'not_sent':
        // The refusal is decided while no one else can run the key; the record is given back after that.
        this.counters.released += 1;
        void this.settlements.write(claim, { ...claim.record, state: BookingState.Released });
        return fail(notSent(outcome.reason));
      case 'unknown':
        void outcome.late.then((answer) => (answer === null ? null : this.store(claim, pickOutcome(answer))));
        return fail({ code: 'outcome_unknown' });
      default:
        return assertNever(outcome);
    }
  }

  private store(claim: Claim, outcome: StoredOutcome): Promise<unknown> {
    const fits = Buffer.byteLength(outcome.body) <= OUTCOME_MAX_BYTES;
    return this.settlements.write(claim, {
      ...claim.record, state: BookingState.Done, ...(fits ? { outcome } : {}),
    });
  }

  /** Waits until a record is no longer `started`; `undefined` once the deadline has passed. */
  private async waitForRest(
    key: string,
    first: StoredRecord | null,
    hash: string,
    deadline: number,
  ): Promise<StoredRecord | null | undefined> {
    const { clock, random } = this.edges;
    let current: StoredRecord | null | undefined = first;
    for (let pauseMs = POLL_FIRST_MS; ; pauseMs = Math.min(POLL_MAX_MS, pauseMs * 1.5)) {
      const waiting = current === undefined
        || (current?.record?.state === BookingState.Started && current.record.hash === hash);
      if (!waiting) return current;
      const remainingMs = deadline - clock.monotonic();
      if (remainingMs <= 0) return undefined;
      const local = this.running.get(key);
      if (local === undefined) await sleep(clock, Math.min(remainingMs, pauseMs * (0.5 + random.float())));
      else await within(clock, remainingMs, local);
      const leftMs = deadline - clock.monotonic();
      if (leftMs <= 0) return undefined;
      current = await this.records.read(key, leftMs);
    }
  }

  private async track(key: string, work: Promise<Answer>): Promise<Answer> {
    this.running.set(key, work);
    try {
      return await work;
    } finally {
      if (this.running.get(key) === work) this.running.delete(key);
    }
  }
}
