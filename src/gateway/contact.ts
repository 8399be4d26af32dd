import type { Clock, Disposable } from '../core/interfaces/index.js';

/** Period over which the store is known to have answered; monotonic times in ms. */
export interface ContactSpan {
  readonly since: number;
  readonly until: number;
}

/** Longest time in ms between two answers that does not count as an outage; no registration expires within it. */
const MAX_ANSWER_GAP_MS = 1_500;

function areAdjacent(left: ContactSpan, right: ContactSpan): boolean {
  return left.since <= right.until + MAX_ANSWER_GAP_MS && right.since <= left.until + MAX_ANSWER_GAP_MS;
}

function union(left: ContactSpan, right: ContactSpan): ContactSpan {
  return { since: Math.min(left.since, right.since), until: Math.max(left.until, right.until) };
}

/**
 * Records the periods over which the store is known to have answered this gateway or another one. From the periods of
 * other gateways, a gateway that lost only its own connection to the store learns that the store had no outage.
 */
export class StoreContact {
  private current: ContactSpan;

  /** Span before the last outage, or `null` where no outage is known. */
  private previous: ContactSpan | null = null;

  private readonly listeners = new Set<() => void>();

  public constructor(private readonly clock: Clock) {
    const now = clock.monotonic();
    // If the first answer comes late, the store may have had an outage meanwhile.
    this.current = { since: now, until: now };
  }

  /** Newest span. */
  public get span(): ContactSpan {
    return this.current;
  }

  /** Monotonic time in ms at which the last outage of the store ended; `-Infinity` where none is known. */
  public get recoveredAt(): number {
    return this.previous === null ? -Infinity : this.current.since;
  }

  /** Records that the store has answered from `since`, a monotonic time in ms, until now. */
  public answered(since: number): void {
    this.add({ since, until: this.clock.monotonic() });
  }

  /** Adds a span of this gateway or of another one; spans with a short gap between them become one. */
  public add(span: ContactSpan): void {
    const { recoveredAt: earlierRecovery } = this;
    if (areAdjacent(this.current, span)) this.current = union(this.current, span);
    else if (span.since > this.current.until) {
      this.previous = this.current;
      this.current = span;
    } else if (this.previous !== null && areAdjacent(this.previous, span)) this.previous = union(this.previous, span);
    if (this.previous !== null && areAdjacent(this.previous, this.current)) {
      this.current = union(this.previous, this.current);
      this.previous = null;
    }
    if (this.recoveredAt !== earlierRecovery) for (const listener of this.listeners) listener();
  }

  /** Calls `listener` whenever {@link recoveredAt} has changed. */
  public onChange(listener: () => void): Disposable {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  }
}
