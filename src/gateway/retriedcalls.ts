/** Share of a route's usual deadline below which a call counts as retried; deadlines of new calls vary by a sixth. */
const RETRIED_SHARE = 0.75;

/** Weight of a shorter deadline in the usual one, so that it follows a route whose callers come to wait less long. */
const DECAY = 0.002;

/**
 * Detects calls that a caller sends again after a refusal. A caller states how long it still waits, so a retried call
 * has a clearly shorter deadline than the new calls of its route.
 */
export class RetriedCallDetector {
  private readonly usualMsByRoute = new Map<string, number>();

  /** Records the deadline of a call in ms and returns whether the call is retried; never true without a deadline. */
  public isRetried(route: string, deadlineMs: number | null): boolean {
    if (deadlineMs === null) return false;
    const usualMs = this.usualMsByRoute.get(route) ?? deadlineMs;
    this.usualMsByRoute.set(route, Math.max(deadlineMs, usualMs - DECAY * (usualMs - deadlineMs)));
    return deadlineMs < RETRIED_SHARE * usualMs;
  }
}
