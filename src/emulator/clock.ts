import type { Clock, Disposable } from '../core/interfaces/index.js';

interface Timer {
  readonly at: number;
  readonly order: number;
  readonly callback: () => void;
  cancelled: boolean;
}

function earlier(a: Timer, b: Timer): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}

/** Lets all pending promise callbacks of the process run. */
export function drainPromises(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** Clock that moves only when told to; timers fire in time order, then in the order of their creation. */
export class SimulatedClock implements Clock {
  private time = 0;

  private created = 0;

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
      at: this.time + Math.max(0, delayMs), order: this.created, callback, cancelled: false,
    };
    this.created += 1;
    this.push(timer);
    return {
      dispose: () => {
        timer.cancelled = true;
      },
    };
  }

  /** Moves time forward, letting promise callbacks run before the first and after each timer. */
  public async advance(durationMs: number): Promise<void> {
    const target = this.time + durationMs;
    await drainPromises();
    while (this.fireNext(target)) await drainPromises();
    this.time = target;
  }

  /** Moves time forward without letting promise callbacks run; for callback-only simulations. */
  public advanceSync(durationMs: number): void {
    const target = this.time + durationMs;
    while (this.fireNext(target));
    this.time = target;
  }

  private fireNext(target: number): boolean {
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
      if (!earlier(timer, heap[parent]!)) break;
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
      if (child + 1 < heap.length && earlier(heap[child + 1]!, heap[child]!)) child += 1;
      if (!earlier(heap[child]!, last)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
  }
}
