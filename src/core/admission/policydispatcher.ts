import { AdmissionQueue } from './queue.js';
import type { QueuedRequest } from './queue.js';
import type {
  EngineDirectory, Placement, AdmissionRefusal, WorkItem, QuickBounds,
} from '../serving/index.js';
import type { DispatchHandle, DispatchListener, Dispatcher } from './dispatch.js';
import type { Clock, Disposable, Random } from '../interfaces/index.js';
import { Estimates } from './estimates.js';
import { LanePlan } from './lanes.js';
import type { EntryPosition } from './lanes.js';
import { EngineLimits, SERVICE_TARGET, LATE_SAMPLE_TOLERANCE } from './limits.js';
import type { Reservation, RoomOptions, ServiceTarget } from './limits.js';
import { AttemptOutcome, isQuickWork } from '../serving/index.js';
import type { Router, RouterOptions } from '../routing/index.js';
import { WorkspaceShares } from './shares.js';

/** Options of {@link PolicyDispatcher}. */
export interface PolicyDispatcherOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly directory: EngineDirectory;
  /** Creates the router, which calls `hasRoom` to apply this dispatcher's limits. */
  readonly createRouter: (hasRoom: RouterOptions['hasRoom']) => Router;
  /** Number of waiting requests beyond which new ones are refused. */
  readonly maxQueued: number;
  /** {@link SERVICE_TARGET} by default. */
  readonly target?: ServiceTarget;
  /** Largest share of late samples at which the limits are not reduced; {@link LATE_SAMPLE_TOLERANCE} by default. */
  readonly tolerance?: number;
  /** False lets every mixed engine serve all lanes. */
  readonly separateLanes?: boolean;
  /** False lets urgent and brief requests share the engines of other short prompts. */
  readonly separateQuick?: boolean;
  /** Position of this entry among all entries according to membership. */
  readonly entryPosition?: () => EntryPosition;
}

interface Request extends QueuedRequest {
  readonly listener: DispatchListener;
  placement: Placement | null;
  reservation: Reservation | null;
  placedAt: number;
  /** Output tokens so far. */
  produced: number;
  /** Start of the window over which the time between tokens is averaged; monotonic, in ms. */
  windowStart: number;
  /** Output tokens before the window. */
  windowProduced: number;
  isFinished: boolean;
  /** Monotonic time in ms since which the request's lane has been idle while the request waits. */
  idleSince: number | null;
}

/** Prompt tokens that take an engine about as much time as one output token. */
const OUTPUT_TOKEN_COST = 16;
/** Longest prompt and answer, in tokens, of work in the quick lane that is not urgent. */
const QUICK_LANE_BOUNDS: QuickBounds = { promptTokens: 500, outputTokens: 16 };
/** Time in ms for which a request must find no engine, with its lane idle, before it may use other lanes. */
const STALL_MS = 150;
const EXPIRY_PERIOD_MS = 25;
const REBALANCE_PERIOD_MS = 500;
const LANE_TIME_CONSTANT_MS = 30_000;
/** Number of tokens over which the time between tokens of a running answer is averaged. */
const TOKEN_WINDOW = 48;
const NO_ENGINE_RETRY_AFTER_MS = 1_000;

/** Dispatcher with bounded fair queueing, adaptive limits per engine and separate lanes. */
export class PolicyDispatcher implements Dispatcher {
  /** Estimates of output lengths and service times, learned from completed requests. */
  public readonly estimates = new Estimates();

  /** Limits on the work in flight at each engine. */
  public readonly limits: EngineLimits;

  private readonly lanes: LanePlan;

  private readonly queue: AdmissionQueue<Request>;

  private readonly router: Router;

  private expiryTimer: Disposable | null = null;

  private rebalancedAt: number;

  private isPlacing = false;

  /** Options of the limits for the request whose placement is being chosen. */
  private roomOptions: RoomOptions = {};

  private readonly shares: WorkspaceShares;

  public constructor(private readonly options: PolicyDispatcherOptions) {
    const { clock, directory, random } = options;
    const target = options.target ?? SERVICE_TARGET;
    this.lanes = new LanePlan({
      directory,
      separate: options.separateLanes ?? true,
      ...(options.separateQuick === false ? {} : { isQuick: (item) => this.isQuickLaneWork(item) }),
      ...(options.entryPosition === undefined ? {} : { entryPosition: options.entryPosition }),
    });
    this.limits = new EngineLimits({
      clock, directory, lanes: this.lanes, target, tolerance: options.tolerance ?? LATE_SAMPLE_TOLERANCE,
    });
    this.queue = new AdmissionQueue<Request>({
      clock, random, maxQueued: options.maxQueued, firstTokenTargetMs: target.firstTokenMs,
    });
    this.router = options.createRouter((engine, item) => this.limits.hasRoom(engine, item, this.roomOptions));
    this.shares = new WorkspaceShares(clock);
    this.rebalancedAt = clock.monotonic();
  }

  public submit(item: WorkItem, listener: DispatchListener): DispatchHandle {
    const request = this.createRequest(item, listener);
    const refusal = this.enqueue(request);
    if (refusal === null) this.placeWaiting();
    else {
      request.isFinished = true;
      listener.refused(refusal);
    }
    return this.createHandle(request);
  }

  public placeWaiting(): void {
    // Prevents recursion: a listener may submit or finish another request when it is notified of a placement.
    if (this.isPlacing) return;
    this.isPlacing = true;
    this.queue.placeWaiting((request) => this.place(request));
    this.isPlacing = false;
    if (this.queue.length > 0 && this.expiryTimer === null) {
      this.expiryTimer = this.options.clock.after(EXPIRY_PERIOD_MS, () => this.expireWaiting());
    }
  }

