import type { Clock } from '../interfaces/index.js';
import type { EngineSpeed, ReportedLoad } from './load.js';
import { EngineLoad, EngineWork, SHORT_ANSWER_TOKENS } from './load.js';
import type { Placement } from '../serving/index.js';

/** Options of {@link WorkTracker}. */
export interface WorkTrackerOptions {
  readonly clock: Clock;
  readonly speed: EngineSpeed;
  /** Number of other nodes that send requests to the same engines. */
  readonly peers: () => number;
  /** Called with each time between tokens or to a first token that this node measures, and the expected time, in ms. */
  readonly onObservation: (engine: string, observedMs: number, expectedMs: number) => void;
}

interface PlacedWork {
  readonly engine: string;
  readonly work: EngineWork;
  /** Whether the engine only prefills, so that its work ends with the first token. */
  readonly prefillOnly: boolean;
}

/** Added to the expected first-token time, so that an engine busy with other nodes' requests does not appear slow. */
const FIRST_TOKEN_ALLOWANCE_MS = 300;

/** Tracks this node's requests at each engine, and estimates those of other nodes from the engines' late reports. */
export class WorkTracker {
  private readonly loads = new Map<string, EngineLoad>();

  private readonly placed = new Map<Placement, PlacedWork[]>();

  public constructor(private readonly options: WorkTrackerOptions) {}

  /** Load of an engine; created on first use. */
  public load(engine: string): EngineLoad {
    let load = this.loads.get(engine);
    if (load === undefined) {
      load = new EngineLoad();
      this.loads.set(engine, load);
    }
    return load;
  }

  /** Expected number of requests of other nodes that run at an engine. */
  public peerRequests(engine: string): number {
    return this.load(engine).peerRequests(this.options.clock.monotonic(), this.options.peers());
  }

  /** Expected number of prompt tokens of this node's requests that wait for prefill at an engine. */
  public waitingPromptTokens(engine: string): number {
    return this.load(engine).waitingPromptTokens(this.options.clock.monotonic(), this.options.speed.prefillTokensPerMs);
  }

  /** Expected duration of a decode step in ms, without prefill. */
  public stepMs(engine: string): number {
    const { stepMs, stepPerSequenceMs } = this.options.speed;
    return stepMs + stepPerSequenceMs * (this.load(engine).requestCount + this.peerRequests(engine));
  }

  /** Updates the load of an engine from a report that describes it as it was `ageMs` ago. */
  public report(engine: string, reported: ReportedLoad, ageMs: number): void {
    this.load(engine).report(this.options.clock.monotonic(), reported, ageMs);
  }

  /** Adds a request to the load of the engines of its placement. */
  public started(placement: Placement, prefillTokens: number, expectedOutput: number): void {
    const placed: PlacedWork[] = [];
    const short = expectedOutput <= SHORT_ANSWER_TOKENS;
    const add = (engine: string, promptLeft: number, outputLeft: number, prefillOnly: boolean): void => {
      const load = this.load(engine);
      const work = new EngineWork(
        promptLeft,
        outputLeft,
        short && placement.prefill === null,
        this.firstTokenMs(engine, this.waitingPromptTokens(engine) + promptLeft),
        this.options.clock.monotonic(),
      );
      load.add(work, this.options.clock.monotonic());
      placed.push({ engine, work, prefillOnly });
    };
    if (placement.prefill !== null) add(placement.prefill, prefillTokens, 0, true);
    add(placement.engine, placement.prefill === null ? prefillTokens : 0, expectedOutput, false);
    this.placed.set(placement, placed);
  }

  /** Records the first token, with which the prefill is complete. */
  public firstToken(placement: Placement, latencyMs: number): void {
    const placed = this.placed.get(placement) ?? [];
    const now = this.options.clock.monotonic();
    for (const { engine, work, prefillOnly } of placed) {
      const load = this.load(engine);
      if (work.promptLeft > 0) {
        this.options.onObservation(engine, latencyMs, work.expectedFirstTokenMs + FIRST_TOKEN_ALLOWANCE_MS);
      }
      if (prefillOnly) load.remove(work, now);
      else load.update(work, 0, work.outputLeft, now);
    }
    this.placed.set(placement, placed.filter((entry) => !entry.prefillOnly));
  }

  /** Records that `produced` output tokens have arrived so far. */
  public progress(placement: Placement, produced: number): void {
    const now = this.options.clock.monotonic();
    for (const { engine, work } of this.placed.get(placement) ?? []) {
      const load = this.load(engine);
      const tokens = produced - work.produced;
      // No interval is measured up to the first token, nor up to the second, which includes the transfer of a handover.
      if (tokens > 0 && work.produced > 1) {
        this.options.onObservation(engine, (now - work.lastTokenAt) / tokens, this.tokenGapMs(engine));
      }
      const expected = work.produced + work.outputLeft;
      work.recordTokens(produced, now);
      // An answer longer than estimated is expected to go on for another quarter of its length.
      load.update(work, work.promptLeft, Math.max(expected - produced, produced / 4), now);
    }
  }

  /** Removes a request from the load of its engines; does nothing for one that is not tracked. */
  public finished(placement: Placement): void {
    const now = this.options.clock.monotonic();
    for (const { engine, work } of this.placed.get(placement) ?? []) this.load(engine).remove(work, now);
    this.placed.delete(placement);
  }

  /** Expected output tokens left of a long answer that is being decoded; 0 for any other placement. */
  public longOutputLeft(placement: Placement): number {
    const work = this.placed.get(placement)?.[0]?.work;
    return work === undefined || work.short || work.produced === 0 ? 0 : work.outputLeft;
  }

  private firstTokenMs(engine: string, waitingTokens: number): number {
    const { prefillTokensPerMs, chunkTokens } = this.options.speed;
    const load = this.load(engine);
    const hasDecodes = load.requestCount - load.shortCount + this.peerRequests(engine) >= 1;
    return waitingTokens / prefillTokensPerMs
      + (hasDecodes ? Math.ceil(waitingTokens / chunkTokens) * this.stepMs(engine) : 0);
  }

  // Any step may include a prefill chunk, so the expected time between tokens always includes one.
  private tokenGapMs(engine: string): number {
    const { prefillTokensPerMs, chunkTokens } = this.options.speed;
    return this.stepMs(engine) + chunkTokens / prefillTokensPerMs;
  }
}
