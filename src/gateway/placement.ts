import { createHash } from 'node:crypto';
import { Role } from '../core/interfaces/index.js';
import { lowestByRendezvous } from '../core/rendezvous.js';
import type { Call, Generation } from './codec.js';
import type { PromptSize } from './engineestimates.js';
import { WHOLE_PROMPT_MARK } from './quarantine/index.js';
import type { ServerRecord } from './serverregistry.js';

/** Backend server that may be chosen for a call, with its load and its limit. */
export interface Candidate {
  readonly record: ServerRecord;
  /** Calls that all gateways together have open there. */
  readonly open: number;
  /** Largest number of calls that may be open there. */
  readonly limit: number;
  /** Whether recent calls failed there. */
  readonly suspect: boolean;
  /** Monotonic time in ms until which the server wants no request; `null` where it has not asked for a pause. */
  readonly pausedUntil: number | null;
}

/** Sizes of a prompt in tokens; one without parts has nothing that other requests share. */
export function promptSize({ promptTokens, parts }: Generation): PromptSize {
  return { promptTokens, ownTokens: Math.min(promptTokens, parts.at(-1)?.tokens ?? promptTokens) };
}

/**
 * Id of the prompt part that decides which engine prefills a prompt: the last part that other requests may share, or
 * the only one; `null` for a prompt without parts.
 */
export function sharedPartId(generation: Generation): string | null {
  return generation.parts.at(-2)?.id ?? generation.parts.at(-1)?.id ?? null;
}

/** Length of the id of a whole prompt, without its mark. */
const WHOLE_ID_CHARACTERS = 16;

/** Ids of the prompt parts that other requests may share: all but the last one. */
export function sharedPartIds(generation: Generation | null): readonly string[] {
  return generation === null ? [] : generation.parts.slice(0, -1).map(({ id }) => id);
}

/**
 * Ids of what may crash the engine of a call: the parts of its prompt that other requests may share, and then the whole
 * prompt. Of a prompt without parts, the target and the body stand for the whole. None where no text is generated.
 */
export function suspectIds({ generation, target }: Call, body: Buffer | null): readonly string[] {
  if (generation === null) return [];
  const hash = createHash('sha256').update(generation.model ?? '');
  if (generation.parts.length === 0) hash.update(`\n${target}\n`).update(body ?? '');
  else for (const { id } of generation.parts) hash.update(`,${id}`);
  return [...sharedPartIds(generation), `${WHOLE_PROMPT_MARK}${hash.digest('hex').slice(0, WHOLE_ID_CHARACTERS)}`];
}

/** Largest number of parts of a prompt in a log line. */
const MAX_LOGGED_PARTS = 24;

/** Ids of prompt parts for a log line, with the number of those that are left out. */
export function describeParts(ids: readonly string[], separator: string): string {
  const omitted = ids.length - MAX_LOGGED_PARTS;
  const shown = omitted <= 0 ? ids : [...ids.slice(0, MAX_LOGGED_PARTS), `+${omitted}`];
  return shown.join(separator);
}

/**
 * Number of calls by which a server in the gateway's own failure domain may be busier than a remote one and still be
 * chosen, because traffic between failure domains is expensive.
 */
const REMOTE_PENALTY_CALLS = 6;

function hasRoom(candidate: Candidate): boolean {
  return candidate.open < candidate.limit;
}

/** Slots at a server that late calls leave free for the next on-time calls; with two, engines were idle. */
const SLOTS_KEPT_FOR_ON_TIME = 1;

/**
 * Whether a late call may take a slot at a server; `waitingAtPeers` is the number of on-time calls that wait for the
 * server at other gateways.
 */
export function mayTakeLateCall({ open, limit }: Pick<Candidate, 'open' | 'limit'>, waitingAtPeers: number): boolean {
  return limit - open > Math.min(SLOTS_KEPT_FOR_ON_TIME, limit - 1) + waitingAtPeers;
}

/**
 * Least occupied candidate with room, or `null`. A server outside of `localFailureDomain` counts as busier by some
 * calls; `draw`, uniform in [0, 1), breaks ties.
 */
export function pickLeastOccupied(
  candidates: readonly Candidate[],
  localFailureDomain: string,
  draw: () => number,
): Candidate | null {
  let best: Candidate | null = null;
  let bestRank = Infinity;
  for (const candidate of candidates) {
    if (!hasRoom(candidate)) continue;
    const penalty = candidate.record.failureDomain === localFailureDomain ? 0 : REMOTE_PENALTY_CALLS;
    const rank = (candidate.suspect ? 1_000 : 0) + candidate.open / candidate.record.slots
      + (penalty + draw() / 4) / candidate.record.slots;
    if (rank < bestRank) {
      best = candidate;
      bestRank = rank;
    }
  }
  return best;
}

/**
 * Engines that should prefill a prompt, the best first. Rendezvous hashing gives each shared part the same few engines
 * at every gateway, so that about one engine of the fleet caches it.
 */
export function selectPreferredEngines(
  candidates: readonly Candidate[],
  part: string,
  count: number,
): readonly string[] {
  const ids = candidates.filter(({ suspect }) => !suspect).map(({ record }) => record.id);
  return lowestByRendezvous(ids, part, count);
}

/** Candidates that take requests now, as they have not asked for a pause. */
export function withoutPaused(candidates: readonly Candidate[]): readonly Candidate[] {
  return candidates.filter(({ pausedUntil }) => pausedUntil === null);
}

/** Monotonic time in ms at which the first pause ends; `null` unless there are candidates and all are paused. */
export function firstPauseEnd(candidates: readonly Candidate[]): number | null {
  let first: number | null = null;
  for (const { pausedUntil } of candidates) {
    if (pausedUntil === null) return null;
    first = Math.min(first ?? Infinity, pausedUntil);
  }
  return first;
}

/** Candidates that do the work of a role; an engine without a role does all kinds of work. */
export function withRole(candidates: readonly Candidate[], role: Role): readonly Candidate[] {
  return candidates.filter(({ record }) => record.role === role || record.role === Role.Mixed || record.role === null);
}

/**
 * Marks as suspect the prefill engines whose handovers to decoders fail, unless they are half of the candidates or
 * more: then the decoders are the more likely cause.
 */
export function suspectFailedHandovers(
  candidates: readonly Candidate[],
  failsHandovers: (candidate: Candidate) => boolean,
): readonly Candidate[] {
  const failingIds = new Set(candidates.filter(failsHandovers).map(({ record }) => record.id));
  if (failingIds.size * 2 >= candidates.length) return candidates;
  return candidates.map((candidate) => (
    failingIds.has(candidate.record.id) ? { ...candidate, suspect: true } : candidate
  ));
}
