import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { BookingSimulation } from '../src/bench/bookingsimulation.js';
import type { InterfaceWrappers } from '../src/bench/bookingsimulation.js';
import {
  ENTRY_COUNT, SERVER_COUNT, KillMoment, randomBookingSchedule, ServerMode,
} from '../src/bench/bookingschedule.js';
import type { BookingSchedule } from '../src/bench/bookingschedule.js';
import { BatchingKeyValue } from '../src/core/bookings/batching.js';
import { Bookings } from '../src/core/bookings/bookings.js';
import type { ServiceOutcome } from '../src/core/bookings/bookings.js';
import { ServiceClient } from '../src/core/bookings/calls.js';
import type { Refusal } from '../src/core/refusals.js';
import type { Result } from '../src/core/result.js';
import { RetryBudget, RetryPolicy } from '../src/core/retries.js';
import { ServerDirectory } from '../src/core/serving/servers.js';
import { SimulatedClock } from '../src/emulator/clock.js';
import { EmulatedKeyValue, KeyValueStore } from '../src/emulator/keyvalue.js';
import { SeededRandom } from '../src/emulator/random.js';
import { EmulatedService, ServiceLedger } from '../src/emulator/service.js';

const log = { info: () => {}, warn: () => {}, error: () => {} };

type Answer = Result<ServiceOutcome, Refusal>;

/** Two entries over one key-value service and two backend servers. */
class Rig {
  public readonly clock = new SimulatedClock();

  public readonly store = new KeyValueStore(this.clock);

  public readonly ledger = new ServiceLedger();

  public readonly servers = ['ledger-0', 'ledger-1'].map((name) => new EmulatedService(name, this.clock, this.ledger));

  public readonly directories: ServerDirectory[] = [];

  public readonly entries = [0, 1].map((index) => this.entry(index));

  /** Number of runs of all operations at the backend servers. */
  public runs(): number {
    return [...this.ledger.runs.values()].reduce((sum, runs) => sum + runs, 0);
  }

  public book(entry: number, body = 'order', deadlineMs = 1_000, idempotencyKey = 'key'): Promise<Answer> {
    return this.entries[entry]!.book({
      workspace: 'shop', service: 'ledger', operation: 'book', body, deadlineMs, idempotencyKey,
    });
  }

  /** Advances the clock by `durationMs` and returns the answer. */
  public async resolveAfter(answer: Promise<Answer>, durationMs = 3_000): Promise<Answer> {
    await this.clock.advance(durationMs);
    return answer;
  }

  private entry(index: number): Bookings {
    const random = new SeededRandom(index + 1);
    const { clock } = this;
    const directory = new ServerDirectory('regina', random);
    this.directories.push(directory);
    for (const client of this.servers) {
      directory.set({
        name: client.name, service: 'ledger', host: client.name, failureDomain: 'regina', available: true, client,
      });
    }
    const retries = new RetryPolicy({ clock, random, budget: new RetryBudget() });
    const caller = new ServiceClient(directory, retries, { clock, random, log });
    const keyValue = new BatchingKeyValue(new EmulatedKeyValue(this.store, clock), clock);
    return new Bookings(`entry-${index}`, caller, {
      clock, random, keyValue, log,
    });
  }
}

