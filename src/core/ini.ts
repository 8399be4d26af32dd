import { unsafe as decode } from 'ini';
import type { z } from 'zod';
import type { Issue } from './issues.js';
import { fail, ok } from './result.js';
import type { Result } from './result.js';

/** Section of an INI file. Keys and values are strings; line numbers start at 1. */
export interface IniSection {
  readonly name: string;
  readonly line: number;
  readonly values: ReadonlyMap<string, string>;
  /** Line number of each key. */
  readonly lines: ReadonlyMap<string, number>;
}

/** Parsed INI file: its sections in file order, and its syntax errors and duplicates. */
export interface IniDocument {
  readonly sections: ReadonlyMap<string, IniSection>;
  readonly issues: readonly Issue[];
}

interface MutableSection extends IniSection {
  readonly values: Map<string, string>;
  readonly lines: Map<string, number>;
}

function decodeText(raw: string): string {
  // For quoted text the decoder returns the parsed JSON value, which may not be a string.
  const value: unknown = decode(raw);
  return typeof value === 'string' ? value : JSON.stringify(value);
}

/**
 * Parses the sections and keys of an INI file; `file` is its name in the issues. Each line is decoded separately with
 * the `ini` library, because the library's parser for whole files silently merges repeated keys and sections, nests
 * dotted section names and drops `__proto__`.
 */
export function parseIni(text: string, file?: string): IniDocument {
  const sections = new Map<string, IniSection>();
  const issues: Issue[] = [];
  const locationAt = (line: number, path: readonly string[]) => ({
    path, line, ...(file === undefined ? {} : { file }),
  });
  let section: MutableSection | null = null;
  for (const [index, raw] of text.split(/\r\n|\r|\n/).entries()) {
    const line = index + 1;
    const content = raw.trim();
    if (content === '' || content.startsWith(';') || content.startsWith('#')) continue;
    const header = /^\[([^\]]*)\]$/.exec(content);
    const equals = content.indexOf('=');
    if (header?.[1] !== undefined) {
      const name = decodeText(header[1]);
      section = {
        name, line, values: new Map(), lines: new Map(),
      };
      if (sections.has(name)) issues.push({ code: 'duplicate_key', ...locationAt(line, [name]) });
      else sections.set(name, section);
    } else if (equals <= 0) {
      issues.push({
        code: 'invalid_value',
        ...locationAt(line, section === null ? [] : [section.name]),
        found: content,
        expected: '[section] or key = value',
      });
    } else if (section === null) {
      issues.push({
        code: 'invalid_value', ...locationAt(line, []), found: content, expected: 'a section before the first key',
      });
    } else {
      const key = decodeText(content.slice(0, equals));
      if (section.values.has(key)) issues.push({ code: 'duplicate_key', ...locationAt(line, [section.name, key]) });
      else {
        section.values.set(key, decodeText(content.slice(equals + 1)));
        section.lines.set(key, line);
      }
    }
  }
  return { sections, issues };
}

function toKebabCase(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

function describeExpected(issue: z.core.$ZodIssue): string {
  if (issue.code === 'invalid_value') return issue.values.map(String).join(' | ');
  if (issue.code === 'too_small' && issue.origin === 'array') return 'at least one name';
  return issue.message;
}

/** Options of {@link safeParseSection}. */
export interface SectionOptions {
  /** File name used in issues. */
  readonly file?: string;
  /** Keys whose value is a comma-separated list. */
  readonly lists?: readonly string[];
  /** Field values that are not read from the section's keys, for example its name. */
  readonly fields?: Readonly<Record<string, unknown>>;
}

function splitList(value: string): string[] {
  return value.split(',').map((item) => item.trim()).filter((item) => item !== '');
}

/**
 * Validates one section against an object schema whose field names are the section's keys in camel case. A missing
 * section is treated as empty: defaults apply, and its required keys are reported as missing. The error holds every
 * issue.
 */
export function safeParseSection<Shape extends z.ZodRawShape>(
  name: string,
  section: IniSection | undefined,
  schema: z.ZodObject<Shape>,
  opts: SectionOptions = {},
): Result<z.output<z.ZodObject<Shape>>, readonly Issue[]> {
  const fields = opts.fields ?? {};
  const fieldByKey = new Map(Object.keys(schema.shape).filter((field) => !Object.hasOwn(fields, field))
    .map((field) => [toKebabCase(field), field]));
  const file = opts.file === undefined ? {} : { file: opts.file };
  const locationOf = (key: string) => {
    const line = section?.lines.get(key) ?? section?.line;
    return { path: [name, key], ...file, ...(line === undefined ? {} : { line }) };
  };
  const issues: Issue[] = [];
  const input: Record<string, unknown> = { ...fields };
  for (const [key, value] of section?.values ?? []) {
    const field = fieldByKey.get(key);
    if (field === undefined) issues.push({ code: 'unknown_key', ...locationOf(key), accepted: [...fieldByKey.keys()] });
    else if (opts.lists?.includes(key) === true) {
      const items = splitList(value);
      input[field] = items;
      const repeated = items.find((item, index) => items.indexOf(item) !== index);
      if (repeated !== undefined) {
        issues.push({
          code: 'invalid_value', ...locationOf(key), found: repeated, expected: 'each name once',
        });
      }
    } else input[field] = value;
  }
  const parsed = schema.safeParse(input);
  if (parsed.success && issues.length === 0) return ok(parsed.data);
  for (const problem of parsed.error?.issues ?? []) {
    const field = String(problem.path[0] ?? '');
    const key = toKebabCase(field);
    const expected = describeExpected(problem);
    if (Object.hasOwn(input, field)) {
      const item = problem.path[1];
      const value: unknown = input[field];
      const found = Array.isArray(value) && typeof item === 'number' ? String(value[item]) : String(value);
      issues.push({
        code: 'invalid_value', ...locationOf(key), found, expected,
      });
    } else {
      const described = (schema.shape[field] as z.ZodType | undefined)?.description;
      issues.push({ code: 'missing', ...locationOf(key), expected: described ?? expected });
    }
  }
  return fail(issues);
}

/**
 * Parses and validates a whole INI file; a section without a schema in `sections` is an issue. Values of the keys in
 * `lists` are comma-separated lists. The error holds every issue of the file.
 */
export function safeParseSections<Sections extends Readonly<Record<string, z.ZodObject>>>(
  sections: Sections,
  text: string,
  file: string,
  lists: readonly string[],
): Result<{ readonly [Name in keyof Sections]: z.output<Sections[Name]> }, readonly Issue[]> {
  const document = parseIni(text, file);
  const issues: Issue[] = [...document.issues];
  const accepted = Object.keys(sections);
  for (const section of document.sections.values()) {
    if (!Object.hasOwn(sections, section.name)) {
      issues.push({
        code: 'unknown_key', path: [section.name], file, line: section.line, accepted,
      });
    }
  }
  const entries = Object.entries(sections).map(([name, schema]) => {
    const section = safeParseSection(name, document.sections.get(name), schema, { file, lists });
    if (!section.success) issues.push(...section.error);
    return [name, section.success ? section.data : undefined];
  });
  if (issues.length > 0) return fail(issues);
  return ok(Object.fromEntries(entries) as { readonly [Name in keyof Sections]: z.output<Sections[Name]> });
}
