import type { Clock, Random } from './interfaces/index.js';

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries earned by one success; 0.1 by default. */
  readonly ratio?: number;
  /**
   * Largest number of retries that can accumulate, also the initial number; 20 by default. A function is called at each
   * use, for a share that changes with the number of processes that have one.
   */
  readonly burst?: number | (() => number);
}

const DEFAULT_RATIO = 0.1;
const DEFAULT_BURST = 20;

/** Token bucket that limits the retries of one call chain; successes fill it and all layers of the chain share it. */
export class RetryBudget {
  private tokens: number;

  private readonly ratio: number;

  private readonly burst: () => number;

  public constructor(options: RetryBudgetOptions = {}) {
    const burst = options.burst ?? DEFAULT_BURST;
    this.ratio = options.ratio ?? DEFAULT_RATIO;
    this.burst = typeof burst === 'number' ? () => burst : burst;
    this.tokens = this.burst();
  }

  /** Number of retries that may be made now. */
  public get available(): number {
    return Math.floor(Math.min(this.tokens, this.burst()) + 1e-9);
  }

  /** Records a success, which adds `ratio` of a retry to the budget. */
  public succeeded(): void {
    this.tokens = Math.min(this.burst(), this.tokens + this.ratio);
  }

  /** Takes one retry from the budget; returns false if there is none. */
  public take(): boolean {
    if (this.available < 1) return false;
    this.tokens = Math.min(this.tokens, this.burst()) - 1;
    return true;
  }

  /** Returns a retry that was taken and not made. */
  public giveBack(): void {
    this.tokens = Math.min(this.burst(), this.tokens + 1);
  }
}

/** States whether an attempt was sent to the backend server; `No` only if it certainly was not. */
export enum SendStatus {
  No = 'no',
  Unknown = 'unknown',
}

/** Failed attempt, described as far as the retry policy needs it. */
export interface FailedAttempt {
  /** Number of attempts made so far, including the failed one. */
  readonly attempts: number;
  readonly sent: SendStatus;
  /** True if the call can safely be executed twice. */
  readonly safe: boolean;
  /** Monotonic time in ms by which the call must be answered. */
  readonly deadline: number;
  /** Time in ms that another attempt is expected to take. */
  readonly expectedMs: number;
  /** Delay in ms before a retry that the server asked for. */
  readonly retryAfterMs?: number;
}

/** Decision about a failed attempt: the delay in ms before a retry, or the reason against one. */
export type RetryDecision =
  | { readonly retry: true; readonly delayMs: number }
  | { readonly retry: false; readonly reason: 'unsafe' | 'deadline' | 'attempts' | 'budget' };

/** Options of {@link RetryPolicy}. */
export interface RetryPolicyOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly budget: RetryBudget;
  /** Upper bound of the backoff after the first attempt in ms, doubled after each further one; 50 by default. */
  readonly baseMs?: number;
  /** Largest backoff in ms; 2,000 by default. */
  readonly maxMs?: number;
  /** Attempts per call, including the first one; 4 by default. */
  readonly maxAttempts?: number;
}

const DEFAULT_BASE_MS = 50;
const DEFAULT_MAX_MS = 2_000;
const DEFAULT_MAX_ATTEMPTS = 4;

/** Exponential backoff with full jitter, in ms; `attempts` is the number of attempts made so far. */
export function backoffMs(random: Random, attempts: number, baseMs: number, maxMs: number): number {
  return random.float() * Math.min(maxMs, baseMs * 2 ** Math.min(30, attempts - 1));
}

/** Decides whether a failed attempt is retried, for calls to engines and to plain services. */
export class RetryPolicy {
  public constructor(private readonly options: RetryPolicyOptions) {}

  /** Decides about a failed attempt; takes a retry from the budget if it decides to retry. */
  public decide(failed: FailedAttempt): RetryDecision {
    const {
      clock, random, budget, baseMs = DEFAULT_BASE_MS, maxMs = DEFAULT_MAX_MS, maxAttempts = DEFAULT_MAX_ATTEMPTS,
    } = this.options;
    if (!failed.safe && failed.sent !== SendStatus.No) return { retry: false, reason: 'unsafe' };
    if (failed.attempts >= maxAttempts) return { retry: false, reason: 'attempts' };
    const delayMs = (failed.retryAfterMs ?? 0) + backoffMs(random, failed.attempts, baseMs, maxMs);
    if (clock.monotonic() + delayMs + failed.expectedMs > failed.deadline) return { retry: false, reason: 'deadline' };
    if (!budget.take()) return { retry: false, reason: 'budget' };
    return { retry: true, delayMs };
  }

  /** Records a success, which adds a part of a retry to the budget. */
  public succeeded(): void {
    this.options.budget.succeeded();
  }
}

/** Options of {@link RecoveryJitter}. */
export interface RecoveryJitterOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Longest delay in ms; 2,000 by default. */
  readonly windowMs?: number;
}

const DEFAULT_WINDOW_MS = 2_000;

/** Delays the use of a service after its outage by a random time, so that processes don't all return to it at once. */
export class RecoveryJitter {
  private outageStartedAt: number | null = null;

  public constructor(private readonly options: RecoveryJitterOptions) {}

  /** Records a failed call; the first one starts the outage. */
  public recordFailure(): void {
    this.outageStartedAt ??= this.options.clock.monotonic();
  }

  /** Records that the service answers again; returns the delay in ms before this process uses it in full. */
  public recordRecovery(): number {
    if (this.outageStartedAt === null) return 0;
    const outageMs = this.options.clock.monotonic() - this.outageStartedAt;
    this.outageStartedAt = null;
    // Little work accumulates in a short outage, so the delay is never longer than the outage.
    return this.options.random.float() * Math.min(outageMs, this.options.windowMs ?? DEFAULT_WINDOW_MS);
  }
}
