import type { Clock } from '../../core/interfaces/index.js';

/** Number of windows of which counts are kept. */
export const KEPT_WINDOWS = 24;

/** Counts by workspace. */
export type UsageCounts = Readonly<Record<string, number>>;

/** Adds counts to `total`. */
export function addCounts(total: Record<string, number>, counts: UsageCounts): void {
  for (const [workspace, count] of Object.entries(counts)) total[workspace] = (total[workspace] ?? 0) + count;
}

/** Counts of one gateway in one window. */
export interface SourceCounts {
  /** Incarnation of the gateway. */
  readonly source: string;
  readonly counts: UsageCounts;
}

/** Counts the calls of this gateway that began to run, by workspace and window of the wall clock. */
export class UsageCounter {
  private readonly windows = new Map<number, Record<string, number>>();

  /** Counts that gateways handed over when they stopped, by window and by their incarnation. */
  private readonly adopted = new Map<number, Map<string, UsageCounts>>();

  public constructor(private readonly clock: Clock, private readonly windowMs: number) {}

  /** Number of the window that is open now. */
  public get current(): number {
    return Math.floor(this.clock.now().getTime() / this.windowMs);
  }

  /** Unix time in ms at which a window ends. */
  public endOf(window: number): number {
    return (window + 1) * this.windowMs;
  }

  /** Counts one call that begins to run now. */
  public count(workspace: string): void {
    const { current } = this;
    let counts = this.windows.get(current);
    if (counts === undefined) {
      counts = {};
      this.windows.set(current, counts);
      this.forgetOld(this.windows);
    }
    counts[workspace] = (counts[workspace] ?? 0) + 1;
  }

  /** Counts of this gateway in a window; `null` while it is open. */
  public closed(window: number): UsageCounts | null {
    return window < this.current ? this.windows.get(window) ?? {} : null;
  }

  /** Counts of all windows that are kept, the open one included. */
  public all(): readonly { readonly window: number; readonly counts: UsageCounts }[] {
    return [...this.windows].map(([window, counts]) => ({ window, counts: { ...counts } }));
  }

  /** Keeps the counts of a gateway that stops. */
  public adopt(source: string, window: number, counts: UsageCounts): void {
    if (window > this.current + 1 || window < this.current - KEPT_WINDOWS) return;
    const sources = this.adopted.get(window) ?? new Map<string, UsageCounts>();
    sources.set(source, counts);
    this.adopted.set(window, sources);
    this.forgetOld(this.adopted);
  }

  /** Counts of a window that stopped gateways have handed over to this one. */
  public adoptedIn(window: number): readonly SourceCounts[] {
    return [...this.adopted.get(window) ?? []].map(([source, counts]) => ({ source, counts }));
  }

  private forgetOld(windows: Map<number, unknown>): void {
    for (const window of [...windows.keys()]) if (window < this.current - KEPT_WINDOWS) windows.delete(window);
  }
}
