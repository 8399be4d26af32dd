/** Options of {@link HedgePolicy}. */
export interface HedgeOptions {
  /** Largest share of all work that hedges may add. */
  readonly budgetShare: number;
  /** Most unused budget, in tokens. */
  readonly burstTokens: number;
  /** A request is late when it has waited this many times its expectation. */
  readonly lateRatio: number;
  /** The same on an engine that is on probation or ejected. */
  readonly suspectRatio: number;
  /** Least wait before a hedge, in ms. */
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

/** Request that may get a hedge. */
export interface HedgeCandidate {
  /** Whether a second run has no effect besides its cost. */
  readonly safe: boolean;
  /** Time since the last token, or since the request was placed. */
  readonly waitedMs: number;
  readonly expectedMs: number;
  /** Tokens that the hedge would process before its first new token. */
  readonly workTokens: number;
  /** Whether its engine is on probation or ejected. */
  readonly suspect: boolean;
}

/** Decides on hedges within a budget that grows with the work done. */
export class HedgePolicy {
  private budget: number;

  /** Tokens of first attempts and of hedges since the start. */
  public readonly work = { primary: 0, hedge: 0 };

  public constructor(private readonly options: HedgeOptions = DEFAULT_HEDGE_OPTIONS) {
    this.budget = 0;
  }

  /** Counts tokens that first attempts have processed. */
  public earn(tokens: number): void {
    this.work.primary += tokens;
    this.budget = Math.min(this.options.burstTokens, this.budget + tokens * this.options.budgetShare);
  }

  /** Takes the work of a hedge from the budget if one should be sent now. */
  public tryHedge(candidate: HedgeCandidate): boolean {
    const {
      safe, waitedMs, expectedMs, workTokens, suspect,
    } = candidate;
    const ratio = suspect ? this.options.suspectRatio : this.options.lateRatio;
    const late = waitedMs >= Math.max(this.options.minWaitMs, expectedMs * ratio);
    if (!safe || !late || workTokens > this.budget) return false;
    this.spend(workTokens);
    return true;
  }

  /** Counts further tokens that a hedge, or the attempt that lost to it, has processed in vain. */
  public spend(tokens: number): void {
    this.budget -= tokens;
    this.work.hedge += tokens;
  }
}

/** The two attempts of a hedged request. */
export enum Runner {
  Primary = 'primary',
  Hedge = 'hedge',
}

/** What to do after a token of one runner. */
export enum RaceStep {
  /** Pass the token on. */
  Deliver = 'deliver',
  /** The other runner has passed it on, or will. */
  Drop = 'drop',
  /** Pass the token on and cancel the other runner. */
  Win = 'win',
}

/** Tokens by which the first attempt must advance, before the hedge has any, to count as recovered. */
const RECOVERED_TOKENS = 3;

/** Race between an attempt and its hedge; the caller gets every token once. */
export class HedgeRace {
  private delivered: number;

  private decided = false;

  /** `produced` is the number of tokens that the caller has when the hedge starts. */
  public constructor(private readonly produced: number) {
    this.delivered = produced;
  }

  /** Takes a token; `total` counts the tokens of the whole answer that the runner has reached. */
  public token(runner: Runner, total: number): RaceStep {
    if (total <= this.delivered) return RaceStep.Drop;
    this.delivered = total;
    if (this.decided) return RaceStep.Deliver;
    if (runner === Runner.Primary && total - this.produced < RECOVERED_TOKENS) return RaceStep.Deliver;
    this.decided = true;
    return RaceStep.Win;
  }
}
