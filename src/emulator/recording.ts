import type {
  Labels, Log, LogFields, Meter,
} from '../core/interfaces/index.js';

/** Log line that an entry wrote. */
export interface RecordedLine {
  readonly entry: string;
  readonly level: 'info' | 'warn' | 'error';
  readonly event: string;
  readonly fields: LogFields;
}

/** Log that keeps the lines of all entries in memory. */
export class RecordingLog {
  public readonly lines: RecordedLine[] = [];

  /** Log to which one entry writes. */
  public forEntry(entry: string): Log {
    const write = (level: RecordedLine['level']) => (event: string, fields: LogFields = {}): void => {
      this.lines.push({
        entry, level, event, fields,
      });
    };
    return { info: write('info'), warn: write('warn'), error: write('error') };
  }
}

/** Meter that keeps counter sums and the last gauge values in memory, without labels; histograms are discarded. */
export class CountingMeter implements Meter {
  public readonly counts = new Map<string, number>();

  public readonly gauges = new Map<string, number>();

  public count(name: string, amount = 1, _labels: Labels = {}): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + amount);
  }

  public record(): void {}

  public gauge(name: string, value: number): void {
    this.gauges.set(name, value);
  }
}
