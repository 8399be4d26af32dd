import type { Clock, EngineEvent } from '../core/interfaces/index.js';
import { sleep } from '../core/time.js';

/** Reads an engine stream with a limit on the wait for each event. A broken stream reads as ended. */
export class EngineReader {
  private readonly iterator: AsyncIterator<EngineEvent>;

  private stopped = false;

  /** Monotonic time in ms at which the present wait has taken too long. */
  private expiresAt = Infinity;

  private watchdogRuns = false;

  public constructor(
    private readonly clock: Clock,
    events: AsyncIterable<EngineEvent>,
    private readonly controller: AbortController,
  ) {
    this.iterator = events[Symbol.asyncIterator]();
  }

  /** Next event, or `null` when the stream has ended, has broken, or gave nothing for `limitMs`. */
  public async next(limitMs: number): Promise<EngineEvent | null> {
    if (this.stopped) return null;
    this.expiresAt = this.clock.monotonic() + limitMs;
    if (!this.watchdogRuns) void this.watch();
    try {
      const step = await this.iterator.next();
      return step.done === true || this.stopped ? null : step.value;
    } catch {
      return null;
    } finally {
      this.expiresAt = Infinity;
    }
  }

  /** Reads to the end; true when the stream ended within `limitMs`. */
  public async drain(limitMs: number): Promise<boolean> {
    while (await this.next(limitMs) !== null);
    return !this.stopped;
  }

  /** Stops the reading; a waiting {@link next} gives `null`. */
  public stop(): void {
    this.stopped = true;
    this.controller.abort();
  }

  /** One sleeping task for the whole stream instead of one timer for each token. */
  private async watch(): Promise<void> {
    this.watchdogRuns = true;
    const { signal } = this.controller;
    while (!signal.aborted && this.expiresAt !== Infinity) {
      const left = this.expiresAt - this.clock.monotonic();
      if (left <= 0) this.stop();
      else await sleep(this.clock, left, signal);
    }
    this.watchdogRuns = false;
  }
}
