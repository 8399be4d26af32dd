/** Speed of an engine that the cost estimate assumes. */
export interface EngineSpeed {
  readonly prefillTokensPerMs: number;
  /** Prompt tokens that the engine prefills in one step besides its decodes. */
  readonly chunkTokens: number;
  /** The same on an engine of role prefill. */
  readonly prefillChunkTokens: number;
  /** Duration of a decode step without the part that grows with the number of sequences. */
  readonly stepMs: number;
  /** Time that each decoded sequence adds to a step. */
  readonly stepPerSequenceMs: number;
  /** Time to transfer the KV cache of one token to another engine. */
  readonly transferMsPerToken: number;
}

/** Rounded figures of a 70-billion-parameter model on one host with eight accelerators. */
export const DEFAULT_ENGINE_SPEED: EngineSpeed = {
  prefillTokensPerMs: 16,
  chunkTokens: 512,
  prefillChunkTokens: 2_048,
  stepMs: 28,
  stepPerSequenceMs: 0.36,
  transferMsPerToken: 0.0064,
};

/**
 * Answers of at most this many expected tokens count as short. A single prefill chunk of another request is enough to
 * make their mean time between tokens miss its target.
 */
export const SHORT_ANSWER_TOKENS = 8;

/** What one engine still has to do for one request of this node. */
export class EngineWork {
  /** Output tokens that have arrived. */
  public produced = 0;

  public constructor(
    /** Prompt tokens that are not prefilled yet. */
    public promptLeft: number,
    /** Output tokens that are still expected. */
    public outputLeft: number,
    /** Whether a short answer is expected. */
    public readonly short: boolean,
    /** Time to the first token, in ms, that was expected when the request was placed. */
    public readonly expectedFirstTokenMs: number,
    /** Monotonic time in ms. */
    public lastTokenAt: number,
  ) {}

  /** Sets the prompt and output tokens that are left. */
  public setRemaining(promptLeft: number, outputLeft: number): void {
    this.promptLeft = promptLeft;
    this.outputLeft = outputLeft;
  }

  /** Records that `produced` output tokens have arrived by `now`. */
  public recordTokens(produced: number, now: number): void {
    this.produced = produced;
    this.lastTokenAt = now;
  }
}

/** Load that an engine reported, without the age of the report. */
export interface ReportedLoad {
  readonly running: number;
  readonly queued: number;
  readonly queuedPromptTokens: number;
}

/** Time for which this node's own request counts are kept, to compare them with reports that arrive late. */
const HISTORY_MS = 5_000;

/** Weight of the latest report in the smoothed prefill share. */
const REPORT_SMOOTHING = 0.3;

/** Age in ms at which a report has half its weight. */
const REPORT_HALF_LIFE_MS = 1_000;

/**
 * Load of one engine as one node estimates it: exact for the requests that this node sent ("own" requests), and from
 * late reports for those of other nodes.
 */
export class EngineLoad {
  /** Own requests in flight. */
  public requestCount = 0;

  /** Own requests in flight with a short expected answer. */
  public shortCount = 0;

  /** Own prompt tokens that were still to be prefilled at `prefillSince`. */
  public promptLeft = 0;

  /** Monotonic time in ms since which the prefill of `promptLeft` is assumed to progress. */
  private prefillSince = 0;

  /** Output tokens that are still expected for own requests other than short answers. */
  public outputLeft = 0;

  /** Smoothed share of reports that showed queued prompt tokens, from 0 to 1. */
  public prefillShare = 0;

  /** Requests of other nodes when the last report was made. */
  private peerRequestsAtReport = 0;

  private reportedAt = -Infinity;

  /** Own request counts at the times when reports arrived. */
  private readonly history: { readonly at: number; readonly count: number }[] = [];

  /** Updates the estimate from a report that describes the engine as it was `ageMs` ago. */
  public report(now: number, load: ReportedLoad, ageMs: number): void {
    const at = now - ageMs;
    this.history.push({ at: now, count: this.requestCount });
    while (this.history.length > 1 && this.history[0]!.at < now - HISTORY_MS) this.history.shift();
    let ownRequests = this.history[0]!.count;
    for (const sample of this.history) if (sample.at <= at) ownRequests = sample.count;
    this.peerRequestsAtReport = Math.max(0, load.running + load.queued - ownRequests);
    this.reportedAt = at;
    this.prefillShare += REPORT_SMOOTHING * ((load.queuedPromptTokens > 0 ? 1 : 0) - this.prefillShare);
  }

  /**
   * Expected number of requests of other nodes that run now. As the last report ages, the estimate approaches the
   * number that `peers` other nodes would have there if each had as many as this node, without short answers.
   */
  public peerRequests(now: number, peers: number): number {
    const reportWeight = 0.5 ** ((now - this.reportedAt) / REPORT_HALF_LIFE_MS);
    const assumedRequests = (this.requestCount - this.shortCount) * peers;
    return assumedRequests + reportWeight * (this.peerRequestsAtReport - assumedRequests);
  }

  /** Expected number of own prompt tokens that still wait for prefill, if `tokensPerMs` are prefilled per ms. */
  public waitingPromptTokens(now: number, tokensPerMs: number): number {
    if (this.promptLeft <= 0) return 0;
    return Math.max(0, this.promptLeft - Math.max(0, now - this.prefillSince) * tokensPerMs);
  }

  /** Adds an own request; `now` is monotonic time in ms. */
  public add(work: EngineWork, now: number): void {
    if (this.promptLeft <= 0) this.prefillSince = now;
    this.adjustTotals(work, 1);
  }

  /** Removes an own request; `now` is monotonic time in ms. */
  public remove(work: EngineWork, now: number): void {
    if (work.promptLeft > 0) this.prefillSince = now;
    this.adjustTotals(work, -1);
  }

  /** Changes what is left of a request that was added before. */
  public update(work: EngineWork, promptLeft: number, outputLeft: number, now: number): void {
    if (promptLeft < work.promptLeft) this.prefillSince = now;
    this.promptLeft += promptLeft - work.promptLeft;
    if (!work.short) this.outputLeft += outputLeft - work.outputLeft;
    work.setRemaining(promptLeft, outputLeft);
  }

  private adjustTotals(work: EngineWork, sign: 1 | -1): void {
    this.requestCount += sign;
    this.promptLeft += sign * work.promptLeft;
    if (work.short) this.shortCount += sign;
    else this.outputLeft += sign * work.outputLeft;
  }
}
