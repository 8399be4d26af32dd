import { ADDRESS_TTL_MS } from './addresses.js';
import type { Clock, Disposable, Log } from '../interfaces/index.js';
import type { Members } from './members.js';
import { sleep, withTimeout } from '../time.js';

/** Result of a planned stop. */
export interface DrainReport {
  /** Requests that finished during the stop. */
  readonly finished: number;
  /** Streams ended at the handover time with an event id from which the caller can resume elsewhere. */
  readonly handedOver: number;
  /** Requests that were still running when the entry stopped. */
  readonly cut: number;
  readonly durationMs: number;
}

/** Request that is running in this entry. */
export interface RunningRequest {
  /** Ends a stream with an event id to resume from; `null` for requests that cannot be continued elsewhere. */
  readonly handOver: (() => Promise<boolean>) | null;
  /** Monotonic time in ms by which the request ends even if it is not handed over. */
  readonly deadline: number;
}

/** Options of {@link Draining}; defaults in brackets. */
export interface DrainingOptions {
  /** Time in ms for which callers cache an address answer [5 s]. */
  readonly addressTtlMs?: number;
  /** Time in ms from the start of the stop after which running streams are handed over [30 s]. */
  readonly handoverAfterMs?: number;
  /** Extra time in ms after its deadline for a request that cannot be handed over [1 s]. */
  readonly graceMs?: number;
}

/** Functions of the membership that a planned stop uses. */
export interface LeavingMembers extends Members {
  /** Time in ms within which a change reaches all members. */
  spreadMs(): number;
  /** Notifies other members that this process ends. */
  depart(): Promise<void>;
}

const HANDOVER_AFTER_MS = 30_000;
const GRACE_MS = 1_000;
const IDLE_CHECK_MS = 20;
const HANDOVER_TIMEOUT_MS = 2_000;

/** Tracks the running requests of one entry and performs its planned stop, in which they finish or are handed over. */
export class Draining {
  private readonly running = new Set<RunningRequest>();

  private stopping: Promise<DrainReport> | null = null;

  private isRefusing = false;

  private finishedCount = 0;

  public constructor(
    private readonly members: LeavingMembers,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly opts: DrainingOptions = {},
  ) {}

  /** False once no caller can have this entry's address cached any more; new requests are refused from then on. */
  public get isAccepting(): boolean {
    return !this.isRefusing;
  }

  /** Tracks a request until the returned handle is disposed; `null` if it must be refused with `draining`. */
  public trackRequest(request: RunningRequest): Disposable | null {
    if (this.isRefusing) return null;
    this.running.add(request);
    return {
      dispose: () => {
        if (this.running.delete(request)) this.finishedCount += 1;
      },
    };
  }

  /**
   * Performs the planned stop; further calls return the same report. The leaving flag is gossiped, and new requests are
   * served until every address answer that names this entry has expired. Then running requests may finish; streams that
   * still run at the handover time are handed over. `completePending` is awaited before the end, for example for the
   * outcomes of bookings.
   */
  public drain(completePending: () => Promise<void> = async () => {}): Promise<DrainReport> {
    this.stopping ??= this.performDrain(completePending);
    return this.stopping;
  }

  private async performDrain(completePending: () => Promise<void>): Promise<DrainReport> {
    const startedAt = this.clock.monotonic();
    const finishedBefore = this.finishedCount;
    const handoverAt = startedAt + (this.opts.handoverAfterMs ?? HANDOVER_AFTER_MS);
    this.members.update({ leaving: true });
    // The entry that receives the leaving flag last may have given out this entry's address just before.
    await sleep(this.clock, this.members.spreadMs() + (this.opts.addressTtlMs ?? ADDRESS_TTL_MS));
    this.isRefusing = true;
    await this.waitUntilIdle(handoverAt);
    const handedOver = await this.handOver();
    const longest = Math.max(...[...this.running].map(({ deadline }) => deadline), 0);
    // A request with an unreasonably late deadline must not keep the process running forever.
    const latest = handoverAt + (this.opts.handoverAfterMs ?? HANDOVER_AFTER_MS);
    await this.waitUntilIdle(Math.min(longest + (this.opts.graceMs ?? GRACE_MS), latest));
    const cut = this.running.size;
    await completePending();
    await this.members.depart();
    const report: DrainReport = {
      finished: this.finishedCount - finishedBefore, handedOver, cut, durationMs: this.clock.monotonic() - startedAt,
    };
    this.log.info('drained', { ...report });
    return report;
  }

  private async waitUntilIdle(time: number): Promise<void> {
    while (this.running.size > 0 && this.clock.monotonic() < time) await sleep(this.clock, IDLE_CHECK_MS);
  }

  private async handOver(): Promise<number> {
    const results = await Promise.all([...this.running].map(async (request) => {
      if (request.handOver === null) return false;
      if (await withTimeout(this.clock, HANDOVER_TIMEOUT_MS, request.handOver()) !== true) return false;
      this.running.delete(request);
      return true;
    }));
    return results.filter(Boolean).length;
  }
}
