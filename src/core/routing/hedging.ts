/** Options of {@link HedgePolicy}. A hedge is a second attempt of a late request at another engine. */
export interface HedgeOptions {
  /** Largest amount of work that hedges may add, as a share of the work of first attempts. */
  readonly budgetShare: number;
  /** Largest unused budget, in tokens. */
  readonly burstTokens: number;
  /** A request is late when it has waited this many times the expected time. */
  readonly lateRatio: number;
  /** The same on an engine that is on probation or ejected. */
  readonly suspectRatio: number;
  /** Shortest wait before a hedge, in ms. */
  readonly minWaitMs: number;
}

/** Defaults of {@link HedgeOptions}. */
export const DEFAULT_HEDGE_OPTIONS: HedgeOptions = {
  budgetShare: 0.05,
  burstTokens: 40_000,
  lateRatio: 2.2,
  suspectRatio: 1.3,
  minWaitMs: 120,
};

/** Request for which a hedge may be sent. */
export interface HedgeCandidate {
  /** Whether the request can run twice without any effect besides the cost. */
  readonly safe: boolean;
  /** Time since the last token, or since the request was placed if there is none. */
  readonly waitedMs: number;
  /** Expected value of `waitedMs`. */
  readonly expectedMs: number;
  /** Tokens that the hedge would process before its first new token. */
  readonly workTokens: number;
  /** Whether the engine of the first attempt is on probation or ejected. */
  readonly suspect: boolean;
}

/** Decides whether to send a hedge, within a budget that grows with the work of first attempts. */
export class HedgePolicy {
  /** Tokens that hedges may process now. */
  private budget: number;

  /** Tokens processed by first attempts and by hedges since the start. */
  public readonly work = { primary: 0, hedge: 0 };

  public constructor(private readonly options: HedgeOptions = DEFAULT_HEDGE_OPTIONS) {
    this.budget = 0;
  }

  /** Records tokens that first attempts have processed, and increases the budget. */
  public recordPrimaryWork(tokens: number): void {
    this.work.primary += tokens;
    this.budget = Math.min(this.options.burstTokens, this.budget + tokens * this.options.budgetShare);
  }

  /** Whether a hedge should be sent now; if so, its work is taken from the budget. */
  public tryHedge(candidate: HedgeCandidate): boolean {
    const {
      safe, waitedMs, expectedMs, workTokens, suspect,
    } = candidate;
    const ratio = suspect ? this.options.suspectRatio : this.options.lateRatio;
    const isLate = waitedMs >= Math.max(this.options.minWaitMs, expectedMs * ratio);
    if (!safe || !isLate || workTokens > this.budget) return false;
    this.recordHedgeWork(workTokens);
    return true;
  }

  /** Takes tokens from the budget that a hedge, or the first attempt that lost to it, has processed without use. */
  public recordHedgeWork(tokens: number): void {
    this.budget -= tokens;
    this.work.hedge += tokens;
  }
}

/** The two attempts of a hedged request. */
export enum RaceAttempt {
  Primary = 'primary',
  Hedge = 'hedge',
}

/** What to do with a token of one of the two attempts. */
export enum TokenAction {
  /** Pass the token to the caller. */
  Deliver = 'deliver',
  /** Drop the token, because the caller already has it. */
  Drop = 'drop',
  /** Pass the token to the caller and cancel the other attempt. */
  Win = 'win',
}

/** New tokens that the first attempt must deliver before the hedge delivers any, to count as recovered and win. */
const PRIMARY_RECOVERY_TOKENS = 3;

/** Merges the tokens of a first attempt and its hedge, so that the caller gets every token exactly once. */
export class HedgeRace {
  /** Tokens that the caller has. */
  private delivered: number;

  private hasWinner = false;

  /** `deliveredAtStart` is the number of tokens that the caller has when the hedge starts. */
  public constructor(private readonly deliveredAtStart: number) {
    this.delivered = deliveredAtStart;
  }

  /** Handles a token of an attempt; `total` is the number of tokens of the whole answer up to and including it. */
  public token(attempt: RaceAttempt, total: number): TokenAction {
    if (total <= this.delivered) return TokenAction.Drop;
    this.delivered = total;
    if (this.hasWinner) return TokenAction.Deliver;
    if (attempt === RaceAttempt.Primary
      && total - this.deliveredAtStart < PRIMARY_RECOVERY_TOKENS) return TokenAction.Deliver;
    this.hasWinner = true;
    return TokenAction.Win;
  }
}
