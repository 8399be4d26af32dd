import { assertNever } from './result.js';

/** Where an issue was found, as far as that is known. */
export interface IssuePlace {
  /** Section and key, or the place in a message. */
  readonly path: readonly string[];
  readonly file?: string;
  readonly line?: number;
}

/** Problem found in settings, a fleet file or a message. */
export type Issue = IssuePlace & (
  | { readonly code: 'unknown_key'; readonly accepted: readonly string[] }
  | { readonly code: 'duplicate_key' }
  | { readonly code: 'missing'; readonly expected: string }
  | { readonly code: 'invalid_value'; readonly found: string; readonly expected: string }
  | { readonly code: 'unknown_reference'; readonly found: string; readonly accepted: readonly string[] }
  | { readonly code: 'too_large'; readonly bytes: number; readonly limitBytes: number }
);

const SHOWN_VALUE_LENGTH = 80;

function shown(value: string): string {
  const text = value.length > SHOWN_VALUE_LENGTH ? `${value.slice(0, SHOWN_VALUE_LENGTH)}...` : value;
  return JSON.stringify(text);
}

function list(names: readonly string[]): string {
  return names.length === 0 ? 'nothing' : names.join(', ');
}

function placeText({ file, line, path }: Issue): string {
  const [section, key] = path;
  const parts = [
    ...(file === undefined ? [] : [line === undefined ? file : `${file}:${line}`]),
    ...(file === undefined && line !== undefined ? [`line ${line}`] : []),
    ...(section === undefined ? [] : [key === undefined ? `[${section}]` : `[${section}] ${key}`]),
  ];
  return parts.length === 0 ? 'file' : parts.join(': ');
}

function problemText(issue: Issue): string {
  switch (issue.code) {
    case 'unknown_key':
      return `unknown ${issue.path.length === 1 ? 'section' : 'key'}; accepted: ${list(issue.accepted)}`;
    case 'duplicate_key':
      return `this ${issue.path.length === 1 ? 'section' : 'key'} appears more than once; once is accepted`;
    case 'missing':
      return `missing; expected ${issue.expected}`;
    case 'invalid_value':
      return `found ${shown(issue.found)}; expected ${issue.expected}`;
    case 'unknown_reference':
      return `found ${shown(issue.found)}, which is not defined; accepted: ${list(issue.accepted)}`;
    case 'too_large':
      return `${issue.bytes} bytes; at most ${issue.limitBytes} bytes are accepted`;
    default:
      return assertNever(issue);
  }
}

/** Text of an issue: file, section, key, what was found and what is accepted. */
export function issueText(issue: Issue): string {
  return `${placeText(issue)}: ${problemText(issue)}`;
}

/** Thrown by the parsing functions of the public surface that do not return a result. */
export class IssuesError extends Error {
  public override readonly name = 'IssuesError';

  public constructor(public readonly issues: readonly Issue[]) {
    super(issues.map(issueText).join('\n'));
  }
}
