/** Speed of an engine as the cost counts it. */
export interface EngineSpeed {
  readonly prefillTokensPerMs: number;
  /** Prompt tokens that one step takes besides its decodes. */
  readonly chunkTokens: number;
  /** The same on an engine of role prefill. */
  readonly prefillChunkTokens: number;
  readonly stepMs: number;
  readonly stepPerSequenceMs: number;
  readonly transferMsPerToken: number;
}

/** Round figures of a 70-billion-parameter model on one eight-accelerator host. */
export const DEFAULT_ENGINE_SPEED: EngineSpeed = {
  prefillTokensPerMs: 16,
  chunkTokens: 512,
  prefillChunkTokens: 2_048,
  stepMs: 28,
  stepPerSequenceMs: 0.36,
  transferMsPerToken: 0.0064,
};

/** Answers of at most this many expected tokens count as short: one foreign prefill chunk spoils their pace. */
export const SHORT_ANSWER_TOKENS = 8;

/** Work that this node has at one engine for one request. */
export class OwnWork {
  public produced = 0;

  public constructor(
    public promptLeft: number,
    public outputLeft: number,
    public readonly short: boolean,
    /** Expected time to the first token when the request was placed. */
    public readonly expectedFirstTokenMs: number,
    public lastTokenAt: number,
  ) {}

  /** Sets the work left. */
  public leave(promptLeft: number, outputLeft: number): void {
    this.promptLeft = promptLeft;
    this.outputLeft = outputLeft;
  }

  /** Counts tokens up to `produced` as arrived. */
  public advance(produced: number, now: number): void {
    this.produced = produced;
    this.lastTokenAt = now;
  }
}

/** Load figures of a late report, without its age. */
export interface ReportedLoad {
  readonly running: number;
  readonly queued: number;
  readonly queuedPromptTokens: number;
}

const HISTORY_MS = 5_000;

/** Weight of one report in the smoothed figures. */
const REPORT_SMOOTHING = 0.3;

/** Age at which a report counts half. */
const REPORT_HALF_LIFE_MS = 1_000;

/** What one node knows of the load of one engine. */
export class EngineLoad {
  /** Own requests in flight. */
  public count = 0;

  /** Own requests with a short expected answer. */
  public shorts = 0;

  /** Own prompt tokens that were not prefilled when the first token of an own request last arrived. */
  public promptLeft = 0;

  private prefillSince = 0;

  /** Own output tokens that are still expected, without short answers. */
  public outputLeft = 0;

  /** Share of late reports that showed prefill work. */
  public prefillShare = 0;

  private othersRunning = 0;

  private reportedAt = -Infinity;

  private readonly history: { readonly at: number; readonly count: number }[] = [];

  /** Takes a report that describes the engine as it was `ageMs` ago. */
  public report(now: number, load: ReportedLoad, ageMs: number): void {
    const at = now - ageMs;
    this.history.push({ at: now, count: this.count });
    while (this.history.length > 1 && this.history[0]!.at < now - HISTORY_MS) this.history.shift();
    let own = this.history[0]!.count;
    for (const sample of this.history) if (sample.at <= at) own = sample.count;
    this.othersRunning = Math.max(0, load.running + load.queued - own);
    this.reportedAt = at;
    this.prefillShare += REPORT_SMOOTHING * ((load.queuedPromptTokens > 0 ? 1 : 0) - this.prefillShare);
  }

  /**
   * Requests of other nodes that are expected to run now. As a report ages, the expectation moves to what `peers`
   * nodes with the same work as this one would have there.
   */
  public others(now: number, peers: number): number {
    const trust = 0.5 ** ((now - this.reportedAt) / REPORT_HALF_LIFE_MS);
    const alike = (this.count - this.shorts) * peers;
    return alike + trust * (this.othersRunning - alike);
  }

  /** Own prompt tokens that are expected to wait for prefill now. */
  public promptWaiting(now: number, tokensPerMs: number): number {
    if (this.promptLeft <= 0) return 0;
    return Math.max(0, this.promptLeft - Math.max(0, now - this.prefillSince) * tokensPerMs);
  }

  public add(work: OwnWork, now: number): void {
    if (this.promptLeft <= 0) this.prefillSince = now;
    this.apply(work, 1);
  }

  public remove(work: OwnWork, now: number): void {
    if (work.promptLeft > 0) this.prefillSince = now;
    this.apply(work, -1);
  }

  /** Changes the work left of a request that is counted here. */
  public update(work: OwnWork, promptLeft: number, outputLeft: number, now: number): void {
    if (promptLeft < work.promptLeft) this.prefillSince = now;
    this.promptLeft += promptLeft - work.promptLeft;
    if (!work.short) this.outputLeft += outputLeft - work.outputLeft;
    work.leave(promptLeft, outputLeft);
  }

  private apply(work: OwnWork, sign: 1 | -1): void {
    this.count += sign;
    this.promptLeft += sign * work.promptLeft;
    if (work.short) this.shorts += sign;
    else this.outputLeft += sign * work.outputLeft;
  }
}
