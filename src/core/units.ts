import { z } from 'zod';
import { fail, ok } from './result.js';
import type { Result } from './result.js';

const DURATION_UNITS_MS: ReadonlyMap<string, number> = new Map([
  ['ms', 1], ['s', 1_000], ['min', 60_000], ['h', 3_600_000],
]);

const SIZE_UNITS_BYTES: ReadonlyMap<string, number> = new Map([
  ['B', 1], ['KB', 1_000], ['MB', 1_000_000], ['KiB', 1_024], ['MiB', 1_048_576],
]);

/** What a duration setting accepts. */
export const DURATION_EXPECTED = 'a duration with a unit (ms, s, min, h), for example 5 s';

/** What a size setting accepts. */
export const SIZE_EXPECTED = 'a size with a unit (B, KB, MB, KiB, MiB), for example 1 MB';

function safeParseQuantity(
  text: string,
  units: ReadonlyMap<string, number>,
  expected: string,
): Result<number, string> {
  const match = /^(\d{1,9}(?:\.\d{1,6})?)\s?([A-Za-z]{1,3})$/.exec(text.trim());
  const factor = units.get(match?.[2] ?? '');
  if (match?.[1] === undefined || factor === undefined) return fail(expected);
  return ok(Math.round(Number(match[1]) * factor));
}

/** Parses a duration such as `250 ms`, `5s` or `1.5 min` into ms; the error says what is accepted. */
export function safeParseDuration(text: string): Result<number, string> {
  return safeParseQuantity(text, DURATION_UNITS_MS, DURATION_EXPECTED);
}

/** Parses a size such as `64 KiB` or `1 MB` into bytes; the error says what is accepted. */
export function safeParseSize(text: string): Result<number, string> {
  return safeParseQuantity(text, SIZE_UNITS_BYTES, SIZE_EXPECTED);
}

function quantitySchema(
  safeParse: (text: string) => Result<number, string>,
  least: string,
  most: string,
): z.ZodType<number, string> {
  const [leastResult, mostResult] = [safeParse(least), safeParse(most)];
  const smallest = leastResult.success ? leastResult.data : 0;
  const largest = mostResult.success ? mostResult.data : Infinity;
  return z.string().transform((text, context) => {
    const parsed = safeParse(text);
    if (parsed.success && parsed.data >= smallest && parsed.data <= largest) return parsed.data;
    const message = parsed.success ? `between ${least} and ${most}` : parsed.error;
    context.addIssue({ code: 'custom', message });
    return z.NEVER;
  });
}

/** Schema of a duration with a unit, in ms after parsing; bounds are durations as text. */
export function durationSchema(least: string, most: string): z.ZodType<number, string> {
  return quantitySchema(safeParseDuration, least, most);
}

/** Schema of a size with a unit, in bytes after parsing; bounds are sizes as text. */
export function sizeSchema(least: string, most: string): z.ZodType<number, string> {
  return quantitySchema(safeParseSize, least, most);
}

/** Schema of a whole number written in decimal digits. */
export function countSchema(least: number, most: number): z.ZodType<number, string> {
  return z.string().transform((text, context) => {
    const value = /^\d{1,9}$/.test(text) ? Number(text) : NaN;
    if (value >= least && value <= most) return value;
    context.addIssue({ code: 'custom', message: `a whole number between ${least} and ${most}` });
    return z.NEVER;
  });
}
