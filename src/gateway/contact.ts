import type { Clock, Disposable } from '../core/edges/index.js';

/** Time over which the store is known to have answered; monotonic times in ms. */
export interface ContactSpan {
  readonly since: number;
  readonly until: number;
}

/** Longest time in ms between two answers of a store that counts as never away; no registration lapses in it. */
const LONGEST_GAP_MS = 1_500;

function adjoin(left: ContactSpan, right: ContactSpan): boolean {
  return left.since <= right.until + LONGEST_GAP_MS && right.since <= left.until + LONGEST_GAP_MS;
}

function union(left: ContactSpan, right: ContactSpan): ContactSpan {
  return { since: Math.min(left.since, right.since), until: Math.max(left.until, right.until) };
}

/**
 * When the store is known to have answered, this gateway or another one. A gateway that alone lost its path to the
 * store learns from the others that the store was never away.
 */
export class StoreContact {
  private current: ContactSpan;

  /** Span before the last outage, or `null` where none is known. */
  private before: ContactSpan | null = null;

  private readonly listeners = new Set<() => void>();

  public constructor(private readonly clock: Clock) {
    const now = clock.monotonic();
    // Where the first answer comes late, the store may have been away.
    this.current = { since: now, until: now };
  }

  /** Newest span. */
  public get span(): ContactSpan {
    return this.current;
  }

  /** Monotonic time in ms at which the store returned from its last outage; `-Infinity` where none is known. */
  public get returnedAt(): number {
    return this.before === null ? -Infinity : this.current.since;
  }

  /** Notes that the store has answered from `since` until now. */
  public answered(since: number): void {
    this.add({ since, until: this.clock.monotonic() });
  }

  /** Takes over a span, also one that another gateway knows of. */
  public add(span: ContactSpan): void {
    const { returnedAt } = this;
    if (adjoin(this.current, span)) this.current = union(this.current, span);
    else if (span.since > this.current.until) {
      this.before = this.current;
      this.current = span;
    } else if (this.before !== null && adjoin(this.before, span)) this.before = union(this.before, span);
    if (this.before !== null && adjoin(this.before, this.current)) {
      this.current = union(this.before, this.current);
      this.before = null;
    }
    if (this.returnedAt !== returnedAt) for (const listener of this.listeners) listener();
  }

  /** Calls `listener` whenever {@link returnedAt} has changed. */
  public onChange(listener: () => void): Disposable {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  }
}
