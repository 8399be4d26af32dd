import type { Random } from '../edges/index.js';
import { Role } from '../edges/index.js';
import type {
  EngineDirectory,
  AttemptOutcome, EngineFacts, Placement, WorkItem,
} from '../serving/index.js';

/** Chooses engines and learns from what happens there. All calls for one attempt pass the same placement object. */
export interface Router {
  /** Best placement now, or `null` when no engine may take the request at this moment. */
  choose(item: WorkItem): Placement | null;
  started(item: WorkItem, placement: Placement): void;
  firstToken(item: WorkItem, placement: Placement, latencyMs: number): void;
  /** `produced` counts the attempt's output tokens so far. */
  progress(item: WorkItem, placement: Placement, produced: number): void;
  finished(item: WorkItem, placement: Placement, outcome: AttemptOutcome): void;
}

/** Options of the routers. */
export interface RouterOptions {
  readonly directory: EngineDirectory;
  readonly random: Random;
  /** Whether the engine may take this request under its limit. */
  readonly hasRoom: (engine: string, item: WorkItem) => boolean;
}

/** Baseline router: the engine with the fewest own in-flight requests, ties broken at random. */
export class LeastRequestsRouter implements Router {
  private readonly inFlight = new Map<string, number>();

  public constructor(private readonly options: RouterOptions) {}

  public choose(item: WorkItem): Placement | null {
    const serving = this.options.directory.serving(item.model)
      .filter((engine) => item.excluded?.has(engine.name) !== true);
    const decoders = serving.filter((engine) => engine.role !== Role.Prefill);
    const prefillers = serving.filter((engine) => engine.role === Role.Prefill);
    const engine = this.least(decoders, item);
    if (engine === null) return null;
    if (engine.role !== Role.Decode) return { engine: engine.name, prefill: null };
    const prefill = this.least(prefillers, item);
    return prefill === null ? null : { engine: engine.name, prefill: prefill.name };
  }

  public started(_item: WorkItem, placement: Placement): void {
    this.add(placement, 1);
  }

  public firstToken(): void {}

  public progress(): void {}

  public finished(_item: WorkItem, placement: Placement): void {
    this.add(placement, -1);
  }

  private least(engines: readonly EngineFacts[], item: WorkItem): EngineFacts | null {
    let best: EngineFacts | null = null;
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

  private add(placement: Placement, amount: number): void {
    for (const name of [placement.engine, placement.prefill]) {
      if (name !== null) this.inFlight.set(name, (this.inFlight.get(name) ?? 0) + amount);
    }
  }
}
