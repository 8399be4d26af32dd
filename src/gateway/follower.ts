import type {
  CallOptions, Clock, KeyValueEntry, KeyValueError, Log, Random, WatchEvent,
} from '../core/edges/index.js';
import type { Result } from '../core/result.js';
import { sleep } from '../core/time.js';
import type { StoreContact } from './contact.js';

/** All keys below a prefix, and the store's revision at which following changes begin. */
export interface KeySnapshot {
  readonly entries: readonly KeyValueEntry[];
  readonly revision: number;
}

/** Changes after a revision, in order, and the revision after which the next ones come. */
export interface KeyChanges {
  readonly events: readonly WatchEvent[];
  readonly revision: number;
}

/** Why changes can't be had: the history is gone, or the call failed. */
export type KeyChangesError = { readonly code: 'history_lost' } | KeyValueError;

/** Store whose keys can be followed. */
export interface KeySource {
  snapshot(prefix: string, opts: CallOptions): Promise<Result<KeySnapshot, KeyValueError>>;
  /** Waits up to `waitMs` for changes after `revision`; no events after that time. */
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
  /** Longest wait of one call; a silent connection is noticed soon after it. */
  readonly waitMs: number;
  /** Shortest time between two calls, which bounds their rate where keys change all the time. */
  readonly periodMs: number;
}

/** Receives what a {@link KeyFollower} reads. */
export interface KeyListener {
  replaced(entries: readonly KeyValueEntry[], revision: number): void;
  changed(events: readonly WatchEvent[], revision: number): void;
}

/** Time in ms that a call may take beyond its wait. */
const CALL_TIMEOUT_MS = 900;

/** Mean time in ms from a failed call to the first try to reach the store again, and between two tries. */
const FIRST_RETRY_MS = 80;

const RETRY_MS = 300;

/** Edges of {@link KeyFollower}. */
export interface KeyFollowerEdges {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly contact: StoreContact;
}

/** Follows the keys below a prefix: a snapshot first, then changes, and a snapshot again where history is missing. */
export class KeyFollower {
  private answeredAt: number;

  private lost = false;

  private revision: number | null = null;

  public constructor(
    private readonly source: KeySource,
    private readonly edges: KeyFollowerEdges,
    private readonly listener: KeyListener,
    private readonly opts: KeyFollowerOptions,
  ) {
    this.answeredAt = edges.clock.monotonic();
  }

  /** Time in ms since the store answered last. */
  public ageMs(): number {
    return this.edges.clock.monotonic() - this.answeredAt;
  }

  /** Whether the last call failed. */
  public get isLost(): boolean {
    return this.lost;
  }

  public get synchronized(): boolean {
    return this.revision !== null;
  }

  public async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.edges;
    while (!signal.aborted) {
      const startedAt = clock.monotonic();
      if (!await this.step(startedAt, signal)) await this.regain(signal);
      const restMs = this.opts.periodMs - (clock.monotonic() - startedAt);
      if (restMs > 0) await sleep(clock, restMs, signal);
    }
  }

  /** Tries until the store answers; no try waits for the one before, whose connection may stay silent for good. */
  private async regain(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.edges;
    const answered = new AbortController();
    const ended = AbortSignal.any([signal, answered.signal]);
    let meanMs = FIRST_RETRY_MS;
    while (!ended.aborted) {
      await sleep(clock, meanMs * (0.5 + random.float()), ended);
      meanMs = RETRY_MS;
      if (ended.aborted) return;
      void this.reaches(ended).then((reached) => {
        if (reached) answered.abort();
      });
    }
  }

  private async reaches(signal: AbortSignal): Promise<boolean> {
    const opts = { timeoutMs: CALL_TIMEOUT_MS, signal };
    if (this.revision === null) return (await this.source.snapshot(this.opts.prefix, opts)).success;
    const changes = await this.source.changes(this.opts.prefix, this.revision, 0, opts);
    return changes.success || changes.error.code === 'history_lost';
  }

  private async step(startedAt: number, signal: AbortSignal): Promise<boolean> {
    const { prefix, waitMs } = this.opts;
    if (this.revision === null) {
      const snapshot = await this.source.snapshot(prefix, { timeoutMs: CALL_TIMEOUT_MS, signal });
      if (!snapshot.success) return this.failed(snapshot.error.code);
      this.answered(startedAt);
      this.revision = snapshot.data.revision;
      this.listener.replaced(snapshot.data.entries, snapshot.data.revision);
      return true;
    }
    const timeoutMs = waitMs + CALL_TIMEOUT_MS;
    const changes = await this.source.changes(prefix, this.revision, waitMs, { timeoutMs, signal });
    if (!changes.success) {
      if (changes.error.code === 'history_lost') {
        this.edges.log.info('history_lost', { prefix, revision: this.revision });
        this.answered(startedAt);
        this.revision = null;
        return true;
      }
      return this.failed(changes.error.code);
    }
    this.answered(startedAt);
    // A store that lost its memory of revisions would otherwise stop the flow of changes for good.
    if (changes.data.revision < this.revision) this.revision = null;
    else {
      this.revision = changes.data.revision;
      if (changes.data.events.length > 0) this.listener.changed(changes.data.events, changes.data.revision);
    }
    return true;
  }

  private failed(code: string): boolean {
    if (!this.lost) this.edges.log.warn('store_lost', { prefix: this.opts.prefix, code, revision: this.revision });
    this.lost = true;
    return false;
  }

  private answered(startedAt: number): void {
    const ageMs = this.ageMs();
    this.answeredAt = this.edges.clock.monotonic();
    this.edges.contact.answered(startedAt);
    if (this.lost) this.edges.log.info('store_regained', { prefix: this.opts.prefix, away_ms: Math.round(ageMs) });
    this.lost = false;
  }
}
