import { ADDRESS_KEEP_MS } from './addresses.js';
import type { Clock, Disposable, Log } from '../edges/index.js';
import type { Members } from './members.js';
import { sleep, within } from '../time.js';

/** Result of a planned stop. */
export interface DrainReport {
  readonly finished: number;
  /** Streams that ended at the bound with a resumable event id. */
  readonly handedOver: number;
  readonly cut: number;
  readonly durationMs: number;
}

/** Request that runs in this entry. */
export interface RunningRequest {
  /** Ends a stream with a resumable event id; `null` for requests that cannot be continued elsewhere. */
  readonly handOver: (() => Promise<boolean>) | null;
  /** Monotonic time in ms by which a request that cannot be handed over ends by itself. */
  readonly deadline: number;
}

/** Options of {@link Draining}; defaults in brackets. */
export interface DrainingOptions {
  /** Time for which callers keep an address answer [5 s]. */
  readonly keepMs?: number;
  /** Time after which running streams are handed over [30 s]. */
  readonly boundMs?: number;
  /** Time after its deadline for which a request that cannot be handed over may still end [1 s]. */
  readonly graceMs?: number;
}

/** What the planned stop needs of the membership. */
export interface LeavingMembers extends Members {
  /** Time in ms within which a change reaches all members. */
  spreadMs(): number;
  /** Tells the others that this process ends. */
  depart(): Promise<void>;
}

const DRAIN_BOUND_MS = 30_000;
const GRACE_MS = 1_000;
const CHECK_MS = 20;
const HAND_OVER_TIMEOUT_MS = 2_000;

/** Requests of one entry, and its planned stop, which cuts none of them. */
export class Draining {
  private readonly running = new Set<RunningRequest>();

  private stopping: Promise<DrainReport> | null = null;

  private refusing = false;

  private finished = 0;

  public constructor(
    private readonly members: LeavingMembers,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly opts: DrainingOptions = {},
  ) {}

  /** False once callers can no longer hold this entry's address; new requests are refused from then on. */
  public get accepting(): boolean {
    return !this.refusing;
  }

  /** Counts a request until the handle is disposed; `null` if it must be refused with `draining`. */
  public begin(request: RunningRequest): Disposable | null {
    if (this.refusing) return null;
    this.running.add(request);
    return {
      dispose: () => {
        if (this.running.delete(request)) this.finished += 1;
      },
    };
  }

  /**
   * Planned stop. The leaving flag is spread; new requests are served until every address answer that names this
   * entry has expired; then running requests finish, or streams are handed over at the bound. `settled` is awaited
   * before the end, for example the outcomes of bookings.
   */
  public drain(settled: () => Promise<void> = async () => {}): Promise<DrainReport> {
    this.stopping ??= this.perform(settled);
    return this.stopping;
  }

  private async perform(settled: () => Promise<void>): Promise<DrainReport> {
    const startedAt = this.clock.monotonic();
    const finishedBefore = this.finished;
    const boundAt = startedAt + (this.opts.boundMs ?? DRAIN_BOUND_MS);
    this.members.update({ leaving: true });
    // An entry that learns of the leaving last may have named this one just before.
    await sleep(this.clock, this.members.spreadMs() + (this.opts.keepMs ?? ADDRESS_KEEP_MS));
    this.refusing = true;
    await this.idleUntil(boundAt);
    const handedOver = await this.handOver();
    const longest = Math.max(...[...this.running].map(({ deadline }) => deadline), 0);
    // A request without a sound deadline must not keep the process for ever.
    const latest = boundAt + (this.opts.boundMs ?? DRAIN_BOUND_MS);
    await this.idleUntil(Math.min(longest + (this.opts.graceMs ?? GRACE_MS), latest));
    const cut = this.running.size;
    await settled();
    await this.members.depart();
    const report: DrainReport = {
      finished: this.finished - finishedBefore, handedOver, cut, durationMs: this.clock.monotonic() - startedAt,
    };
    this.log.info('drained', { ...report });
    return report;
  }

  private async idleUntil(time: number): Promise<void> {
    while (this.running.size > 0 && this.clock.monotonic() < time) await sleep(this.clock, CHECK_MS);
  }

  private async handOver(): Promise<number> {
    const results = await Promise.all([...this.running].map(async (request) => {
      if (request.handOver === null) return false;
      if (await within(this.clock, HAND_OVER_TIMEOUT_MS, request.handOver()) !== true) return false;
      this.running.delete(request);
      return true;
    }));
    return results.filter(Boolean).length;
  }
}
