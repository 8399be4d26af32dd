import type { Clock } from '../edges/index.js';
import type { EngineSpeed, ReportedLoad } from './load.js';
import { EngineLoad, OwnWork, SHORT_ANSWER_TOKENS } from './load.js';
import type { Placement } from '../serving/index.js';

/** Options of {@link WorkTracker}. */
export interface WorkTrackerOptions {
  readonly clock: Clock;
  readonly speed: EngineSpeed;
  /** Number of other nodes that use the same engines. */
  readonly peers: () => number;
  /** Receives each own observation of a time between tokens or to a first token, with its expectation. */
  readonly onObservation: (engine: string, observedMs: number, expectedMs: number) => void;
}

interface Placed {
  readonly engine: string;
  readonly work: OwnWork;
  /** The work ends at this engine with the first token. */
  readonly prefillOnly: boolean;
}

/** Added to the expected first-token time, so that work of other nodes does not look like a slow engine. */
const FIRST_TOKEN_ALLOWANCE_MS = 300;

/** Counts the work of this node at each engine, and keeps the late reports. */
export class WorkTracker {
  private readonly loads = new Map<string, EngineLoad>();

  private readonly placed = new Map<Placement, Placed[]>();

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

  /** Requests of other nodes that are expected to run at an engine. */
  public others(engine: string): number {
    return this.load(engine).others(this.options.clock.monotonic(), this.options.peers());
  }

  /** Own prompt tokens that are expected to wait for prefill at an engine. */
  public promptWaiting(engine: string): number {
    return this.load(engine).promptWaiting(this.options.clock.monotonic(), this.options.speed.prefillTokensPerMs);
  }

  /** Expected duration of a decode step in ms, without prefill work. */
  public stepMs(engine: string): number {
    const { stepMs, stepPerSequenceMs } = this.options.speed;
    return stepMs + stepPerSequenceMs * (this.load(engine).count + this.others(engine));
  }

  public report(engine: string, reported: ReportedLoad, ageMs: number): void {
    this.load(engine).report(this.options.clock.monotonic(), reported, ageMs);
  }

  public started(placement: Placement, prefillTokens: number, expectedOutput: number): void {
    const placed: Placed[] = [];
    const short = expectedOutput <= SHORT_ANSWER_TOKENS;
    const add = (engine: string, promptLeft: number, outputLeft: number, prefillOnly: boolean): void => {
      const load = this.load(engine);
      const work = new OwnWork(
        promptLeft,
        outputLeft,
        short && placement.prefill === null,
        this.firstTokenMs(engine, this.promptWaiting(engine) + promptLeft),
        this.options.clock.monotonic(),
      );
      load.add(work, this.options.clock.monotonic());
      placed.push({ engine, work, prefillOnly });
    };
    if (placement.prefill !== null) add(placement.prefill, prefillTokens, 0, true);
    add(placement.engine, placement.prefill === null ? prefillTokens : 0, expectedOutput, false);
    this.placed.set(placement, placed);
  }

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

  public progress(placement: Placement, produced: number): void {
    const now = this.options.clock.monotonic();
    for (const { engine, work } of this.placed.get(placement) ?? []) {
      const load = this.load(engine);
      const tokens = produced - work.produced;
      // The first token is no gap, and after a handover the second one includes the transfer.
      if (tokens > 0 && work.produced > 1) {
        this.options.onObservation(engine, (now - work.lastTokenAt) / tokens, this.gapMs(engine));
      }
      const expected = work.produced + work.outputLeft;
      work.advance(produced, now);
      // An answer that outruns its estimate is expected to run on for a quarter of its length.
      load.update(work, work.promptLeft, Math.max(expected - produced, produced / 4), now);
    }
  }

  public finished(placement: Placement): void {
    const now = this.options.clock.monotonic();
    for (const { engine, work } of this.placed.get(placement) ?? []) this.load(engine).remove(work, now);
    this.placed.delete(placement);
  }

  /** Expected output left of a long answer that decodes now; 0 for any other. */
  public longLeft(placement: Placement): number {
    const work = this.placed.get(placement)?.[0]?.work;
    return work === undefined || work.short || work.produced === 0 ? 0 : work.outputLeft;
  }

  private firstTokenMs(engine: string, waitingTokens: number): number {
    const { prefillTokensPerMs, chunkTokens } = this.options.speed;
    const load = this.load(engine);
    const decodes = load.count - load.shorts + this.others(engine) >= 1;
    return waitingTokens / prefillTokensPerMs
      + (decodes ? Math.ceil(waitingTokens / chunkTokens) * this.stepMs(engine) : 0);
  }

  // A chunk of prefill work may be in any step, so it is always part of the expectation.
  private gapMs(engine: string): number {
    const { prefillTokensPerMs, chunkTokens } = this.options.speed;
    return this.stepMs(engine) + chunkTokens / prefillTokensPerMs;
  }
}
