import { BatchingKeyValue, Bookings, ServiceClient } from '../core/bookings/index.js';
import type { ServiceOutcome } from '../core/bookings/index.js';
import type {
  CallOptions, Clock, KeyValue, Log, PlainService, ServiceAnswer, ServiceCall, ServiceError,
} from '../core/interfaces/index.js';
import { RanStatus, refusedCallRan } from '../core/refusals.js';
import type { Refusal } from '../core/refusals.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { RetryBudget, RetryPolicy } from '../core/retries.js';
import { ServerDirectory } from '../core/serving/index.js';
import { sleep } from '../core/time.js';
import { SimulatedClock } from '../emulator/clock.js';
import { EmulatedKeyValue, KeyValueStore } from '../emulator/keyvalue.js';
import { EmulatedProcess } from '../emulator/process.js';
import { SeededRandom } from '../emulator/random.js';
import {
  ENTRY_COUNT, SERVER_COUNT, KillMoment, ServerMode,
} from './bookingschedule.js';
import type { BookingAttempt, BookingFault, BookingSchedule } from './bookingschedule.js';

/** Wraps interfaces of the entries, so that a test can inject faults that the checks must detect. */
export interface InterfaceWrappers {
  readonly keyValue?: (inner: KeyValue) => KeyValue;
  readonly service?: (inner: PlainService) => PlainService;
}

/** Result of running a schedule. */
export interface BookingReport {
  /** Violated invariants: I5 (a call answered with `ran: no` has not run) and I6 (a booking runs at most once). */
  readonly violations: readonly string[];
  /** Number of answers by kind: `done`, `repeated`, or the `ran` value of a refusal. */
  readonly answers: Readonly<Record<string, number>>;
  /** Calls to the key-value service. */
  readonly storeCalls: number;
  /** Different idempotency keys in the schedule. */
  readonly keys: number;
}

const SERVICE_LATENCY_MS = 5;
const SLOW_SERVICE_LATENCY_MS = 400;
const RESTART_DELAY_MS = 500;
/** Simulated time after the last event of a schedule, so that retries and answers still complete. */
const COMPLETION_WAIT_MS = 6_000;

const SILENT_LOG: Log = { info: () => {}, warn: () => {}, error: () => {} };

/** Backend server whose {@link ServerMode} the schedule changes. */
class FaultyServer implements PlainService {
  public mode = ServerMode.Healthy;

  public constructor(
    public readonly name: string,
    private readonly clock: Clock,
    private readonly onRun: (call: ServiceCall) => void,
  ) {}

  public async call(call: ServiceCall, opts: CallOptions): Promise<Result<ServiceAnswer, ServiceError>> {
    const { mode } = this;
    if (mode === ServerMode.Unreachable) return fail({ code: 'unreachable', sent: 'no', message: 'no connection' });
    if (mode === ServerMode.Leaving) return fail({ code: 'leaving', sent: 'no', message: 'leaving' });
    await sleep(this.clock, mode === ServerMode.Slow ? SLOW_SERVICE_LATENCY_MS : SERVICE_LATENCY_MS);
    if (mode === ServerMode.Broken) return fail({ code: 'broken', sent: 'unknown', message: 'connection broke' });
    if (mode === ServerMode.Late) await sleep(this.clock, opts.timeoutMs);
    this.onRun(call);
    if (mode === ServerMode.Lost) {
      await sleep(this.clock, SERVICE_LATENCY_MS);
      return fail({ code: 'broken', sent: 'unknown', message: 'answer lost' });
    }
    return ok({
      requestId: call.requestId, attemptId: call.attemptId, status: 200, body: call.body,
    });
  }
}

/** One process of an entry; a restart creates a new one. */
interface RunningEntry {
  readonly process: EmulatedProcess;
  readonly keyValue: EmulatedKeyValue;
  readonly bookings: Bookings;
  /** When to kill the process, relative to the next call that it sends; `null` if no kill is due. */
  killMoment: KillMoment | null;
}

