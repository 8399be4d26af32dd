import type { Clock, Random } from '../interfaces/index.js';
import { Priority } from '../interfaces/index.js';
import type { AdmissionRefusal, WorkItem } from '../serving/index.js';

/** Request that waits in the queue until it is placed on an engine. */
export interface QueuedRequest {
  readonly item: WorkItem;
  /** Key of the requests that compete for the same engines, for example those of one model and lane. */
  readonly group: string;
  /** Expected engine work in tokens. */
  readonly cost: number;
  /** Expected time from placement to first token, in ms. */
  readonly expectedFirstTokenMs: number;
  /** Monotonic time in ms at which the request was queued. */
  readonly queuedAt: number;
  /** The request is placed before all others and is never refused because of load. */
  readonly mustRun?: boolean;
  /** The workspace has used more than its share, so requests of other workspaces at the same priority go first. */
  readonly aboveShare?: boolean;
  /**
   * True once the first token can no longer arrive within the target. Such a request waits, until its own deadline,
   * behind those that can still meet the target: serving it first would make them late as well.
   */
  late?: boolean;
}

/** Options of {@link AdmissionQueue}. */
export interface AdmissionQueueOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Number of waiting requests beyond which new ones are refused. */
  readonly maxQueued: number;
  /** Target time to the first token of urgent and normal requests in ms, queueing included. */
  readonly firstTokenTargetMs: number;
  /** Waiting time in ms after which a request may be placed before newer ones of higher priority; 3,000 by default. */
  readonly agingMs?: number;
}

/** Waiting requests of one workspace within a {@link RankQueue}. */
interface Flow<T extends QueuedRequest> {
  readonly key: string;
  readonly items: T[];
  /** Tokens that the workspace may still use in its turn of the deficit round-robin. */
  deficit: number;
  /** Cost of the waiting requests in tokens. */
  tokens: number;
}

/** Waiting requests of one rank and group. */
interface RankQueue<T extends QueuedRequest> {
  /** Order in which queues are served, lowest first; see {@link rankOf}. */
  readonly rank: number;
  readonly group: string;
  /** Flows with waiting requests in round-robin order; the first one is served next. */
  readonly activeFlows: Flow<T>[];
  readonly flows: Map<string, Flow<T>>;
  tokens: number;
}

/** Rate at which the requests of one group leave the queue. */
interface Throughput {
  ratePerMs: number;
  windowStart: number;
  windowTokens: number;
  /** True when the queue was empty at some time in the window, so that its rate reflects arrivals and not capacity. */
  queueWasEmpty: boolean;
}

const RANKS: Record<Priority, number> = { [Priority.Urgent]: 1, [Priority.Normal]: 2, [Priority.Bulk]: 3 };
const MUST_RUN_RANK = 0;
const ABOVE_SHARE_RANK_OFFSET = 0.5;
const LATE_RANK_OFFSET = 0.75;
const QUANTUM_TOKENS = 4_096;
const MAX_FAILED_PLACEMENTS = 4;
const THROUGHPUT_WINDOW_MS = 500;
const THROUGHPUT_WEIGHT = 0.3;
const DEFAULT_AGING_MS = 3_000;
/** At most one of this many placements is given to an aged request of lower priority. */
const AGED_PLACEMENT_INTERVAL = 4;
const MIN_RETRY_AFTER_MS = 100;

function rankOf(request: QueuedRequest): number {
  if (request.mustRun === true) return MUST_RUN_RANK;
  if (request.late === true) return RANKS[request.item.priority] + LATE_RANK_OFFSET;
  return RANKS[request.item.priority] + (request.aboveShare === true ? ABOVE_SHARE_RANK_OFFSET : 0);
}

/** Bounded queue with strict priorities; within a priority, workspaces share by deficit round-robin over tokens. */
export class AdmissionQueue<T extends QueuedRequest> {
  private readonly rankQueues: RankQueue<T>[] = [];

  private readonly throughputs = new Map<string, Throughput>();

  private count = 0;

  private placementCount = 0;

  public constructor(private readonly options: AdmissionQueueOptions) {}

  /** Number of waiting requests. */
  public get length(): number {
    return this.count;
  }

  /** Queues a request and returns `null`, or returns the reason why it is refused. */
  public offer(request: T): AdmissionRefusal | null {
    const refusal = request.mustRun === true ? null : this.checkAdmission(request);
    if (refusal === null) this.insert(request);
    return refusal;
  }

