import type { Clock } from '../edges/index.js';

interface Usage {
  tokens: number;
  updatedAt: number;
}

/** Time over which use of the engines counts against a workspace. */
const TIME_CONSTANT_MS = 20_000;

/** A workspace is above its share when it used this many times the mean of the active ones. */
const ABOVE_SHARE_FACTOR = 3;

/** Workspaces that used less than this many tokens recently do not count as active. */
const ACTIVE_TOKENS = 1;
const MAX_WORKSPACES = 4_096;
const REFRESH_MS = 1_000;

/** Recent use of the engines by workspace, which tells who is above its share. */
export class WorkspaceShares {
  private readonly usage = new Map<string, Usage>();

  private mean = 0;

  private refreshedAt = -Infinity;

  public constructor(private readonly clock: Clock) {}

  /** Adds the expected engine work of a placed request in tokens. */
  public used(workspace: string, tokens: number): void {
    const now = this.clock.monotonic();
    const usage = this.usage.get(workspace);
    if (usage === undefined) {
      if (this.usage.size >= MAX_WORKSPACES) this.usage.delete(this.usage.keys().next().value!);
      this.usage.set(workspace, { tokens, updatedAt: now });
      return;
    }
    usage.tokens = this.current(usage, now) + tokens;
    usage.updatedAt = now;
  }

  /** Whether a workspace recently used far more than the others. */
  public isAbove(workspace: string): boolean {
    const now = this.clock.monotonic();
    if (now - this.refreshedAt >= REFRESH_MS) this.refresh(now);
    const usage = this.usage.get(workspace);
    return usage !== undefined && this.mean > 0 && this.current(usage, now) > ABOVE_SHARE_FACTOR * this.mean;
  }

  private refresh(now: number): void {
    let total = 0;
    let active = 0;
    for (const [workspace, usage] of this.usage) {
      const tokens = this.current(usage, now);
      if (tokens < ACTIVE_TOKENS) this.usage.delete(workspace);
      else {
        total += tokens;
        active += 1;
      }
    }
    this.mean = active === 0 ? 0 : total / active;
    this.refreshedAt = now;
  }

  private current(usage: Usage, now: number): number {
    return usage.tokens * Math.exp((usage.updatedAt - now) / TIME_CONSTANT_MS);
  }
}