/** Runs one schedule against the real booking code, and checks I5 and I6 at each run and each answer. */
export class BookingSimulation {
  private readonly clock = new SimulatedClock();

  private readonly store = new KeyValueStore(this.clock);

  /** How often each booking has run at the backend servers, by idempotency key. */
  private readonly runsByKey = new Map<string, number>();

  private readonly violations: string[] = [];

  private readonly answers: Record<string, number> = {};

  /** Number of attempts not answered with `ran: no`, by idempotency key; unanswered attempts count too. */
  private readonly attemptsNotAnsweredNo = new Map<string, number>();

  private readonly servers: FaultyServer[];

  private readonly entries: RunningEntry[];

  /** Entry processes started so far; makes the name and the seed of each process unique. */
  private startCount = 0;

  public constructor(private readonly schedule: BookingSchedule, private readonly wrappers: InterfaceWrappers = {}) {
    this.servers = Array.from({ length: SERVER_COUNT }, (_, index) => (
      new FaultyServer(`ledger-${index}`, this.clock, (call) => this.recordRun(call.idempotencyKey ?? ''))
    ));
    this.entries = Array.from({ length: ENTRY_COUNT }, (_, index) => this.startEntry(index));
  }

  /** Runs the schedule to its end on the simulated clock. */
  public async run(): Promise<BookingReport> {
    const { attempts, faults } = this.schedule;
    for (const fault of faults) this.clock.after(fault.at, () => this.injectFault(fault));
    for (const attempt of attempts) {
      this.clock.after(attempt.at, () => {
        void this.sendBooking(attempt);
      });
    }
    const end = Math.max(0, ...attempts.map(({ at, deadlineMs }) => at + deadlineMs), ...faults.map(({ at }) => at));
    await this.clock.advance(end + COMPLETION_WAIT_MS);
    for (const [key, openCount] of this.attemptsNotAnsweredNo) {
      if (openCount === 0 && (this.runsByKey.get(key) ?? 0) > 0) this.violations.push(`I5: ${key} ran, but every answer says no`);
    }
    return {
      violations: this.violations,
      answers: this.answers,
      storeCalls: Object.values(this.store.calls).reduce((sum, calls) => sum + calls, 0),
      keys: new Set(attempts.map(({ key }) => key)).size,
    };
  }

  private async sendBooking({
    entry, key, deadlineMs, otherBody,
  }: BookingAttempt): Promise<void> {
    const { process, bookings } = this.entries[entry % ENTRY_COUNT]!;
    if (!process.alive) return;
    const name = `key-${key}`;
    const count = (amount: number): void => {
      this.attemptsNotAnsweredNo.set(name, (this.attemptsNotAnsweredNo.get(name) ?? 0) + amount);
    };
    count(1);
    await process.waitUntilRunning();
    const answer = await bookings.book({
      workspace: 'shop',
      service: 'ledger',
      operation: 'book',
      body: otherBody ? `${name}-other` : name,
      deadlineMs,
      idempotencyKey: name,
    });
    const kind = this.checkAnswer(name, answer);
    this.answers[kind] = (this.answers[kind] ?? 0) + 1;
    if (kind === RanStatus.No) count(-1);
  }

  /** Checks an answer against the runs so far and returns its kind. */
  private checkAnswer(key: string, answer: Result<ServiceOutcome, Refusal>): RanStatus | 'done' | 'repeated' {
    const runs = this.runsByKey.get(key) ?? 0;
    if (answer.success) {
      if (runs !== 1) this.violations.push(`I6: ${key} answered after ${runs} runs`);
      return answer.data.repeated ? 'repeated' : 'done';
    }
    const ran = refusedCallRan(answer.error);
    if (ran === RanStatus.No && runs > 0) this.violations.push(`I5: ${key} ran, but ${answer.error.code} says no`);
    if (ran === RanStatus.Yes && runs === 0) this.violations.push(`I5: ${key} did not run, but the answer says yes`);
    return ran;
  }

