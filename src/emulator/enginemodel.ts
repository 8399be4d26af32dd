import { Priority, Role } from '../core/interfaces/index.js';
import type { Clock, Disposable } from '../core/interfaces/index.js';
import { PREFIX_BLOCK_TOKENS } from '../core/routing/index.js';

/** Fixed parameters of the engine fake. See docs/decisions/engine-model.md for their sources. */
export interface EngineParameters {
  /** Prompt tokens prefilled in one ms. */
  readonly prefillTokensPerMs: number;
  /** Prompt tokens that one step of a mixed engine takes besides its decodes. */
  readonly mixedChunkTokens: number;
  /** Prompt tokens that one step of a prefill engine takes. */
  readonly prefillChunkTokens: number;
  readonly decodeBaseMs: number;
  readonly decodePerSequenceMs: number;
  readonly decodePerContextTokenMs: number;
  readonly maxBatch: number;
  readonly kvBlockTokens: number;
  readonly kvBlocks: number;
  /** Prefix blocks kept after their request ended. */
  readonly cachedPrefixBlocks: number;
  readonly transferMsPerToken: number;
  readonly roleChangeMs: number;
  readonly modelLoadMs: number;
  readonly loadReportLagMs: number;
  readonly cacheEventLagMs: number;
}

/** Parameters of a 70-billion-parameter model on one eight-accelerator host. */
export const ENGINE_PARAMETERS: EngineParameters = {
  prefillTokensPerMs: 15.8,
  mixedChunkTokens: 512,
  prefillChunkTokens: 2_048,
  decodeBaseMs: 28,
  decodePerSequenceMs: 0.36,
  decodePerContextTokenMs: 0.00002,
  maxBatch: 64,
  kvBlockTokens: 2_000,
  kvBlocks: 400,
  cachedPrefixBlocks: 1_200,
  transferMsPerToken: 0.0064,
  roleChangeMs: 6_000,
  modelLoadMs: 20_000,
  loadReportLagMs: 2_000,
  cacheEventLagMs: 1_000,
};

/** Work for the engine fake. Callbacks run inside engine steps and must not throw. */
export interface EngineJob {
  readonly id: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly priority: Priority;
  readonly blocks: readonly string[];
  /** The KV cache of the prompt arrives from another engine. */
  readonly imported?: boolean;
  /** End after the first token and keep the KV cache for export. */
  readonly prefillOnly?: boolean;
  /** Called for each token with its index in this job. */
  readonly onToken: (index: number) => void;
  /** Called once; `lost` when the engine crashed or changed role under the job. */
  readonly onEnd: (outcome: 'done' | 'lost') => void;
}

interface Running {
  readonly job: EngineJob;
  prefillLeft: number;
  produced: number;
  kvBlocks: number;
}

/** Late report of the engine fake. */
export interface ModelLoad {
  readonly at: number;
  readonly running: number;
  readonly queued: number;
  readonly queuedPromptTokens: number;
  readonly kvBlocksUsed: number;
}

/** Change in the prefix cache with the time at which it happened. */
export interface ModelCacheEvent {
  readonly at: number;
  readonly sequence: number;
  readonly type: 'stored' | 'evicted';
  readonly block: string;
}

const PRIORITY_RANK: Record<Priority, number> = {
  [Priority.Urgent]: 0,
  [Priority.Normal]: 1,
  [Priority.Bulk]: 2,
};

const CACHE_EVENTS_KEPT = 4_096;

/** Timing model of one engine: continuous batching with chunked prefill, KV blocks and a prefix cache. */
export class EngineModel {
  private readonly queue: Running[] = [];

  private readonly running: Running[] = [];

  private readonly cache = new Map<string, true>();

  private readonly history: ModelLoad[] = [];

  private readonly cacheEvents: ModelCacheEvent[] = [];

  private cacheSequence = 0;

  private kvUsed = 0;

  private step: Disposable | null = null;

  private currentRole: Role;

  private slowdown = 1;

  private awayUntil = 0;

  /** Prompt tokens found in the prefix cache, and prompt tokens asked for, since the start. */
  public readonly prefixTokens = { hit: 0, asked: 0 };

  public constructor(
    private readonly clock: Clock,
    role: Role,
    private readonly parameters: EngineParameters = ENGINE_PARAMETERS,
  ) {
    this.currentRole = role;
  }

