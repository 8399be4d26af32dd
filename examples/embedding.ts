import {
  AdmissionQueue, RetryBudget, RetryPolicy, fail, sleep,
} from '../src/index.js';
import type {
  Clock, Disposable, PolicyRefusal, Queued, Random, Result, RetryDecision, Sent, WorkItem,
} from '../src/index.js';

/** The edges that both examples need, on Node.js. */
export const edges: { readonly clock: Clock; readonly random: Random } = {
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

/** Work with what becomes of it; exactly one of the two methods is called, unless `submit` refuses the job. */
export interface Job {
  run(): Promise<void>;
  refused(refusal: PolicyRefusal): void;
}

const EXPIRY_PERIOD_MS = 25;

/** Runs at most `slots` jobs at a time. Urgent jobs go first, and workspaces share by tokens. */
export class JobPool {
  private readonly queue: AdmissionQueue<Queued & Job>;

  private expiry: Disposable | null = null;

  public constructor(
    private readonly clock: Clock,
    random: Random,
    private slots: number,
  ) {
    this.queue = new AdmissionQueue({
      clock, random, maxQueued: 100, firstTokenMs: 1_000,
    });
  }

  /** Queues a job; the result tells why it is refused, or is `null`. */
  public submit(item: WorkItem, job: Job): PolicyRefusal | null {
    const refusal = this.queue.offer({
      item,
      group: item.model,
      cost: item.promptTokens + item.maxTokens,
      firstTokenMs: 0,
      queuedAt: this.clock.monotonic(),
      run: () => job.run(),
      refused: (late) => job.refused(late),
    });
    if (refusal === null) this.pump();
    return refusal;
  }

  private pump(): void {
    this.queue.pump((job) => {
      if (this.slots === 0) return false;
      this.slots -= 1;
      void job.run().finally(() => {
        this.slots += 1;
        this.pump();
      });
      return true;
    });
    if (this.queue.length > 0) this.expiry ??= this.clock.after(EXPIRY_PERIOD_MS, () => this.expire());
  }

  private expire(): void {
    this.expiry = null;
    for (const job of this.queue.expire()) job.refused(this.queue.refusalOf(job));
    this.pump();
  }
}

type GivenUp = Extract<RetryDecision, { retry: false }>['reason'];

/** Calls that share one retry budget: a success earns a tenth of a retry, and at most 20 are saved up. */
export class RetryingCaller {
  private readonly policy: RetryPolicy;

  public constructor(private readonly clock: Clock, random: Random) {
    this.policy = new RetryPolicy({ clock, random, budget: new RetryBudget({ ratio: 0.1, burst: 20 }) });
  }

  /** Tries until success or until the policy gives up; a failed attempt tells whether it was sent. */
  public async call<T>(
    attempt: () => Promise<Result<T, Sent>>,
    limits: { readonly safe: boolean; readonly deadline: number; readonly expectedMs: number },
  ): Promise<Result<T, GivenUp>> {
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
