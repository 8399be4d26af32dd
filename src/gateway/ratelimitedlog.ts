import type {
  Clock, Log, LogFields, Meter,
} from '../core/interfaces/index.js';

/** Period in ms to which the limit applies. */
const PERIOD_MS = 1_000;

/**
 * Log with a limited rate of lines. Lines over the limit are dropped, and their number is logged in the next period.
 */
export class RateLimitedLog implements Log {
  private periodStart = -Infinity;

  private lines = 0;

  private dropped = 0;

  public constructor(
    private readonly inner: Log,
    private readonly clock: Clock,
    private readonly meter: Meter,
    private readonly linesPerSecond: number,
  ) {}

  public info(event: string, fields?: LogFields): void {
    if (this.admit()) this.inner.info(event, fields);
  }

  public warn(event: string, fields?: LogFields): void {
    if (this.admit()) this.inner.warn(event, fields);
  }

  /** Errors are rare, so they are never dropped. */
  public error(event: string, fields?: LogFields): void {
    this.inner.error(event, fields);
  }

  private admit(): boolean {
    const now = this.clock.monotonic();
    if (now - this.periodStart >= PERIOD_MS) {
      this.periodStart = now;
      this.lines = 0;
      if (this.dropped > 0) this.inner.warn('log_lines_dropped', { lines: this.dropped });
      this.dropped = 0;
    }
    if (this.lines >= this.linesPerSecond) {
      this.dropped += 1;
      this.meter.count('log_lines_dropped');
      return false;
    }
    this.lines += 1;
    return true;
  }
}
