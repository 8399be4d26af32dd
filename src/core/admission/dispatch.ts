import type { Clock } from '../edges/index.js';
import { Priority } from '../edges/index.js';
import type {
  AttemptOutcome, Placement, PolicyRefusal, WorkItem,
} from '../serving/index.js';
import type { Router } from '../routing/index.js';

/** Receives the decision on one request; exactly one of the two is called, once. */
export interface DispatchListener {
  placed(placement: Placement): void;
  refused(refusal: PolicyRefusal): void;
}

/** Reports on one submitted request. */
export interface DispatchHandle {
  /** Gives up a request that has not been placed; nothing happens if it has been. */
  cancel(): void;
  firstToken(): void;
  /** `produced` counts the attempt's output tokens so far. */
  progress(produced: number): void;
  /** Ends a placed request and frees what it held. */
  finish(outcome: AttemptOutcome): void;
}

/** Decides when and where each request runs. */
export interface Dispatcher {
  submit(item: WorkItem, listener: DispatchListener): DispatchHandle;
  /** Places waiting requests again, after engines have become available. */
  pump(): void;
}

/** Options of the dispatchers. */
export interface DispatcherOptions {
  readonly clock: Clock;
  readonly router: Router;
  readonly maxQueued: number;
}

interface Waiting {
  readonly item: WorkItem;
  readonly listener: DispatchListener;
  placement: Placement | null;
  placedAt: number;
  settled: boolean;
}

const RANK: Record<Priority, number> = { [Priority.Urgent]: 0, [Priority.Normal]: 1, [Priority.Bulk]: 2 };
const RETRY_AFTER_MS = 1_000;

/** Baseline dispatcher: one queue in order of priority and arrival, refused only when full. */
export class FifoDispatcher implements Dispatcher {
  private readonly queue: Waiting[] = [];

  public constructor(private readonly options: DispatcherOptions) {}

  public submit(item: WorkItem, listener: DispatchListener): DispatchHandle {
    const waiting: Waiting = {
      item, listener, placement: null, placedAt: 0, settled: false,
    };
    if (this.queue.length >= this.options.maxQueued) {
      waiting.settled = true;
      listener.refused({ code: 'queue_full', retryAfterMs: RETRY_AFTER_MS });
    } else {
      this.insert(waiting);
      this.pump();
    }
    return this.handle(waiting);
  }

  public pump(): void {
    for (let index = 0; index < this.queue.length;) {
      const waiting = this.queue[index]!;
      const placement = this.options.router.choose(waiting.item);
      if (placement === null) {
        index += 1;
        continue;
      }
      this.queue.splice(index, 1);
      waiting.placement = placement;
      waiting.placedAt = this.options.clock.monotonic();
      this.options.router.started(waiting.item, placement);
      waiting.listener.placed(placement);
    }
  }

  private insert(waiting: Waiting): void {
    let index = this.queue.length;
    while (index > 0 && RANK[this.queue[index - 1]!.item.priority] > RANK[waiting.item.priority]) index -= 1;
    this.queue.splice(index, 0, waiting);
  }

  private handle(waiting: Waiting): DispatchHandle {
    const { router, clock } = this.options;
    return {
      cancel: () => {
        const index = this.queue.indexOf(waiting);
        if (index >= 0) this.queue.splice(index, 1);
      },
      firstToken: () => {
        if (waiting.placement === null) return;
        router.firstToken(waiting.item, waiting.placement, clock.monotonic() - waiting.placedAt);
      },
      progress: (produced) => {
        if (waiting.placement !== null) router.progress(waiting.item, waiting.placement, produced);
      },
      finish: (outcome) => {
        if (waiting.placement === null || waiting.settled) return;
        waiting.settled = true;
        router.finished(waiting.item, waiting.placement, outcome);
        this.pump();
      },
    };
  }
}
