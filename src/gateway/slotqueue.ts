import type { Clock, Disposable } from '../core/interfaces/index.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { UNRANKED } from './shares/index.js';

/** Capacity for one call that was reserved at a server. */
export interface ReservedSlot {
  readonly server: string;
  /** Releases the slot when it is disposed. */
  readonly reservation: Disposable;
}

/** Result for a call that leaves the queue without a slot; `afterMs` is the time in ms until a slot is expected. */
export interface NoSlot {
  readonly afterMs: number;
}

/** Call that waits for a slot. */
export interface QueuedCall {
  /** Engines chosen by rendezvous hashing to cache the shared part of the prompt, the best first. */
  readonly preferredEngines: readonly string[];
  /** Wait in ms after which an engine that has nothing of the prompt cached may take the call. */
  readonly otherEngineAfterMs: number;
  /** Monotonic time in ms by which the call needs its slot in order to meet the target time of its route. */
  readonly targetAt: number;
  /** Monotonic time in ms after which a slot no longer helps, because the deadline can't be met. */
  readonly expiresAt: number;
  /** Rank of the call now, lower ranks first; absent where calls are not ranked. */
  readonly rank?: () => number;
}

/** On-time calls of one rank that wait for the same server. */
export interface WaitingCalls {
  readonly server: string;
  readonly rank: number;
  readonly count: number;
}

/** Server that can take one more call. */
export interface FreeSlot {
  readonly server: string;
  /** Whether the server has so little work that it may prefill a shared part that another engine has cached. */
  readonly idle: boolean;
  /** Whether slots are left for late calls, after those needed by on-time calls that wait at other gateways. */
  readonly openToLateCalls: boolean;
  /** Whether slots are left for on-time calls of a rank, after those of lower ranks that wait at other gateways. */
  readonly isOpenTo: (rank: number) => boolean;
}

/** Dependencies of {@link SlotQueue}. */
export interface SlotQueueDependencies {
  readonly clock: Clock;
  /** Servers that can take one more call now. */
  readonly freeSlots: () => readonly FreeSlot[];
  /** Monotonic time in ms until which no server takes calls, as all have asked for a pause; `null` otherwise. */
  readonly pausedUntil?: () => number | null;
  /** Reserves a slot at a server synchronously, so that no other call gets it. */
  readonly reserve: (server: string) => Disposable;
}

/** Options of {@link SlotQueue}. */
export interface SlotQueueOptions {
  /** Least share of the slots that late calls are assumed to get. */
  readonly minLateShare?: number;
  /** Share of the slots that late calls get also while others are on time; 0 by default. */
  readonly lateShare?: number;
}

/** Call in the queue. */
interface Entry extends QueuedCall {
  readonly arrivedAt: number;
  readonly complete: (result: Result<ReservedSlot, NoSlot>) => void;
  /** Removes the call from the queue, because its caller has disconnected or its deadline has passed. */
  readonly cancel: () => void;
}

/** Entry that gets a slot, and the server that has it. */
interface Choice {
  readonly entry: Entry;
  readonly server: string;
  readonly rank: number;
}

function rankOf({ rank }: Pick<QueuedCall, 'rank'>): number {
  return rank?.() ?? UNRANKED;
}

/** Whether a late call goes before another one: by rank, then by the time that is left. */
function goesFirst(late: Choice, other: Choice): boolean {
  return late.rank < other.rank || (late.rank === other.rank && late.entry.expiresAt < other.entry.expiresAt);
}

/** Time in ms over which the rate of reserved slots is measured. */
const RATE_WINDOW_MS = 1_000;

/** Least share of the slots that late calls are assumed to get, because they get more once a load peak has passed. */
const MIN_LATE_SHARE = 0.1;

/** Largest share of the time that a call has left for which it waits for the end of a pause. */
const MAX_PAUSE_SHARE = 1 / 2;

/** Time in ms between two checks of a queue that is not empty. */
const SWEEP_PERIOD_MS = 20;

