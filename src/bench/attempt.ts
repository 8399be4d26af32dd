import type { Dispatcher, DispatchHandle } from '../core/admission/index.js';
import { AttemptOutcome } from '../core/serving/index.js';
import type { EngineDirectory, Placement, WorkItem } from '../core/serving/index.js';
import type { SimulatedClock } from '../emulator/clock.js';
import type { EngineModel, ModelLoad } from '../emulator/enginemodel.js';
import type { Arrival } from './workload.js';

/** What became of one request. */
export interface RequestRecord {
  readonly arrival: Arrival;
  firstTokenAt: number | null;
  endAt: number | null;
  refusedAt: number | null;
  attempts: number;
}

/** One entry of the simulation with decision parts of its own. */
export interface SimulatedEntry {
  readonly dispatcher: Dispatcher;
  readonly directory: EngineDirectory;
  /** Receives a late load report of each engine every `REPORT_PERIOD_MS`. */
  readonly report?: (engine: string, load: ModelLoad) => void;
}

/** Options of {@link Attempt}. */
export interface AttemptOptions {
  readonly entry: SimulatedEntry;
  readonly item: WorkItem;
  readonly record: RequestRecord;
  /** Output tokens that earlier attempts produced. */
  readonly produced: number;
  /** Tokens whose KV cache moves with the request; 0 runs the prompt again. */
  readonly importedTokens: number;
  readonly onRefused: () => void;
  /** The engine lost the request after `produced` output tokens of the whole answer. */
  readonly onLost: (produced: number) => void;
}

/** What an attempt starts from. */
export type AttemptStart = Omit<AttemptOptions, 'onRefused' | 'onLost'>;

/** What an attempt needs of the simulation that runs it. */
export interface AttemptRunner {
  readonly options: { readonly clock: SimulatedClock; readonly delayMs?: number };
  readonly engines: ReadonlyMap<string, EngineModel>;
  /** Submits a request, or what is left of it. */
  attempt(start: AttemptStart): unknown;
  /** Counts an attempt at an engine. */
  enter(attempt: Attempt, engine: string): void;
  /** Ends what {@link enter} began. */
  leave(attempt: Attempt, engine: string): void;
}

/** One attempt of the simulation at running a request, from submission to its end. */
export class Attempt {
  /** Output tokens of the whole answer that this attempt has reached. */
  public produced: number;

  public placement: Placement | null = null;

  /** Time in ms of the placement or of the last token. */
  public lastProgressAt: number;

  public ended = false;

  /** Attempt at the same request that is cancelled when this one ends. */
  public rival: Attempt | null = null;

  /** Called after each token; `false` keeps it from the caller. */
  public gate: ((attempt: Attempt) => boolean) | null = null;

  private decoding = false;

  private readonly jobId: string;

  private readonly handle: DispatchHandle;

  private readonly at = new Set<string>();

  public constructor(private readonly simulation: AttemptRunner, public readonly options: AttemptOptions) {
    this.produced = options.produced;
    this.lastProgressAt = simulation.options.clock.monotonic();
    const { importedTokens } = options;
    this.jobId = `${options.item.requestId}/${options.record.attempts}`;
    const item = importedTokens > 0 ? { ...options.item, importedTokens } : options.item;
    this.handle = options.entry.dispatcher.submit(item, {
      placed: (placement) => this.place(placement),
      refused: () => {
        this.ended = true;
        options.onRefused();
      },
    });
  }

  /** Stops the attempt at a token boundary without ending the request. */
  public cancel(): void {
    if (this.ended) return;
    this.ended = true;
    if (this.placement === null) {
      this.handle.cancel();
      return;
    }
    for (const name of [...this.at]) {
      this.simulation.engines.get(name)!.cancel(this.jobId);
      this.release(name);
    }
    this.handle.finish(AttemptOutcome.Cancelled);
  }

  /** True when no token of this attempt has arrived yet. */
  public get silent(): boolean {
    return this.produced === this.options.produced;
  }

  /** Exports the KV cache of a decoding request and continues on another engine. */
  public moveFrom(name: string): void {
    if (this.ended || !this.decoding || this.placement?.engine !== name) return;
    this.cancel();
    const {
      record, entry, item, produced,
    } = { ...this.options, produced: this.produced };
    this.simulation.attempt({
      record, entry, item, produced, importedTokens: item.promptTokens + produced,
    });
  }

  private place(placement: Placement): void {
    this.placement = placement;
    for (const name of [placement.engine, placement.prefill]) {
      if (name === null) continue;
      this.at.add(name);
      this.simulation.enter(this, name);
    }
    // The dispatcher may place the request before `submit` returns, so the work starts one event later.
    this.simulation.options.clock.after(this.simulation.options.delayMs ?? 0, () => {
      if (!this.ended) this.execute(placement);
    });
  }

  private release(name: string): void {
    if (this.at.delete(name)) this.simulation.leave(this, name);
  }

  private execute(placement: Placement): void {
    this.lastProgressAt = this.simulation.options.clock.monotonic();
    if (placement.prefill === null || this.options.importedTokens > 0) {
      if (placement.prefill !== null) this.release(placement.prefill);
      this.decode(placement.engine, this.options.importedTokens > 0);
      return;
    }
    const prefillName = placement.prefill;
    this.simulation.engines.get(prefillName)!.submit({
      ...this.job(),
      outputTokens: 1,
      prefillOnly: true,
      onToken: () => this.token(),
      onEnd: (outcome) => {
        this.release(prefillName);
        if (this.ended) return;
        if (outcome === 'lost' || this.left <= 0) this.end(outcome);
        else this.decode(placement.engine, true);
      },
    });
  }

  private get left(): number {
    return this.options.record.arrival.outputTokens - this.produced;
  }

  private job() {
    const { item } = this.options;
    return {
      id: this.jobId,
      priority: item.priority,
      blocks: item.prefixBlockHashes,
      promptTokens: item.promptTokens + this.options.produced,
    };
  }

  private decode(engine: string, imported: boolean): void {
    this.simulation.engines.get(engine)!.submit({
      ...this.job(),
      imported,
      outputTokens: this.left,
      onToken: () => this.token(),
      onEnd: (outcome) => this.end(outcome),
    });
  }

  private token(): void {
    if (this.ended) {
      // Cancelled while its KV cache was on the way, when the engine did not know the job yet.
      this.simulation.engines.get(this.placement!.engine)!.cancel(this.jobId);
      return;
    }
    const now = this.simulation.options.clock.monotonic();
    const { record, produced } = this.options;
    this.produced += 1;
    this.decoding = this.placement!.prefill === null || this.produced > produced + 1;
    this.lastProgressAt = now;
    if (this.produced === produced + 1) this.handle.reportFirstToken();
    this.handle.reportProgress(this.produced - produced);
    if (this.gate !== null && !this.gate(this)) return;
    if (record.firstTokenAt === null) Object.assign(record, { firstTokenAt: now });
  }

  private end(outcome: 'done' | 'lost'): void {
    if (this.ended) return;
    this.ended = true;
    for (const name of [...this.at]) this.release(name);
    if (outcome === 'done') {
      this.rival?.cancel();
      Object.assign(this.options.record, { endAt: this.simulation.options.clock.monotonic() });
      this.handle.finish(AttemptOutcome.Done);
      return;
    }
    this.handle.finish(AttemptOutcome.Failed);
    this.options.onLost(this.produced);
  }
}
