import type {
  Clock, Disposable, KeyValue, Log, Meter, Random,
} from '../edges/index.js';
import type { Members } from '../membership/index.js';
import { lowestByRendezvous } from '../rendezvous.js';
import { AUTHORITY_KEY, Terms } from './terms.js';
import type { Holder, Seen } from './terms.js';
import { sleep } from '../time.js';

/** Entries that look for a free lease several times in each lease length. */
const FREQUENT_READERS = 5;

/** Time for which this process holds authority under one term. */
export interface Tenure {
  readonly term: number;
  /** Monotonic time of the acquisition, in ms. */
  readonly acquiredAt: number;
  /** Aborts when the tenure ends for any reason. */
  readonly signal: AbortSignal;
}

interface Held extends Tenure {
  readonly leaseId: string;
  readonly controller: AbortController;
  /** Monotonic time at which this process stops acting unless a renewal is answered. */
  validUntil: number;
}

type Attempt = 'acquired' | 'taken' | 'unavailable';

/** Options of {@link Authority}. */
export interface AuthorityOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly keyValue: KeyValue;
  readonly log: Log;
  readonly meter: Meter;
  readonly holder: Holder;
  readonly leaseMs?: number;
  /** Share of the lease kept as a margin for clock drift between this process and the service. */
  readonly marginShare?: number;
  /** Whether this process competes for authority now. */
  readonly isCandidate?: () => boolean;
  /** Other entries; in a large fleet, only a few of them look for a free lease often. */
  readonly members?: Members;
}

/** Planning authority: at most one process may act at a time, under a term that grows with each acquisition. */
export class Authority {
  public readonly leaseMs: number;

  public readonly holder: Holder;

  private readonly terms: Terms;

  private held: Held | null = null;

  private highestTerm = 0;

  private abandonedTerm = 0;

  private released = false;

  private acquisitions = 0;

  private lastLoss: { readonly reason: string; readonly at: number } | null = null;

  private readonly listeners = new Set<() => void>();

  public constructor(private readonly options: AuthorityOptions) {
    this.leaseMs = options.leaseMs ?? 3_000;
    this.holder = options.holder;
    this.terms = new Terms(options.keyValue, { timeoutMs: this.leaseMs / 3 });
  }

  /** Highest term that this process has held; 0 before the first. */
  public get term(): number {
    return this.highestTerm;
  }

  /** Whether this process may act at this moment; valid only within the same synchronous turn. */
  public mayAct(): boolean {
    return this.held !== null && this.options.clock.monotonic() < this.held.validUntil;
  }

  /** The current tenure, or `null` when this process may not act. */
  public tenure(): Tenure | null {
    return this.mayAct() ? this.held : null;
  }

  /** Calls `listener` whenever a tenure begins or ends. */
  public onChange(listener: () => void): Disposable {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  }

  /** Gives up every term up to `term`; once this returns, no guard of these terms passes. */
  public abandon(term: number): void {
    this.abandonedTerm = Math.max(this.abandonedTerm, term);
    if (this.held !== null && this.held.term <= this.abandonedTerm) this.standDown('abandoned');
  }

  /** Ends authority for a planned stop, so that another process can take over without waiting for the lease. */
  public async release(): Promise<void> {
    this.released = true;
    const { held } = this;
    if (held === null) return;
    this.standDown('released');
    await this.terms.revoke(held.leaseId);
  }

  /** Competes for authority and renews it until `signal` aborts; an abort leaves the lease to expire. */
  public async run(signal: AbortSignal): Promise<void> {
    let failures = 0;
    while (!signal.aborted && !this.released) {
      const attempt = this.options.isCandidate?.() === false ? 'taken' : await this.attempt(signal);
      failures = attempt === 'unavailable' ? failures + 1 : 0;
      if (attempt === 'acquired') await this.keep(signal);
      else await sleep(this.options.clock, this.waitMs(failures), signal);
    }
    if (this.held !== null) this.standDown('stopped');
  }

  /** State under stable keys, with ages in ms. */
  public dump(): Record<string, unknown> {
    const now = this.options.clock.monotonic();
    return {
      may_act: this.mayAct(),
      term: this.highestTerm,
      held_for_ms: this.held === null ? null : now - this.held.acquiredAt,
      valid_for_ms: this.held === null ? null : Math.max(0, this.held.validUntil - now),
      abandoned_term: this.abandonedTerm,
      acquisitions: this.acquisitions,
      last_loss: this.lastLoss === null ? null : { reason: this.lastLoss.reason, age_ms: now - this.lastLoss.at },
      service_calls: this.terms.calls,
    };
  }

