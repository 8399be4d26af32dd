import { Priority } from '../edges/index.js';
import type { WorkItem } from './placement.js';

/** Longest prompt and answer of brief work, in tokens. */
export interface QuickBounds {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Whether work is urgent, or brief by its prompt and by the output that `longestOutput` expects. */
export function isQuickWork(
  item: WorkItem,
  bounds: QuickBounds,
  longestOutput: (item: WorkItem) => number,
): boolean {
  if (item.priority === Priority.Urgent) return true;
  return item.promptTokens <= bounds.promptTokens && longestOutput(item) <= bounds.outputTokens;
}