describe('Bookings', () => {
  // Guards against a repeat that runs the booking again or does not get its outcome.
  it('returns the stored outcome to a repeat at another entry', async () => {
    const rig = new Rig();
    const first = await rig.resolveAfter(rig.book(0));
    const repeat = await rig.resolveAfter(rig.book(1));
    expect(first).toMatchObject({ success: true, data: { status: 200, repeated: false } });
    expect(repeat).toMatchObject({ success: true, data: { status: 200, repeated: true } });
    expect(rig.runs()).toBe(1);
  });

  // Guards against a repeat that is refused, or run, while the first attempt is still running.
  it('makes a repeat wait for the attempt that is running', async () => {
    const rig = new Rig();
    for (const server of rig.servers) server.latencyMs = 400;
    const answers = [rig.book(0), rig.book(1), rig.book(0)];
    await rig.clock.advance(2_000);
    for (const answer of answers) expect(await answer).toMatchObject({ success: true });
    expect(rig.runs()).toBe(1);
  });

  // Guards against a second run after the answer of the backend server was lost.
  it('answers with `outcome_unknown` when the outcome is lost, also to every repeat', async () => {
    const rig = new Rig();
    for (const server of rig.servers) server.loseAnswers = 1;
    expect(await rig.resolveAfter(rig.book(0))).toMatchObject({ success: false, error: { code: 'outcome_unknown' } });
    expect(await rig.resolveAfter(rig.book(1))).toMatchObject({ success: false, error: { code: 'outcome_unknown' } });
    expect(rig.runs()).toBe(1);
  });

  // Guards against a key that stays blocked although its call was certainly not sent.
  it('releases the key when no backend server could be reached', async () => {
    const rig = new Rig();
    for (const server of rig.servers) server.unreachable = true;
    expect(await rig.resolveAfter(rig.book(0))).toMatchObject({ success: false, error: { code: 'no_server' } });
    for (const server of rig.servers) server.unreachable = false;
    expect(await rig.resolveAfter(rig.book(1))).toMatchObject({ success: true, data: { repeated: false } });
    expect(rig.runs()).toBe(1);
  });

  // Guards against an entry that takes its own record for that of another attempt.
  it('recognises its own record when the answer to its creation was lost', async () => {
    const rig = new Rig();
    await rig.resolveAfter(rig.book(0, 'other', 1_000, 'other'));
    rig.store.loseAnswers = 1;
    expect(await rig.resolveAfter(rig.book(0, 'order', 3_000), 4_000)).toMatchObject({ success: true });
    expect(rig.runs()).toBe(2);
  });

  // Guards against the answer `ran: no` while the records of earlier attempts cannot be read.
  it('runs nothing and answers `ran: unknown` while the key-value service is down', async () => {
    const rig = new Rig();
    rig.store.down = true;
    const answer = await rig.resolveAfter(rig.book(0));
    expect(answer).toMatchObject({ success: false, error: { code: 'record_store_unavailable', ran: 'unknown' } });
    expect(rig.runs()).toBe(0);
  });

  // Guards against an outcome that is lost because the key-value service was down when it was to be stored.
  it('stores the outcome once the key-value service is back', async () => {
    const rig = new Rig();
    for (const server of rig.servers) server.latencyMs = 200;
    const first = rig.book(0);
    await rig.clock.advance(100);
    rig.store.down = true;
    expect(await rig.resolveAfter(first, 10_000)).toMatchObject({ success: true });
    rig.store.down = false;
    await rig.clock.advance(5_000);
    expect(await rig.resolveAfter(rig.book(1))).toMatchObject({ success: true, data: { repeated: true } });
  });

  // Guards against one key for two different bookings.
  it('refuses a key that was used with another body before', async () => {
    const rig = new Rig();
    await rig.resolveAfter(rig.book(0, 'one'));
    const answer = await rig.resolveAfter(rig.book(1, 'two'));
    expect(answer).toMatchObject({ success: false, error: { code: 'idempotency_key_reused', ran: 'yes' } });
    expect(rig.runs()).toBe(1);
  });

  // Guards against a number of calls to the key-value service that grows with the number of bookings in a burst.
  it('writes the records of concurrent bookings in shared calls', async () => {
    const rig = new Rig();
    await rig.resolveAfter(rig.book(0));
    const before = rig.store.calls.transact ?? 0;
    const answers = Array.from({ length: 50 }, (_, index) => rig.book(0, 'order', 1_000, `burst-${index}`));
    await rig.clock.advance(3_000);
    for (const answer of answers) expect(await answer).toMatchObject({ success: true });
    expect((rig.store.calls.transact ?? 0) - before).toBe(2);
  });

  // Guards I5: a booking that ran must not be refused with `ran: no` because its service has no servers any more.
  it('returns the stored outcome after the last backend server is gone', async () => {
    const rig = new Rig();
    await rig.resolveAfter(rig.book(0));
    rig.directories[1]!.remove('ledger-0');
    rig.directories[1]!.remove('ledger-1');
    expect(await rig.resolveAfter(rig.book(1))).toMatchObject({ success: true, data: { repeated: true } });
  });

  // Guards against records that are deleted before their key expires, or are kept much longer.
  it('keeps records for 24 h, with one lease for all records of an hour', async () => {
    const rig = new Rig();
    await rig.resolveAfter(rig.book(0, 'first', 1_000, 'first'));
    await rig.clock.advance(3_500_000);
    await rig.resolveAfter(rig.book(0, 'last', 1_000, 'last'));
    expect(rig.store.leaseIds()).toHaveLength(1);
    const hour = 3_600_000;
    await rig.clock.advance(24 * hour - 10_000);
    expect(rig.store.peek('bookings/shop/last')).toBeDefined();
    await rig.clock.advance(2 * hour);
    expect(rig.store.peek('bookings/shop/last')).toBeUndefined();
  });

  // Guards against bookings that fail for up to an hour because the entry keeps using a lease that was lost.
  it('gets a new lease when the key-value service has lost the old one', async () => {
    const rig = new Rig();
    await rig.resolveAfter(rig.book(0, 'one', 1_000, 'one'));
    rig.store.expireLease(rig.store.leaseIds()[0]!);
    expect(await rig.resolveAfter(rig.book(0, 'two', 1_000, 'two'))).toMatchObject({ success: true });
  });

  // Guards against a single bad operation that makes all bookings in the same call fail.
  it('sends the operations of a refused call again one by one', async () => {
    const rig = new Rig();
    const keyValue = new BatchingKeyValue(new EmulatedKeyValue(rig.store, rig.clock), rig.clock);
    const put = (key: string, leaseId?: string) => keyValue.transact([
      {
        key, expected: 0, value: key, ...(leaseId === undefined ? {} : { leaseId }),
      },
    ], { timeoutMs: 100 });
    const results = Promise.all([put('good'), put('bad', 'no-such-lease'), put('fine')]);
    await rig.clock.advance(200);
    expect((await results).map(({ success }) => success)).toEqual([true, false, true]);
    expect(rig.store.peek('good')).toBeDefined();
  });

  // Guards against idempotent calls that fail although another server could answer them.
  it('tries an idempotent call at another backend server', async () => {
    const rig = new Rig();
    rig.servers[0]!.unreachable = true;
    for (let index = 0; index < 10; index += 1) {
      const answer = rig.entries[0]!.callIdempotent({
        workspace: 'shop', service: 'ledger', operation: 'stock', body: String(index), deadlineMs: 500,
      });
      expect(await rig.resolveAfter(answer, 500)).toMatchObject({ success: true });
    }
  });
});

