import { BatchingKeyValue, Bookings, ServiceCaller } from '../core/bookings/index.js';
import type { ServiceOutcome } from '../core/bookings/index.js';
import type {
  CallOptions, Clock, KeyValue, Log, PlainService, ServiceAnswer, ServiceCall, ServiceError,
} from '../core/interfaces/index.js';
import { Ran, refusedCallRan } from '../core/refusals.js';
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
  FAULT_ENTRIES, FAULT_SERVERS, KillMoment, ServerMode,
} from './bookingschedule.js';
import type { BookingAttempt, BookingFault, BookingSchedule } from './bookingschedule.js';

/** Replaces edges of the entries, to plant faults in them. */
export interface BookingPlants {
  readonly keyValue?: (inner: KeyValue) => KeyValue;
  readonly service?: (inner: PlainService) => PlainService;
}

/** What a schedule led to. */
export interface BookingReport {
  /** Broken invariants: I5 (`ran: no` is true) and I6 (at most one run). */
  readonly violations: readonly string[];
  readonly answers: Readonly<Record<string, number>>;
  readonly storeCalls: number;
  readonly keys: number;
}

const SERVICE_MS = 5;
const SLOW_MS = 400;
const RESTART_MS = 500;
const SETTLE_MS = 6_000;

const QUIET: Log = { info: () => {}, warn: () => {}, error: () => {} };

class FaultyServer implements PlainService {
  public mode = ServerMode.Healthy;

  public constructor(
    public readonly name: string,
    private readonly clock: Clock,
    private readonly run: (call: ServiceCall) => void,
  ) {}

  public async call(call: ServiceCall, opts: CallOptions): Promise<Result<ServiceAnswer, ServiceError>> {
    const { mode } = this;
    if (mode === ServerMode.Unreachable) return fail({ code: 'unreachable', sent: 'no', message: 'no connection' });
    if (mode === ServerMode.Leaving) return fail({ code: 'leaving', sent: 'no', message: 'leaving' });
    await sleep(this.clock, mode === ServerMode.Slow ? SLOW_MS : SERVICE_MS);
    if (mode === ServerMode.Broken) return fail({ code: 'broken', sent: 'unknown', message: 'connection broke' });
    if (mode === ServerMode.Late) await sleep(this.clock, opts.timeoutMs);
    this.run(call);
    if (mode === ServerMode.Lost) {
      await sleep(this.clock, SERVICE_MS);
      return fail({ code: 'broken', sent: 'unknown', message: 'answer lost' });
    }
    return ok({
      requestId: call.requestId, attemptId: call.attemptId, status: 200, body: call.body,
    });
  }
}

interface RunningEntry {
  readonly process: EmulatedProcess;
  readonly keyValue: EmulatedKeyValue;
  readonly bookings: Bookings;
  killAt: KillMoment | null;
}

/** Runs one schedule against the real booking code and checks I5 and I6 with each run and each answer. */
export class BookingFaults {
  private readonly clock = new SimulatedClock();

  private readonly store = new KeyValueStore(this.clock);

  private readonly runs = new Map<string, number>();

  private readonly violations: string[] = [];

  private readonly answers: Record<string, number> = {};

  /** Attempts without a `ran: no` answer, by key. */
  private readonly notRefused = new Map<string, number>();

  private readonly servers: FaultyServer[];

  private readonly entries: RunningEntry[];

  private starts = 0;

  public constructor(private readonly schedule: BookingSchedule, private readonly plants: BookingPlants = {}) {
    this.servers = Array.from({ length: FAULT_SERVERS }, (_, index) => (
      new FaultyServer(`ledger-${index}`, this.clock, (call) => this.ran(call.idempotencyKey ?? ''))
    ));
    this.entries = Array.from({ length: FAULT_ENTRIES }, (_, index) => this.start(index));
  }

  public async run(): Promise<BookingReport> {
    const { attempts, faults } = this.schedule;
    for (const fault of faults) this.clock.after(fault.at, () => this.inject(fault));
    for (const attempt of attempts) {
      this.clock.after(attempt.at, () => {
        void this.attempt(attempt);
      });
    }
    const end = Math.max(0, ...attempts.map(({ at, deadlineMs }) => at + deadlineMs), ...faults.map(({ at }) => at));
    await this.clock.advance(end + SETTLE_MS);
    for (const [key, others] of this.notRefused) {
      if (others === 0 && (this.runs.get(key) ?? 0) > 0) this.violations.push(`I5: ${key} ran, but every answer says no`);
    }
    return {
      violations: this.violations,
      answers: this.answers,
      storeCalls: Object.values(this.store.calls).reduce((sum, calls) => sum + calls, 0),
      keys: new Set(attempts.map(({ key }) => key)).size,
    };
  }