  private async attempt(signal: AbortSignal): Promise<Attempt> {
    const { clock, random } = this.options;
    const first = await this.terms.read();
    if (first === null) return 'unavailable';
    if (first.held) return 'taken';
    // Candidates find the key absent at about the same time; the spread lets the first one win before others write.
    await sleep(clock, random.float() * (this.leaseMs / 6), signal);
    if (signal.aborted || this.released) return 'taken';
    const seen = await this.terms.read();
    if (seen === null) return 'unavailable';
    if (seen.held) return 'taken';
    const grantedAt = clock.monotonic();
    const leaseId = await this.terms.grant(this.leaseMs);
    if (leaseId === null) return 'unavailable';
    const outcome = await this.take(leaseId, grantedAt, seen);
    if (outcome !== 'acquired') await this.terms.revoke(leaseId);
    return outcome;
  }

  private async take(leaseId: string, grantedAt: number, start: Seen): Promise<Attempt> {
    const { clock, random, holder } = this.options;
    const validUntil = grantedAt + this.validMs();
    const attempt = random.id();
    let seen = start;
    while (clock.monotonic() < validUntil) {
      const owned = seen.authority?.attempt === attempt;
      if (seen.held && !owned) return 'taken';
      if (owned && seen.term?.attempt === attempt) {
        return this.begin(seen.term.term, leaseId, validUntil);
      }
      const term = Math.max(seen.term?.term ?? 0, this.highestTerm, this.abandonedTerm) + 1;
      const claim = {
        attempt, holder, leaseId, term,
      };
      if (!await this.terms.take(owned, seen, claim)) return 'unavailable';
      // The read settles a lost answer and a term that another candidate took in between.
      const next = await this.terms.read();
      if (next === null) return 'unavailable';
      seen = next;
    }
    return 'unavailable';
  }

  private begin(term: number, leaseId: string, validUntil: number): Attempt {
    const { clock, log, meter } = this.options;
    const now = clock.monotonic();
    // After the lease another process may hold a higher term already.
    if (now >= validUntil || term <= this.abandonedTerm) return 'unavailable';
    const controller = new AbortController();
    this.highestTerm = term;
    this.acquisitions += 1;
    this.held = {
      term, leaseId, acquiredAt: now, validUntil, controller, signal: controller.signal,
    };
    meter.count('authority_acquisitions');
    log.info('authority acquired', { term });
    this.notify();
    return 'acquired';
  }

  private async keep(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.options;
    const { held } = this;
    if (held === null) return;
    let delayMs = this.leaseMs / 3;
    const ended = AbortSignal.any([signal, held.signal]);
    while (!ended.aborted) {
      const remainingMs = held.validUntil - clock.monotonic();
      if (remainingMs <= 0) {
        this.standDown('not renewed in time');
        await this.terms.revoke(held.leaseId);
        return;
      }
      await sleep(clock, Math.min(delayMs, remainingMs), ended);
      const sentAt = clock.monotonic();
      if (ended.aborted || sentAt >= held.validUntil) continue;
      const renewed = await this.terms.renew(held.leaseId);
      delayMs = this.leaseMs / 3;
      if (renewed === 'renewed') held.validUntil = sentAt + this.validMs();
      else if (renewed === 'unknown') delayMs = (this.leaseMs / 12) * (0.5 + random.float());
      else if (this.held === held) this.standDown('lease expired');
    }
  }

  private standDown(reason: string): void {
    const { held } = this;
    if (held === null) return;
    this.held = null;
    held.controller.abort();
    this.lastLoss = { reason, at: this.options.clock.monotonic() };
    this.options.meter.count('authority_losses', 1, { reason });
    this.options.log.info('authority ended', { term: held.term, reason });
    this.notify();
  }

  private validMs(): number {
    return this.leaseMs * (1 - (this.options.marginShare ?? 0.2));
  }

  /** Jittered wait; doubles with failures up to one lease, so that candidates return spread out after an outage. */
  private waitMs(failures: number): number {
    const spreadMs = this.isFrequentReader()
      ? Math.min(this.leaseMs, (this.leaseMs / 3) * 2 ** Math.max(0, failures - 1))
      : this.leaseMs * Math.max(1, (this.options.members?.live().length ?? 0) / FREQUENT_READERS);
    return spreadMs * (0.5 + 0.5 * this.options.random.float());
  }

  /** The others read so rarely that the total rate stays the same as the fleet grows. */
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
