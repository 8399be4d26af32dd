import { assertNever } from '../../core/result.js';
import { findCauses } from './verdict.js';
import type { PartRecord, ServerEnd, SuspectRun } from './verdict.js';

/** What an operator has ordered for one part. */
export enum Override {
  None = 'none',
  /** The part stays in quarantine. */
  Block = 'block',
  /** The part is never in quarantine. */
  Allow = 'allow',
}

/** State of one part; monotonic times in ms. */
export interface PartState {
  /** When an answer on it last went on or was complete; `-Infinity` where none is known. */
  readonly provenAt: number;
  /**
   * Number of verdicts on the part: odd while it is in quarantine, even once it was released. Gateways agree on the
   * highest one; times can't decide, because they shift with each message.
   */
  readonly verdict: number;
  /** When it was taken for the cause of servers' ends; `-Infinity` where it never was. */
  readonly quarantinedAt: number;
  /** Number of calls that were let through to find out whether it works again. */
  readonly trials: number;
  /** When the last one was let through. */
  readonly trialAt: number;
  readonly override: Override;
  /** Number of operators' orders for the part; the newest one counts. */
  readonly orders: number;
}

/** End of one incarnation of a server as it is kept. */
export interface EndState {
  readonly at: number;
  /** Whether the incarnation has answered since, so that only connections had broken. */
  readonly refuted: boolean;
  /** Suspect runs by request id. */
  readonly runs: ReadonlyMap<string, SuspectRun>;
}

/** Part of a prompt, and how many servers have ended under it since it was last seen to work. */
export interface Suspicion {
  readonly part: string;
  readonly ends: number;
}

/** Parts and ends that have changed, by key and by incarnation. */
export interface News {
  readonly ends: ReadonlyMap<string, EndState>;
  readonly parts: ReadonlyMap<string, PartState>;
}

const UNKNOWN_PART: PartState = {
  provenAt: -Infinity,
  verdict: 0,
  quarantinedAt: -Infinity,
  trials: 0,
  trialAt: -Infinity,
  override: Override.None,
  orders: 0,
};

/** Verdict after the release of a part; the same one where it is not in quarantine. */
export function releasedVerdict({ verdict }: PartState): number {
  return verdict + (verdict % 2);
}

/** Largest number of ends that are kept; the oldest ones are dropped. */
export const MAX_ENDS = 128;

/** Largest number of suspect runs of one end. */
export const MAX_RUNS = 16;

/** Largest number of parts of one prompt that are suspects, from its beginning. */
export const MAX_KEYS_PER_RUN = 1_024;

/** Largest number of suspect parts of all ends together; the oldest ends are dropped. */
export const MAX_KEYS = 16_384;

/** Largest number of parts whose state is kept. */
export const MAX_PARTS = 2_048;

/** Time in ms after which an end is forgotten. */
const END_TTL_MS = 300_000;

/** Time in ms without a trial after which a part in quarantine is forgotten, because nothing asks for it any more. */
const QUARANTINE_TTL_MS = 900_000;

/** Time in ms from the quarantine to the first trial, and between later ones. */
const TRIAL_DELAYS_MS = [30_000, 120_000, 300_000];

/** Whether a part is kept from servers. */
export function isQuarantined({ verdict, override }: PartState): boolean {
  switch (override) {
    case Override.Block: return true;
    case Override.Allow: return false;
    case Override.None: return verdict % 2 === 1;
    default: return assertNever(override);
  }
}

/** Monotonic time in ms from which a call may try a part in quarantine; `Infinity` where an operator blocks it. */
export function nextTrialAt({
  quarantinedAt, trialAt, trials, override,
}: PartState): number {
  if (override === Override.Block) return Infinity;
  const delayMs = TRIAL_DELAYS_MS[Math.min(trials, TRIAL_DELAYS_MS.length - 1)] ?? 0;
  return Math.max(quarantinedAt, trialAt) + delayMs;
}

/**
 * Evidence on which prompt parts crash servers. The states of two gateways can be merged in any order and any number of
 * times. All times are passed in.
 */
