import { z } from 'zod';
import { KeyValueErrorCode } from './edges.js';
import type {
  CallOptions, CasOperation, Clock, Disposable, KeyValue, KeyValueEntry, Log, Meter, Random,
} from './edges.js';
import { sleep } from './time.js';

/** Key that the holder's lease keeps alive. */
export const AUTHORITY_KEY = 'authority';

/** Key without lease that holds the last term, so that no term is used twice across expiry. */
export const TERM_KEY = 'authority/term';

export const holderSchema = z.object({ member: z.string(), address: z.string(), incarnation: z.string() });

/** Process that holds or held authority. */
export type Holder = z.infer<typeof holderSchema>;

const recordSchema = z.object({ attempt: z.string(), holder: holderSchema });

const termSchema = z.object({ attempt: z.string(), term: z.number().int().nonnegative() });

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

interface Seen {
  readonly authority: z.infer<typeof recordSchema> | null;
  readonly held: boolean;
  readonly term: z.infer<typeof termSchema> | null;
  readonly termVersion: number;
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
  /** Whether this process competes for authority now; a large fleet lets only a few do so. */
  readonly isCandidate?: () => boolean;
}

function decode<T>(schema: z.ZodType<T>, entry: KeyValueEntry | undefined): T | null {
  if (entry === undefined) return null;
  try {
    return schema.safeParse(JSON.parse(entry.value)).data ?? null;
  } catch {
    return null;
  }
}

/** Planning authority: at most one process may act at a time, under a term that grows with each acquisition. */
export class Authority {
  public readonly leaseMs: number;

  public readonly holder: Holder;

  private held: Held | null = null;

  private highestTerm = 0;

  private abandonedTerm = 0;

  private released = false;

  private calls = 0;

  private acquisitions = 0;

  private lastLoss: { readonly reason: string; readonly at: number } | null = null;

  private readonly listeners = new Set<() => void>();

  public constructor(private readonly options: AuthorityOptions) {
    this.leaseMs = options.leaseMs ?? 3_000;
    this.holder = options.holder;
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
    await this.revoke(held.leaseId);
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
      service_calls: this.calls,
    };
  }

  private async attempt(signal: AbortSignal): Promise<Attempt> {
    const { clock, random, keyValue } = this.options;
    const first = await this.read();
    if (first === null) return 'unavailable';
    if (first.held) return 'taken';
    // Candidates find the key absent at about the same time; the spread lets the first one win before others write.
    await sleep(clock, random.float() * (this.leaseMs / 6), signal);
    if (signal.aborted || this.released) return 'taken';
    const seen = await this.read();
    if (seen === null) return 'unavailable';
    if (seen.held) return 'taken';
    const grantedAt = clock.monotonic();
    this.calls += 1;
    const lease = await keyValue.leaseGrant(this.leaseMs, this.callOptions());
    if (!lease.success) return 'unavailable';
    const outcome = await this.take(lease.data, grantedAt, seen);
    if (outcome !== 'acquired') await this.revoke(lease.data);
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
      const write = await this.write([
        ...(owned ? [] : [{
          key: AUTHORITY_KEY, expected: 0, value: JSON.stringify({ attempt, holder }), leaseId,
        }]),
        { key: TERM_KEY, expected: seen.termVersion, value: JSON.stringify({ attempt, term }) },
      ]);
      if (write === 'unavailable') return 'unavailable';
      // The read settles a lost answer and a term that another candidate took in between.
      const next = await this.read();
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
    const { clock, random, keyValue } = this.options;
    const { held } = this;
    if (held === null) return;
    let delayMs = this.leaseMs / 3;
    const ended = AbortSignal.any([signal, held.signal]);
    while (!ended.aborted) {
      const remainingMs = held.validUntil - clock.monotonic();
      if (remainingMs <= 0) {
        this.standDown('not renewed in time');
        await this.revoke(held.leaseId);
        return;
      }
      await sleep(clock, Math.min(delayMs, remainingMs), ended);
      const sentAt = clock.monotonic();
      if (ended.aborted || sentAt >= held.validUntil) continue;
      this.calls += 1;
      const renewed = await keyValue.leaseRenew(held.leaseId, this.callOptions());
      if (renewed.success) {
        held.validUntil = sentAt + this.validMs();
        delayMs = this.leaseMs / 3;
      } else if (renewed.error.code === KeyValueErrorCode.LeaseNotFound) {
        if (this.held === held) this.standDown('lease expired');
      } else {
        delayMs = (this.leaseMs / 12) * (0.5 + random.float());
      }
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

  private async revoke(leaseId: string): Promise<void> {
    this.calls += 1;
    await this.options.keyValue.leaseRevoke(leaseId, this.callOptions());
  }

  private async read(): Promise<Seen | null> {
    this.calls += 1;
    const result = await this.options.keyValue.range(AUTHORITY_KEY, this.callOptions());
    if (!result.success) return null;
    const authority = result.data.find(({ key }) => key === AUTHORITY_KEY);
    const term = result.data.find(({ key }) => key === TERM_KEY);
    return {
      authority: decode(recordSchema, authority),
      held: authority !== undefined,
      term: decode(termSchema, term),
      termVersion: term?.version ?? 0,
    };
  }

  private async write(operations: readonly CasOperation[]): Promise<'sent' | 'unavailable'> {
    this.calls += 1;
    const result = await this.options.keyValue.transact(operations, this.callOptions());
    if (result.success || result.error.code === KeyValueErrorCode.OutcomeUnknown) return 'sent';
    return 'unavailable';
  }

  private callOptions(): CallOptions {
    return { timeoutMs: this.leaseMs / 3 };
  }

  private validMs(): number {
    return this.leaseMs * (1 - (this.options.marginShare ?? 0.2));
  }

  /** Jittered wait; doubles with failures up to one lease, so that candidates return spread out after an outage. */
  private waitMs(failures: number): number {
    const spreadMs = Math.min(this.leaseMs, (this.leaseMs / 3) * 2 ** Math.max(0, failures - 1));
    return spreadMs * (0.5 + 0.5 * this.options.random.float());
  }

  private notify(): void {
    for (const listener of [...this.listeners]) listener();
  }
}