const at = fc.integer({ min: 0, max: 2_000 });
const entry = fc.integer({ min: 0, max: ENTRY_COUNT - 1 });
const forMs = fc.integer({ min: 20, max: 2_500 });

const schedules: fc.Arbitrary<BookingSchedule> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  attempts: fc.array(fc.record({
    at,
    entry,
    key: fc.integer({ min: 1, max: 3 }),
    deadlineMs: fc.integer({ min: 50, max: 2_000 }),
    otherBody: fc.boolean(),
  }), { minLength: 1, maxLength: 12 }),
  faults: fc.array(fc.oneof(
    fc.record({
      type: fc.constant('kill' as const), at, entry, moment: fc.constantFrom(...Object.values(KillMoment)),
    }),
    fc.record({
      type: fc.constant('pause' as const), at, entry, forMs,
    }),
    fc.record({ type: fc.constant('store_down' as const), at, forMs }),
    fc.record({
      type: fc.constant('store_slow' as const), at, forMs, latencyMs: fc.integer({ min: 10, max: 2_000 }),
    }),
    fc.record({ type: fc.constant('store_lost' as const), at, answers: fc.integer({ min: 1, max: 4 }) }),
    fc.record({
      type: fc.constant('store_cut' as const), at, entry, forMs,
    }),
    fc.record({
      type: fc.constant('server' as const),
      at,
      server: fc.integer({ min: 0, max: SERVER_COUNT }),
      mode: fc.constantFrom(...Object.values(ServerMode)),
      forMs,
    }),
  ), { maxLength: 8 }),
});

/** First violation over the seeded schedules that the bench uses too; `null` if there is none. */
async function firstViolation(plants: InterfaceWrappers): Promise<string | null> {
  for (let seed = 1; seed <= 200; seed += 1) {
    const { violations } = await new BookingSimulation(randomBookingSchedule(seed), plants).run();
    if (violations[0] !== undefined) return violations[0];
  }
  return null;
}

describe('bookings under faults', () => {
  // Checks I5 and I6 under kills, pauses, outages, lost and late answers, and repeats at other entries.
  it('never run twice, and are never answered with `ran: no` after they have run', async () => {
    await fc.assert(fc.asyncProperty(schedules, async (schedule) => {
      const { violations } = await new BookingSimulation(schedule).run();
      expect(violations).toEqual([]);
    }), { seed: 11, numRuns: 300 });
  });

  // Checks the check: without records, repeats run again, which must be detected.
  it('violate I6 when records are not written', async () => {
    const violation = await firstViolation({
      keyValue: (inner) => new Proxy(inner, {
        get: (target, name) => (name === 'transact'
          ? (operations: readonly unknown[]) => Promise.resolve({
            success: true, data: operations.map((_, index) => ({ applied: true, version: index + 1 })),
          })
          : Reflect.get(target, name, target).bind(target)),
      }),
    });
    expect(violation).toMatch(/^I6/);
  });

  // Checks the check: a connection that reports a call as not sent after sending it must be detected.
  it('violate I5 or I6 when a call that was sent is reported as not sent', async () => {
    const violation = await firstViolation({
      service: (inner) => ({
        name: inner.name,
        call: async (call, opts) => {
          const result = await inner.call(call, opts);
          if (result.success || result.error.code !== 'broken') return result;
          return { success: false, error: { ...result.error, sent: 'no' } };
        },
      }),
    });
    expect(violation).toMatch(/^I[56]/);
  });
});
