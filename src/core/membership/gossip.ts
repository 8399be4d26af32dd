import { messageBytes } from './rows.js';

/** Most changes that wait for retransmission; beyond it the most often sent one is dropped. */
const QUEUE_MAX = 512;

/** Sendings of each change, for each power of ten in the number of members, and their least number. */
const SENDINGS_PER_DECADE = 4;
const SENDINGS_MIN = 8;

/** Changes that travel on other messages, each a bounded number of times, least often sent first. */
export class GossipQueue<T> {
  /** Number of times that each change was sent. */
  private readonly sent = new Map<string, number>();

  /**
   * `resolve` gives the current form of a change, or `null` when there is nothing left to say; `dropped` is called
   * when a change leaves the queue.
   */
  public constructor(
    private readonly resolve: (key: string) => T | null,
    private readonly dropped: (key: string) => void = () => {},
  ) {}

  public get size(): number {
    return this.sent.size;
  }

  /** Adds a change, or starts its retransmissions again. */
  public put(key: string): void {
    this.sent.set(key, 0);
    if (this.sent.size <= QUEUE_MAX) return;
    const [mostSent] = [...this.sent].reduce((a, b) => (b[1] > a[1] ? b : a));
    this.drop(mostSent);
  }

  /** Takes changes for one message of at most `budgetBytes`. */
  public take(budgetBytes: number, members: number, limit: number): T[] {
    if (this.sent.size === 0) return [];
    const taken: T[] = [];
    let bytes = 0;
    const sendings = Math.max(SENDINGS_MIN, SENDINGS_PER_DECADE * Math.ceil(Math.log10(members + 1)));
    for (const [key, sent] of [...this.sent].sort(([, a], [, b]) => a - b)) {
      const value = this.resolve(key);
      bytes += value === null ? 0 : messageBytes(value);
      if (bytes > budgetBytes || taken.length >= limit) break;
      if (value !== null) taken.push(value);
      if (value === null || sent + 1 >= sendings) this.drop(key);
      else this.sent.set(key, sent + 1);
    }
    return taken;
  }

  private drop(key: string): void {
    this.sent.delete(key);
    this.dropped(key);
  }
}