  /** State for the dump; the keys are part of its format. */
  public dump(): Record<string, unknown> {
    return { queued: this.queue.length, lanes: this.lanes.dump(), limits: this.limits.dump() };
  }

  private isQuickLaneWork(item: WorkItem): boolean {
    return isQuickWork(item, QUICK_LANE_BOUNDS, () => this.estimates.outputTokens(item, 0.9));
  }

  private createRequest(item: WorkItem, listener: DispatchListener): Request {
    const now = this.options.clock.monotonic();
    const lane = this.lanes.laneOf(item);
    const prefill = item.promptTokens - (item.importedTokens ?? 0);
    const cost = Math.max(0, prefill) + OUTPUT_TOKEN_COST * this.estimates.outputTokens(item);
    this.lanes.recordArrival(item.model, lane, cost);
    if (now - this.rebalancedAt >= REBALANCE_PERIOD_MS) {
      this.lanes.rebalance(now - this.rebalancedAt, LANE_TIME_CONSTANT_MS);
      this.limits.invalidateEngineCounts();
      this.rebalancedAt = now;
    }
    return {
      item,
      listener,
      group: `${item.model}/${lane}`,
      cost,
      expectedFirstTokenMs: this.estimates.firstTokenMs(Math.max(0, prefill)),
      queuedAt: now,
      aboveShare: this.shares.isAboveShare(item.workspace),
      mustRun: item.continuation === true || (item.importedTokens ?? 0) > 0,
      placement: null,
      reservation: null,
      placedAt: 0,
      produced: 0,
      windowStart: 0,
      windowProduced: 0,
      isFinished: false,
      idleSince: null,
    };
  }

  /** Queues a request and returns `null`, or returns the reason why it is refused. */
  private enqueue(request: Request): AdmissionRefusal | null {
    const serving = this.options.directory.serving(request.item.model);
    if (serving.length === 0 && request.mustRun !== true) return { code: 'no_engine', retryAfterMs: NO_ENGINE_RETRY_AFTER_MS };
    return this.queue.offer(request);
  }

  /** Places a request if the router finds an engine with room for it. */
  private place(request: Request): boolean {
    // Late requests leave as much headroom to others as requests of workspaces above their share do.
    const aboveShare = request.aboveShare === true || request.late === true;
    this.roomOptions = { aboveShare };
    let placement = this.router.choose(request.item);
    // The router may reject all engines of a lane, for example while they are ejected as unhealthy.
    if (placement === null && this.isStalled(request)) {
      this.roomOptions = { aboveShare, anyLane: true };
      placement = this.router.choose(request.item);
    }
    this.roomOptions = {};
    if (placement === null) return false;
    request.placement = placement;
    request.placedAt = this.options.clock.monotonic();
    request.reservation = this.limits.reserve(request.item, placement);
    this.router.started(request.item, placement);
    this.shares.recordUse(request.item.workspace, request.cost);
    request.listener.placed(placement);
    return true;
  }

  /** Tests whether a request has found no engine for {@link STALL_MS} although its lane has been idle. */
  private isStalled(request: Request): boolean {
    const now = this.options.clock.monotonic();
    if (!this.limits.isIdle(request.item)) {
      request.idleSince = null;
      return false;
    }
    request.idleSince ??= now;
    return now - request.idleSince >= STALL_MS;
  }

  private expireWaiting(): void {
    this.expiryTimer = null;
    this.placeWaiting();
    for (const request of this.queue.expire()) {
      request.isFinished = true;
      request.listener.refused(this.queue.refusalOf(request));
    }
    this.placeWaiting();
  }

  private recordFirstToken(request: Request): void {
    if (request.placement === null || request.reservation === null || request.isFinished) return;
    const now = this.options.clock.monotonic();
    const latencyMs = now - request.placedAt;
    request.windowStart = now;
    request.windowProduced = 1;
    request.produced = 1;
    if (request.mustRun !== true) this.estimates.observeFirstToken(request.item.promptTokens, latencyMs);
    this.limits.recordFirstToken(request.reservation, latencyMs);
    this.router.firstToken(request.item, request.placement, latencyMs);
    this.placeWaiting();
  }

  private recordProgress(request: Request, produced: number): void {
    if (request.placement === null || request.isFinished) return;
    request.produced = produced;
    this.router.progress(request.item, request.placement, produced);
    if (produced - request.windowProduced >= TOKEN_WINDOW) this.closeWindow(request);
  }

  /** Records the mean time between tokens since the last window. */
  private closeWindow(request: Request): void {
    const tokens = request.produced - request.windowProduced;
    if (tokens <= 0 || request.reservation === null) return;
    const now = this.options.clock.monotonic();
    const gapMs = (now - request.windowStart) / tokens;
    request.windowStart = now;
    request.windowProduced = request.produced;
    this.estimates.observeTokenTime(gapMs);
    this.limits.recordTokenTime(request.reservation, gapMs);
  }

  private finish(request: Request, outcome: AttemptOutcome): void {
    if (request.placement === null || request.reservation === null || request.isFinished) return;
    if (outcome === AttemptOutcome.Done) {
      this.closeWindow(request);
      if (request.mustRun !== true) this.estimates.observeLength(request.item, request.produced);
    }
    request.isFinished = true;
    this.limits.release(request.reservation);
    this.router.finished(request.item, request.placement, outcome);
    this.placeWaiting();
  }

  private createHandle(request: Request): DispatchHandle {
    return {
      cancel: () => {
        if (request.placement !== null || request.isFinished) return;
        request.isFinished = true;
        this.queue.remove(request);
      },
      reportFirstToken: () => this.recordFirstToken(request),
      reportProgress: (produced) => this.recordProgress(request, produced),
      finish: (outcome) => this.finish(request, outcome),
    };
  }
}
