import { messageBytes } from './rows.js';

/** Maximum number of queued changes; beyond it, the change that was sent most often is dropped. */
const QUEUE_MAX = 512;

/** Number of times that a change is sent, per power of ten in the number of members, and the minimum of it. */
const TRANSMISSIONS_PER_DECADE = 4;
const TRANSMISSIONS_MIN = 8;

/** Changes piggybacked on other messages, each a limited number of times; those sent least often go first. */
export class GossipQueue<T> {
  /** Number of times that each change was sent. */
  private readonly sentCounts = new Map<string, number>();

  /**
   * `resolve` returns the current value of a change, or `null` when it need not be sent any more; `onDrop` is called
   * when a change leaves the queue.
   */
  public constructor(
    private readonly resolve: (key: string) => T | null,
    private readonly onDrop: (key: string) => void = () => {},
  ) {}

  /** Number of queued changes. */
  public get size(): number {
    return this.sentCounts.size;
  }

  /** Adds a change; the transmissions of one that is queued already are counted from 0 again. */
  public put(key: string): void {
    this.sentCounts.set(key, 0);
    if (this.sentCounts.size <= QUEUE_MAX) return;
    const [mostSent] = [...this.sentCounts].reduce((a, b) => (b[1] > a[1] ? b : a));
    this.drop(mostSent);
  }

  /** Takes at most `limit` changes of at most `budgetBytes` together, for one message to a cluster of `members`. */
  public take(budgetBytes: number, members: number, limit: number): T[] {
    if (this.sentCounts.size === 0) return [];
    const taken: T[] = [];
    let bytes = 0;
    const sendings = Math.max(TRANSMISSIONS_MIN, TRANSMISSIONS_PER_DECADE * Math.ceil(Math.log10(members + 1)));
    for (const [key, sent] of [...this.sentCounts].sort(([, a], [, b]) => a - b)) {
      const value = this.resolve(key);
      bytes += value === null ? 0 : messageBytes(value);
      if (bytes > budgetBytes || taken.length >= limit) break;
      if (value !== null) taken.push(value);
      if (value === null || sent + 1 >= sendings) this.drop(key);
      else this.sentCounts.set(key, sent + 1);
    }
    return taken;
  }

  private drop(key: string): void {
    this.sentCounts.delete(key);
    this.onDrop(key);
  }
}
