import type { Dispatcher, DispatchHandle } from '../core/admission/index.js';
import { AttemptOutcome } from '../core/serving/index.js';
import type { EngineDirectory, Placement, WorkItem } from '../core/serving/index.js';
import type { SimulatedClock } from '../emulator/clock.js';
import type { EngineModel, ModelLoad } from '../emulator/enginemodel.js';
import type { Arrival } from './workload.js';

/** Progress and outcome of one simulated request. Times are monotonic, in ms; `null` until the event has happened. */
export interface RequestRecord {
  readonly arrival: Arrival;
  firstTokenAt: number | null;
  endAt: number | null;
  refusedAt: number | null;
  /** Attempts started so far, hedges included. */
  attempts: number;
}

/** Simulated entry: a dispatcher and the directory of engines that it chooses from. */
export interface SimulatedEntry {
  readonly dispatcher: Dispatcher;
  readonly directory: EngineDirectory;
  /** Called with a delayed load report of each engine every `REPORT_PERIOD_MS` (see simulation.ts). */
  readonly report?: (engine: string, load: ModelLoad) => void;
}

/** Options of {@link Attempt}. */
export interface AttemptOptions {
  readonly entry: SimulatedEntry;
  readonly item: WorkItem;
  readonly record: RequestRecord;
  /** Output tokens that earlier attempts at the request produced. */
  readonly produced: number;
  /** Tokens whose KV cache is transferred to the new engine; with 0 the prompt is processed again. */
  readonly importedTokens: number;
  readonly onRefused: () => void;
  /** Called when the engine has lost the request; `produced` counts the output tokens of all attempts. */
  readonly onLost: (produced: number) => void;
}

/** Options of an attempt without the callbacks, which the simulation adds. */
export type AttemptStart = Omit<AttemptOptions, 'onRefused' | 'onLost'>;

/** The parts of the simulation that an attempt uses. */
export interface AttemptRunner {
  readonly options: { readonly clock: SimulatedClock; readonly delayMs?: number };
  readonly engines: ReadonlyMap<string, EngineModel>;
  /** Starts a new attempt at a request, or at the part of it that is still missing. */
  startAttempt(start: AttemptStart): unknown;
  /** Counts an attempt as running at an engine. */
  addAttempt(attempt: Attempt, engine: string): void;
  /** Stops counting an attempt as running at an engine. */
  removeAttempt(attempt: Attempt, engine: string): void;
}

/** One attempt at a simulated request, from its submission until it is done, lost, refused or cancelled. */
export class Attempt {
  /** Output tokens of the whole answer so far, including those of earlier attempts. */
  public produced: number;

  /** Engines that the dispatcher chose; `null` before that. */
  public placement: Placement | null = null;

  /** Monotonic time in ms of the last progress: the submission, the start at an engine, or the latest token. */
  public lastProgressAt: number;

  /** Whether the attempt is done, lost, refused or cancelled. */
  public ended = false;

  /** Other attempt at the same request, cancelled when this one completes. */
  public otherAttempt: Attempt | null = null;

  /** Called after each token; returns whether the token is passed to the caller. */
  public tokenFilter: ((attempt: Attempt) => boolean) | null = null;

  /** True once decoding has started, which is when the KV cache can be moved to another engine. */
  private isDecoding = false;

  private readonly jobId: string;

  private readonly handle: DispatchHandle;

  /** Engines at which this attempt is counted as running. */
  private readonly occupiedEngines = new Set<string>();

  public constructor(private readonly simulation: AttemptRunner, public readonly options: AttemptOptions) {
    this.produced = options.produced;
    this.lastProgressAt = simulation.options.clock.monotonic();
    const { importedTokens } = options;
    this.jobId = `${options.item.requestId}/${options.record.attempts}`;
    const item = importedTokens > 0 ? { ...options.item, importedTokens } : options.item;
    this.handle = options.entry.dispatcher.submit(item, {
      placed: (placement) => this.handlePlacement(placement),
      refused: () => {
        this.ended = true;
        options.onRefused();
      },
    });
  }