  private async attempt({
    entry, key, deadlineMs, otherBody,
  }: BookingAttempt): Promise<void> {
    const { process, bookings } = this.entries[entry % FAULT_ENTRIES]!;
    if (!process.alive) return;
    const name = `key-${key}`;
    const count = (amount: number): void => {
      this.notRefused.set(name, (this.notRefused.get(name) ?? 0) + amount);
    };
    count(1);
    await process.gate();
    const answer = await bookings.book({
      workspace: 'shop',
      service: 'ledger',
      operation: 'book',
      body: otherBody ? `${name}-other` : name,
      deadlineMs,
      idempotencyKey: name,
    });
    const kind = this.check(name, answer);
    this.answers[kind] = (this.answers[kind] ?? 0) + 1;
    if (kind === Ran.No) count(-1);
  }

  private check(key: string, answer: Result<ServiceOutcome, Refusal>): Ran | 'done' | 'repeated' {
    const runs = this.runs.get(key) ?? 0;
    if (answer.success) {
      if (runs !== 1) this.violations.push(`I6: ${key} answered after ${runs} runs`);
      return answer.data.repeated ? 'repeated' : 'done';
    }
    const ran = refusedCallRan(answer.error);
    if (ran === Ran.No && runs > 0) this.violations.push(`I5: ${key} ran, but ${answer.error.code} says no`);
    if (ran === Ran.Yes && runs === 0) this.violations.push(`I5: ${key} did not run, but the answer says yes`);
    return ran;
  }

  private ran(key: string): void {
    const runs = (this.runs.get(key) ?? 0) + 1;
    this.runs.set(key, runs);
    if (runs > 1) this.violations.push(`I6: ${key} ran ${runs} times`);
  }

  private inject(fault: BookingFault): void {
    const later = (forMs: number, action: () => void): void => {
      this.clock.after(forMs, action);
    };
    const entry = 'entry' in fault ? this.entries[fault.entry % FAULT_ENTRIES]! : null;
    switch (fault.type) {
      case 'kill':
        if (fault.moment === KillMoment.Now) this.kill(entry!);
        else entry!.killAt = fault.moment;
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
        const servers = this.servers.filter((_, index) => fault.server === FAULT_SERVERS || fault.server === index);
        for (const server of servers) server.mode = fault.mode;
        later(fault.forMs, () => {
          for (const server of servers) server.mode = ServerMode.Healthy;
        });
      }
    }
  }

  private kill(entry: RunningEntry): void {
    if (!entry.process.alive) return;
    entry.process.kill();
    const index = this.entries.indexOf(entry);
    this.clock.after(RESTART_MS, () => {
      this.entries[index] = this.start(index);
    });
  }

  private start(index: number): RunningEntry {
    this.starts += 1;
    const random = new SeededRandom(this.schedule.seed * 1_000 + this.starts);
    const process = new EmulatedProcess(this.clock);
    const { clock } = process;
    const raw = new EmulatedKeyValue(this.store, this.clock);
    const keyValue = process.guard<KeyValue>(this.plants.keyValue?.(raw) ?? raw);
    const directory = new ServerDirectory(`domain-${index}`, random);
    const caller = new ServiceCaller(
      directory,
      new RetryPolicy({ clock, random, budget: new RetryBudget() }),
      { clock, random, log: QUIET },
    );
    const bookings = new Bookings(`entry-${index}-${this.starts}`, caller, {
      clock, random, keyValue: new BatchingKeyValue(keyValue, clock), log: QUIET,
    });
    const entry: RunningEntry = {
      process, keyValue: raw, bookings, killAt: null,
    };
    this.servers.forEach((server, position) => directory.set({
      name: server.name,
      service: 'ledger',
      host: server.name,
      failureDomain: `domain-${position}`,
      available: true,
      client: process.guard<PlainService>(this.connect(server, entry)),
    }));
    return entry;
  }

  /** Connection of one entry to one backend server, which kills the entry at the chosen moment. */
  private connect(server: FaultyServer, entry: RunningEntry): PlainService {
    const inner = this.plants.service?.(server) ?? server;
    return {
      name: server.name,
      call: async (call, opts) => {
        const moment = entry.killAt;
        if (moment === KillMoment.BeforeSending) {
          this.kill(entry);
          return new Promise(() => {});
        }
        const answer = inner.call(call, opts);
        if (moment === KillMoment.DuringCall) this.kill(entry);
        const result = await answer;
        if (moment === KillMoment.AfterAnswer) this.kill(entry);
        return result;
      },
    };
  }
}
