import type { Clock, Random } from '../edges/index.js';
import { Priority } from '../edges/index.js';
import type { PolicyRefusal, WorkItem } from '../serving/index.js';

/** Request that waits for a placement. */
export interface Queued {
  readonly item: WorkItem;
  /** Requests of one group compete for the same engines, for example those of one model and lane. */
  readonly group: string;
  /** Expected engine work in tokens. */
  readonly cost: number;
  /** Expected time in ms from placement to first token. */
  readonly firstTokenMs: number;
  readonly queuedAt: number;
  /** Waits before all others and is never refused for load. */
  readonly mustRun?: boolean;
  /** The workspace is above its share, so that others of the same priority go first. */
  readonly aboveShare?: boolean;
  /**
   * True once the first token cannot arrive within the target any more. Such a request waits behind those that still
   * can, until its own deadline: serving it first would make the others late as well.
   */
  late?: boolean;
}

/** Options of {@link AdmissionQueue}. */
export interface AdmissionOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly maxQueued: number;
  /** Time in ms within which a first token of urgent and normal work should arrive, queueing included. */
  readonly firstTokenMs: number;
  /** Wait in ms after which a request is served before younger ones of higher priority. */
  readonly agingMs?: number;
}

interface Flow<T extends Queued> {
  readonly key: string;
  readonly items: T[];
  deficit: number;
  tokens: number;
}

interface Class<T extends Queued> {
  readonly rank: number;
  readonly group: string;
  /** Flows with waiting requests; the first has its turn. */
  readonly ring: Flow<T>[];
  readonly flows: Map<string, Flow<T>>;
  tokens: number;
}

interface Drain {
  ratePerMs: number;
  windowStart: number;
  windowTokens: number;
  /** True when nothing waited at some moment of the window, so that its rate shows arrivals and not capacity. */
  idle: boolean;
}

const RANKS: Record<Priority, number> = { [Priority.Urgent]: 1, [Priority.Normal]: 2, [Priority.Bulk]: 3 };
const FIRST_RANK = 0;
const ABOVE_SHARE_RANK = 0.5;
const LATE_RANK = 0.75;
const QUANTUM_TOKENS = 4_096;
const MAX_FAILED_PLACEMENTS = 4;
const DRAIN_WINDOW_MS = 500;
const DRAIN_WEIGHT = 0.3;
const DEFAULT_AGING_MS = 3_000;
/** Of this many placements, at most one is an aged request of lower priority. */
const AGED_INTERVAL = 4;
const MIN_RETRY_AFTER_MS = 100;

function rankOf(entry: Queued): number {
  if (entry.mustRun === true) return FIRST_RANK;
  if (entry.late === true) return RANKS[entry.item.priority] + LATE_RANK;
  return RANKS[entry.item.priority] + (entry.aboveShare === true ? ABOVE_SHARE_RANK : 0);
}

/** Bounded queues per priority and workspace; workspaces share by deficit round-robin in tokens. */
export class AdmissionQueue<T extends Queued> {
  private readonly classes: Class<T>[] = [];

  private readonly drains = new Map<string, Drain>();

  private count = 0;

  private placements = 0;

  public constructor(private readonly options: AdmissionOptions) {}

  public get length(): number {
    return this.count;
  }

  /** Queues a request, or tells why it is refused. */
  public offer(entry: T): PolicyRefusal | null {
    const refusal = entry.mustRun === true ? null : this.refusalNow(entry);
    if (refusal === null) this.insert(entry);
    return refusal;
  }

  private refusalNow(entry: T): PolicyRefusal | null {
    entry.late = this.expectedWaitMs(entry) > this.allowedWaitMs(entry);
    const wait = this.expectedWaitMs(entry);
    const untilDeadline = entry.item.deadline - this.options.clock.monotonic() - entry.firstTokenMs;
    if (wait > untilDeadline) return { code: 'deadline_unreachable', retryAfterMs: this.retryAfterMs(wait - untilDeadline) };
    if (this.count >= this.options.maxQueued) return { code: 'queue_full', retryAfterMs: this.retryAfterMs(wait) };
    return null;
  }

  private insert(entry: T): void {
    const queue = this.class(entry);
    let flow = queue.flows.get(entry.item.workspace);
    if (flow === undefined) {
      flow = {
        key: entry.item.workspace, items: [], deficit: 0, tokens: 0,
      };
      queue.flows.set(flow.key, flow);
      queue.ring.push(flow);
    }
    flow.items.push(entry);
    flow.tokens += entry.cost;
    queue.tokens += entry.cost;
    this.count += 1;
  }

  /** Removes a waiting request; false when it does not wait. */
  public remove(entry: T): boolean {
    const queue = this.class(entry);
    const flow = queue.flows.get(entry.item.workspace);
    const index = flow?.items.indexOf(entry) ?? -1;
    if (flow === undefined || index < 0) return false;
    this.take(queue, flow, index);
    return true;
  }

  /** Places waiting requests as long as `place` accepts them. */
  public pump(place: (entry: T) => boolean): void {
    const full = new Set<string>();
    this.pumpAged(place, full);
    for (const queue of [...this.classes]) {
      if (queue.ring.length > 0 && !full.has(queue.group)) this.pumpClass(queue, place);
    }
  }

  /** Puts requests that miss the target behind the others; removes and returns those that miss their deadline. */
  public expire(): T[] {
    const expired: T[] = [];
    for (const queue of [...this.classes]) {
      for (const flow of [...queue.ring]) {
        for (let entry = flow.items[0]; entry !== undefined && this.tooLate(entry); [entry] = flow.items) {
          this.take(queue, flow, 0);
          if (this.missesDeadline(entry)) expired.push(entry);
          else {
            entry.late = true;
            this.insert(entry);
          }
        }
      }
    }
    return expired;
  }

