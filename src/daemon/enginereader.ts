import type { Clock, EngineEvent } from '../core/interfaces/index.js';
import { sleep } from '../core/time.js';

/** Reads an engine's stream with a timeout for each event. A broken stream is treated like one that ended. */
export class EngineReader {
  private readonly iterator: AsyncIterator<EngineEvent>;

  private stopped = false;

  /** Monotonic time in ms at which the current wait times out. */
  private expiresAt = Infinity;

  private isWatchdogRunning = false;

  public constructor(
    private readonly clock: Clock,
    events: AsyncIterable<EngineEvent>,
    private readonly controller: AbortController,
  ) {
    this.iterator = events[Symbol.asyncIterator]();
  }

  /** Next event, or `null` if the stream ended, broke, or sent nothing for `limitMs`. */
  public async next(limitMs: number): Promise<EngineEvent | null> {
    if (this.stopped) return null;
    this.expiresAt = this.clock.monotonic() + limitMs;
    if (!this.isWatchdogRunning) void this.runWatchdog();
    try {
      const result = await this.iterator.next();
      return result.done === true || this.stopped ? null : result.value;
    } catch {
      return null;
    } finally {
      this.expiresAt = Infinity;
    }
  }

  /** Reads until the stream ends and discards the events; false if one of them took longer than `limitMs`. */
  public async readToEnd(limitMs: number): Promise<boolean> {
    while (await this.next(limitMs) !== null);
    return !this.stopped;
  }

  /** Stops reading; a pending {@link next} resolves to `null`. */
  public stop(): void {
    this.stopped = true;
    this.controller.abort();
  }

  /** Stops the reader when a wait times out. One task for the whole stream is cheaper than a timer for each token. */
  private async runWatchdog(): Promise<void> {
    this.isWatchdogRunning = true;
    const { signal } = this.controller;
    while (!signal.aborted && this.expiresAt !== Infinity) {
      const left = this.expiresAt - this.clock.monotonic();
      if (left <= 0) this.stop();
      else await sleep(this.clock, left, signal);
    }
    this.isWatchdogRunning = false;
  }
}