  /** Also sets `late` on a request that is not expected to meet the first-token target. */
  private checkAdmission(request: T): AdmissionRefusal | null {
    request.late = this.expectedWaitMs(request) > this.allowedWaitMs(request);
    const wait = this.expectedWaitMs(request);
    const untilDeadline = request.item.deadline - this.options.clock.monotonic() - request.expectedFirstTokenMs;
    if (wait > untilDeadline) return { code: 'deadline_unreachable', retryAfterMs: this.retryAfterMs(wait - untilDeadline) };
    if (this.count >= this.options.maxQueued) return { code: 'queue_full', retryAfterMs: this.retryAfterMs(wait) };
    return null;
  }

  private insert(request: T): void {
    const queue = this.rankQueueOf(request);
    let flow = queue.flows.get(request.item.workspace);
    if (flow === undefined) {
      flow = {
        key: request.item.workspace, items: [], deficit: 0, tokens: 0,
      };
      queue.flows.set(flow.key, flow);
      queue.activeFlows.push(flow);
    }
    flow.items.push(request);
    flow.tokens += request.cost;
    queue.tokens += request.cost;
    this.count += 1;
  }

  /** Removes a waiting request; returns false if it is not in the queue. */
  public remove(request: T): boolean {
    const queue = this.rankQueueOf(request);
    const flow = queue.flows.get(request.item.workspace);
    const index = flow?.items.indexOf(request) ?? -1;
    if (flow === undefined || index < 0) return false;
    this.removeAt(queue, flow, index);
    return true;
  }

  /** Passes waiting requests to `place` in order; those for which it returns true leave the queue. */
  public placeWaiting(place: (request: T) => boolean): void {
    const blockedGroups = new Set<string>();
    this.placeAged(place, blockedGroups);
    for (const queue of [...this.rankQueues]) {
      if (queue.activeFlows.length > 0 && !blockedGroups.has(queue.group)) this.placeFromQueue(queue, place);
    }
  }

  /** Moves requests that miss the target behind the others; removes and returns those that miss their deadline. */
  public expire(): T[] {
    const expired: T[] = [];
    for (const queue of [...this.rankQueues]) {
      for (const flow of [...queue.activeFlows]) {
        for (
          let request = flow.items[0];
          request !== undefined && this.hasWaitedTooLong(request);
          [request] = flow.items
        ) {
          this.removeAt(queue, flow, 0);
          if (this.missesDeadline(request)) expired.push(request);
          else {
            request.late = true;
            this.insert(request);
          }
        }
      }
    }
    return expired;
  }

  /** Refusal for a request that {@link expire} returned. */
  public refusalOf(request: T): AdmissionRefusal {
    return { code: 'deadline_unreachable', retryAfterMs: this.retryAfterMs(this.expectedWaitMs(request)) };
  }

  /** Expected waiting time in ms if the request were queued now; 0 until a throughput has been measured. */
  public expectedWaitMs(request: T): number {
    const rate = this.throughputs.get(request.group)?.ratePerMs ?? 0;
    if (rate === 0) return 0;
    const rank = rankOf(request);
    let tokensAhead = 0;
    for (const queue of this.rankQueues) {
      if (queue.group !== request.group || queue.rank > rank) continue;
      if (queue.rank < rank) tokensAhead += queue.tokens;
      else {
        const ownTokens = queue.flows.get(request.item.workspace)?.tokens ?? 0;
        // Round-robin lets each other workspace overtake this request by at most the tokens that its own workspace has
        // queued before it.
        tokensAhead += Math.min(
          queue.tokens,
          (ownTokens + request.cost) * (queue.activeFlows.length + (ownTokens === 0 ? 1 : 0)) - request.cost,
        );
      }
    }
    return tokensAhead / rate;
  }

  /** Updates the throughput of a group after a request has left the queue for an engine. */
  private recordThroughput(request: T): void {
    const now = this.options.clock.monotonic();
    let throughput = this.throughputs.get(request.group);
    if (throughput === undefined) {
      throughput = {
        ratePerMs: 0, windowStart: now, windowTokens: 0, queueWasEmpty: true,
      };
      this.throughputs.set(request.group, throughput);
    }
    throughput.windowTokens += request.cost;
    if (!this.hasWaiting(request.group)) throughput.queueWasEmpty = true;
    const elapsed = now - throughput.windowStart;
    if (elapsed < THROUGHPUT_WINDOW_MS) return;
    const rate = throughput.windowTokens / elapsed;
    if (throughput.queueWasEmpty) throughput.ratePerMs = Math.max(throughput.ratePerMs, rate);
    else throughput.ratePerMs += THROUGHPUT_WEIGHT * (rate - throughput.ratePerMs);
    throughput.windowStart = now;
    throughput.windowTokens = 0;
    throughput.queueWasEmpty = !this.hasWaiting(request.group);
  }

