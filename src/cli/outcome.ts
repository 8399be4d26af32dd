import { formatIssue } from '../core/issues.js';
import type { Issue } from '../core/issues.js';

/** Exit codes of every command. */
export enum ExitCode {
  Done = 0,
  /** The entry refused, or the command failed and had no effect. */
  Refused = 1,
  /** Invalid usage or settings. */
  Usage = 2,
  /** The request was sent and its outcome is unknown. */
  Unknown = 3,
}

/** Output and exit code of a command. */
export interface Outcome {
  readonly exitCode: ExitCode;
  /** Printed with `--json`, as one line. */
  readonly json: unknown;
  /** Printed without `--json`. */
  readonly text: string;
}

/** Outcome with an error message. */
export function failed(exitCode: ExitCode, message: string): Outcome {
  return { exitCode, json: { error: { message } }, text: message };
}

/** Outcome for invalid input; its text has one line for each issue. */
export function invalid(exitCode: ExitCode, issues: readonly Issue[]): Outcome {
  const texts = issues.map((issue) => ({ ...issue, text: formatIssue(issue) }));
  return { exitCode, json: { issues: texts }, text: texts.map((issue) => issue.text).join('\n') };
}
