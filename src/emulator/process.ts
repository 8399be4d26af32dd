import type { Clock, Disposable } from '../core/interfaces/index.js';

type Method = (...args: unknown[]) => unknown;

function isAsyncIterable(value: unknown): value is AsyncIterable<unknown> {
  return typeof value === 'object' && value !== null && Symbol.asyncIterator in value;
}

/**
 * Simulated operating-system process. While it is paused, its timers and the results that it waits for are held back;
 * after a kill they are dropped.
 */
export class EmulatedProcess {
  private paused = false;

  private killed = false;

  private deferredActions: (() => void)[] = [];

  public constructor(private readonly outerClock: Clock) {}

  /** Whether the process is neither paused nor killed. */
  public get running(): boolean {
    return !this.paused && !this.killed;
  }

  /** Whether the process has not been killed; a paused process is alive. */
  public get alive(): boolean {
    return !this.killed;
  }

  /** Clock of the process. Time continues during a pause, but timers that become due fire after it. */
  public get clock(): Clock {
    const { outerClock } = this;
    return {
      monotonic: () => outerClock.monotonic(),
      now: () => outerClock.now(),
      after: (delayMs, callback) => this.scheduleTimer(delayMs, callback),
    };
  }

  public pause(): void {
    this.paused = true;
  }

  /** Ends a pause; what was held back is delivered in its order. */
  public unpause(): void {
    this.paused = false;
    const { deferredActions } = this;
    this.deferredActions = [];
    for (const release of deferredActions) this.runOrDefer(release);
  }

  public kill(): void {
    this.killed = true;
    this.deferredActions = [];
  }

  /** Resolves as soon as the process is not paused; never after a kill. */
  public waitUntilRunning(): Promise<void> {
    return new Promise((resolve) => {
      this.runOrDefer(resolve);
    });
  }

  /** Wraps a dependency so that results of its methods reach the process only while it runs. */
  public deferResults<T extends object>(dependency: T): T {
    return new Proxy(dependency, {
      get: (target, key) => {
        const value: unknown = Reflect.get(target, key, target);
        if (typeof value !== 'function') return value;
        return (...args: unknown[]) => this.deferResult((value as Method).apply(target, args));
      },
    });
  }

  private deferResult(value: unknown): unknown {
    if (value instanceof Promise) return this.deferPromise(value);
    return isAsyncIterable(value) ? this.deferIterable(value) : value;
  }

  private async deferPromise(promise: Promise<unknown>): Promise<unknown> {
    const value = await promise;
    await this.waitUntilRunning();
    if (typeof value !== 'object' || value === null || !('data' in value)) return value;
    return isAsyncIterable(value.data) ? { ...value, data: this.deferIterable(value.data) } : value;
  }

  private async* deferIterable(source: AsyncIterable<unknown>): AsyncIterable<unknown> {
    for await (const item of source) {
      await this.waitUntilRunning();
      yield item;
    }
    await this.waitUntilRunning();
  }

  private scheduleTimer(delayMs: number, callback: () => void): Disposable {
    let cancelled = false;
    const timer = this.outerClock.after(delayMs, () => {
      this.runOrDefer(() => {
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

  private runOrDefer(action: () => void): void {
    if (this.killed) return;
    if (this.paused) this.deferredActions.push(action);
    else action();
  }
}
