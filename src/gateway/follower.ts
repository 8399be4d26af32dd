import type {
  CallOptions, Clock, KeyValueEntry, KeyValueError, Log, Random, WatchEvent,
} from '../core/interfaces/index.js';
import type { Result } from '../core/result.js';
import { sleep } from '../core/time.js';
import type { ContactSpan, StoreContact } from './contact.js';

/** When the store answered the gateway that passed an answer on; absent where the store answered this one. */
export interface StoreEvidence {
  /** Age of the answer in ms. */
  readonly ageMs: number;
  /** Period over which the store is known to have answered. */
  readonly contact: ContactSpan;
}

/** All keys under a prefix, and the store revision after which changes are to be read. */
export interface KeySnapshot {
  readonly entries: readonly KeyValueEntry[];
  readonly revision: number;
  readonly evidence?: StoreEvidence;
}

/** Changes after a revision, in order, and the revision after which the next changes are to be read. */
export interface KeyChanges {
  readonly events: readonly WatchEvent[];
  readonly revision: number;
  readonly evidence?: StoreEvidence;
}

/** Why changes can't be read: the store no longer has them, or the call failed. */
export type KeyChangesError =
  /** `relayed` states that another gateway, and not the store, no longer has them. */
  | { readonly code: 'history_lost'; readonly relayed?: boolean }
  | KeyValueError;

/** Store from which snapshots and changes of keys can be read. */
export interface KeySource {
  /** Reads all keys under a prefix. */
  snapshot(prefix: string, opts: CallOptions): Promise<Result<KeySnapshot, KeyValueError>>;
  /** Reads changes after `revision`. Waits up to `waitMs` for a change, and resolves without events after that time. */
  changes(
    prefix: string,
    revision: number,
    waitMs: number,
    opts: CallOptions,
  ): Promise<Result<KeyChanges, KeyChangesError>>;
}

/** Options of {@link KeyFollower}; times in ms. */
export interface KeyFollowerOptions {
  readonly prefix: string;
  /** Longest wait of one call for changes. A connection without answers is detected soon after it. */
  readonly waitMs: number;
  /** Shortest time between two calls, which limits their rate where keys change all the time. */
  readonly periodMs: number;
}

/** Receives what a {@link KeyFollower} reads. */
export interface KeyListener {
  /** All keys were read; they replace the previous ones. */
  replaced(entries: readonly KeyValueEntry[], revision: number): void;
  /** Changes were read. */
  changed(events: readonly WatchEvent[], revision: number): void;
}

/** Time in ms that a call may take in addition to its wait. */
const CALL_TIMEOUT_MS = 900;

/** Mean time in ms from a failed call to the first attempt to reach the store again. */
const FIRST_RETRY_MS = 80;

/** Mean time in ms between two further attempts. */
const RETRY_MS = 300;

/** Dependencies of {@link KeyFollower}. */
export interface KeyFollowerDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly contact: StoreContact;
}

/** Follows the keys under a prefix: reads a snapshot, then changes, and a snapshot again after changes were lost. */
export class KeyFollower {
  private answeredAt: number;

  private lastCallFailed = false;

  private revision: number | null = null;

  public constructor(
    private readonly source: KeySource,
    private readonly deps: KeyFollowerDependencies,
    private readonly listener: KeyListener,
    private readonly opts: KeyFollowerOptions,
  ) {
    this.answeredAt = deps.clock.monotonic();
  }

  /** Time in ms since the last answer of the store. */
  public ageMs(): number {
    return this.deps.clock.monotonic() - this.answeredAt;
  }

  /** Whether the last call failed. */
  public get hasFailed(): boolean {
    return this.lastCallFailed;
  }

  /** Whether a snapshot has been read and no changes are missing. */
  public get isSynchronized(): boolean {
    return this.revision !== null;
  }

  /** Follows the keys until `signal` aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.deps;
    while (!signal.aborted) {
      const startedAt = clock.monotonic();
      if (!await this.readOnce(startedAt, signal)) await this.waitUntilReachable(signal);
      const remainingMs = this.opts.periodMs - (clock.monotonic() - startedAt);
      if (remainingMs > 0) await sleep(clock, remainingMs, signal);
    }
  }

  /** Tries until the store answers. No attempt waits for the previous one, whose connection may never answer. */
  private async waitUntilReachable(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.deps;
    const answered = new AbortController();
    const stopped = AbortSignal.any([signal, answered.signal]);
    let meanMs = FIRST_RETRY_MS;
    while (!stopped.aborted) {
      await sleep(clock, meanMs * (0.5 + random.float()), stopped);
      meanMs = RETRY_MS;
      if (stopped.aborted) return;
      void this.canReachStore(stopped).then((reached) => {
        if (reached) answered.abort();
      });
    }
  }

  private async canReachStore(signal: AbortSignal): Promise<boolean> {
    const opts = { timeoutMs: CALL_TIMEOUT_MS, signal };
    if (this.revision === null) return (await this.source.snapshot(this.opts.prefix, opts)).success;
    const changes = await this.source.changes(this.opts.prefix, this.revision, 0, opts);
    return changes.success || changes.error.code === 'history_lost';
  }

  /** Reads a snapshot or the next changes; false where the call failed. */
  private async readOnce(startedAt: number, signal: AbortSignal): Promise<boolean> {
    const { prefix, waitMs } = this.opts;
    if (this.revision === null) {
      const snapshot = await this.source.snapshot(prefix, { timeoutMs: CALL_TIMEOUT_MS, signal });
      if (!snapshot.success) return this.recordFailure(snapshot.error.code);
      this.recordAnswer(startedAt, snapshot.data.evidence);
      this.revision = snapshot.data.revision;
      this.listener.replaced(snapshot.data.entries, snapshot.data.revision);
      return true;
    }
    const timeoutMs = waitMs + CALL_TIMEOUT_MS;
    const changes = await this.source.changes(prefix, this.revision, waitMs, { timeoutMs, signal });
    if (!changes.success) {
      if (changes.error.code === 'history_lost') {
        this.deps.log.info('history_lost', { prefix, revision: this.revision });
        if (changes.error.relayed !== true) this.recordAnswer(startedAt);
        this.revision = null;
        return true;
      }
      return this.recordFailure(changes.error.code);
    }
    this.recordAnswer(startedAt, changes.data.evidence);
    // A store that lost its history answers with lower revisions, and would otherwise never report changes again.
    if (changes.data.revision < this.revision) this.revision = null;
    else {
      this.revision = changes.data.revision;
      if (changes.data.events.length > 0) this.listener.changed(changes.data.events, changes.data.revision);
    }
    return true;
  }

  private recordFailure(code: string): boolean {
    if (!this.lastCallFailed) this.deps.log.warn('store_lost', { prefix: this.opts.prefix, code, revision: this.revision });
    this.lastCallFailed = true;
    return false;
  }

  private recordAnswer(startedAt: number, evidence?: StoreEvidence): void {
    const ageMs = this.ageMs();
    const now = this.deps.clock.monotonic();
    if (evidence === undefined) {
      this.answeredAt = now;
      this.deps.contact.answered(startedAt);
    } else {
      this.answeredAt = Math.max(this.answeredAt, now - evidence.ageMs);
      this.deps.contact.add(evidence.contact);
    }
    if (this.lastCallFailed) this.deps.log.info('store_regained', { prefix: this.opts.prefix, away_ms: Math.round(ageMs) });
    this.lastCallFailed = false;
  }
}
