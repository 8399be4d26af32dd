import { Priority } from '../interfaces/index.js';
import type { WorkItem } from './placement.js';

/** Longest prompt and answer, in tokens, of a request that counts as brief. */
export interface QuickBounds {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Tests whether a request is urgent, or brief by its prompt and by the output tokens from `longestOutput`. */
export function isQuickWork(
  item: WorkItem,
  bounds: QuickBounds,
  longestOutput: (item: WorkItem) => number,
): boolean {
  if (item.priority === Priority.Urgent) return true;
  return item.promptTokens <= bounds.promptTokens && longestOutput(item) <= bounds.outputTokens;
}
