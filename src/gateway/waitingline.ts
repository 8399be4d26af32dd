import type { Clock, Disposable } from '../core/edges/index.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';

/** Place at a server, counted until it is released. */
export interface Place {
  readonly server: string;
  readonly held: Disposable;
}

/** Why a call leaves the line without a place; `afterMs` is when one is expected. */
export interface Unplaced {
  readonly afterMs: number;
}

/** Call that waits for a place. */
export interface Waiting {
  /** Servers that hold part of the prompt, the best first. */
  readonly homes: readonly string[];
  /** Monotonic time in ms by which the call should have its place, to be answered when callers expect it. */
  readonly targetAt: number;
  /** Monotonic time in ms after which a place is of no use. */
  readonly lastAt: number;
}

/** Server with room for a call. */
export interface FreePlace {
  readonly server: string;
  /** Whether the server has so little to do that it may also read the shared parts of a prompt again. */
  readonly idle: boolean;
  /** Whether there is room beyond the calls that wait for the server elsewhere and are still on time. */
  readonly spare: boolean;
}

/** What the line asks of its surroundings. */
export interface WaitingLineEdges {
  readonly clock: Clock;
  /** Servers that can take one more call now. */
  readonly places: () => readonly FreePlace[];
  /** Takes a place at a server at once, so that no other call gets it. */
  readonly take: (server: string) => Disposable;
}

interface Entry extends Waiting {
  readonly arrivedAt: number;
  readonly settle: (result: Result<Place, Unplaced>) => void;
  /** Takes the call out of the line, because its caller has left or its time is over. */
  readonly leave: () => void;
}

interface Choice {
  readonly entry: Entry;
  readonly server: string;
}

/** Wait in ms after which a call takes a place away from its homes, about the time to read the shared parts again. */
const AWAY_AFTER_MS = 20;

/** Time in ms over which the rate of placed calls is measured. */
const RATE_WINDOW_MS = 1_000;

/** Share of the places that late calls are expected to get once a crest has passed, whatever they get now. */
const LEAST_LATE_SHARE = 0.1;

const SWEEP_MS = 20;

/**
 * Line for the places at a service's engines. It answers a load over the capacity: calls that can still be answered in
 * their target time go first, newest first, so that as many as possible are; the others follow while their time lasts,
 * and those that the line can't reach in time are refused at once.
 */
export class WaitingLine implements Disposable {
  private entries: Entry[] = [];

  private readonly placed: { readonly at: number; readonly late: boolean }[] = [];

  private timer: Disposable | null = null;

  public constructor(private readonly edges: WaitingLineEdges) {}

  public get length(): number {
    return this.entries.length;
  }

  /** Calls that are still on time, by the server that they wait for. */
  public demand(): ReadonlyMap<string, number> {
    const now = this.edges.clock.monotonic();
    const counts = new Map<string, number>();
    for (const { homes, targetAt } of this.entries) {
      const home = homes[0];
      if (home !== undefined && now <= targetAt) counts.set(home, (counts.get(home) ?? 0) + 1);
    }
    return counts;
  }

  /** Settles with a place, or once the call won't get one in time. */
  public wait(waiting: Waiting, signal: AbortSignal): Promise<Result<Place, Unplaced>> {
    if (signal.aborted) return Promise.resolve(fail({ afterMs: 0 }));
    return new Promise((resolve) => {
      const entry: Entry = {
        ...waiting,
        arrivedAt: this.edges.clock.monotonic(),
        settle: (result) => {
          signal.removeEventListener('abort', entry.leave);
          resolve(result);
        },
        leave: () => {
          this.entries = this.entries.filter((other) => other !== entry);
          entry.settle(fail({ afterMs: 0 }));
        },
      };
      signal.addEventListener('abort', entry.leave, { once: true });
      this.entries.push(entry);
      this.pump();
      this.refuseHopeless();
    });
  }

  /** Gives free places to waiting calls; to be called whenever a place may have become free. */
  public pump(): void {
    while (this.entries.length > 0) {
      const places = this.edges.places();
      const chosen = places.length === 0 ? null : this.choose(places);
      if (chosen === null) break;
      this.entries = this.entries.filter((other) => other !== chosen.entry);
      this.notePlaced(chosen.entry);
      chosen.entry.settle(ok({ server: chosen.server, held: this.edges.take(chosen.server) }));
    }
    if (this.entries.length > 0) this.timer ??= this.edges.clock.after(SWEEP_MS, () => this.sweep());
  }

  public dispose(): void {
    this.timer?.dispose();
    for (const entry of this.entries.splice(0)) entry.settle(fail({ afterMs: 0 }));
  }

  private sweep(): void {
    this.timer = null;
    this.pump();
    this.refuseHopeless();
  }

  /**
   * Entry that takes one of the places: on time before late, at home before elsewhere. The newest on time goes first:
   * over the capacity, the oldest would each be answered just too late. Of the late ones, that with the least time left
   * goes first; they take only what no other gateway needs for calls on time.
   */
  private choose(places: readonly FreePlace[]): Choice | null {
    const now = this.edges.clock.monotonic();
    const free = new Map(places.map((place) => [place.server, place]));
    const idle = places.find((place) => place.idle);
    let onTimeAtHome: Choice | null = null;
    let lateAtHome: Choice | null = null;
    let leastLastAt = Infinity;
    let away: Entry | null = null;
    for (const entry of this.entries) {
      const home = entry.homes.find((server) => free.has(server));
      const onTime = now <= entry.targetAt;
      if (home !== undefined) {
        if (onTime) onTimeAtHome = { entry, server: home };
        else if (free.get(home)?.spare === true && entry.lastAt < leastLastAt) {
          lateAtHome = { entry, server: home };
          leastLastAt = entry.lastAt;
        }
        continue;
      }
      const keptForHome = entry.homes.length > 0 && now - entry.arrivedAt < AWAY_AFTER_MS;
      if (!keptForHome && (away === null || (onTime && now > away.targetAt))) away = entry;
    }
    if (onTimeAtHome !== null) return onTimeAtHome;
    if (away === null || idle === undefined) return lateAtHome;
    const awayIsLate = now > away.targetAt;
    if (awayIsLate && (lateAtHome !== null || !idle.spare)) return lateAtHome;
    return { entry: away, server: idle.server };
  }

  private notePlaced({ targetAt }: Entry): void {
    const now = this.edges.clock.monotonic();
    this.placed.push({ at: now, late: now > targetAt });
  }

  /** Late calls per ms that get a place, after those that are still on time. */
  private lateRate(): number {
    const since = this.edges.clock.monotonic() - RATE_WINDOW_MS;
    while ((this.placed[0]?.at ?? Infinity) < since) this.placed.shift();
    const late = this.placed.filter((placed) => placed.late).length;
    return Math.max(1, late, this.placed.length * LEAST_LATE_SHARE) / RATE_WINDOW_MS;
  }

  /** Refuses the late calls that the line will not reach before their time is over. */
  private refuseHopeless(): void {
    const now = this.edges.clock.monotonic();
    const perMs = this.lateRate();
    const late = this.entries.filter(({ targetAt }) => now > targetAt)
      .sort((left, right) => left.lastAt - right.lastAt);
    let ahead = 0;
    const refused = new Set(this.entries.filter(({ lastAt }) => now > lastAt));
    for (const entry of late) {
      if (now + ahead / perMs > entry.lastAt) refused.add(entry);
      else ahead += 1;
    }
    if (refused.size === 0) return;
    this.entries = this.entries.filter((entry) => !refused.has(entry));
    for (const entry of refused) entry.settle(fail({ afterMs: ahead / perMs }));
  }
}
