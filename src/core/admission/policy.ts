import { AdmissionQueue } from './admission.js';
import type { Queued } from './admission.js';
import type {
  EngineDirectory, Placement, PolicyRefusal, WorkItem, QuickBounds,
} from '../serving/index.js';
import type { DispatchHandle, DispatchListener, Dispatcher } from './dispatch.js';
import type { Clock, Disposable, Random } from '../edges/index.js';
import { Estimates } from './estimates.js';
import { LanePlan } from './lanes.js';
import type { EntryShare } from './lanes.js';
import { EngineLimits, SERVICE_TARGET, TOLERANCE } from './limits.js';
import type { Held, RoomOptions, ServiceTarget } from './limits.js';
import { AttemptOutcome, isQuickWork } from '../serving/index.js';
import type { Router, RouterOptions } from '../routing/index.js';
import { WorkspaceShares } from './shares.js';

/** Options of {@link PolicyDispatcher}. */
export interface PolicyOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly directory: EngineDirectory;
  /** Creates the router; `hasRoom` applies this dispatcher's limits. */
  readonly createRouter: (hasRoom: RouterOptions['hasRoom']) => Router;
  readonly maxQueued: number;
  readonly target?: ServiceTarget;
  readonly tolerance?: number;
  readonly separateLanes?: boolean;
  /** False lets urgent and brief work share the engines of other short prompts. */
  readonly separateQuick?: boolean;
  /** Position of this entry among all entries, from membership. */
  readonly share?: () => EntryShare;
}

interface Request extends Queued {
  readonly listener: DispatchListener;
  placement: Placement | null;
  held: Held | null;
  placedAt: number;
  produced: number;
  windowStart: number;
  windowProduced: number;
  finished: boolean;
  idleSince: number | null;
}

/** One output token costs an engine about as much time as this many prompt tokens. */
const OUTPUT_TOKEN_COST = 16;
const QUICK_LANE_BOUNDS: QuickBounds = { promptTokens: 500, outputTokens: 16 };
const STALL_MS = 150;
const EXPIRY_PERIOD_MS = 25;
const REBALANCE_PERIOD_MS = 500;
const LANE_TIME_CONSTANT_MS = 30_000;
/** Tokens over which the time per token of a running answer is averaged. */
const TOKEN_WINDOW = 48;
const NO_ENGINE_RETRY_AFTER_MS = 1_000;

/** Dispatcher with bounded fair queues and adaptive limits. */
export class PolicyDispatcher implements Dispatcher {
  public readonly estimates = new Estimates();

  public readonly limits: EngineLimits;

  private readonly lanes: LanePlan;

  private readonly queue: AdmissionQueue<Request>;

  private readonly router: Router;

  private expiry: Disposable | null = null;

  private rebalancedAt: number;

  private pumping = false;

  /** How the limits apply to the request whose placement is being chosen. */
  private room: RoomOptions = {};

  private readonly shares: WorkspaceShares;

  public constructor(private readonly options: PolicyOptions) {
    const { clock, directory, random } = options;
    const target = options.target ?? SERVICE_TARGET;
    this.lanes = new LanePlan({
      directory,
      separate: options.separateLanes ?? true,
      ...(options.separateQuick === false ? {} : { isQuick: (item) => this.isQuick(item) }),
      ...(options.share === undefined ? {} : { share: options.share }),
    });
    this.limits = new EngineLimits({
      clock, directory, lanes: this.lanes, target, tolerance: options.tolerance ?? TOLERANCE,
    });
    this.queue = new AdmissionQueue<Request>({
      clock, random, maxQueued: options.maxQueued, firstTokenMs: target.firstTokenMs,
    });
    this.router = options.createRouter((engine, item) => this.limits.hasRoom(engine, item, this.room));
    this.shares = new WorkspaceShares(clock);
    this.rebalancedAt = clock.monotonic();
  }

  public submit(item: WorkItem, listener: DispatchListener): DispatchHandle {
    const request = this.createRequest(item, listener);
    const refusal = this.refusal(request);
    if (refusal === null) this.pump();
    else {
      request.finished = true;
      listener.refused(refusal);
    }
    return this.handle(request);
  }

  public pump(): void {
    // A listener may submit or finish another request while it is told of a placement.
    if (this.pumping) return;
    this.pumping = true;
    this.queue.pump((request) => this.place(request));
    this.pumping = false;
    if (this.queue.length > 0 && this.expiry === null) {
      this.expiry = this.options.clock.after(EXPIRY_PERIOD_MS, () => this.expire());
    }
  }

  /** State for the dump, under stable keys. */
  public dump(): Record<string, unknown> {
    return { queued: this.queue.length, lanes: this.lanes.dump(), limits: this.limits.dump() };
  }

  private isQuick(item: WorkItem): boolean {
    return isQuickWork(item, QUICK_LANE_BOUNDS, () => this.estimates.outputTokens(item, 0.9));
  }

