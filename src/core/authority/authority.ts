import type {
  Clock, Disposable, KeyValue, Log, Meter, Random,
} from '../interfaces/index.js';
import type { Members } from '../membership/index.js';
import { lowestByRendezvous } from '../rendezvous.js';
import { AUTHORITY_KEY, AuthorityStore } from './authoritystore.js';
import type { Holder, AuthoritySnapshot } from './authoritystore.js';
import { sleep } from '../time.js';

/** Number of entries that check for a free lease several times per lease duration; the others check more rarely. */
const FREQUENT_READERS = 5;

/** Period in which this process holds the authority lease under one term. */
export interface Leadership {
  readonly term: number;
  /** Monotonic time in ms of the acquisition. */
  readonly acquiredAt: number;
  /** Aborts when the leadership ends for any reason. */
  readonly signal: AbortSignal;
}

interface HeldLeadership extends Leadership {
  readonly leaseId: string;
  readonly controller: AbortController;
  /** Monotonic time in ms at which this process stops acting unless a renewal succeeds before. */
  validUntil: number;
}

type AttemptOutcome = 'acquired' | 'taken' | 'unavailable';

/** Options of {@link Authority}; defaults in brackets. */
export interface AuthorityOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly keyValue: KeyValue;
  readonly log: Log;
  readonly meter: Meter;
  readonly holder: Holder;
  /** Lease duration in ms [3000]. */
  readonly leaseMs?: number;
  /** Share of the lease left unused, as a margin for clock drift between this process and the service [0.2]. */
  readonly marginShare?: number;
  /** Returns whether this process may try to acquire authority now [always]. */
  readonly isCandidate?: () => boolean;
  /** Members of the fleet; in a large one, only a few of them check often for a free lease. */
  readonly members?: Members;
}

/** Leader election for planning: at most one process may act at a time, and each acquisition gets a higher term. */
export class Authority {
  public readonly leaseMs: number;

  public readonly holder: Holder;

  private readonly store: AuthorityStore;

  private current: HeldLeadership | null = null;

  private highestTerm = 0;

  private abandonedTerm = 0;

  private isReleased = false;

  private acquisitions = 0;

  private lastLoss: { readonly reason: string; readonly at: number } | null = null;

  private readonly listeners = new Set<() => void>();

  public constructor(private readonly options: AuthorityOptions) {
    this.leaseMs = options.leaseMs ?? 3_000;
    this.holder = options.holder;
    this.store = new AuthorityStore(options.keyValue, { timeoutMs: this.leaseMs / 3 });
  }

  /** Highest term that this process has held; 0 before its first leadership. */
  public get term(): number {
    return this.highestTerm;
  }

  /** True while this process may act. The answer holds only until the next `await`, as the lease may end meanwhile. */
  public mayAct(): boolean {
    return this.current !== null && this.options.clock.monotonic() < this.current.validUntil;
  }

  /** The current leadership, or `null` when this process may not act. */
  public currentLeadership(): Leadership | null {
    return this.mayAct() ? this.current : null;
  }

  /** Calls `listener` whenever a leadership begins or ends. */
  public onChange(listener: () => void): Disposable {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  }

  /** Gives up every term up to `term`: once this returns, this process may no longer act under any of them. */
  public abandon(term: number): void {
    this.abandonedTerm = Math.max(this.abandonedTerm, term);
    if (this.current !== null && this.current.term <= this.abandonedTerm) this.endLeadership('abandoned');
  }

  /** Ends the leadership for a planned stop and revokes the lease, so that others need not wait for its expiry. */
  public async release(): Promise<void> {
    this.isReleased = true;
    const { current } = this;
    if (current === null) return;
    this.endLeadership('released');
    await this.store.revokeLease(current.leaseId);
  }

  /** Acquires authority and renews it until `signal` aborts; after an abort, the lease expires by itself. */
  public async run(signal: AbortSignal): Promise<void> {
    let failures = 0;
    while (!signal.aborted && !this.isReleased) {
      const attempt = this.options.isCandidate?.() === false ? 'taken' : await this.attemptAcquisition(signal);
      failures = attempt === 'unavailable' ? failures + 1 : 0;
      if (attempt === 'acquired') await this.renewUntilEnd(signal);
      else await sleep(this.options.clock, this.retryDelayMs(failures), signal);
    }
    if (this.current !== null) this.endLeadership('stopped');
  }

  /** Dumps the state under stable keys, with ages in ms. */
  public dump(): Record<string, unknown> {
    const now = this.options.clock.monotonic();
    return {
      may_act: this.mayAct(),
      term: this.highestTerm,
      held_for_ms: this.current === null ? null : now - this.current.acquiredAt,
      valid_for_ms: this.current === null ? null : Math.max(0, this.current.validUntil - now),
      abandoned_term: this.abandonedTerm,
      acquisitions: this.acquisitions,
      last_loss: this.lastLoss === null ? null : { reason: this.lastLoss.reason, age_ms: now - this.lastLoss.at },
      service_calls: this.store.callCount,
    };
  }