  private recordRun(key: string): void {
    const runs = (this.runsByKey.get(key) ?? 0) + 1;
    this.runsByKey.set(key, runs);
    if (runs > 1) this.violations.push(`I6: ${key} ran ${runs} times`);
  }

  private injectFault(fault: BookingFault): void {
    const later = (forMs: number, action: () => void): void => {
      this.clock.after(forMs, action);
    };
    const entry = 'entry' in fault ? this.entries[fault.entry % ENTRY_COUNT]! : null;
    switch (fault.type) {
      case 'kill':
        if (fault.moment === KillMoment.Now) this.killEntry(entry!);
        else entry!.killMoment = fault.moment;
        break;
      case 'pause':
        entry!.process.pause();
        later(fault.forMs, () => entry!.process.unpause());
        break;
      case 'store_down':
        this.store.down = true;
        later(fault.forMs, () => {
          this.store.down = false;
        });
        break;
      case 'store_slow':
        this.store.latencyMs = fault.latencyMs;
        later(fault.forMs, () => {
          this.store.latencyMs = 2;
        });
        break;
      case 'store_lost':
        this.store.loseAnswers += fault.answers;
        break;
      case 'store_cut':
        entry!.keyValue.cut = true;
        later(fault.forMs, () => {
          entry!.keyValue.cut = false;
        });
        break;
      case 'server':
      default: {
        const servers = this.servers.filter((_, index) => fault.server === SERVER_COUNT || fault.server === index);
        for (const server of servers) server.mode = fault.mode;
        later(fault.forMs, () => {
          for (const server of servers) server.mode = ServerMode.Healthy;
        });
      }
    }
  }

  /** Kills a process and starts a new one of the same entry after `RESTART_DELAY_MS`. */
  private killEntry(entry: RunningEntry): void {
    if (!entry.process.alive) return;
    entry.process.kill();
    const index = this.entries.indexOf(entry);
    this.clock.after(RESTART_DELAY_MS, () => {
      this.entries[index] = this.startEntry(index);
    });
  }

  private startEntry(index: number): RunningEntry {
    this.startCount += 1;
    const random = new SeededRandom(this.schedule.seed * 1_000 + this.startCount);
    const process = new EmulatedProcess(this.clock);
    const { clock } = process;
    const rawKeyValue = new EmulatedKeyValue(this.store, this.clock);
    const keyValue = process.deferResults<KeyValue>(this.wrappers.keyValue?.(rawKeyValue) ?? rawKeyValue);
    const directory = new ServerDirectory(`domain-${index}`, random);
    const caller = new ServiceClient(
      directory,
      new RetryPolicy({ clock, random, budget: new RetryBudget() }),
      { clock, random, log: SILENT_LOG },
    );
    const bookings = new Bookings(`entry-${index}-${this.startCount}`, caller, {
      clock, random, keyValue: new BatchingKeyValue(keyValue, clock), log: SILENT_LOG,
    });
    const entry: RunningEntry = {
      process, keyValue: rawKeyValue, bookings, killMoment: null,
    };
    this.servers.forEach((server, position) => directory.set({
      name: server.name,
      service: 'ledger',
      host: server.name,
      failureDomain: `domain-${position}`,
      available: true,
      client: process.deferResults<PlainService>(this.connectServer(server, entry)),
    }));
    return entry;
  }

  /** Client of one entry for one backend server, which kills the entry at the scheduled moment of a call. */
  private connectServer(server: FaultyServer, entry: RunningEntry): PlainService {
    const inner = this.wrappers.service?.(server) ?? server;
    return {
      name: server.name,
      call: async (call, opts) => {
        const moment = entry.killMoment;
        if (moment === KillMoment.BeforeSending) {
          this.killEntry(entry);
          return new Promise(() => {});
        }
        const answer = inner.call(call, opts);
        if (moment === KillMoment.DuringCall) this.killEntry(entry);
        const result = await answer;
        if (moment === KillMoment.AfterAnswer) this.killEntry(entry);
        return result;
      },
    };
  }
}
