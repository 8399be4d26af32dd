import type { Clock, Disposable, Log } from '../core/interfaces/index.js';
import { ConnectionPool } from './connections.js';
import { EngineTimes } from './engineestimates.js';
import type { Occupancy, OpenCalls } from './occupancy.js';
import { isProven, OpenRuns } from './openruns.js';
import type { PromptObserver, Run, RunsListener } from './openruns.js';
import type { ServerPauses } from './pauses.js';
import { describeParts } from './placement.js';
import type { Candidate } from './placement.js';
import type { ServerRecord, ServerRegistry } from './serverregistry.js';

/** Time in ms for which a server is avoided after it could not be reached or did not answer. */
const AVOID_UNREACHABLE_MS = 1_200;

/** Number of consecutive failures after which a server is avoided. */
const MIN_CONSECUTIVE_FAILURES = 2;

/** Time in ms for which it is avoided at first; each further failure doubles it, up to {@link MAX_AVOID_MS}. */
const INITIAL_AVOID_MS = 100;

const MAX_AVOID_MS = 1_600;

/** Time in ms between two checks for answers whose head does not end. */
const ENDLESS_HEAD_CHECK_MS = 100;

/** Largest number of runs in one log line. */
const MAX_LOGGED_RUNS = 20;

/** Called when avoidance begins, with the number of consecutive failures and its duration in ms. */
export type AvoidedListener = (consecutiveFailures: number, forMs: number) => void;

/** Backoff of one operation at a backend server: consecutive failures decide for how long it is avoided. */
export class AvoidanceTracker {
  private consecutiveFailures = 0;

  private avoidUntil = -Infinity;

  public constructor(private readonly clock: Clock, private readonly onAvoided: AvoidedListener) {}

  /** Whether there were so many consecutive failures that further ones are likely. */
  public get isFailing(): boolean {
    return this.consecutiveFailures >= MIN_CONSECUTIVE_FAILURES;
  }

  /** Whether the operation should not be tried now. */
  public get isAvoided(): boolean {
    return this.isFailing && this.clock.monotonic() < this.avoidUntil;
  }

  public succeeded(): void {
    this.consecutiveFailures = 0;
  }

  public failed(): void {
    const { isAvoided } = this;
    this.consecutiveFailures += 1;
    this.extendAvoidance(isAvoided, Math.min(
      MAX_AVOID_MS,
      INITIAL_AVOID_MS * 2 ** Math.max(0, this.consecutiveFailures - MIN_CONSECUTIVE_FAILURES),
    ));
  }

  /** Begins avoidance at once, for longer than after a first failure, because there was no answer. */
  public becameUnreachable(): void {
    const { isAvoided } = this;
    this.consecutiveFailures = Math.max(MIN_CONSECUTIVE_FAILURES, this.consecutiveFailures + 1);
    this.extendAvoidance(isAvoided, AVOID_UNREACHABLE_MS);
  }

  private extendAvoidance(wasAvoided: boolean, forMs: number): void {
    this.avoidUntil = Math.max(this.avoidUntil, this.clock.monotonic() + forMs);
    // Calls that were in flight when avoidance began may fail too; the listener is not called again for them.
    if (!wasAvoided && this.isAvoided) this.onAvoided(this.consecutiveFailures, forMs);
  }
}

/** One incarnation of a backend server: the connections of this process to it, and its recent failures. */
export class BackendServer {
  /** Monotonic time in ms of the last answer of any kind; `-Infinity` where there was none. */
  public answeredAt = -Infinity;

  /** Times of this engine; unused at a plain service. */
  public readonly times = new EngineTimes();

  /** Calls of this process that the server works on. */
  public readonly runs: OpenRuns;

  /** Failures of calls to continue at another engine from a prefill of this one. */
  public readonly handovers: AvoidanceTracker;

  /** Failures of calls to this server. */
  private readonly calls: AvoidanceTracker;

  /** Number of open calls that test whether a server that was avoided takes work again. */
  private probes = 0;

  public constructor(
    public readonly pool: ConnectionPool,
    private readonly clock: Clock,
    onAvoided: (what: 'calls' | 'handovers', ...details: Parameters<AvoidedListener>) => void = () => {},
    runsListener: RunsListener = { proven: () => {}, ended: () => {} },
  ) {
    this.runs = new OpenRuns(clock, pool, runsListener);
    this.calls = new AvoidanceTracker(clock, (...details) => onAvoided('calls', ...details));
    this.handovers = new AvoidanceTracker(clock, (...details) => onAvoided('handovers', ...details));
  }

  /** Whether the server should get no work now. Once the avoidance ends, it gets one call at a time as a probe. */
  public get suspect(): boolean {
    return this.calls.isAvoided || (this.calls.isFailing && this.probes > 0);
  }

  /** Counts a call as a probe while the server is failing, until the returned handle is disposed. */
  public countProbe(): Disposable {
    if (!this.calls.isFailing) return { dispose: () => {} };
    this.probes += 1;
    return {
      dispose: () => {
        this.probes -= 1;
      },
    };
  }

