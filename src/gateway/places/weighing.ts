import type { Quote } from './enginestate.js';

/** Share of the time left that an estimate may take and be in time nearly always. */
const CERTAIN_SHARE = 0.6;

/** What another engine has to beat. */
export interface Offer {
  /** Time in ms until the prompt is read at the engine that offers it. */
  readonly totalMs: number;
  /** Time in ms of it that the engine reads. */
  readonly readMs: number;
  /** Time in ms in which the prompt has to be read for an answer on time. */
  readonly dueMs: number;
}

/** Offer of an engine by its quote, for a prompt that has to be read in `dueMs`. */
export function offerOf({ waitMs, readMs }: Quote, dueMs: number): Offer {
  return { totalMs: waitMs + readMs, readMs, dueMs };
}

/**
 * Whether other engines are asked before a place is used: where the answer would be late, though another engine could
 * be in time. Sooner than on time is worth no second reading.
 */
export function isWorthAsking({ totalMs, dueMs }: Offer): boolean {
  return totalMs > CERTAIN_SHARE * dueMs && dueMs > 0;
}

/**
 * Whether an engine serves a call better than one that has made an offer: in time, and sooner by more than it reads in
 * addition, which is lost to other calls.
 */
export function isBetter({ waitMs, readMs }: Quote, offer: Offer): boolean {
  const totalMs = waitMs + readMs;
  return totalMs <= offer.dueMs && offer.totalMs - totalMs > Math.max(0, readMs - offer.readMs);
}
