import { z } from 'zod';
import { fail, ok } from './result.js';
import type { Result } from './result.js';

const DURATION_UNITS_MS: ReadonlyMap<string, number> = new Map([
  ['ms', 1], ['s', 1_000], ['min', 60_000], ['h', 3_600_000],
]);

const SIZE_UNITS_BYTES: ReadonlyMap<string, number> = new Map([
  ['B', 1], ['KB', 1_000], ['MB', 1_000_000], ['KiB', 1_024], ['MiB', 1_048_576],
]);

/** Text for error messages: what a duration setting accepts. */
export const DURATION_EXPECTED = 'a duration with a unit (ms, s, min, h), for example 5 s';

/** Text for error messages: what a size setting accepts. */
export const SIZE_EXPECTED = 'a size with a unit (B, KB, MB, KiB, MiB), for example 1 MB';

function safeParseQuantity(
  text: string,
  units: ReadonlyMap<string, number>,
  expected: string,
): Result<number, string> {
  const match = /^(\d{1,9}(?:\.\d{1,17})?)\s?([A-Za-z]{1,3})$/.exec(text.trim());
  const factor = units.get(match?.[2] ?? '');
  if (match?.[1] === undefined || factor === undefined) return fail(expected);
  return ok(Math.round(Number(match[1]) * factor));
}

/** Parses a duration such as `250 ms`, `5s` or `1.5 min` into milliseconds; the error is {@link DURATION_EXPECTED}. */
export function safeParseDuration(text: string): Result<number, string> {
  return safeParseQuantity(text, DURATION_UNITS_MS, DURATION_EXPECTED);
}

/** Parses a size such as `64 KiB` or `1 MB` into bytes; the error is {@link SIZE_EXPECTED}. */
export function safeParseSize(text: string): Result<number, string> {
  return safeParseQuantity(text, SIZE_UNITS_BYTES, SIZE_EXPECTED);
}

function quantitySchema(
  safeParse: (text: string) => Result<number, string>,
  minimum: string,
  maximum: string,
): z.ZodType<number, string> {
  const [minimumResult, maximumResult] = [safeParse(minimum), safeParse(maximum)];
  const minValue = minimumResult.success ? minimumResult.data : 0;
  const maxValue = maximumResult.success ? maximumResult.data : Infinity;
  return z.string().transform((text, context) => {
    const parsed = safeParse(text);
    if (parsed.success && parsed.data >= minValue && parsed.data <= maxValue) return parsed.data;
    const message = parsed.success ? `between ${minimum} and ${maximum}` : parsed.error;
    context.addIssue({ code: 'custom', message });
    return z.NEVER;
  });
}

/** Schema of a duration with a unit. Parses to milliseconds; the inclusive bounds are written with units too. */
export function durationSchema(minimum: string, maximum: string): z.ZodType<number, string> {
  return quantitySchema(safeParseDuration, minimum, maximum);
}

/** Schema of a size with a unit. Parses to bytes; the inclusive bounds are written with units too. */
export function sizeSchema(minimum: string, maximum: string): z.ZodType<number, string> {
  return quantitySchema(safeParseSize, minimum, maximum);
}

/** Schema of a whole number in decimal digits, between two inclusive bounds. */
export function countSchema(minimum: number, maximum: number): z.ZodType<number, string> {
  return z.string().transform((text, context) => {
    const value = /^\d{1,9}$/.test(text) ? Number(text) : NaN;
    if (value >= minimum && value <= maximum) return value;
    context.addIssue({ code: 'custom', message: `a whole number between ${minimum} and ${maximum}` });
    return z.NEVER;
  });
}

/** Schema of a number in decimal digits, with or without a fraction, between two inclusive bounds. */
export function numberSchema(minimum: number, maximum: number): z.ZodType<number, string> {
  return z.string().transform((text, context) => {
    const value = /^\d{1,9}(?:\.\d{1,17})?$/.test(text) ? Number(text) : NaN;
    if (value >= minimum && value <= maximum) return value;
    context.addIssue({ code: 'custom', message: `a number between ${minimum} and ${maximum}` });
    return z.NEVER;
  });
}