/**
 * Queue for the slots at the engines of a service. Under overload, calls that can still meet their target time go
 * first: those of the lowest rank, the newest of them first, so that as many as possible meet it. Late calls follow
 * until their deadline, also by rank, and those that would not get a slot before it are refused at once.
 */
export class SlotQueue implements Disposable {
  private entries: Entry[] = [];

  private readonly recentReservations: { readonly at: number; readonly late: boolean }[] = [];

  private timer: Disposable | null = null;

  private readonly minLateShare: number;

  private readonly lateShare: number;

  public constructor(
    private readonly deps: SlotQueueDependencies,
    { minLateShare = MIN_LATE_SHARE, lateShare = 0 }: SlotQueueOptions = {},
  ) {
    this.minLateShare = minLateShare;
    this.lateShare = lateShare;
  }

  /** Number of waiting calls. */
  public get length(): number {
    return this.entries.length;
  }

  /** Waiting calls that are still on time, by their first preferred engine and their rank. */
  public demand(): readonly WaitingCalls[] {
    const now = this.deps.clock.monotonic();
    const counts = new Map<string, WaitingCalls>();
    for (const entry of this.entries) {
      const server = entry.preferredEngines[0];
      if (server === undefined || now > entry.targetAt) continue;
      const rank = rankOf(entry);
      const key = `${rank} ${server}`;
      counts.set(key, { server, rank, count: (counts.get(key)?.count ?? 0) + 1 });
    }
    return [...counts.values()];
  }

  /** Resolves with a slot, or with {@link NoSlot} once it is clear that the call won't get one in time. */
  public wait(call: QueuedCall, signal: AbortSignal): Promise<Result<ReservedSlot, NoSlot>> {
    if (signal.aborted) return Promise.resolve(fail({ afterMs: 0 }));
    return new Promise((resolve) => {
      const entry: Entry = {
        ...call,
        arrivedAt: this.deps.clock.monotonic(),
        complete: (result) => {
          signal.removeEventListener('abort', entry.cancel);
          resolve(result);
        },
        cancel: () => {
          this.entries = this.entries.filter((other) => other !== entry);
          entry.complete(fail({ afterMs: 0 }));
        },
      };
      signal.addEventListener('abort', entry.cancel, { once: true });
      this.entries.push(entry);
      this.assignFreeSlots();
      this.refuseUnreachable();
    });
  }

  /** Gives free slots to waiting calls; to be called whenever a slot may have become free. */
  public assignFreeSlots(): void {
    while (this.entries.length > 0) {
      const freeSlots = this.deps.freeSlots();
      const chosen = freeSlots.length === 0 ? null : this.choose(freeSlots);
      if (chosen === null) break;
      this.entries = this.entries.filter((other) => other !== chosen.entry);
      this.recordReservation(chosen.entry);
      chosen.entry.complete(ok({ server: chosen.server, reservation: this.deps.reserve(chosen.server) }));
    }
    if (this.entries.length > 0) this.timer ??= this.deps.clock.after(SWEEP_PERIOD_MS, () => this.sweep());
  }

  public dispose(): void {
    this.timer?.dispose();
    for (const entry of this.entries.splice(0)) entry.complete(fail({ afterMs: 0 }));
  }

  private sweep(): void {
    this.timer = null;
    this.assignFreeSlots();
    this.refuseUnreachable();
  }

