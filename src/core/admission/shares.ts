import type { Clock } from '../interfaces/index.js';

interface Usage {
  tokens: number;
  updatedAt: number;
}

/** Time constant in ms with which the recorded use of a workspace decays. */
const TIME_CONSTANT_MS = 20_000;

/** A workspace is above its share when it has used this many times the mean of the active workspaces. */
const ABOVE_SHARE_FACTOR = 3;

/** Workspaces with a decayed use of fewer tokens don't count as active. */
const ACTIVE_TOKENS = 1;
const MAX_WORKSPACES = 4_096;
const REFRESH_MS = 1_000;

/** Tracks the recent use of the engines by each workspace, to find those above their share. */
export class WorkspaceShares {
  private readonly usage = new Map<string, Usage>();

  private meanTokens = 0;

  private refreshedAt = -Infinity;

  public constructor(private readonly clock: Clock) {}

  /** Adds the expected engine work of a placed request, in tokens. */
  public recordUse(workspace: string, tokens: number): void {
    const now = this.clock.monotonic();
    const usage = this.usage.get(workspace);
    if (usage === undefined) {
      if (this.usage.size >= MAX_WORKSPACES) this.usage.delete(this.usage.keys().next().value!);
      this.usage.set(workspace, { tokens, updatedAt: now });
      return;
    }
    usage.tokens = this.decayedTokens(usage, now) + tokens;
    usage.updatedAt = now;
  }

  /** Tests whether a workspace has recently used far more than the others. */
  public isAboveShare(workspace: string): boolean {
    const now = this.clock.monotonic();
    if (now - this.refreshedAt >= REFRESH_MS) this.refresh(now);
    const usage = this.usage.get(workspace);
    return usage !== undefined && this.meanTokens > 0
      && this.decayedTokens(usage, now) > ABOVE_SHARE_FACTOR * this.meanTokens;
  }

  private refresh(now: number): void {
    let total = 0;
    let active = 0;
    for (const [workspace, usage] of this.usage) {
      const tokens = this.decayedTokens(usage, now);
      if (tokens < ACTIVE_TOKENS) this.usage.delete(workspace);
      else {
        total += tokens;
        active += 1;
      }
    }
    this.meanTokens = active === 0 ? 0 : total / active;
    this.refreshedAt = now;
  }

  private decayedTokens(usage: Usage, now: number): number {
    return usage.tokens * Math.exp((usage.updatedAt - now) / TIME_CONSTANT_MS);
  }
}
