import type { Random } from '../interfaces/index.js';
import { Role } from '../interfaces/index.js';
import type {
  EngineDirectory,
  AttemptOutcome, EngineInfo, Placement, WorkItem,
} from '../serving/index.js';

/**
 * Chooses engines for requests, and is notified of the progress of each attempt. All calls for one attempt pass the
 * same placement object.
 */
export interface Router {
  /** Best placement now, or `null` if no engine may take the request at this moment. */
  choose(item: WorkItem): Placement | null;
  /** The attempt was sent to the engines of `placement`. */
  started(item: WorkItem, placement: Placement): void;
  /** The first token arrived after `latencyMs`. */
  firstToken(item: WorkItem, placement: Placement, latencyMs: number): void;
  /** `produced` is the number of the attempt's output tokens so far. */
  progress(item: WorkItem, placement: Placement, produced: number): void;
  /** The attempt has ended; it may be reported more than once. */
  finished(item: WorkItem, placement: Placement, outcome: AttemptOutcome): void;
}

/** Options that all routers share. */
export interface RouterOptions {
  readonly directory: EngineDirectory;
  readonly random: Random;
  /** Whether the engine may take this request under its concurrency limit. */
  readonly hasRoom: (engine: string, item: WorkItem) => boolean;
}

/** Baseline router: chooses the engine with the fewest requests of this node in flight, ties broken at random. */
export class LeastRequestsRouter implements Router {
  private readonly inFlight = new Map<string, number>();

  public constructor(private readonly options: RouterOptions) {}

  public choose(item: WorkItem): Placement | null {
    const serving = this.options.directory.serving(item.model)
      .filter((engine) => item.excludedEngines?.has(engine.name) !== true);
    const decoders = serving.filter((engine) => engine.role !== Role.Prefill);
    const prefillers = serving.filter((engine) => engine.role === Role.Prefill);
    const engine = this.leastLoaded(decoders, item);
    if (engine === null) return null;
    if (engine.role !== Role.Decode) return { engine: engine.name, prefill: null };
    const prefill = this.leastLoaded(prefillers, item);
    return prefill === null ? null : { engine: engine.name, prefill: prefill.name };
  }

  public started(_item: WorkItem, placement: Placement): void {
    this.adjustInFlight(placement, 1);
  }

  public firstToken(): void {}

  public progress(): void {}

  public finished(_item: WorkItem, placement: Placement): void {
    this.adjustInFlight(placement, -1);
  }

  private leastLoaded(engines: readonly EngineInfo[], item: WorkItem): EngineInfo | null {
    let best: EngineInfo | null = null;
    let bestCost = Infinity;
    for (const engine of engines) {
      if (!this.options.hasRoom(engine.name, item)) continue;
      const cost = (this.inFlight.get(engine.name) ?? 0) + this.options.random.float() / 2;
      if (cost < bestCost) {
        best = engine;
        bestCost = cost;
      }
    }
    return best;
  }

  private adjustInFlight(placement: Placement, amount: number): void {
    for (const name of [placement.engine, placement.prefill]) {
      if (name !== null) this.inFlight.set(name, (this.inFlight.get(name) ?? 0) + amount);
    }
  }
}