  /**
   * Chooses the entry that gets one of the slots: on-time calls before late ones, preferred engines before others,
   * lower ranks before higher ones. The newest on-time call goes first, because under overload the oldest ones would
   * each be answered just too late. Of the late calls, the one with the earliest deadline goes first; they get only
   * slots that no other gateway needs for on-time calls.
   */
  private choose(freeSlots: readonly FreeSlot[]): Choice | null {
    const now = this.deps.clock.monotonic();
    const slotsByServer = new Map(freeSlots.map((slot) => [slot.server, slot]));
    const idle = freeSlots.find((slot) => slot.idle);
    let onTimePreferred: Choice | null = null;
    let latePreferred: Choice | null = null;
    let elsewhere: Choice | null = null;
    for (const entry of this.entries) {
      const rank = rankOf(entry);
      const preferred = entry.preferredEngines.find((server) => slotsByServer.has(server));
      const onTime = now <= entry.targetAt;
      if (preferred !== undefined) {
        const choice = { entry, server: preferred, rank };
        const slot = slotsByServer.get(preferred);
        if (onTime) {
          if (slot?.isOpenTo(rank) === true && rank <= (onTimePreferred?.rank ?? Infinity)) onTimePreferred = choice;
        } else if (slot?.openToLateCalls === true && (latePreferred === null || goesFirst(choice, latePreferred))) {
          latePreferred = choice;
        }
        continue;
      }
      const waitsForPreferred = entry.preferredEngines.length > 0
        && now - entry.arrivedAt < entry.otherEngineAfterMs;
      if (waitsForPreferred || idle === undefined || (onTime && !idle.isOpenTo(rank))) continue;
      const isOnTimeElsewhere = elsewhere !== null && now <= elsewhere.entry.targetAt;
      const replaces = elsewhere === null
        || (onTime === isOnTimeElsewhere ? rank < elsewhere.rank : onTime);
      if (replaces) elsewhere = { entry, server: idle.server, rank };
    }
    if (onTimePreferred !== null) {
      return latePreferred !== null && this.isDueToLateCalls() ? latePreferred : onTimePreferred;
    }
    if (elsewhere === null || idle === undefined) return latePreferred;
    const elsewhereIsLate = now > elsewhere.entry.targetAt;
    if (elsewhereIsLate && (latePreferred !== null || !idle.openToLateCalls)) return latePreferred;
    return elsewhere;
  }

  private isDueToLateCalls(): boolean {
    if (this.lateShare === 0) return false;
    this.forgetReservations();
    const late = this.recentReservations.filter((reserved) => reserved.late).length;
    return late < this.lateShare * this.recentReservations.length;
  }

  private recordReservation({ targetAt }: Entry): void {
    const now = this.deps.clock.monotonic();
    this.recentReservations.push({ at: now, late: now > targetAt });
  }

  private forgetReservations(): void {
    const since = this.deps.clock.monotonic() - RATE_WINDOW_MS;
    while ((this.recentReservations[0]?.at ?? Infinity) < since) this.recentReservations.shift();
  }

  /** Estimated number of late calls that get a slot per ms. */
  private lateCallsPerMs(): number {
    this.forgetReservations();
    const late = this.recentReservations.filter((reserved) => reserved.late).length;
    return Math.max(1, late, this.recentReservations.length * this.minLateShare) / RATE_WINDOW_MS;
  }

  /**
   * Refuses the calls whose deadline has passed or is too near to the end of a pause of all servers, and late ones that
   * would not get a slot before it.
   */
  private refuseUnreachable(): void {
    const now = this.deps.clock.monotonic();
    const callsPerMs = this.lateCallsPerMs();
    const late = this.entries.filter(({ targetAt }) => now > targetAt)
      .map((entry) => ({ entry, rank: rankOf(entry) }))
      .sort((left, right) => left.rank - right.rank || left.entry.expiresAt - right.entry.expiresAt);
    let ahead = 0;
    const pausedMs = (this.deps.pausedUntil?.() ?? now) - now;
    const refused = new Set(this.entries.filter(({ expiresAt }) => (
      now > expiresAt || pausedMs > MAX_PAUSE_SHARE * (expiresAt - now))));
    for (const { entry } of late) {
      if (now + ahead / callsPerMs > entry.expiresAt) refused.add(entry);
      else ahead += 1;
    }
    if (refused.size === 0) return;
    this.entries = this.entries.filter((entry) => !refused.has(entry));
    for (const entry of refused) entry.complete(fail({ afterMs: ahead / callsPerMs }));
  }
}
