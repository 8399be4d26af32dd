import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { Labels, Meter } from '../core/interfaces/index.js';

const PREFIX = 'catkinscale_';

/** Series of one metric; further label values are counted under `other`, so that memory stays bounded. */
const MAX_SERIES = 200;

const QUANTILES = [50, 90, 95, 99, 99.9];

const MICROSECONDS_PER_MS = 1_000;

/** One hour; longer durations count as one hour. */
const HIGHEST_MICROSECONDS = 3_600_000_000;

interface Timing {
  readonly histogram: Histogram;
  sumMs: number;
  count: number;
}

type Series<T> = Map<string, Map<string, T>>;

function labelText(labels: Labels): string {
  const parts = Object.entries(labels).sort(([left], [right]) => (left < right ? -1 : 1))
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  return parts.join(',');
}

function otherText(labels: Labels): string {
  return labelText(Object.fromEntries(Object.keys(labels).map((name) => [name, 'other'])));
}

function braces(labels: string): string {
  return labels === '' ? '' : `{${labels}}`;
}

function cell<T>(series: Series<T>, name: string, labels: Labels, make: () => T): [Map<string, T>, string, T] {
  let cells = series.get(name);
  if (cells === undefined) {
    cells = new Map();
    series.set(name, cells);
  }
  const exact = labelText(labels);
  const key = cells.has(exact) || cells.size < MAX_SERIES ? exact : otherText(labels);
  let value = cells.get(key);
  if (value === undefined) {
    value = make();
    cells.set(key, value);
  }
  return [cells, key, value];
}

/** Metrics of one process; durations are kept as histograms of two significant digits. */
export class Metrics implements Meter {
  private readonly counters: Series<number> = new Map();

  private readonly gauges: Series<number> = new Map();

  private readonly timings: Series<Timing> = new Map();

  public count(name: string, amount = 1, labels: Labels = {}): void {
    const [cells, key, value] = cell(this.counters, name, labels, () => 0);
    cells.set(key, value + amount);
  }

  public gauge(name: string, value: number, labels: Labels = {}): void {
    const [cells, key] = cell(this.gauges, name, labels, () => 0);
    cells.set(key, value);
  }

  public record(name: string, valueMs: number, labels: Labels = {}): void {
    const [, , timing] = cell<Timing>(this.timings, name, labels, () => ({
      histogram: build({
        bitBucketSize: 32, highestTrackableValue: HIGHEST_MICROSECONDS, numberOfSignificantValueDigits: 2,
      }),
      sumMs: 0,
      count: 0,
    }));
    const micros = Math.round(valueMs * MICROSECONDS_PER_MS);
    timing.histogram.recordValue(Math.min(HIGHEST_MICROSECONDS, Math.max(0, micros)));
    timing.sumMs += valueMs;
    timing.count += 1;
  }

  /** All metrics in the Prometheus text format; durations are summaries in ms since the process started. */
  public render(): string {
    const lines: string[] = [];
    const simple = (series: Series<number>, type: string, suffix: string): void => {
      for (const [name, cells] of series) {
        const full = `${PREFIX}${name.endsWith(suffix) ? name : name + suffix}`;
        lines.push(`# TYPE ${full} ${type}`);
        for (const [labels, value] of cells) lines.push(`${full}${braces(labels)} ${value}`);
      }
    };
    simple(this.counters, 'counter', '_total');
    simple(this.gauges, 'gauge', '');
    for (const [name, cells] of this.timings) {
      lines.push(`# TYPE ${PREFIX}${name} summary`);
      for (const [labels, timing] of cells) {
        for (const percentile of QUANTILES) {
          const value = timing.histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
          const quantile = `quantile="${percentile / 100}"`;
          lines.push(`${PREFIX}${name}${braces(labels === '' ? quantile : `${labels},${quantile}`)} ${value}`);
        }
        lines.push(`${PREFIX}${name}_sum${braces(labels)} ${timing.sumMs}`);
        lines.push(`${PREFIX}${name}_count${braces(labels)} ${timing.count}`);
      }
    }
    return `${lines.join('\n')}\n`;
  }
}