  public get role(): Role {
    return this.currentRole;
  }

  /** Multiplies step times; 1 is normal speed. */
  public slow(factor: number): void {
    this.slowdown = factor;
  }

  /** True while a role change or a load keeps the engine away. */
  public get away(): boolean {
    return this.clock.monotonic() < this.awayUntil;
  }

  /** Queues a job. */
  public submit(job: EngineJob): void {
    const cachedBlocks = this.touchPrefix(job.blocks);
    const cached = Math.min(cachedBlocks * PREFIX_BLOCK_TOKENS, Math.max(0, job.promptTokens - 1));
    this.prefixTokens.asked += job.promptTokens;
    this.prefixTokens.hit += cached;
    const transferMs = job.imported === true ? job.promptTokens * this.parameters.transferMsPerToken : 0;
    const entry: Running = {
      job,
      prefillLeft: job.imported === true ? 0 : job.promptTokens - cached,
      produced: 0,
      kvBlocks: 0,
    };
    if (transferMs > 0) this.clock.after(transferMs, () => this.enqueue(entry));
    else this.enqueue(entry);
  }

  /** Removes a job without calling its `onEnd`; unknown ids are ignored. */
  public cancel(id: string): void {
    const queued = this.queue.findIndex((entry) => entry.job.id === id);
    if (queued >= 0) this.queue.splice(queued, 1);
    const index = this.running.findIndex((entry) => entry.job.id === id);
    if (index >= 0) this.release(index);
  }

  /** Takes the engine away for the time of a role change; jobs still on it are lost. */
  public changeRole(role: Role): void {
    this.loseAll();
    this.cache.clear();
    this.currentRole = role;
    this.leaveFor(this.parameters.roleChangeMs);
  }

  /** Takes the engine away for `durationMs` without touching its jobs. */
  public leaveFor(durationMs: number): void {
    this.awayUntil = Math.max(this.awayUntil, this.clock.monotonic() + durationMs);
    this.clock.after(durationMs, () => this.schedule());
  }

  /** Loses all jobs and the cache, as a crash does. */
  public crash(): void {
    this.loseAll();
    this.cache.clear();
  }

  /** Load at this moment. */
  public load(): ModelLoad {
    const prompts = [...this.queue, ...this.running];
    return {
      at: this.clock.monotonic(),
      running: this.running.length,
      queued: this.queue.length,
      queuedPromptTokens: prompts.reduce((sum, entry) => sum + entry.prefillLeft, 0),
      kvBlocksUsed: this.kvUsed,
    };
  }

  /** Load as it was `loadReportLagMs` ago. */
  public lateLoad(): ModelLoad {
    const until = this.clock.monotonic() - this.parameters.loadReportLagMs;
    while (this.history.length > 1 && this.history[1]!.at <= until) this.history.shift();
    const [oldest] = this.history;
    return oldest !== undefined && oldest.at <= until
      ? oldest
      : {
        at: until, running: 0, queued: 0, queuedPromptTokens: 0, kvBlocksUsed: 0,
      };
  }

  /** Prefix blocks in the cache now, without touching them. */
  public cachedBlocks(blocks: readonly string[]): number {
    const missing = blocks.findIndex((block) => !this.cache.has(block));
    return missing < 0 ? blocks.length : missing;
  }

  /** Cache events after a sequence number that are old enough to have been published. */
  public lateCacheEvents(afterSequence: number): ModelCacheEvent[] {
    const until = this.clock.monotonic() - this.parameters.cacheEventLagMs;
    return this.cacheEvents.filter((event) => event.sequence > afterSequence && event.at <= until);
  }

  private enqueue(entry: Running): void {
    const rank = PRIORITY_RANK[entry.job.priority];
    let index = this.queue.length;
    while (index > 0 && PRIORITY_RANK[this.queue[index - 1]!.job.priority] > rank) index -= 1;
    this.queue.splice(index, 0, entry);
    this.schedule();
  }

  private schedule(): void {
    if (this.step !== null || this.away) return;
    this.fillBatch();
    if (this.running.length === 0) return;
    const plan = this.planStep();
    this.step = this.clock.after(plan.durationMs * this.slowdown, () => {
      this.step = null;
      this.completeStep(plan.prefill);
      this.recordLoad();
      this.schedule();
    });
  }

