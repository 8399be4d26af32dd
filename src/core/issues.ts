import { assertNever } from './result.js';

/** Location of an issue, as far as it is known. */
export interface IssueLocation {
  /** Section and key of a file, or the property path in a message. */
  readonly path: readonly string[];
  readonly file?: string;
  /** Line number, starting at 1. */
  readonly line?: number;
}

/** Validation error in a settings file, a fleet file or a message. */
export type Issue = IssueLocation & (
  | { readonly code: 'unknown_key'; readonly accepted: readonly string[] }
  | { readonly code: 'duplicate_key' }
  | { readonly code: 'missing'; readonly expected: string }
  | { readonly code: 'invalid_value'; readonly found: string; readonly expected: string }
  | { readonly code: 'unknown_reference'; readonly found: string; readonly accepted: readonly string[] }
  | { readonly code: 'too_large'; readonly bytes: number; readonly limitBytes: number }
);

const MAX_QUOTED_LENGTH = 80;

function quoteTruncated(value: string): string {
  const text = value.length > MAX_QUOTED_LENGTH ? `${value.slice(0, MAX_QUOTED_LENGTH)}...` : value;
  return JSON.stringify(text);
}

function joinNames(names: readonly string[]): string {
  return names.length === 0 ? 'nothing' : names.join(', ');
}

function formatLocation({ file, line, path }: Issue): string {
  const [section, key] = path;
  const parts = [
    ...(file === undefined ? [] : [line === undefined ? file : `${file}:${line}`]),
    ...(file === undefined && line !== undefined ? [`line ${line}`] : []),
    ...(section === undefined ? [] : [key === undefined ? `[${section}]` : `[${section}] ${key}`]),
  ];
  return parts.length === 0 ? 'file' : parts.join(': ');
}

function formatProblem(issue: Issue): string {
  switch (issue.code) {
    case 'unknown_key':
      return `unknown ${issue.path.length === 1 ? 'section' : 'key'}; accepted: ${joinNames(issue.accepted)}`;
    case 'duplicate_key':
      return `this ${issue.path.length === 1 ? 'section' : 'key'} appears more than once; once is accepted`;
    case 'missing':
      return `missing; expected ${issue.expected}`;
    case 'invalid_value':
      return `found ${quoteTruncated(issue.found)}; expected ${issue.expected}`;
    case 'unknown_reference':
      return `found ${quoteTruncated(issue.found)}, which is not defined; accepted: ${joinNames(issue.accepted)}`;
    case 'too_large':
      return `${issue.bytes} bytes; at most ${issue.limitBytes} bytes are accepted`;
    default:
      return assertNever(issue);
  }
}

/** Formats an issue as one line of text: file, section, key, the value found and what is accepted. */
export function formatIssue(issue: Issue): string {
  return `${formatLocation(issue)}: ${formatProblem(issue)}`;
}

/** Thrown by the public parsing functions that do not return a result; holds all issues. */
export class IssuesError extends Error {
  public override readonly name = 'IssuesError';

  public constructor(public readonly issues: readonly Issue[]) {
    super(issues.map(formatIssue).join('\n'));
  }
}
