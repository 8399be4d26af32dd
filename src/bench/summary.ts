import {
  SERVICE_LEVEL, firstTokenMs, meetsServiceLevel, perTokenMs, quantile,
} from './simulation.js';
import type { RequestRecord } from './attempt.js';
import type { ServiceLevel } from './simulation.js';

/** Number of seeds that an experiment runs: the given one and the four after it. */
export const SEEDS_PER_RUN = 5;

/** Lists the seeds of one experiment run. */
export function listSeeds(seed: number): number[] {
  return Array.from({ length: SEEDS_PER_RUN }, (_, index) => seed + index);
}

/** Numbers of requests and latency quantiles in ms of one request class. */
export interface ClassFigures {
  readonly requests: number;
  readonly good: number;
  readonly refused: number;
  readonly ttftP50: number;
  readonly ttftP95: number;
  readonly ttftP99: number;
  readonly tpotP50: number;
  readonly tpotP95: number;
}

/** Rounds to `digits` decimal places. */
export function round(value: number, digits = 2): number {
  return Math.round(value * 10 ** digits) / 10 ** digits;
}

/** Selects the records of requests that arrived in [fromMs, untilMs). */
export function selectArrivals(records: readonly RequestRecord[], fromMs: number, untilMs: number): RequestRecord[] {
  return records.filter(({ arrival }) => arrival.at >= fromMs && arrival.at < untilMs);
}

/** Good answers per second among requests that arrived in [fromMs, untilMs). */
export function goodput(
  records: readonly RequestRecord[],
  fromMs: number,
  untilMs: number,
  level: ServiceLevel = SERVICE_LEVEL,
): number {
  const good = selectArrivals(records, fromMs, untilMs).filter((record) => meetsServiceLevel(record, level));
  return good.length / ((untilMs - fromMs) / 1_000);
}

/** Computes the figures of each request class, sorted by name. */
export function summarizeClasses(records: readonly RequestRecord[]): Record<string, ClassFigures> {
  const classes = new Map<string, RequestRecord[]>();
  for (const record of records) {
    const name = record.arrival.requestClass;
    const list = classes.get(name);
    if (list === undefined) classes.set(name, [record]);
    else list.push(record);
  }
  const figures: Record<string, ClassFigures> = {};
  for (const [name, list] of [...classes].sort(([a], [b]) => a.localeCompare(b))) {
    const first = list.filter((record) => record.firstTokenAt !== null).map(firstTokenMs);
    const ended = list.filter((record) => record.endAt !== null && record.arrival.outputTokens > 1).map(perTokenMs);
    figures[name] = {
      requests: list.length,
      good: list.filter((record) => meetsServiceLevel(record)).length,
      refused: list.filter((record) => record.refusedAt !== null).length,
      ttftP50: round(quantile(first, 0.5), 1),
      ttftP95: round(quantile(first, 0.95), 1),
      ttftP99: round(quantile(first, 0.99), 1),
      tpotP50: round(quantile(ended, 0.5), 1),
      tpotP95: round(quantile(ended, 0.95), 1),
    };
  }
  return figures;
}

/** Median and range of a figure over the seeds. */
export interface Spread {
  readonly median: number;
  readonly min: number;
  readonly max: number;
}

/** Computes median and range of a non-empty list, rounded to `digits` decimal places. */
export function computeSpread(values: readonly number[], digits = 2): Spread {
  return {
    median: round(quantile(values, 0.5), digits),
    min: round(Math.min(...values), digits),
    max: round(Math.max(...values), digits),
  };
}

/** Builds the JSON line of a variant from its runs with several seeds. */
export function createVariantLine(
  variant: string,
  runs: readonly { readonly records: readonly RequestRecord[]; readonly roleChanges: number }[],
  durationMs: number,
  extra: Record<string, unknown> = {},
): Record<string, unknown> {
  const records = runs.flatMap((run) => run.records);
  return {
    variant,
    goodput: computeSpread(runs.map((run) => goodput(run.records, 0, durationMs))),
    classes: summarizeClasses(records),
    roleChanges: runs.reduce((sum, run) => sum + run.roleChanges, 0),
    refusals: records.filter((record) => record.refusedAt !== null).length,
    retries: records.reduce((sum, record) => sum + Math.max(0, record.attempts - 1), 0),
    ...extra,
  };
}
