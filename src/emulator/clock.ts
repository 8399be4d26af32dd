import type { Clock, Disposable } from '../core/interfaces/index.js';

interface Timer {
  readonly at: number;
  readonly sequence: number;
  readonly callback: () => void;
  cancelled: boolean;
}

function firesBefore(a: Timer, b: Timer): boolean {
  return a.at < b.at || (a.at === b.at && a.sequence < b.sequence);
}

/** Lets all pending promise callbacks of the process run. */
export function drainPromises(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** Clock that moves only in calls to `advance`; due timers fire by time, then in the order of their creation. */
export class SimulatedClock implements Clock {
  private time = 0;

  private createdTimers = 0;

  private readonly heap: Timer[] = [];

  /** `epoch` is the wall-clock time at monotonic time 0. */
  public constructor(private readonly epoch: Date = new Date('2026-01-01T00:00:00Z')) {}

  public monotonic(): number {
    return this.time;
  }

  public now(): Date {
    return new Date(this.epoch.getTime() + this.time);
  }

  public after(delayMs: number, callback: () => void): Disposable {
    const timer: Timer = {
      at: this.time + Math.max(0, delayMs), sequence: this.createdTimers, callback, cancelled: false,
    };
    this.createdTimers += 1;
    this.push(timer);
    return {
      dispose: () => {
        timer.cancelled = true;
      },
    };
  }

  /** Moves time forward by `durationMs`; pending promise callbacks run before the first timer and after each one. */
  public async advance(durationMs: number): Promise<void> {
    const target = this.time + durationMs;
    await drainPromises();
    while (this.fireNextTimer(target)) await drainPromises();
    this.time = target;
  }

  /** Moves time forward by `durationMs` without running promise callbacks; for simulations that use callbacks only. */
  public advanceSync(durationMs: number): void {
    const target = this.time + durationMs;
    while (this.fireNextTimer(target));
    this.time = target;
  }

  private fireNextTimer(target: number): boolean {
    for (;;) {
      const next = this.heap[0];
      if (next === undefined || next.at > target) return false;
      this.pop();
      if (next.cancelled) continue;
      this.time = next.at;
      next.callback();
      return true;
    }
  }

  private push(timer: Timer): void {
    const { heap } = this;
    let index = heap.length;
    heap.push(timer);
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!firesBefore(timer, heap[parent]!)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = timer;
  }

  private pop(): void {
    const { heap } = this;
    const last = heap.pop()!;
    if (heap.length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && firesBefore(heap[child + 1]!, heap[child]!)) child += 1;
      if (!firesBefore(heap[child]!, last)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
  }
}
