import { unsafe as decode } from 'ini';
import type { z } from 'zod';
import type { Issue } from './issues.js';
import { fail, ok } from './result.js';
import type { Result } from './result.js';

/** Section of an INI file; keys and values are text. */
export interface IniSection {
  readonly name: string;
  readonly line: number;
  readonly values: ReadonlyMap<string, string>;
  /** Line of each key. */
  readonly lines: ReadonlyMap<string, number>;
}

/** INI file with its sections in order, and the problems of its layout. */
export interface IniDocument {
  readonly sections: ReadonlyMap<string, IniSection>;
  readonly issues: readonly Issue[];
}

interface OpenSection extends IniSection {
  readonly values: Map<string, string>;
  readonly lines: Map<string, number>;
}

function decodeText(raw: string): string {
  // The decoder gives parsed JSON for quoted text, which need not be a string.
  const value: unknown = decode(raw);
  return typeof value === 'string' ? value : JSON.stringify(value);
}

/**
 * Reads the sections and keys of an INI file. Each line is decoded by the `ini` library on its own, because its whole
 * file parser merges repeated keys and sections, nests dotted section names and drops `__proto__` without a word.
 */
export function parseIni(text: string, file?: string): IniDocument {
  const sections = new Map<string, IniSection>();
  const issues: Issue[] = [];
  const place = (line: number, path: readonly string[]) => ({ path, line, ...(file === undefined ? {} : { file }) });
  let section: OpenSection | null = null;
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
      if (sections.has(name)) issues.push({ code: 'duplicate_key', ...place(line, [name]) });
      else sections.set(name, section);
    } else if (equals <= 0) {
      issues.push({
        code: 'invalid_value',
        ...place(line, section === null ? [] : [section.name]),
        found: content,
        expected: '[section] or key = value',
      });
    } else if (section === null) {
      issues.push({
        code: 'invalid_value', ...place(line, []), found: content, expected: 'a section before the first key',
      });
    } else {
      const key = decodeText(content.slice(0, equals));
      if (section.values.has(key)) issues.push({ code: 'duplicate_key', ...place(line, [section.name, key]) });
      else {
        section.values.set(key, decodeText(content.slice(equals + 1)));
        section.lines.set(key, line);
      }
    }
  }
  return { sections, issues };
}

function toKebab(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

function expectedText(issue: z.core.$ZodIssue): string {
  if (issue.code === 'invalid_value') return issue.values.map(String).join(' | ');
  if (issue.code === 'too_small' && issue.origin === 'array') return 'at least one name';
  return issue.message;
}

/** How one section of an INI file becomes one object. */
export interface SectionOptions {
  readonly file?: string;
  /** Keys whose value is a list separated by commas. */
  readonly lists?: readonly string[];
  /** Fields that come from elsewhere, for example the section's name. */
  readonly fields?: Readonly<Record<string, unknown>>;
}

function splitList(value: string): string[] {
  return value.split(',').map((item) => item.trim()).filter((item) => item !== '');
}

/**
 * Checks one section against an object schema whose field names are the keys in camel case. An absent section counts
 * as empty, so that its defaults apply; its required keys are then reported as missing.
 */
export function safeParseSection<Shape extends z.ZodRawShape>(
  name: string,
  section: IniSection | undefined,
  schema: z.ZodObject<Shape>,
  opts: SectionOptions = {},
): Result<z.output<z.ZodObject<Shape>>, readonly Issue[]> {
  const fields = opts.fields ?? {};
  const accepted = new Map(Object.keys(schema.shape).filter((field) => !Object.hasOwn(fields, field))
    .map((field) => [toKebab(field), field]));
  const file = opts.file === undefined ? {} : { file: opts.file };
  const place = (key: string) => {
    const line = section?.lines.get(key) ?? section?.line;
    return { path: [name, key], ...file, ...(line === undefined ? {} : { line }) };
  };
  const issues: Issue[] = [];
  const input: Record<string, unknown> = { ...fields };
  for (const [key, value] of section?.values ?? []) {
    const field = accepted.get(key);
    if (field === undefined) issues.push({ code: 'unknown_key', ...place(key), accepted: [...accepted.keys()] });
    else if (opts.lists?.includes(key) === true) {
      const items = splitList(value);
      input[field] = items;
      const repeated = items.find((item, index) => items.indexOf(item) !== index);
      if (repeated !== undefined) {
        issues.push({
          code: 'invalid_value', ...place(key), found: repeated, expected: 'each name once',
        });
      }
    } else input[field] = value;
  }
  const parsed = schema.safeParse(input);
  if (parsed.success && issues.length === 0) return ok(parsed.data);
  for (const problem of parsed.error?.issues ?? []) {
    const field = String(problem.path[0] ?? '');
    const key = toKebab(field);
    const expected = expectedText(problem);
    if (Object.hasOwn(input, field)) {
      const item = problem.path[1];
      const value: unknown = input[field];
      const found = Array.isArray(value) && typeof item === 'number' ? String(value[item]) : String(value);
      issues.push({
        code: 'invalid_value', ...place(key), found, expected,
      });
    } else {
      const described = (schema.shape[field] as z.ZodType | undefined)?.description;
      issues.push({ code: 'missing', ...place(key), expected: described ?? expected });
    }
  }
  return fail(issues);
}

/**
 * Parses a file whose sections and keys are all known, and checks all of them; the error holds every issue. Keys in
 * `lists` hold items separated by commas.
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