  /** Refusal of a request that {@link expire} returned. */
  public refusalOf(entry: T): PolicyRefusal {
    return { code: 'deadline_unreachable', retryAfterMs: this.retryAfterMs(this.expectedWaitMs(entry)) };
  }

  /** Expected wait in ms of a request that would be queued now. */
  public expectedWaitMs(entry: T): number {
    const rate = this.drains.get(entry.group)?.ratePerMs ?? 0;
    if (rate === 0) return 0;
    const rank = rankOf(entry);
    let ahead = 0;
    for (const queue of this.classes) {
      if (queue.group !== entry.group || queue.rank > rank) continue;
      if (queue.rank < rank) ahead += queue.tokens;
      else {
        const own = queue.flows.get(entry.item.workspace)?.tokens ?? 0;
        // Each other workspace passes this request with at most as many tokens as its own workspace has before it.
        ahead += Math.min(queue.tokens, (own + entry.cost) * (queue.ring.length + (own === 0 ? 1 : 0)) - entry.cost);
      }
    }
    return ahead / rate;
  }

  /** Notes work that left the queue for an engine while others waited. */
  private drained(entry: T): void {
    const now = this.options.clock.monotonic();
    let drain = this.drains.get(entry.group);
    if (drain === undefined) {
      drain = {
        ratePerMs: 0, windowStart: now, windowTokens: 0, idle: true,
      };
      this.drains.set(entry.group, drain);
    }
    drain.windowTokens += entry.cost;
    if (!this.waits(entry.group)) drain.idle = true;
    const elapsed = now - drain.windowStart;
    if (elapsed < DRAIN_WINDOW_MS) return;
    const rate = drain.windowTokens / elapsed;
    if (drain.idle) drain.ratePerMs = Math.max(drain.ratePerMs, rate);
    else drain.ratePerMs += DRAIN_WEIGHT * (rate - drain.ratePerMs);
    drain.windowStart = now;
    drain.windowTokens = 0;
    drain.idle = !this.waits(entry.group);
  }

  private waits(group: string): boolean {
    return this.classes.some((queue) => queue.group === group && queue.ring.length > 0);
  }

  private allowedWaitMs(entry: T): number {
    const untilDeadline = entry.item.deadline - entry.item.arrival - entry.firstTokenMs;
    if (entry.item.priority === Priority.Bulk || entry.late === true) return untilDeadline;
    return Math.min(untilDeadline, Math.max(MIN_RETRY_AFTER_MS, this.options.firstTokenMs - entry.firstTokenMs));
  }

  private tooLate(entry: T): boolean {
    if (entry.mustRun === true) return false;
    return this.options.clock.monotonic() - entry.queuedAt > this.allowedWaitMs(entry);
  }

  private missesDeadline(entry: T): boolean {
    return this.options.clock.monotonic() + entry.firstTokenMs >= entry.item.deadline;
  }

  private retryAfterMs(excessMs: number): number {
    // Callers that were refused together must not return together.
    return Math.round(Math.max(MIN_RETRY_AFTER_MS, excessMs) * (1 + this.options.random.float()));
  }

  private pumpAged(place: (entry: T) => boolean, full: Set<string>): void {
    const now = this.options.clock.monotonic();
    const { agingMs = DEFAULT_AGING_MS } = this.options;
    for (const queue of this.classes) {
      if (queue.rank <= RANKS[Priority.Urgent]) continue;
      // Late requests keep their priority; they only wait behind others of the same one.
      const flow = queue.ring.find(({ items }) => items[0]!.late !== true && now - items[0]!.queuedAt > agingMs);
      if (flow === undefined || this.placements % AGED_INTERVAL !== 0) continue;
      // A request that has aged and still finds no room holds the others back until enough has drained for it.
      if (!this.tryHead(queue, flow, place)) full.add(queue.group);
    }
  }

  private pumpClass(queue: Class<T>, place: (entry: T) => boolean): void {
    let failed = 0;
    while (queue.ring.length > 0 && failed < Math.min(MAX_FAILED_PLACEMENTS, queue.ring.length)) {
      const flow = queue.ring[0]!;
      const head = flow.items[0]!;
      if (flow.deficit < head.cost) {
        flow.deficit += QUANTUM_TOKENS * (head.item.weight ?? 1);
        if (flow.deficit < head.cost || queue.ring.length > 1) {
          queue.ring.push(queue.ring.shift()!);
        }
        continue;
      }
      if (this.tryHead(queue, flow, place)) continue;
      failed += 1;
      queue.ring.push(queue.ring.shift()!);
    }
  }

  private tryHead(queue: Class<T>, flow: Flow<T>, place: (entry: T) => boolean): boolean {
    const head = flow.items[0]!;
    if (!place(head)) return false;
    flow.deficit = Math.max(0, flow.deficit - head.cost);
    this.placements += 1;
    this.take(queue, flow, 0);
    this.drained(head);
    return true;
  }

  private take(queue: Class<T>, flow: Flow<T>, index: number): void {
    const [entry] = flow.items.splice(index, 1);
    flow.tokens -= entry!.cost;
    queue.tokens -= entry!.cost;
    this.count -= 1;
    if (flow.items.length > 0) return;
    queue.flows.delete(flow.key);
    queue.ring.splice(queue.ring.indexOf(flow), 1);
  }

  private class(entry: T): Class<T> {
    const rank = rankOf(entry);
    let queue = this.classes.find((candidate) => candidate.rank === rank && candidate.group === entry.group);
    if (queue === undefined) {
      queue = {
        rank, group: entry.group, ring: [], flows: new Map(), tokens: 0,
      };
      this.classes.push(queue);
      this.classes.sort((a, b) => a.rank - b.rank);
    }
    return queue;
  }
}