export class Evidence {
  private readonly ends = new Map<string, EndState>();

  private readonly parts = new Map<string, PartState>();

  /** Times of the ends that concern a part, by its key. */
  private suspects: ReadonlyMap<string, readonly number[]> = new Map();

  /** State of a part, or that of one of which nothing is known. */
  public part(key: string): PartState {
    return this.parts.get(key) ?? UNKNOWN_PART;
  }

  /** Whether an end or an order concerns a part. */
  public concerns(key: string): boolean {
    return this.parts.has(key) || this.suspects.has(key);
  }

  /** Whether any end is known. */
  public get hasSuspects(): boolean {
    return this.suspects.size > 0;
  }

  /** Of some parts, the last one under which most servers have ended since it was seen to work. */
  public likeliestSuspect(keys: readonly string[]): Suspicion | null {
    let likeliest: Suspicion | null = null;
    for (const key of keys) {
      const { provenAt } = this.part(key);
      const ends = (this.suspects.get(key) ?? []).filter((at) => at > provenAt).length;
      if (ends > 0 && ends >= (likeliest?.ends ?? 0)) likeliest = { part: key, ends };
    }
    return likeliest;
  }

  /** Everything that is known. */
  public all(): News {
    return { ends: this.ends, parts: this.parts };
  }

  /**
   * Merges what another gateway knows, or what has happened here. Returns what is new, without times that differ only
   * by the time that a message travelled.
   */
  public merge({ ends, parts }: News, now: number): News {
    const newEnds = new Map<string, EndState>();
    const newParts = new Map<string, PartState>();
    for (const [incarnation, end] of ends) {
      const merged = this.mergeEnd(incarnation, end, now);
      if (merged !== null) newEnds.set(incarnation, merged);
    }
    for (const [key, part] of parts) {
      const merged = this.mergePart(key, part);
      if (merged !== null) newParts.set(key, merged);
    }
    if (newEnds.size > 0) this.expire(now);
    return { ends: newEnds, parts: newParts };
  }

  /**
   * Puts the parts that are now the most likely causes into quarantine and returns their states. For whole prompts,
   * only ends until `settledAt` count.
   */
  public judge(now: number, settledAt: number): ReadonlyMap<string, PartState> {
    const ends: ServerEnd[] = [...this.ends].flatMap(([incarnation, { at, refuted, runs }]) => (
      refuted ? [] : [{ incarnation, at, runs: [...runs.values()] }]
    ));
    const records = new Map<string, PartRecord>([...this.parts].map(([key, part]) => (
      [key, { provenAt: part.provenAt, isQuarantined: isQuarantined(part) }]
    )));
    const judged = new Map<string, PartState>();
    for (const key of findCauses(ends, records, settledAt)) {
      if (this.part(key).override !== Override.None) continue;
      const part = this.part(key);
      judged.set(key, { ...part, verdict: part.verdict + 1, quarantinedAt: now });
    }
    for (const [key, part] of judged) this.setPart(key, part);
    return judged;
  }

  /** Text that is the same at gateways that know the same; it does not depend on times. */
  public summary(): string {
    const ends = [...this.ends].map(([incarnation, { refuted, runs }]) => (
      `${incarnation} ${refuted} ${[...runs.keys()].sort().join()}`
    ));
    const parts = [...this.parts].filter(([, part]) => isQuarantined(part) || part.orders > 0)
      .map(([key, part]) => `${key} ${isQuarantined(part)} ${part.trials} ${part.orders}`);
    return [...ends, ...parts].sort().join('\n');
  }

  /** Forgets what is old, and the oldest where there is too much. */
  public expire(now: number): void {
    for (const [incarnation, { at }] of this.ends) if (now - at > END_TTL_MS) this.ends.delete(incarnation);
    while (this.ends.size > MAX_ENDS || (this.ends.size > 1 && this.countKeys() > MAX_KEYS)) this.dropOldestEnd();
    this.suspects = this.findSuspects();
    for (const [key, part] of this.parts) {
      const isKept = part.orders > 0 || this.suspects.has(key)
        || (isQuarantined(part) && now - Math.max(part.quarantinedAt, part.trialAt) < QUARANTINE_TTL_MS);
      if (!isKept) this.parts.delete(key);
    }
  }