  private fillBatch(): void {
    while (this.queue.length > 0) {
      const next = this.queue[0]!;
      const tokens = next.job.promptTokens + next.job.outputTokens;
      const blocks = Math.ceil(tokens / this.parameters.kvBlockTokens);
      if (this.running.length >= this.parameters.maxBatch) return;
      if (this.kvUsed + blocks > this.parameters.kvBlocks && this.running.length > 0) return;
      this.queue.shift();
      next.kvBlocks = blocks;
      this.kvUsed += blocks;
      this.running.push(next);
    }
  }

  private planStep(): { durationMs: number; prefill: Map<Running, number> } {
    const p = this.parameters;
    const chunk = this.currentRole === Role.Prefill ? p.prefillChunkTokens : p.mixedChunkTokens;
    const prefill = new Map<Running, number>();
    let budget = chunk;
    let decoding = 0;
    let context = 0;
    const waiting = this.running
      .filter((entry) => entry.prefillLeft > 0)
      .sort((a, b) => PRIORITY_RANK[a.job.priority] - PRIORITY_RANK[b.job.priority]);
    for (const entry of waiting) {
      const share = Math.min(budget, entry.prefillLeft);
      if (share > 0) prefill.set(entry, share);
      budget -= share;
    }
    for (const entry of this.running) {
      if (entry.prefillLeft > 0) continue;
      decoding += 1;
      context += entry.job.promptTokens + entry.produced;
    }
    const decodeMs = decoding === 0
      ? 0
      : p.decodeBaseMs + p.decodePerSequenceMs * (decoding - 1) + p.decodePerContextTokenMs * context;
    return { durationMs: Math.max(1, decodeMs + (chunk - budget) / p.prefillTokensPerMs), prefill };
  }

  private completeStep(prefill: Map<Running, number>): void {
    const finished: Running[] = [];
    for (const entry of [...this.running]) {
      const share = prefill.get(entry);
      if (share !== undefined) entry.prefillLeft -= share;
      // A sequence that is still prefilling, or that joined during the step, produces nothing yet.
      if (entry.prefillLeft > 0) continue;
      if (share !== undefined) this.storePrefix(entry.job.blocks);
      const index = entry.produced;
      entry.produced += 1;
      entry.job.onToken(index);
      if (entry.produced >= entry.job.outputTokens || entry.job.prefillOnly === true) finished.push(entry);
    }
    for (const entry of finished) {
      const index = this.running.indexOf(entry);
      if (index < 0) continue;
      this.release(index);
      entry.job.onEnd('done');
    }
  }

  private release(index: number): void {
    const [entry] = this.running.splice(index, 1);
    this.kvUsed -= entry!.kvBlocks;
  }

  private loseAll(): void {
    const lost = [...this.queue, ...this.running];
    this.queue.length = 0;
    this.running.length = 0;
    this.kvUsed = 0;
    this.step?.dispose();
    this.step = null;
    for (const entry of lost) entry.job.onEnd('lost');
  }

  private recordLoad(): void {
    this.history.push(this.load());
    if (this.history.length > 2_000) this.history.splice(0, 1_000);
  }

  private touchPrefix(blocks: readonly string[]): number {
    let count = 0;
    for (const block of blocks) {
      if (!this.cache.delete(block)) break;
      this.cache.set(block, true);
      count += 1;
    }
    return count;
  }

  private storePrefix(blocks: readonly string[]): void {
    for (const block of blocks) {
      if (!this.cache.delete(block)) this.publish('stored', block);
      this.cache.set(block, true);
    }
    for (const block of this.cache.keys()) {
      if (this.cache.size <= this.parameters.cachedPrefixBlocks) break;
      this.cache.delete(block);
      this.publish('evicted', block);
    }
  }

  private publish(type: 'stored' | 'evicted', block: string): void {
    this.cacheSequence += 1;
    this.cacheEvents.push({
      at: this.clock.monotonic(), sequence: this.cacheSequence, type, block,
    });
    if (this.cacheEvents.length > CACHE_EVENTS_KEPT) this.cacheEvents.splice(0, CACHE_EVENTS_KEPT / 2);
  }
}
