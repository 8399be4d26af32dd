import type {
  AttemptOutcome, Placement, WorkItem, QuickBounds,
} from '../serving/index.js';
import { isQuickWork } from '../serving/index.js';
import type { Router, RouterOptions } from './router.js';
import { LeastRequestsRouter } from './router.js';

/** Options of {@link QuickRouter}. */
export interface QuickRouterOptions extends RouterOptions {
  /** Router for all other work; it is notified of the progress of quick work as well. */
  readonly router: Router;
  /** 90th percentile of the output tokens of answers of this kind. */
  readonly longestOutput: (item: WorkItem) => number;
  /** Share of its normal work that an engine gets, from 0 to 1. */
  readonly healthWeight: (engine: string) => number;
}

/**
 * Largest prompt and output of quick work. The bounds are wider than those of the quick lane, so that work that shares
 * engines with other short work is spread as well.
 */
const QUICK_BOUNDS: QuickBounds = { promptTokens: 1_000, outputTokens: 64 };
/** Quick work avoids engines that get less than this share of their normal work. */
const MIN_HEALTH_WEIGHT = 0.5;

/**
 * Sends urgent or brief requests to the engine with the fewest requests of this node, and leaves the rest to another
 * router. A brief request hardly changes the cost of an engine; spreading such requests evenly keeps their tail
 * latency low.
 */
export class QuickRouter implements Router {
  private readonly leastRequests: LeastRequestsRouter;

  public constructor(private readonly options: QuickRouterOptions) {
    const { hasRoom, healthWeight } = options;
    this.leastRequests = new LeastRequestsRouter({
      ...options,
      hasRoom: (engine, item) => healthWeight(engine) >= MIN_HEALTH_WEIGHT && hasRoom(engine, item),
    });
  }

  public choose(item: WorkItem): Placement | null {
    return (this.isQuick(item) ? this.leastRequests.choose(item) : null) ?? this.options.router.choose(item);
  }

  public started(item: WorkItem, placement: Placement): void {
    this.leastRequests.started(item, placement);
    this.options.router.started(item, placement);
  }

  public firstToken(item: WorkItem, placement: Placement, latencyMs: number): void {
    this.options.router.firstToken(item, placement, latencyMs);
  }

  public progress(item: WorkItem, placement: Placement, produced: number): void {
    this.options.router.progress(item, placement, produced);
  }

  public finished(item: WorkItem, placement: Placement, outcome: AttemptOutcome): void {
    this.leastRequests.finished(item, placement);
    this.options.router.finished(item, placement, outcome);
  }

  private isQuick(item: WorkItem): boolean {
    return isQuickWork(item, QUICK_BOUNDS, this.options.longestOutput);
  }
}
