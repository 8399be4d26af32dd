import type { Clock, Disposable } from '../core/interfaces/index.js';

type Call = (...args: unknown[]) => unknown;

function isAsyncIterable(value: unknown): value is AsyncIterable<unknown> {
  return typeof value === 'object' && value !== null && Symbol.asyncIterator in value;
}

/**
 * Simulated operating-system process. While it is paused, its timers and the answers that it waits for are held back;
 * after a kill they never arrive.
 */
export class EmulatedProcess {
  private paused = false;

  private killed = false;

  private held: (() => void)[] = [];

  public constructor(private readonly outside: Clock) {}

  public get running(): boolean {
    return !this.paused && !this.killed;
  }

  public get alive(): boolean {
    return !this.killed;
  }

  /** Clock as the process sees it: time goes on during a pause, but timers fire after it. */
  public get clock(): Clock {
    const { outside } = this;
    return {
      monotonic: () => outside.monotonic(),
      now: () => outside.now(),
      after: (delayMs, callback) => this.after(delayMs, callback),
    };
  }

  public pause(): void {
    this.paused = true;
  }

  /** Ends a pause; what was held back arrives in its order. */
  public unpause(): void {
    this.paused = false;
    const { held } = this;
    this.held = [];
    for (const release of held) this.whenRunning(release);
  }

  public kill(): void {
    this.killed = true;
    this.held = [];
  }

  /** Resolves once the process runs; never after a kill. */
  public gate(): Promise<void> {
    return new Promise((resolve) => {
      this.whenRunning(resolve);
    });
  }

  /** Wraps an edge so that its answers reach the process only while it runs. */
  public guard<T extends object>(edge: T): T {
    return new Proxy(edge, {
      get: (target, key) => {
        const value: unknown = Reflect.get(target, key, target);
        if (typeof value !== 'function') return value;
        return (...args: unknown[]) => this.hold((value as Call).apply(target, args));
      },
    });
  }

  private hold(value: unknown): unknown {
    if (value instanceof Promise) return this.holdPromise(value);
    return isAsyncIterable(value) ? this.holdIterable(value) : value;
  }

  private async holdPromise(promise: Promise<unknown>): Promise<unknown> {
    const value = await promise;
    await this.gate();
    if (typeof value !== 'object' || value === null || !('data' in value)) return value;
    return isAsyncIterable(value.data) ? { ...value, data: this.holdIterable(value.data) } : value;
  }

  private async* holdIterable(source: AsyncIterable<unknown>): AsyncIterable<unknown> {
    for await (const item of source) {
      await this.gate();
      yield item;
    }
    await this.gate();
  }

  private after(delayMs: number, callback: () => void): Disposable {
    let cancelled = false;
    const timer = this.outside.after(delayMs, () => {
      this.whenRunning(() => {
        if (!cancelled) callback();
      });
    });
    return {
      dispose: () => {
        cancelled = true;
        timer.dispose();
      },
    };
  }

  private whenRunning(action: () => void): void {
    if (this.killed) return;
    if (this.paused) this.held.push(action);
    else action();
  }
}
