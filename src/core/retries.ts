import type { Clock, Random } from './edges/index.js';

/** Options of {@link RetryBudget}; tokens are retries. */
export interface RetryBudgetOptions {
  /** Retries earned by one success. */
  readonly ratio?: number;
  /** Most retries that may be saved up. */
  readonly burst?: number;
}

const DEFAULT_RATIO = 0.1;
const DEFAULT_BURST = 20;

/** Token bucket for the retries of one call chain, filled by successes and shared by all its layers. */
export class RetryBudget {
  private tokens: number;

  private readonly ratio: number;

  private readonly burst: number;

  public constructor(options: RetryBudgetOptions = {}) {
    this.ratio = options.ratio ?? DEFAULT_RATIO;
    this.burst = options.burst ?? DEFAULT_BURST;
    this.tokens = this.burst;
  }

  /** Retries that may be made now. */
  public get available(): number {
    return Math.floor(this.tokens + 1e-9);
  }

  /** Earns a share of a retry. */
  public succeeded(): void {
    this.tokens = Math.min(this.burst, this.tokens + this.ratio);
  }

  /** Takes one retry, if there is one. */
  public take(): boolean {
    if (this.available < 1) return false;
    this.tokens -= 1;
    return true;
  }
}

/** Whether an attempt reached the backend server; `No` only where that is certain. */
export enum Sent {
  No = 'no',
  Unknown = 'unknown',
}

/** Failed attempt as the retry policy sees it. */
export interface FailedAttempt {
  /** Attempts made so far, the failed one included. */
  readonly attempts: number;
  readonly sent: Sent;
  /** True when running the call twice does no harm. */
  readonly safe: boolean;
  /** Monotonic time in ms by which the call must be answered. */
  readonly deadline: number;
  /** Time in ms that another attempt is expected to take. */
  readonly expectedMs: number;
  /** Earliest retry that the server asked for, in ms from now. */
  readonly retryAfterMs?: number;
}

/** Decision on a failed attempt. */
export type RetryDecision =
  | { readonly retry: true; readonly delayMs: number }
  | { readonly retry: false; readonly reason: 'unsafe' | 'deadline' | 'attempts' | 'budget' };

/** Options of {@link RetryPolicy}. */
export interface RetryPolicyOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly budget: RetryBudget;
  readonly baseMs?: number;
  readonly maxMs?: number;
  readonly maxAttempts?: number;
}

const DEFAULT_BASE_MS = 50;
const DEFAULT_MAX_MS = 2_000;
const DEFAULT_MAX_ATTEMPTS = 4;

/** Exponential backoff with full jitter, in ms; `attempts` counts those made so far. */
export function backoffMs(random: Random, attempts: number, baseMs: number, maxMs: number): number {
  return random.float() * Math.min(maxMs, baseMs * 2 ** Math.min(30, attempts - 1));
}

/** Decides whether a failed attempt is repeated; used for engines and plain services alike. */
export class RetryPolicy {
  public constructor(private readonly options: RetryPolicyOptions) {}

  /** Takes a retry from the budget where it decides to retry. */
  public decide(failed: FailedAttempt): RetryDecision {
    const {
      clock, random, budget, baseMs = DEFAULT_BASE_MS, maxMs = DEFAULT_MAX_MS, maxAttempts = DEFAULT_MAX_ATTEMPTS,
    } = this.options;
    if (!failed.safe && failed.sent !== Sent.No) return { retry: false, reason: 'unsafe' };
    if (failed.attempts >= maxAttempts) return { retry: false, reason: 'attempts' };
    const delayMs = (failed.retryAfterMs ?? 0) + backoffMs(random, failed.attempts, baseMs, maxMs);
    if (clock.monotonic() + delayMs + failed.expectedMs > failed.deadline) return { retry: false, reason: 'deadline' };
    if (!budget.take()) return { retry: false, reason: 'budget' };
    return { retry: true, delayMs };
  }

  /** Reports a success, which earns a share of a retry. */
  public succeeded(): void {
    this.options.budget.succeeded();
  }
}

/** Options of {@link ReturnRamp}. */
export interface ReturnRampOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Time over which processes return, in ms. */
  readonly windowMs?: number;
}

const DEFAULT_WINDOW_MS = 2_000;

/** Spreads the return of many processes to a service after its outage. */
export class ReturnRamp {
  private outageAt: number | null = null;

  public constructor(private readonly options: ReturnRampOptions) {}

  /** Notes a failed call; the first one starts the outage. */
  public failed(): void {
    this.outageAt ??= this.options.clock.monotonic();
  }

  /** Notes that the service answers again. Returns the delay in ms before this process uses it in full. */
  public recovered(): number {
    if (this.outageAt === null) return 0;
    const outageMs = this.options.clock.monotonic() - this.outageAt;
    this.outageAt = null;
    // Little work has gathered after a short outage, so the spread is never longer than the outage.
    return this.options.random.float() * Math.min(outageMs, this.options.windowMs ?? DEFAULT_WINDOW_MS);
  }
}
