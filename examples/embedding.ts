import {
  AdmissionQueue, RetryBudget, RetryPolicy, fail, sleep,
} from '../src/index.js';
import type {
  Clock, Disposable, AdmissionRefusal, QueuedRequest, Random, Result, RetryDecision, SendStatus, WorkItem,
} from '../src/index.js';

/** Implementations for Node.js of the interfaces that both examples depend on. */
export const dependencies: { readonly clock: Clock; readonly random: Random } = {
  clock: {
    monotonic: () => performance.now(),
    now: () => new Date(),
    after: (delayMs, callback): Disposable => {
      const timer = setTimeout(callback, delayMs);
      return { dispose: () => clearTimeout(timer) };
    },
  },
  random: { float: () => Math.random(), id: () => crypto.randomUUID() },
};

/** Job for a {@link JobPool}; exactly one of its methods is called, or none if `submit` refuses the job. */
export interface Job {
  /** Does the work; a slot is occupied until the promise settles. */
  run(): Promise<void>;
  /** Called if the job has waited too long in the queue. */
  refused(refusal: AdmissionRefusal): void;
}

const EXPIRY_PERIOD_MS = 25;

/** Runs at most `slots` jobs at a time. Urgent jobs run first, and workspaces share the slots by tokens. */
export class JobPool {
  private readonly queue: AdmissionQueue<QueuedRequest & Job>;

  private expiryTimer: Disposable | null = null;

  public constructor(
    private readonly clock: Clock,
    random: Random,
    private slots: number,
  ) {
    this.queue = new AdmissionQueue({
      clock, random, maxQueued: 100, firstTokenTargetMs: 1_000,
    });
  }

  /** Queues a job. Returns the reason if the job is refused, otherwise `null`. */
  public submit(item: WorkItem, job: Job): AdmissionRefusal | null {
    const refusal = this.queue.offer({
      item,
      group: item.model,
      cost: item.promptTokens + item.maxTokens,
      expectedFirstTokenMs: 0,
      queuedAt: this.clock.monotonic(),
      run: () => job.run(),
      refused: (late) => job.refused(late),
    });
    if (refusal === null) this.startJobs();
    return refusal;
  }

  private startJobs(): void {
    this.queue.placeWaiting((job) => {
      if (this.slots === 0) return false;
      this.slots -= 1;
      void job.run().finally(() => {
        this.slots += 1;
        this.startJobs();
      });
      return true;
    });
    if (this.queue.length > 0) this.expiryTimer ??= this.clock.after(EXPIRY_PERIOD_MS, () => this.refuseExpired());
  }

  private refuseExpired(): void {
    this.expiryTimer = null;
    for (const job of this.queue.expire()) job.refused(this.queue.refusalOf(job));
    this.startJobs();
  }
}

type GiveUpReason = Extract<RetryDecision, { retry: false }>['reason'];

/** Makes calls that share one retry budget: each success earns a tenth of a retry, and at most 20 retries are saved. */
export class RetryingCaller {
  private readonly policy: RetryPolicy;

  public constructor(private readonly clock: Clock, random: Random) {
    this.policy = new RetryPolicy({ clock, random, budget: new RetryBudget({ ratio: 0.1, burst: 20 }) });
  }

  /**
   * Repeats `attempt` until it succeeds or the policy gives up; the error is then the policy's reason. The error of a
   * failed attempt tells whether it was sent.
   */
  public async call<T>(
    attempt: () => Promise<Result<T, SendStatus>>,
    limits: { readonly safe: boolean; readonly deadline: number; readonly expectedMs: number },
  ): Promise<Result<T, GiveUpReason>> {
    for (let attempts = 1; ; attempts += 1) {
      const result = await attempt();
      if (result.success) {
        this.policy.succeeded();
        return result;
      }
      const decision = this.policy.decide({ attempts, sent: result.error, ...limits });
      if (!decision.retry) return fail(decision.reason);
      await sleep(this.clock, decision.delayMs);
    }
  }
}
