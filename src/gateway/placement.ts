import { Role } from '../core/edges.js';
import { rendezvousWeight } from '../core/subset.js';
import type { Generation } from './dialect.js';
import type { ServerRecord } from './servers.js';

/** Backend server with the calls that this process has open there. */
export interface Candidate {
  readonly record: ServerRecord;
  readonly open: number;
  /** Most calls that this process may have open there. */
  readonly limit: number;
  /** Whether recent calls failed there. */
  readonly suspect: boolean;
}

/** Prompts of this many tokens or more are prefilled on engines of their own. */
export const LONG_PROMPT_TOKENS = 1_000;

/** Whether a prompt would delay the tokens of other answers if a decoding engine prefilled it. */
export function isLongPrompt(generation: Generation): boolean {
  return generation.promptTokens >= LONG_PROMPT_TOKENS;
}

/** Id of the part whose KV cache decides where a prompt is prefilled: the last one that other requests may share. */
export function sharedPart(generation: Generation): string | null {
  return generation.parts.at(-2)?.id ?? generation.parts.at(-1)?.id ?? null;
}

function free(candidate: Candidate): boolean {
  return candidate.open < candidate.limit;
}

/** Least occupied candidate with room; `near` decides between equals, then `draw`, uniform in [0, 1). */
export function pickLeastOccupied(
  candidates: readonly Candidate[],
  near: string,
  draw: () => number,
): Candidate | null {
  let best: Candidate | null = null;
  let bestRank = Infinity;
  for (const candidate of candidates) {
    if (!free(candidate)) continue;
    const distance = candidate.record.failureDomain === near ? 0 : 0.5;
    const rank = (candidate.suspect ? 1_000 : 0) + candidate.open / candidate.record.slots
      + (distance + draw() / 4) / candidate.record.slots;
    if (rank < bestRank) {
      best = candidate;
      bestRank = rank;
    }
  }
  return best;
}

/**
 * Engine to prefill a prompt: the home of its shared part, so that the fleet holds each part once, or the next home
 * in order where that one is occupied.
 */
export function pickHome(candidates: readonly Candidate[], part: string, homes: number): Candidate | null {
  const ranked = candidates
    .filter(({ suspect }) => !suspect)
    .map((candidate) => ({ candidate, weight: rendezvousWeight(candidate.record.id, part) }))
    .sort((left, right) => left.weight - right.weight);
  return ranked.slice(0, homes).find(({ candidate }) => free(candidate))?.candidate ?? null;
}

/** Candidates that do one kind of work; an engine that names no role does all of it. */
export function withRole(candidates: readonly Candidate[], role: Role): readonly Candidate[] {
  return candidates.filter(({ record }) => record.role === role || record.role === Role.Mixed || record.role === null);
}