  private mergeEnd(incarnation: string, end: EndState, now: number): EndState | null {
    const oldest = this.ends.size >= MAX_ENDS ? Math.min(...[...this.ends.values()].map(({ at }) => at)) : -Infinity;
    if (now - end.at > END_TTL_MS || end.at < oldest) return null;
    const known = this.ends.get(incarnation);
    const runs = new Map(known?.runs ?? []);
    for (const [request, run] of end.runs) if (runs.size < MAX_RUNS && !runs.has(request)) runs.set(request, run);
    const merged: EndState = {
      at: Math.min(known?.at ?? Infinity, end.at), refuted: end.refuted || known?.refuted === true, runs,
    };
    const isNew = known === undefined || known.runs.size < runs.size || known.refuted !== merged.refuted;
    if (isNew) this.ends.set(incarnation, merged);
    return isNew ? merged : null;
  }

  private mergePart(key: string, part: PartState): PartState | null {
    const known = this.part(key);
    const order = part.orders > known.orders ? part : known;
    const trial = part.trials > known.trials ? part : known;
    const judged = part.verdict > known.verdict ? part : known;
    const provenAt = this.isNewProof(key, known.provenAt, part.provenAt) ? part.provenAt : known.provenAt;
    const merged: PartState = {
      provenAt,
      verdict: provenAt > this.lastEndAt(key, judged) ? releasedVerdict(judged) : judged.verdict,
      quarantinedAt: judged.quarantinedAt,
      trials: trial.trials,
      trialAt: trial.trialAt,
      override: order.override,
      orders: order.orders,
    };
    const isJudged = merged.verdict !== known.verdict && (isQuarantined(merged) || this.concerns(key));
    const isNew = merged.provenAt !== known.provenAt || isJudged
      || merged.trials !== known.trials || merged.orders !== known.orders;
    if (isNew) this.setPart(key, merged);
    return isNew ? merged : null;
  }

  /** Whether a proof is the first one, or newer than an end or a verdict that the known one is older than. */
  private isNewProof(key: string, knownAt: number, provenAt: number): boolean {
    if (provenAt <= knownAt) return false;
    if (knownAt === -Infinity) return true;
    const part = this.part(key);
    const times = this.suspects.get(key) ?? (isQuarantined(part) ? [part.quarantinedAt] : []);
    return times.some((at) => at > knownAt && at <= provenAt);
  }

  /** When a server last ended under a part, or when the part was judged if its ends are forgotten. */
  private lastEndAt(key: string, { quarantinedAt }: PartState): number {
    return Math.max(...this.suspects.get(key) ?? [quarantinedAt]);
  }

  private countKeys(): number {
    let count = 0;
    for (const { runs } of this.ends.values()) for (const { keys } of runs.values()) count += keys.length;
    return count;
  }

  private findSuspects(): ReadonlyMap<string, readonly number[]> {
    const suspects = new Map<string, number[]>();
    for (const { at, runs } of this.ends.values()) {
      for (const key of new Set([...runs.values()].flatMap(({ keys }) => keys))) {
        const times = suspects.get(key);
        if (times === undefined) suspects.set(key, [at]);
        else times.push(at);
      }
    }
    return suspects;
  }

  private setPart(key: string, part: PartState): void {
    this.parts.delete(key);
    this.parts.set(key, part);
    if (this.parts.size <= MAX_PARTS) return;
    // Parts in quarantine go last.
    const oldest = [...this.parts].find(([, state]) => !isQuarantined(state)) ?? [...this.parts][0];
    if (oldest !== undefined) this.parts.delete(oldest[0]);
  }

  private dropOldestEnd(): void {
    const [oldest] = [...this.ends].sort(([, left], [, right]) => left.at - right.at);
    if (oldest !== undefined) this.ends.delete(oldest[0]);
  }
}
