/** Share of a route's usual deadline below which a call has been waiting elsewhere before; callers vary by a sixth. */
const RETURNING_SHARE = 0.75;

/** Weight of a shorter deadline on the usual one, so that it follows a route whose callers become less patient. */
const DECAY = 0.002;

/**
 * Tells calls that come back after a refusal from new ones. A caller states how long it still waits, so one that was
 * refused before has clearly less time than the others of its route.
 */
export class UsualDeadlines {
  private readonly usual = new Map<string, number>();

  /** Takes the deadline of a call in ms and says whether the call has come back. */
  public isReturning(route: string, deadlineMs: number | null): boolean {
    if (deadlineMs === null) return false;
    const usualMs = this.usual.get(route) ?? deadlineMs;
    this.usual.set(route, Math.max(deadlineMs, usualMs - DECAY * (usualMs - deadlineMs)));
    return deadlineMs < RETURNING_SHARE * usualMs;
  }
}