  private async attemptAcquisition(signal: AbortSignal): Promise<AttemptOutcome> {
    const { clock, random } = this.options;
    const initial = await this.store.read();
    if (initial === null) return 'unavailable';
    if (initial.isHeld) return 'taken';
    // Candidates see at about the same time that the key is gone; random delays let one acquire it before others write.
    await sleep(clock, random.float() * (this.leaseMs / 6), signal);
    if (signal.aborted || this.isReleased) return 'taken';
    const snapshot = await this.store.read();
    if (snapshot === null) return 'unavailable';
    if (snapshot.isHeld) return 'taken';
    const grantedAt = clock.monotonic();
    const leaseId = await this.store.grantLease(this.leaseMs);
    if (leaseId === null) return 'unavailable';
    const outcome = await this.acquireWithLease(leaseId, grantedAt, snapshot);
    if (outcome !== 'acquired') await this.store.revokeLease(leaseId);
    return outcome;
  }

  private async acquireWithLease(
    leaseId: string,
    grantedAt: number,
    initial: AuthoritySnapshot,
  ): Promise<AttemptOutcome> {
    const { clock, random, holder } = this.options;
    const validUntil = grantedAt + this.validityMs();
    const attempt = random.id();
    let snapshot = initial;
    while (clock.monotonic() < validUntil) {
      const isOwned = snapshot.authority?.attempt === attempt;
      if (snapshot.isHeld && !isOwned) return 'taken';
      if (isOwned && snapshot.term?.attempt === attempt) {
        return this.startLeadership(snapshot.term.term, leaseId, validUntil);
      }
      const term = Math.max(snapshot.term?.term ?? 0, this.highestTerm, this.abandonedTerm) + 1;
      const claim = {
        attempt, holder, leaseId, term,
      };
      if (!await this.store.writeClaim(isOwned, snapshot, claim)) return 'unavailable';
      // The read shows whether a write whose answer was lost took effect, and whether another candidate took the term.
      const next = await this.store.read();
      if (next === null) return 'unavailable';
      snapshot = next;
    }
    return 'unavailable';
  }

  private startLeadership(term: number, leaseId: string, validUntil: number): AttemptOutcome {
    const { clock, log, meter } = this.options;
    const now = clock.monotonic();
    // Once the lease has expired, another process may already hold a higher term.
    if (now >= validUntil || term <= this.abandonedTerm) return 'unavailable';
    const controller = new AbortController();
    this.highestTerm = term;
    this.acquisitions += 1;
    this.current = {
      term, leaseId, acquiredAt: now, validUntil, controller, signal: controller.signal,
    };
    meter.count('authority_acquisitions');
    log.info('authority acquired', { term });
    this.notify();
    return 'acquired';
  }

  private async renewUntilEnd(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.options;
    const { current } = this;
    if (current === null) return;
    let delayMs = this.leaseMs / 3;
    const ended = AbortSignal.any([signal, current.signal]);
    while (!ended.aborted) {
      const remainingMs = current.validUntil - clock.monotonic();
      if (remainingMs <= 0) {
        this.endLeadership('not renewed in time');
        await this.store.revokeLease(current.leaseId);
        return;
      }
      await sleep(clock, Math.min(delayMs, remainingMs), ended);
      const sentAt = clock.monotonic();
      if (ended.aborted || sentAt >= current.validUntil) continue;
      const renewed = await this.store.renewLease(current.leaseId);
      delayMs = this.leaseMs / 3;
      if (renewed === 'renewed') current.validUntil = sentAt + this.validityMs();
      else if (renewed === 'unknown') delayMs = (this.leaseMs / 12) * (0.5 + random.float());
      else if (this.current === current) this.endLeadership('lease expired');
    }
  }

  private endLeadership(reason: string): void {
    const { current } = this;
    if (current === null) return;
    this.current = null;
    current.controller.abort();
    this.lastLoss = { reason, at: this.options.clock.monotonic() };
    this.options.meter.count('authority_losses', 1, { reason });
    this.options.log.info('authority ended', { term: current.term, reason });
    this.notify();
  }

  private validityMs(): number {
    return this.leaseMs * (1 - (this.options.marginShare ?? 0.2));
  }

  /**
   * Jittered delay before the next attempt. It doubles with each failure up to the lease duration, so that candidates
   * don't all call the service at once after an outage.
   */
  private retryDelayMs(failures: number): number {
    const maxDelayMs = this.isFrequentReader()
      ? Math.min(this.leaseMs, (this.leaseMs / 3) * 2 ** Math.max(0, failures - 1))
      : this.leaseMs * Math.max(1, (this.options.members?.live().length ?? 0) / FREQUENT_READERS);
    return maxDelayMs * (0.5 + 0.5 * this.options.random.float());
  }

  /** True for the few frequent readers; others read so rarely that the total rate stays the same as the fleet grows. */
  private isFrequentReader(): boolean {
    const { members } = this.options;
    if (members === undefined) return true;
    const self = members.self();
    const ids = [self, ...members.live()].filter(({ leaving }) => !leaving).map(({ id }) => id);
    return lowestByRendezvous(ids, AUTHORITY_KEY, FREQUENT_READERS).includes(self.id);
  }

  private notify(): void {
    for (const listener of [...this.listeners]) listener();
  }
}
