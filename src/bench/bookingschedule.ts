import { SeededRandom } from '../emulator/random.js';

/** Number of entries in a booking schedule. */
export const ENTRY_COUNT = 3;
/** Number of backend servers in a booking schedule. */
export const SERVER_COUNT = 3;

/** How a backend server handles calls while a fault lasts. */
export enum ServerMode {
  Healthy = 'healthy',
  /** No connection can be opened, so the call is not sent. */
  Unreachable = 'unreachable',
  /** Refuses the call because the server is shutting down. */
  Leaving = 'leaving',
  /** Runs the call, but the connection breaks before the answer arrives. */
  Lost = 'lost',
  /** Runs the call and answers only after the timeout of the call. */
  Late = 'late',
  /** The connection breaks before the call runs. */
  Broken = 'broken',
  /** Runs the call, but takes longer than usual. */
  Slow = 'slow',
}

/** When an entry is killed: now, or at a point of the next call that it sends to a backend server. */
export enum KillMoment {
  Now = 'now',
  BeforeSending = 'before_sending',
  DuringCall = 'during_call',
  AfterAnswer = 'after_answer',
}

/** Fault that begins `at` ms after the start of the schedule; `forMs` is its duration in ms. */
export type BookingFault =
  | { readonly type: 'kill'; readonly at: number; readonly entry: number; readonly moment: KillMoment }
  | { readonly type: 'pause'; readonly at: number; readonly entry: number; readonly forMs: number }
  | { readonly type: 'store_down'; readonly at: number; readonly forMs: number }
  | { readonly type: 'store_slow'; readonly at: number; readonly forMs: number; readonly latencyMs: number }
  | { readonly type: 'store_lost'; readonly at: number; readonly answers: number }
  | { readonly type: 'store_cut'; readonly at: number; readonly entry: number; readonly forMs: number }
  | {
    readonly type: 'server';
    readonly at: number;
    /** Index of a backend server; the number of servers stands for all of them. */
    readonly server: number;
    readonly mode: ServerMode;
    readonly forMs: number;
  };

/** One booking call of a caller. Repeats use the same idempotency key, at any entry. */
export interface BookingAttempt {
  /** Time in ms from the start of the schedule. */
  readonly at: number;
  readonly entry: number;
  readonly key: number;
  readonly deadlineMs: number;
  /** Whether the call wrongly uses the key with a different body. */
  readonly otherBody: boolean;
}

/** Attempts and faults of one run. */
export interface BookingSchedule {
  readonly seed: number;
  readonly attempts: readonly BookingAttempt[];
  readonly faults: readonly BookingFault[];
}

/** Creates a schedule of random attempts and faults; the same seed gives the same schedule. */
export function randomBookingSchedule(seed: number): BookingSchedule {
  const random = new SeededRandom(seed);
  const moments = Object.values(KillMoment);
  const modes = Object.values(ServerMode);
  const time = (): number => random.integer(0, 3_000);
  const keys = random.integer(3, 8);
  const fault = (): BookingFault => {
    const at = time();
    const entry = random.integer(0, ENTRY_COUNT - 1);
    const forMs = random.integer(50, 1_500);
    switch (random.integer(0, 6)) {
      case 0: return {
        type: 'kill', at, entry, moment: random.pick(moments),
      };
      case 1: return {
        type: 'pause', at, entry, forMs: forMs * 2,
      };
      case 2: return { type: 'store_down', at, forMs };
      case 3: return {
        type: 'store_slow', at, forMs, latencyMs: random.integer(20, 1_500),
      };
      case 4: return { type: 'store_lost', at, answers: random.integer(1, 4) };
      case 5: return {
        type: 'store_cut', at, entry, forMs,
      };
      default: {
        const server = random.integer(0, SERVER_COUNT);
        // When no server is reachable, the booking's record is released. Failures of single servers rarely do that.
        const all = server === SERVER_COUNT && random.float() < 0.6;
        return {
          type: 'server', at, server, mode: all ? ServerMode.Unreachable : random.pick(modes), forMs,
        };
      }
    }
  };
  return {
    seed,
    attempts: Array.from({ length: keys * 4 }, () => ({
      at: time(),
      entry: random.integer(0, ENTRY_COUNT - 1),
      key: random.integer(1, keys),
      deadlineMs: random.integer(100, 2_000),
      otherBody: random.float() < 0.03,
    })),
    faults: Array.from({ length: random.integer(0, 8) }, fault),
  };
}
