import type { Clock } from '../interfaces/index.js';
import { Priority } from '../interfaces/index.js';
import type {
  AttemptOutcome, Placement, AdmissionRefusal, WorkItem,
} from '../serving/index.js';
import type { Router } from '../routing/index.js';

/** Receives the decision on one request; exactly one of the two methods is called, once. */
export interface DispatchListener {
  placed(placement: Placement): void;
  refused(refusal: AdmissionRefusal): void;
}

/** Reports the progress of one submitted request to the dispatcher. */
export interface DispatchHandle {
  /** Removes a request that has not been placed yet; has no effect on a placed one. */
  cancel(): void;
  /** Reports that the first output token has arrived. */
  reportFirstToken(): void;
  /** Reports the number of output tokens that the attempt has produced so far. */
  reportProgress(produced: number): void;
  /** Ends a placed request and frees the capacity that it held. */
  finish(outcome: AttemptOutcome): void;
}

/** Decides when and on which engine each request runs. */
export interface Dispatcher {
  /** Queues or refuses a request; `listener` may be called before this method returns. */
  submit(item: WorkItem, listener: DispatchListener): DispatchHandle;
  /** Tries again to place the waiting requests, for example after engines have become available. */
  placeWaiting(): void;
}

/** Options of {@link FifoDispatcher}. */
export interface FifoDispatcherOptions {
  readonly clock: Clock;
  readonly router: Router;
  /** Number of waiting requests beyond which new ones are refused. */
  readonly maxQueued: number;
}

interface SubmittedRequest {
  readonly item: WorkItem;
  readonly listener: DispatchListener;
  placement: Placement | null;
  placedAt: number;
  isCompleted: boolean;
}

const RANKS: Record<Priority, number> = { [Priority.Urgent]: 0, [Priority.Normal]: 1, [Priority.Bulk]: 2 };
const RETRY_AFTER_MS = 1_000;

/** Baseline dispatcher: one queue ordered by priority and arrival, which refuses requests only when it is full. */
export class FifoDispatcher implements Dispatcher {
  private readonly queue: SubmittedRequest[] = [];

  public constructor(private readonly options: FifoDispatcherOptions) {}

  public submit(item: WorkItem, listener: DispatchListener): DispatchHandle {
    const submitted: SubmittedRequest = {
      item, listener, placement: null, placedAt: 0, isCompleted: false,
    };
    if (this.queue.length >= this.options.maxQueued) {
      submitted.isCompleted = true;
      listener.refused({ code: 'queue_full', retryAfterMs: RETRY_AFTER_MS });
    } else {
      this.insert(submitted);
      this.placeWaiting();
    }
    return this.createHandle(submitted);
  }

  public placeWaiting(): void {
    for (let index = 0; index < this.queue.length;) {
      const submitted = this.queue[index]!;
      const placement = this.options.router.choose(submitted.item);
      if (placement === null) {
        index += 1;
        continue;
      }
      this.queue.splice(index, 1);
      submitted.placement = placement;
      submitted.placedAt = this.options.clock.monotonic();
      this.options.router.started(submitted.item, placement);
      submitted.listener.placed(placement);
    }
  }

  private insert(submitted: SubmittedRequest): void {
    let index = this.queue.length;
    while (index > 0 && RANKS[this.queue[index - 1]!.item.priority] > RANKS[submitted.item.priority]) index -= 1;
    this.queue.splice(index, 0, submitted);
  }

  private createHandle(submitted: SubmittedRequest): DispatchHandle {
    const { router, clock } = this.options;
    return {
      cancel: () => {
        const index = this.queue.indexOf(submitted);
        if (index >= 0) this.queue.splice(index, 1);
      },
      reportFirstToken: () => {
        if (submitted.placement === null) return;
        router.firstToken(submitted.item, submitted.placement, clock.monotonic() - submitted.placedAt);
      },
      reportProgress: (produced) => {
        if (submitted.placement !== null) router.progress(submitted.item, submitted.placement, produced);
      },
      finish: (outcome) => {
        if (submitted.placement === null || submitted.isCompleted) return;
        submitted.isCompleted = true;
        router.finished(submitted.item, submitted.placement, outcome);
        this.placeWaiting();
      },
    };
  }
}