  /** Records an answer. */
  public succeeded(): void {
    this.answeredAt = this.clock.monotonic();
    this.calls.succeeded();
  }

  /** Records that the server asks for a pause, which is no failure. */
  public askedForPause(): void {
    this.answeredAt = this.clock.monotonic();
  }

  /** Records a refusal, or an answer that broke off. */
  public refused(): void {
    this.answeredAt = this.clock.monotonic();
    this.calls.failed();
  }

  /** Records that the server could not be reached or did not answer. */
  public wasUnreachable(): void {
    this.calls.becameUnreachable();
  }
}

/** Connections and recent failures of this process at each registered backend server. */
export class BackendFleet implements Disposable {
  private readonly serversById = new Map<string, { readonly bornAt: number; readonly server: BackendServer }>();

  private readonly subscription: Disposable;

  private timer: Disposable | null = null;

  public constructor(
    private readonly registry: ServerRegistry,
    private readonly occupancy: Occupancy,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly prompts: PromptObserver,
    public readonly pauses: Pick<ServerPauses, 'size' | 'endsAt' | 'onEnd'>,
  ) {
    this.subscription = registry.onChange((id) => this.closeReplaced(id));
    this.checkEndlessHeads();
  }

  /**
   * Servers of a service that do not leave, also those that have asked for a pause. `open` counts the open calls of one
   * and `limit` is how many it may have.
   */
  public candidates(
    service: string,
    open: (calls: OpenCalls) => number,
    limit: (record: ServerRecord) => number,
  ): readonly Candidate[] {
    return this.registry.available(service).map((record) => ({
      record,
      open: open(this.occupancy.total(record.id)),
      limit: limit(record),
      suspect: this.serverFor(record).suspect,
      pausedUntil: this.pauses.endsAt(record),
    }));
  }

  /** Connections and failures of the incarnation in a record; those of an earlier incarnation are disposed. */
  public serverFor(record: ServerRecord): BackendServer {
    const known = this.serversById.get(record.id);
    if (known?.bornAt === record.bornAt) return known.server;
    known?.server.pool.dispose();
    const server = new BackendServer(new ConnectionPool(record.address), this.clock, (what, failures, forMs) => {
      this.log.warn('server_avoided', {
        server: record.id, service: record.service, what, failures, for_ms: forMs,
      });
    }, {
      proven: (run) => this.prompts.recordProof(record, run),
      ended: (runs) => this.ended(record, runs),
    });
    this.serversById.set(record.id, { bornAt: record.bornAt, server });
    return server;
  }

  /** Whether an incarnation takes requests now: it does not leave and has not asked for a pause. */
  public takesRequests(record: ServerRecord): boolean {
    return !this.registry.isLeaving(record) && this.pauses.endsAt(record) === null;
  }

  /** Record of the server that is registered under an id, or `null`. */
  public record(id: string): ServerRecord | null {
    return this.registry.get(id);
  }

  /** Store revision at which a server's record was read, or `null` for an unknown server. */
  public revision(id: string): number | null {
    return this.registry.revision(id);
  }

  /** Records of all servers with their state in this process. */
  public dump(): readonly Record<string, unknown>[] {
    return this.registry.all().map((record) => {
      const server = this.serverFor(record);
      const pausedUntil = this.pauses.endsAt(record);
      return {
        ...record,
        leaving: this.registry.isLeaving(record),
        revision: this.registry.revision(record.id),
        open: this.occupancy.total(record.id),
        connections: server.pool.size,
        suspect: server.suspect,
        paused_ms: pausedUntil === null ? null : Math.round(pausedUntil - this.clock.monotonic()),
      };
    });
  }

  public dispose(): void {
    this.subscription.dispose();
    this.timer?.dispose();
    for (const { server } of this.serversById.values()) server.pool.dispose();
    this.serversById.clear();
  }

  private ended(record: ServerRecord, runs: readonly Run[]): void {
    const current = this.registry.get(record.id);
    const isPlanned = current === null || this.registry.isLeaving(current) || current.bornAt !== record.bornAt;
    const unproven = runs.filter((run) => !isProven(run));
    this.log.warn('server_ended', {
      server: record.id,
      service: record.service,
      born: record.bornAt,
      planned: isPlanned,
      proven: runs.length - unproven.length,
      unproven: unproven.slice(0, MAX_LOGGED_RUNS).map(({ request, parts }) => `${request ?? ''}:${describeParts(parts, ',')}`)
        .join(' '),
    });
    if (!isPlanned) this.prompts.recordEnd(record, runs);
  }

  private checkEndlessHeads(): void {
    for (const { server } of this.serversById.values()) server.pool.abortEndlessHeads();
    this.timer = this.clock.after(ENDLESS_HEAD_CHECK_MS, () => this.checkEndlessHeads());
  }

  /** Disposes the connections to an incarnation that is no longer registered. */
  private closeReplaced(id: string): void {
    const record = this.registry.get(id);
    const known = this.serversById.get(id);
    if (known === undefined) return;
    if (record?.bornAt === known.bornAt) return;
    known.server.pool.dispose();
    this.serversById.delete(id);
  }
}
