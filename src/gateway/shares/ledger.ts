import type { Clock } from '../../core/interfaces/index.js';
import { hashName } from '../../core/rendezvous.js';

/** Time constant in ms with which the recorded work of a workspace decays. */
const TIME_CONSTANT_MS = 4_000;

/** Largest level of {@link WorkLedger.level}. */
export const MAX_LEVEL = 5;

/** Time in ms after its last call for which a workspace counts among those that share the engines. */
const ACTIVE_MS = 8_000;

/** Time in ms between two announcements of the own work. */
export const ANNOUNCE_PERIOD_MS = 250;

/** Time in ms without an announcement after which the work of another gateway no longer counts. */
const PEER_EXPIRY_MS = 1_000;

/** Time in ms after which the sums over all gateways are computed anew. */
const REFRESH_MS = 50;

/** Largest number of workspaces in an announcement; those with the most work are named. */
export const MAX_ANNOUNCED = 64;

/** Largest number of workspaces whose own work is recorded. */
const MAX_RECORDED = 4_096;

/** Work of a workspace in tokens, by the hash of its name. */
export type AnnouncedWork = readonly (readonly [workspace: number, tokens: number])[];

interface Work {
  tokens: number;
  updatedAt: number;
  /** Monotonic time in ms of the last call, whether it got a slot or not. */
  askedAt: number;
}

/**
 * Work that has recently got a slot for each workspace, counted at this gateway and announced by others. It decides
 * which workspaces are beyond their share; a workspace alone is not.
 */
export class WorkLedger {
  private readonly own = new Map<number, Work>();

  private readonly peers = new Map<number, { readonly receivedAt: number; readonly work: AnnouncedWork }>();

  private totals: ReadonlyMap<number, number> = new Map();

  private meanTokens = 0;

  private refreshedAt = -Infinity;

  public constructor(private readonly clock: Clock) {}

  /** Records a call that asks for a slot, so that a workspace that gets none counts among those that share them. */
  public ask(workspace: string): void {
    this.recordOf(workspace).askedAt = this.clock.monotonic();
  }

  /** Adds the tokens of a call that gets a slot. */
  public add(workspace: string, tokens: number): void {
    const now = this.clock.monotonic();
    const work = this.recordOf(workspace);
    work.tokens = this.decayed(work, now) + tokens;
    work.updatedAt = now;
  }

  /**
   * How far a workspace is beyond its share: 0 up to twice the mean of all workspaces with recent calls, and one more
   * for each further doubling, up to {@link MAX_LEVEL}.
   */
  public level(workspace: string): number {
    const now = this.clock.monotonic();
    if (now - this.refreshedAt >= REFRESH_MS) this.refresh(now);
    const tokens = this.totals.get(hashName(workspace)) ?? 0;
    if (tokens <= this.meanTokens) return 0;
    return Math.min(MAX_LEVEL, Math.floor(Math.log2(tokens / this.meanTokens)));
  }

  /** Own work for the other gateways, in whole tokens. */
  public announcement(): AnnouncedWork {
    const now = this.clock.monotonic();
    return [...this.own].filter(([, { askedAt }]) => now - askedAt < ACTIVE_MS)
      .map(([key, work]) => [key, Math.round(this.decayed(work, now))] as const)
      .sort(([, left], [, right]) => right - left)
      .slice(0, MAX_ANNOUNCED);
  }

  /** Replaces the work that another gateway has announced. */
  public receive(gateway: number, work: AnnouncedWork): void {
    this.peers.set(gateway, { receivedAt: this.clock.monotonic(), work });
  }

  /** Recent work in tokens of all known gateways, by the hash of a workspace's name, and the mean. */
  public dump(): Record<string, unknown> {
    this.refresh(this.clock.monotonic());
    return { mean_tokens: Math.round(this.meanTokens), workspaces: this.totals.size, gateways: this.peers.size + 1 };
  }

  private refresh(now: number): void {
    const totals = new Map<number, number>();
    const count = (key: number, tokens: number): void => {
      totals.set(key, (totals.get(key) ?? 0) + tokens);
    };
    for (const [key, work] of this.own) {
      if (now - work.askedAt >= ACTIVE_MS) this.own.delete(key);
      else count(key, this.decayed(work, now));
    }
    for (const [gateway, { receivedAt, work }] of this.peers) {
      if (now - receivedAt >= PEER_EXPIRY_MS) this.peers.delete(gateway);
      else for (const [key, tokens] of work) count(key, tokens);
    }
    let sum = 0;
    for (const tokens of totals.values()) sum += tokens;
    this.totals = totals;
    this.meanTokens = totals.size === 0 ? 0 : sum / totals.size;
    this.refreshedAt = now;
  }

  private recordOf(workspace: string): Work {
    const key = hashName(workspace);
    let work = this.own.get(key);
    if (work === undefined) {
      if (this.own.size >= MAX_RECORDED) this.own.delete(this.own.keys().next().value!);
      const now = this.clock.monotonic();
      work = { tokens: 0, updatedAt: now, askedAt: now };
      this.own.set(key, work);
    }
    return work;
  }

  private decayed({ tokens, updatedAt }: Work, now: number): number {
    return tokens * Math.exp((updatedAt - now) / TIME_CONSTANT_MS);
  }
}