  /** Stops the attempt at a token boundary. The request does not end: another attempt may continue it. */
  public cancel(): void {
    if (this.ended) return;
    this.ended = true;
    if (this.placement === null) {
      this.handle.cancel();
      return;
    }
    for (const name of [...this.occupiedEngines]) {
      this.simulation.engines.get(name)!.cancel(this.jobId);
      this.releaseEngine(name);
    }
    this.handle.finish(AttemptOutcome.Cancelled);
  }

  /** Whether no token of this attempt has arrived yet. */
  public get awaitsFirstToken(): boolean {
    return this.produced === this.options.produced;
  }

  /** If the request is decoding on engine `name`, exports its KV cache and continues on another engine. */
  public moveFrom(name: string): void {
    if (this.ended || !this.isDecoding || this.placement?.engine !== name) return;
    this.cancel();
    const {
      record, entry, item, produced,
    } = { ...this.options, produced: this.produced };
    this.simulation.startAttempt({
      record, entry, item, produced, importedTokens: item.promptTokens + produced,
    });
  }

  private handlePlacement(placement: Placement): void {
    this.placement = placement;
    for (const name of [placement.engine, placement.prefill]) {
      if (name === null) continue;
      this.occupiedEngines.add(name);
      this.simulation.addAttempt(this, name);
    }
    // The dispatcher may place the request before `submit` returns, so the work starts in a later event.
    this.simulation.options.clock.after(this.simulation.options.delayMs ?? 0, () => {
      if (!this.ended) this.startExecution(placement);
    });
  }

  private releaseEngine(name: string): void {
    if (this.occupiedEngines.delete(name)) this.simulation.removeAttempt(this, name);
  }

  private startExecution(placement: Placement): void {
    this.lastProgressAt = this.simulation.options.clock.monotonic();
    if (placement.prefill === null || this.options.importedTokens > 0) {
      if (placement.prefill !== null) this.releaseEngine(placement.prefill);
      this.submitDecode(placement.engine, this.options.importedTokens > 0);
      return;
    }
    const prefillName = placement.prefill;
    this.simulation.engines.get(prefillName)!.submit({
      ...this.createJob(),
      outputTokens: 1,
      prefillOnly: true,
      onToken: () => this.handleToken(),
      onEnd: (outcome) => {
        this.releaseEngine(prefillName);
        if (this.ended) return;
        if (outcome === 'lost' || this.remainingTokens <= 0) this.handleEnd(outcome);
        else this.submitDecode(placement.engine, true);
      },
    });
  }

  private get remainingTokens(): number {
    return this.options.record.arrival.outputTokens - this.produced;
  }

  private createJob() {
    const { item } = this.options;
    return {
      id: this.jobId,
      priority: item.priority,
      blocks: item.prefixBlockHashes,
      promptTokens: item.promptTokens + this.options.produced,
    };
  }

  private submitDecode(engine: string, imported: boolean): void {
    this.simulation.engines.get(engine)!.submit({
      ...this.createJob(),
      imported,
      outputTokens: this.remainingTokens,
      onToken: () => this.handleToken(),
      onEnd: (outcome) => this.handleEnd(outcome),
    });
  }

  private handleToken(): void {
    if (this.ended) {
      // Cancelled during the transfer of its KV cache, before the engine had the job: cancel the job now.
      this.simulation.engines.get(this.placement!.engine)!.cancel(this.jobId);
      return;
    }
    const now = this.simulation.options.clock.monotonic();
    const { record, produced } = this.options;
    this.produced += 1;
    this.isDecoding = this.placement!.prefill === null || this.produced > produced + 1;
    this.lastProgressAt = now;
    if (this.produced === produced + 1) this.handle.reportFirstToken();
    this.handle.reportProgress(this.produced - produced);
    if (this.tokenFilter !== null && !this.tokenFilter(this)) return;
    if (record.firstTokenAt === null) Object.assign(record, { firstTokenAt: now });
  }

  private handleEnd(outcome: 'done' | 'lost'): void {
    if (this.ended) return;
    this.ended = true;
    for (const name of [...this.occupiedEngines]) this.releaseEngine(name);
    if (outcome === 'done') {
      this.otherAttempt?.cancel();
      Object.assign(this.options.record, { endAt: this.simulation.options.clock.monotonic() });
      this.handle.finish(AttemptOutcome.Done);
      return;
    }
    this.handle.finish(AttemptOutcome.Failed);
    this.options.onLost(this.produced);
  }
}