  private createRequest(item: WorkItem, listener: DispatchListener): Request {
    const now = this.options.clock.monotonic();
    const lane = this.lanes.laneOf(item);
    const prefill = item.promptTokens - (item.importedTokens ?? 0);
    const cost = Math.max(0, prefill) + OUTPUT_TOKEN_COST * this.estimates.outputTokens(item);
    this.lanes.arrived(item.model, lane, cost);
    if (now - this.rebalancedAt >= REBALANCE_PERIOD_MS) {
      this.lanes.rebalance(now - this.rebalancedAt, LANE_TIME_CONSTANT_MS);
      this.limits.lanesMoved();
      this.rebalancedAt = now;
    }
    return {
      item,
      listener,
      group: `${item.model}/${lane}`,
      cost,
      firstTokenMs: this.estimates.firstTokenMs(Math.max(0, prefill)),
      queuedAt: now,
      aboveShare: this.shares.isAbove(item.workspace),
      mustRun: item.continuation === true || (item.importedTokens ?? 0) > 0,
      placement: null,
      held: null,
      placedAt: 0,
      produced: 0,
      windowStart: 0,
      windowProduced: 0,
      finished: false,
      idleSince: null,
    };
  }

  private refusal(request: Request): PolicyRefusal | null {
    const serving = this.options.directory.serving(request.item.model);
    if (serving.length === 0 && request.mustRun !== true) return { code: 'no_engine', retryAfterMs: NO_ENGINE_RETRY_AFTER_MS };
    return this.queue.offer(request);
  }

  private place(request: Request): boolean {
    // Late requests leave the same headroom to others as workspaces above their share do.
    const aboveShare = request.aboveShare === true || request.late === true;
    this.room = { aboveShare };
    let placement = this.router.choose(request.item);
    // The router may reject the only engines of a lane, for example while they are ejected.
    if (placement === null && this.isStalled(request)) {
      this.room = { aboveShare, anyLane: true };
      placement = this.router.choose(request.item);
    }
    this.room = {};
    if (placement === null) return false;
    request.placement = placement;
    request.placedAt = this.options.clock.monotonic();
    request.held = this.limits.started(request.item, placement);
    this.router.started(request.item, placement);
    this.shares.used(request.item.workspace, request.cost);
    request.listener.placed(placement);
    return true;
  }

  /** Whether a request has found no place for some time although its lane has been idle. */
  private isStalled(request: Request): boolean {
    const now = this.options.clock.monotonic();
    if (!this.limits.isIdle(request.item)) {
      request.idleSince = null;
      return false;
    }
    request.idleSince ??= now;
    return now - request.idleSince >= STALL_MS;
  }

  private expire(): void {
    this.expiry = null;
    this.pump();
    for (const request of this.queue.expire()) {
      request.finished = true;
      request.listener.refused(this.queue.refusalOf(request));
    }
    this.pump();
  }

  private firstToken(request: Request): void {
    if (request.placement === null || request.held === null || request.finished) return;
    const now = this.options.clock.monotonic();
    const latencyMs = now - request.placedAt;
    request.windowStart = now;
    request.windowProduced = 1;
    request.produced = 1;
    if (request.mustRun !== true) this.estimates.observeFirstToken(request.item.promptTokens, latencyMs);
    this.limits.firstToken(request.held, latencyMs);
    this.router.firstToken(request.item, request.placement, latencyMs);
    this.pump();
  }

  private progress(request: Request, produced: number): void {
    if (request.placement === null || request.finished) return;
    request.produced = produced;
    this.router.progress(request.item, request.placement, produced);
    if (produced - request.windowProduced >= TOKEN_WINDOW) this.closeWindow(request);
  }

  private closeWindow(request: Request): void {
    const tokens = request.produced - request.windowProduced;
    if (tokens <= 0 || request.held === null) return;
    const now = this.options.clock.monotonic();
    const gapMs = (now - request.windowStart) / tokens;
    request.windowStart = now;
    request.windowProduced = request.produced;
    this.estimates.observeTokenTime(gapMs);
    this.limits.tokenTime(request.held, gapMs);
  }

  private finish(request: Request, outcome: AttemptOutcome): void {
    if (request.placement === null || request.held === null || request.finished) return;
    if (outcome === AttemptOutcome.Done) {
      this.closeWindow(request);
      if (request.mustRun !== true) this.estimates.observeLength(request.item, request.produced);
    }
    request.finished = true;
    this.limits.finished(request.held);
    this.router.finished(request.item, request.placement, outcome);
    this.pump();
  }

  private handle(request: Request): DispatchHandle {
    return {
      cancel: () => {
        if (request.placement !== null || request.finished) return;
        request.finished = true;
        this.queue.remove(request);
      },
      firstToken: () => this.firstToken(request),
      progress: (produced) => this.progress(request, produced),
      finish: (outcome) => this.finish(request, outcome),
    };
  }
}
