import { Role } from '../core/edges/index.js';
import { lowestByRendezvous } from '../core/rendezvous.js';
import type { Generation } from './dialect.js';
import type { ServerRecord } from './servers.js';

/** Backend server with the calls that all gateways have open there. */
export interface Candidate {
  readonly record: ServerRecord;
  readonly open: number;
  /** Most calls that may be open there. */
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

/** Calls by which a server of the own failure domain may be busier: bytes between failure domains are dear. */
const DISTANCE_CALLS = 6;

function free(candidate: Candidate): boolean {
  return candidate.open < candidate.limit;
}

/** Places at a server that late calls leave to calls on time that come next; with two, engines were idle. */
const SPARE_PLACES = 1;

/** Whether a late call may take a place, with calls on time that wait for the server at other gateways. */
export function hasSpare({ open, limit }: Pick<Candidate, 'open' | 'limit'>, waitingElsewhere: number): boolean {
  return limit - open > Math.min(SPARE_PLACES, limit - 1) + waitingElsewhere;
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
    const distance = candidate.record.failureDomain === near ? 0 : DISTANCE_CALLS;
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
 * Engines that prefill a prompt, the best first. Each shared part has the same few homes everywhere, so that the fleet
 * holds it about once.
 */
export function homesOf(candidates: readonly Candidate[], part: string, count: number): readonly string[] {
  const names = candidates.filter(({ suspect }) => !suspect).map(({ record }) => record.id);
  return lowestByRendezvous(names, part, count);
}

/** Candidates that do one kind of work; an engine that names no role does all of it. */
export function withRole(candidates: readonly Candidate[], role: Role): readonly Candidate[] {
  return candidates.filter(({ record }) => record.role === role || record.role === Role.Mixed || record.role === null);
}

/**
 * Suspects the candidates from which calls could not go on elsewhere, as long as most of the candidates remain: where
 * more fail, the cause is more likely at those that should go on.
 */
export function avoidLapsing(
  candidates: readonly Candidate[],
  lapsing: (candidate: Candidate) => boolean,
): readonly Candidate[] {
  const names = new Set(candidates.filter(lapsing).map(({ record }) => record.id));
  if (names.size * 2 >= candidates.length) return candidates;
  return candidates.map((candidate) => (names.has(candidate.record.id) ? { ...candidate, suspect: true } : candidate));
}
