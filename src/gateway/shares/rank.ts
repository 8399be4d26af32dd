import { assertNever } from '../../core/result.js';
import type { Generation } from '../codec.js';
import type { Caller } from '../workspaces.js';
import type { WorkLedger } from './ledger.js';

/** Lowest urgency that a configuration may give. */
const MAX_PRIORITY = 9;

/** Rank of all calls where the configuration has no workspaces: none goes before another. */
export const UNRANKED = 0;

/**
 * Rank of a call that waits for a slot; lower ranks go first. Urgency decides among the calls of workspaces that are as
 * far beyond their share (see {@link WorkLedger.level}), so that a flood of urgent calls starves nobody.
 */
export function callRank(priority: number, level: number): number {
  return level * (MAX_PRIORITY + 1) + Math.min(MAX_PRIORITY, Math.max(0, Math.floor(priority)));
}

/** Name under which the work of a caller is recorded; callers without a key share one. */
export function shareHolder(caller: Exclude<Caller, { readonly type: 'unchecked' }>): string {
  switch (caller.type) {
    case 'anonymous': return '';
    case 'workspace': return caller.name;
    default: return assertNever(caller);
  }
}

/** Work of a call in tokens: what is read and what may be written. */
export function callTokens({ promptTokens, maxOutputTokens }: Pick<Generation, 'promptTokens' | 'maxOutputTokens'>): number {
  return promptTokens + maxOutputTokens;
}

/** Rank now of a call with the given caller; it changes while the call waits. */
export function rankOf(
  { caller, priority }: { readonly caller: Caller; readonly priority: number },
  ledger: Pick<WorkLedger, 'level'>,
): number {
  if (caller.type === 'unchecked') return UNRANKED;
  return callRank(priority, ledger.level(shareHolder(caller)));
}
