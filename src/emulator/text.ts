import { createHash } from 'node:crypto';

const ANSWER_TOKENS_PATTERN = /\[answer-tokens=(\d+)\]/;
const DEFAULT_ANSWER_TOKENS = 16;

/** Number of tokens in the emulated answer to a prompt: 16, or N if the prompt contains `[answer-tokens=N]`. */
export function answerLength(prompt: string, maxTokens: number): number {
  const match = ANSWER_TOKENS_PATTERN.exec(prompt);
  const requestedTokens = match === null ? DEFAULT_ANSWER_TOKENS : Number(match[1]);
  return Math.max(1, Math.min(requestedTokens, maxTokens));
}

/** Text of one answer token. It depends only on the prompt and the index, so a token of another answer is detected. */
export function answerToken(prompt: string, index: number): string {
  return ` ${createHash('sha256').update(prompt).update(String(index)).digest('hex')
    .slice(0, 6)}`;
}

/** Complete emulated answer to a prompt. */
export function answerText(prompt: string, maxTokens: number): string {
  return Array.from({ length: answerLength(prompt, maxTokens) }, (_, index) => answerToken(prompt, index)).join('');
}
