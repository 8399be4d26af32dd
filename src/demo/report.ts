import type { RequestRecord } from './load.js';

/** Latency bounds in ms for an answer to count as goodput: first token, and mean time between tokens. */
const MAX_GOOD_FIRST_TOKEN_MS = 740;
const MAX_GOOD_TOKEN_INTERVAL_MS = 46;

/** Figures of one request class; times are in ms. */
export interface ClassFigures {
  readonly user: string;
  readonly class: string;
  readonly sent: number;
  readonly answered: number;
  readonly refused: number;
  readonly resumed: number;
  readonly first_token_p50: number | null;
  readonly first_token_p99: number | null;
  readonly total_p50: number;
  readonly total_p99: number;
  readonly goodput_per_s: number;
}

/** Figures of the whole demo. */
export interface DemoFigures {
  readonly classes: readonly ClassFigures[];
  readonly goodput_per_s: number;
  readonly cut: number;
  readonly run_twice: number;
  readonly wrong_answer: number;
  readonly outcome_unknown: number;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

function percentile(values: readonly number[], share: number): number | null {
  if (values.length === 0) return null;
  const sorted = [...values].sort((left, right) => left - right);
  return Math.round(sorted[Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)]!);
}

function meetsLatencyBounds(record: RequestRecord): boolean {
  if (record.ending.type !== 'answered' || record.isWrong) return false;
  if (record.firstTokenMs === null) return record.totalMs <= MAX_GOOD_FIRST_TOKEN_MS;
  const perToken = record.tokens > 1 ? (record.totalMs - record.firstTokenMs) / (record.tokens - 1) : 0;
  return record.firstTokenMs <= MAX_GOOD_FIRST_TOKEN_MS && perToken <= MAX_GOOD_TOKEN_INTERVAL_MS;
}

/** Computes the figures of each request class of one user, sorted by class. */
export function computeClassFigures(
  user: string,
  records: readonly RequestRecord[],
  durationMs: number,
): ClassFigures[] {
  return [...new Set(records.map((record) => record.class))].sort().map((name) => {
    const own = records.filter((record) => record.class === name);
    const first = own.flatMap(({ firstTokenMs }) => (firstTokenMs === null ? [] : [firstTokenMs]));
    const totals = own.map(({ totalMs }) => totalMs);
    return {
      user,
      class: name,
      sent: own.length,
      answered: own.filter(({ ending }) => ending.type === 'answered').length,
      refused: own.filter(({ ending }) => ending.type === 'refused').length,
      resumed: own.filter(({ ending, retries }) => ending.type === 'answered' && retries > 0).length,
      first_token_p50: percentile(first, 0.5),
      first_token_p99: percentile(first, 0.99),
      total_p50: percentile(totals, 0.5) ?? 0,
      total_p99: percentile(totals, 0.99) ?? 0,
      goodput_per_s: round(own.filter(meetsLatencyBounds).length / (durationMs / 1_000)),
    };
  });
}

/** Computes the figures of the whole demo from those of its classes. */
export function computeDemoFigures(
  classes: readonly ClassFigures[],
  records: readonly RequestRecord[],
  runTwice: number,
): DemoFigures {
  const refusedUnknown = records.filter(({ ending }) => ending.type === 'refused' && ending.ran === 'unknown');
  return {
    classes,
    goodput_per_s: round(classes.reduce((sum, { goodput_per_s: rate }) => sum + rate, 0)),
    cut: records.filter(({ ending }) => ending.type === 'cut').length,
    run_twice: runTwice,
    wrong_answer: records.filter(({ isWrong }) => isWrong).length,
    outcome_unknown: refusedUnknown.length,
  };
}

const COLUMNS: readonly (readonly [title: string, field: keyof ClassFigures])[] = [
  ['user', 'user'], ['class', 'class'], ['sent', 'sent'], ['answered', 'answered'], ['refused', 'refused'],
  ['tried again', 'resumed'], ['first token p50', 'first_token_p50'], ['p99 ms', 'first_token_p99'],
  ['whole p50', 'total_p50'], ['p99 ms', 'total_p99'], ['good/s', 'goodput_per_s'],
];

/** Formats the figures as a text table with a line of totals. */
export function formatFigures(figures: DemoFigures): string {
  const rows = [
    COLUMNS.map(([title]) => title),
    ...figures.classes.map((line) => COLUMNS.map(([, field]) => String(line[field] ?? '-'))),
  ];
  const widths = COLUMNS.map((_, column) => Math.max(...rows.map((row) => row[column]!.length)));
  const lines = rows.map((row) => row.map((text, column) => (
    column < 2 ? text.padEnd(widths[column]!) : text.padStart(widths[column]!)
  )).join('  '));
  return [
    ...lines,
    '',
    `cut ${figures.cut}, run twice ${figures.run_twice}, wrong answer ${figures.wrong_answer}, outcome unknown ${figures.outcome_unknown}`,
  ].join('\n');
}
