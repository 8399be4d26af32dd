import { SeededRandom } from '../emulator/random.js';

export const FAULT_ENTRIES = 3;
export const FAULT_SERVERS = 3;

/** How a backend server treats calls for a while. */
export enum ServerMode {
  Healthy = 'healthy',
  /** No connection. */
  Unreachable = 'unreachable',
  Leaving = 'leaving',
  /** Runs the call; the connection breaks before the answer. */
  Lost = 'lost',
  /** Runs the call and answers after the caller has given up. */
  Late = 'late',
  /** The connection breaks before the call runs. */
  Broken = 'broken',
  Slow = 'slow',
}

/** Moment of a kill, relative to the next call that the entry sends. */
export enum KillMoment {
  Now = 'now',
  BeforeSending = 'before_sending',
  DuringCall = 'during_call',
  AfterAnswer = 'after_answer',
}

/** Fault at a time in ms from the start of the schedule. */
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
    /** Index of a server, or {@link FAULT_SERVERS} for all. */
    readonly server: number;
    readonly mode: ServerMode;
    readonly forMs: number;
  };

/** One call of a caller; repeats use the same key at any entry. */
export interface BookingAttempt {
  readonly at: number;
  readonly entry: number;
  readonly key: number;
  readonly deadlineMs: number;
  /** True for a caller that uses the key with another body. */
  readonly otherBody: boolean;
}

/** Attempts and faults of one run. */
export interface BookingSchedule {
  readonly seed: number;
  readonly attempts: readonly BookingAttempt[];
  readonly faults: readonly BookingFault[];
}

/** Schedule of random attempts and faults. */
export function randomBookingSchedule(seed: number): BookingSchedule {
  const random = new SeededRandom(seed);
  const moments = Object.values(KillMoment);
  const modes = Object.values(ServerMode);
  const time = (): number => random.integer(0, 3_000);
  const keys = random.integer(3, 8);
  const fault = (): BookingFault => {
    const at = time();
    const entry = random.integer(0, FAULT_ENTRIES - 1);
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
        const server = random.integer(0, FAULT_SERVERS);
        // Without any server the record is released, a path that single failures rarely reach.
        const all = server === FAULT_SERVERS && random.float() < 0.6;
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
      entry: random.integer(0, FAULT_ENTRIES - 1),
      key: random.integer(1, keys),
      deadlineMs: random.integer(100, 2_000),
      otherBody: random.float() < 0.03,
    })),
    faults: Array.from({ length: random.integer(0, 8) }, fault),
  };
}
