import moo from 'moo';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { safeParseDuration } from '../core/units.js';

/** Word or quoted text of a step, with its column (from 1). */
interface Token {
  readonly type: 'word' | 'text';
  readonly value: string;
  readonly column: number;
}

/** Problem in a scenario file: a parse error, or an expectation that was not met. */
export interface ScenarioIssue {
  readonly code: 'syntax' | 'unknown_step' | 'invalid_value' | 'expectation';
  readonly file: string;
  readonly line: number;
  readonly message: string;
}

/** Values of the placeholders of a step, by name. */
export type StepValues = Readonly<Record<string, string | number>>;

/**
 * Form of a step: literal words and placeholders `<name:kind>` of the kinds `count`, `duration` (in ms), `factor`,
 * `name` and `text`.
 */
export interface StepForm<W> {
  readonly form: string;
  /** Runs the step. Returns a text if an expectation is not met, which says what was found instead. */
  readonly run: (world: W, values: StepValues) => Promise<string | void> | string | void;
}

/** Parsed step that can be run. */
export interface ParsedStep<W> {
  readonly line: number;
  readonly text: string;
  readonly values: StepValues;
  readonly form: StepForm<W>;
}

function createLexer(): moo.Lexer {
  return moo.compile({
    space: /[ \t]+/,
    comment: /#.*/,
    text: { match: /"[^"\n]*"/, value: (raw) => raw.slice(1, -1) },
    word: /[A-Za-z0-9_./-]+/,
  });
}

/** Tokens of a line, or the column of the last one before a character that is not allowed. */
function tokenize(line: string): Token[] | number {
  const lexer = createLexer();
  lexer.reset(line);
  const tokens: Token[] = [];
  try {
    for (const token of lexer) {
      if (token.type === 'word' || token.type === 'text') {
        tokens.push({ type: token.type, value: token.value, column: token.col });
      }
    }
  } catch {
    return tokens.at(-1)?.column ?? 1;
  }
  return tokens;
}

/** Value of a placeholder, or `null` if the token is not of its kind. */
function parseValue(kind: string, token: Token): string | number | null {
  switch (kind) {
    case 'text':
      return token.type === 'text' ? token.value : null;
    case 'count':
      return /^\d+$/.test(token.value) ? Number(token.value) : null;
    case 'factor':
      return /^\d+(\.\d+)?$/.test(token.value) ? Number(token.value) : null;
    case 'duration': {
      const duration = safeParseDuration(token.value);
      return duration.success ? duration.data : null;
    }
    default:
      return token.type === 'word' ? token.value : null;
  }
}

/** Values of the placeholders, the first wrong value, or `null` if the literal words differ. */
type Match = { readonly values: StepValues } | { readonly wrong: string } | null;

function matchForm(form: string, tokens: readonly Token[]): Match {
  const parts = form.split(' ');
  if (parts.length !== tokens.length) return null;
  const values: Record<string, string | number> = {};
  let wrong: string | null = null;
  for (const [index, part] of parts.entries()) {
    const token = tokens[index]!;
    const placeholder = /^<([a-z]+):([a-z]+)>$/.exec(part);
    if (placeholder === null) {
      if (token.type !== 'word' || token.value !== part) return null;
      continue;
    }
    const [, name, kind] = placeholder as unknown as [string, string, string];
    const value = parseValue(kind, token);
    if (value === null) wrong ??= `column ${token.column}: a ${kind} is expected, found ${token.value}`;
    else values[name] = value;
  }
  return wrong === null ? { values } : { wrong };
}

/** Parses a scenario: one step per line, comments after `#`. Reports the problems of all lines. */
export function safeParseScenario<W>(
  source: string,
  file: string,
  forms: readonly StepForm<W>[],
): Result<readonly ParsedStep<W>[], readonly ScenarioIssue[]> {
  const steps: ParsedStep<W>[] = [];
  const issues: ScenarioIssue[] = [];
  source.split('\n').forEach((text, index) => {
    const line = index + 1;
    const tokens = tokenize(text);
    if (typeof tokens === 'number') {
      issues.push({
        code: 'syntax', file, line, message: `unexpected character after column ${tokens}`,
      });
      return;
    }
    if (tokens.length === 0) return;
    let wrong: string | null = null;
    for (const form of forms) {
      const match = matchForm(form.form, tokens);
      if (match === null) continue;
      if ('values' in match) {
        steps.push({
          line, text: text.trim(), values: match.values, form,
        });
        return;
      }
      wrong ??= match.wrong;
    }
    const code = wrong === null ? 'unknown_step' : 'invalid_value';
    issues.push({
      code, file, line, message: wrong ?? `no step reads "${text.trim()}"`,
    });
  });
  return issues.length === 0 ? ok(steps) : fail(issues);
}

/** Formats an issue as `<file>:<line>: <message>`. */
export function scenarioIssueText(issue: ScenarioIssue): string {
  return `${issue.file}:${issue.line}: ${issue.message}`;
}
