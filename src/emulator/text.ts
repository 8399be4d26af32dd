import { createHash } from 'node:crypto';

const LENGTH_DIRECTIVE = /\[answer-tokens=(\d+)\]/;
const DEFAULT_ANSWER_TOKENS = 16;

/** Number of tokens that the emulated engines answer to a prompt; `[answer-tokens=N]` in the prompt sets it. */
export function answerLength(prompt: string, maxTokens: number): number {
  const match = LENGTH_DIRECTIVE.exec(prompt);
  const wanted = match === null ? DEFAULT_ANSWER_TOKENS : Number(match[1]);
  return Math.max(1, Math.min(wanted, maxTokens));
}

/** Token text of an emulated answer; depends on the prompt and the index only, so any mix-up shows. */
export function answerToken(prompt: string, index: number): string {
  return ` ${createHash('sha256').update(prompt).update(String(index)).digest('hex')
    .slice(0, 6)}`;
}

/** Whole emulated answer to a prompt. */
export function answerText(prompt: string, maxTokens: number): string {
  return Array.from({ length: answerLength(prompt, maxTokens) }, (_, index) => answerToken(prompt, index)).join('');
}