  private hasWaiting(group: string): boolean {
    return this.rankQueues.some((queue) => queue.group === group && queue.activeFlows.length > 0);
  }

  private allowedWaitMs(request: T): number {
    const untilDeadline = request.item.deadline - request.item.arrival - request.expectedFirstTokenMs;
    if (request.item.priority === Priority.Bulk || request.late === true) return untilDeadline;
    return Math.min(
      untilDeadline,
      Math.max(MIN_RETRY_AFTER_MS, this.options.firstTokenTargetMs - request.expectedFirstTokenMs),
    );
  }

  private hasWaitedTooLong(request: T): boolean {
    if (request.mustRun === true) return false;
    return this.options.clock.monotonic() - request.queuedAt > this.allowedWaitMs(request);
  }

  private missesDeadline(request: T): boolean {
    return this.options.clock.monotonic() + request.expectedFirstTokenMs >= request.item.deadline;
  }

  private retryAfterMs(excessMs: number): number {
    // Jitter keeps callers that were refused at the same time from retrying at the same time.
    return Math.round(Math.max(MIN_RETRY_AFTER_MS, excessMs) * (1 + this.options.random.float()));
  }

  private placeAged(place: (request: T) => boolean, blockedGroups: Set<string>): void {
    const now = this.options.clock.monotonic();
    const { agingMs = DEFAULT_AGING_MS } = this.options;
    for (const queue of this.rankQueues) {
      if (queue.rank <= RANKS[Priority.Urgent]) continue;
      // Late requests don't age: they stay behind the others of their own priority.
      const flow = queue.activeFlows.find(({ items }) => items[0]!.late !== true && now - items[0]!.queuedAt > agingMs);
      if (flow === undefined || this.placementCount % AGED_PLACEMENT_INTERVAL !== 0) continue;
      // If no engine has room for an aged request, the rest of its group is held back until there is room for it.
      if (!this.placeHead(queue, flow, place)) blockedGroups.add(queue.group);
    }
  }

  private placeFromQueue(queue: RankQueue<T>, place: (request: T) => boolean): void {
    let failures = 0;
    while (queue.activeFlows.length > 0 && failures < Math.min(MAX_FAILED_PLACEMENTS, queue.activeFlows.length)) {
      const flow = queue.activeFlows[0]!;
      const head = flow.items[0]!;
      if (flow.deficit < head.cost) {
        flow.deficit += QUANTUM_TOKENS * (head.item.weight ?? 1);
        if (flow.deficit < head.cost || queue.activeFlows.length > 1) {
          queue.activeFlows.push(queue.activeFlows.shift()!);
        }
        continue;
      }
      if (this.placeHead(queue, flow, place)) continue;
      failures += 1;
      queue.activeFlows.push(queue.activeFlows.shift()!);
    }
  }

  private placeHead(queue: RankQueue<T>, flow: Flow<T>, place: (request: T) => boolean): boolean {
    const head = flow.items[0]!;
    if (!place(head)) return false;
    flow.deficit = Math.max(0, flow.deficit - head.cost);
    this.placementCount += 1;
    this.removeAt(queue, flow, 0);
    this.recordThroughput(head);
    return true;
  }

  private removeAt(queue: RankQueue<T>, flow: Flow<T>, index: number): void {
    const [request] = flow.items.splice(index, 1);
    flow.tokens -= request!.cost;
    queue.tokens -= request!.cost;
    this.count -= 1;
    if (flow.items.length > 0) return;
    queue.flows.delete(flow.key);
    queue.activeFlows.splice(queue.activeFlows.indexOf(flow), 1);
  }

  private rankQueueOf(request: T): RankQueue<T> {
    const rank = rankOf(request);
    let queue = this.rankQueues.find((candidate) => candidate.rank === rank && candidate.group === request.group);
    if (queue === undefined) {
      queue = {
        rank, group: request.group, activeFlows: [], flows: new Map(), tokens: 0,
      };
      this.rankQueues.push(queue);
      this.rankQueues.sort((a, b) => a.rank - b.rank);
    }
    return queue;
  }
}
