import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { Labels, Meter } from '../core/interfaces/index.js';

const PREFIX = 'catkinscale_';

/** Maximum number of series per metric. Further label values are counted as `other`, which bounds the memory used. */
const MAX_SERIES = 200;

const QUANTILES = [50, 90, 95, 99, 99.9];

const MICROSECONDS_PER_MS = 1_000;

/** One hour; longer durations are recorded as one hour. */
const MAX_MICROSECONDS = 3_600_000_000;

interface Timing {
  readonly histogram: Histogram;
  sumMs: number;
  count: number;
}

/** Series by metric name, then by their formatted labels. */
type MetricFamilies<T> = Map<string, Map<string, T>>;

function formatLabels(labels: Labels): string {
  const parts = Object.entries(labels).sort(([left], [right]) => (left < right ? -1 : 1))
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  return parts.join(',');
}

function formatOverflowLabels(labels: Labels): string {
  return formatLabels(Object.fromEntries(Object.keys(labels).map((name) => [name, 'other'])));
}

function inBraces(labels: string): string {
  return labels === '' ? '' : `{${labels}}`;
}

/** Series of a metric, with the key and the value of the one for `labels`, which is created if it is missing. */
function findOrCreateSeries<T>(
  families: MetricFamilies<T>,
  name: string,
  labels: Labels,
  make: () => T,
): [Map<string, T>, string, T] {
  let series = families.get(name);
  if (series === undefined) {
    series = new Map();
    families.set(name, series);
  }
  const exact = formatLabels(labels);
  const key = series.has(exact) || series.size < MAX_SERIES ? exact : formatOverflowLabels(labels);
  let value = series.get(key);
  if (value === undefined) {
    value = make();
    series.set(key, value);
  }
  return [series, key, value];
}

/** Metrics of one process; durations are recorded in histograms with two significant digits. */
export class Metrics implements Meter {
  private readonly counters: MetricFamilies<number> = new Map();

  private readonly gauges: MetricFamilies<number> = new Map();

  private readonly timings: MetricFamilies<Timing> = new Map();

  public count(name: string, amount = 1, labels: Labels = {}): void {
    const [series, key, value] = findOrCreateSeries(this.counters, name, labels, () => 0);
    series.set(key, value + amount);
  }

  public gauge(name: string, value: number, labels: Labels = {}): void {
    const [series, key] = findOrCreateSeries(this.gauges, name, labels, () => 0);
    series.set(key, value);
  }

  public record(name: string, valueMs: number, labels: Labels = {}): void {
    const [, , timing] = findOrCreateSeries<Timing>(this.timings, name, labels, () => ({
      histogram: build({
        bitBucketSize: 32, highestTrackableValue: MAX_MICROSECONDS, numberOfSignificantValueDigits: 2,
      }),
      sumMs: 0,
      count: 0,
    }));
    const micros = Math.round(valueMs * MICROSECONDS_PER_MS);
    timing.histogram.recordValue(Math.min(MAX_MICROSECONDS, Math.max(0, micros)));
    timing.sumMs += valueMs;
    timing.count += 1;
  }

  /** Renders all metrics in the Prometheus text format. Durations are summaries in ms over the life of the process. */
  public render(): string {
    const lines: string[] = [];
    const renderFamilies = (families: MetricFamilies<number>, type: string, suffix: string): void => {
      for (const [name, series] of families) {
        const full = `${PREFIX}${name.endsWith(suffix) ? name : name + suffix}`;
        lines.push(`# TYPE ${full} ${type}`);
        for (const [labels, value] of series) lines.push(`${full}${inBraces(labels)} ${value}`);
      }
    };
    renderFamilies(this.counters, 'counter', '_total');
    renderFamilies(this.gauges, 'gauge', '');
    for (const [name, series] of this.timings) {
      lines.push(`# TYPE ${PREFIX}${name} summary`);
      for (const [labels, timing] of series) {
        for (const percentile of QUANTILES) {
          const value = timing.histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
          const quantile = `quantile="${percentile / 100}"`;
          lines.push(`${PREFIX}${name}${inBraces(labels === '' ? quantile : `${labels},${quantile}`)} ${value}`);
        }
        lines.push(`${PREFIX}${name}_sum${inBraces(labels)} ${timing.sumMs}`);
        lines.push(`${PREFIX}${name}_count${inBraces(labels)} ${timing.count}`);
      }
    }
    return `${lines.join('\n')}\n`;
  }
}
