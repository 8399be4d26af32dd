import type {
  AttemptOutcome, Placement, WorkItem, QuickBounds,
} from '../serving/index.js';
import { isQuickWork } from '../serving/index.js';
import type { Router, RouterOptions } from './routing.js';
import { LeastRequestsRouter } from './routing.js';

/** Options of {@link QuickRouter}. */
export interface QuickRouterOptions extends RouterOptions {
  /** Router of all other work; it is told of quick work as well. */
  readonly router: Router;
  /** Output tokens that nine in ten answers of this kind stay below. */
  readonly longestOutput: (item: WorkItem) => number;
  /** Share of normal work that an engine gets, from 0 to 1. */
  readonly healthWeight: (engine: string) => number;
}

/** Wider than those of the quick lane: work that shares engines with other short work is spread as well. */
const QUICK_BOUNDS: QuickBounds = { promptTokens: 1_000, outputTokens: 64 };
/** Quick work leaves out engines that get less than this share of normal work. */
const MIN_HEALTH_WEIGHT = 0.5;

/**
 * Sends urgent and brief work to the engine with the fewest own requests, and leaves the rest to another router. A
 * brief request hardly changes the cost of an engine, so spreading it evenly keeps its tail short.
 */
export class QuickRouter implements Router {
  private readonly least: LeastRequestsRouter;

  public constructor(private readonly options: QuickRouterOptions) {
    const { hasRoom, healthWeight } = options;
    this.least = new LeastRequestsRouter({
      ...options,
      hasRoom: (engine, item) => healthWeight(engine) >= MIN_HEALTH_WEIGHT && hasRoom(engine, item),
    });
  }

  public choose(item: WorkItem): Placement | null {
    return (this.isQuick(item) ? this.least.choose(item) : null) ?? this.options.router.choose(item);
  }

  public started(item: WorkItem, placement: Placement): void {
    this.least.started(item, placement);
    this.options.router.started(item, placement);
  }

  public firstToken(item: WorkItem, placement: Placement, latencyMs: number): void {
    this.options.router.firstToken(item, placement, latencyMs);
  }

  public progress(item: WorkItem, placement: Placement, produced: number): void {
    this.options.router.progress(item, placement, produced);
  }

  public finished(item: WorkItem, placement: Placement, outcome: AttemptOutcome): void {
    this.least.finished(item, placement);
    this.options.router.finished(item, placement, outcome);
  }

  private isQuick(item: WorkItem): boolean {
    return isQuickWork(item, QUICK_BOUNDS, this.options.longestOutput);
  }
}
