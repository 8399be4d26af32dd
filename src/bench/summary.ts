import {
  SERVICE_LEVEL, firstTokenMs, isGood, perTokenMs, quantile,
} from './simulation.js';
import type { RequestRecord } from './attempt.js';
import type { ServiceLevel } from './simulation.js';

/** Seeds of one experiment: the given one and the four after it. */
export const SEEDS_PER_RUN = 5;

/** Seeds of one experiment run. */
export function seedsFrom(seed: number): number[] {
  return Array.from({ length: SEEDS_PER_RUN }, (_, index) => seed + index);
}

/** Figures of one class of requests, in ms. */
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

/** Records that arrived in [fromMs, untilMs). */
export function arrivedIn(records: readonly RequestRecord[], fromMs: number, untilMs: number): RequestRecord[] {
  return records.filter(({ arrival }) => arrival.at >= fromMs && arrival.at < untilMs);
}

/** Good answers per second among requests that arrived in [fromMs, untilMs). */
export function goodput(
  records: readonly RequestRecord[],
  fromMs: number,
  untilMs: number,
  level: ServiceLevel = SERVICE_LEVEL,
): number {
  const good = arrivedIn(records, fromMs, untilMs).filter((record) => isGood(record, level));
  return good.length / ((untilMs - fromMs) / 1_000);
}

/** Figures per class. */
export function classFigures(records: readonly RequestRecord[]): Record<string, ClassFigures> {
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
      good: list.filter((record) => isGood(record)).length,
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

/** Median and range of one figure over the seeds. */
export interface Spread {
  readonly median: number;
  readonly min: number;
  readonly max: number;
}

/** Median and range of a non-empty list. */
export function spread(values: readonly number[], digits = 2): Spread {
  return {
    median: round(quantile(values, 0.5), digits),
    min: round(Math.min(...values), digits),
    max: round(Math.max(...values), digits),
  };
}

/** One JSON line of a variant over several seeds of records. */
export function variantLine(
  variant: string,
  runs: readonly { readonly records: readonly RequestRecord[]; readonly roleChanges: number }[],
  durationMs: number,
  extra: Record<string, unknown> = {},
): Record<string, unknown> {
  const records = runs.flatMap((run) => run.records);
  return {
    variant,
    goodput: spread(runs.map((run) => goodput(run.records, 0, durationMs))),
    classes: classFigures(records),
    roleChanges: runs.reduce((sum, run) => sum + run.roleChanges, 0),
    refusals: records.filter((record) => record.refusedAt !== null).length,
    retries: records.reduce((sum, record) => sum + Math.max(0, record.attempts - 1), 0),
    ...extra,
  };
}
