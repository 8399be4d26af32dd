import { Priority, Role } from '../core/interfaces/index.js';
import type { Clock, Disposable } from '../core/interfaces/index.js';
import { PREFIX_BLOCK_TOKENS } from '../core/routing/index.js';

/** Fixed parameters of the emulated engine; docs/decisions/engine-model.md lists their sources. */
export interface EngineParameters {
  /** Prompt tokens prefilled per ms. */
  readonly prefillTokensPerMs: number;
  /** Largest number of prompt tokens that a step of a mixed engine prefills in addition to its decodes. */
  readonly mixedChunkTokens: number;
  /** Largest number of prompt tokens that a step of a prefill engine processes. */
  readonly prefillChunkTokens: number;
  readonly decodeBaseMs: number;
  readonly decodePerSequenceMs: number;
  readonly decodePerContextTokenMs: number;
  readonly maxBatch: number;
  readonly kvBlockTokens: number;
  readonly kvBlocks: number;
  /** Capacity of the prefix cache in blocks; the least recently used blocks are evicted. */
  readonly cachedPrefixBlocks: number;
  readonly transferMsPerToken: number;
  readonly roleChangeMs: number;
  readonly modelLoadMs: number;
  /** Age of the load that the engine reports. */
  readonly loadReportLagMs: number;
  /** Delay after which a cache event is published. */
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

/** One request to the emulated engine. Its callbacks run inside engine steps and must not throw. */
export interface EngineJob {
  readonly id: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly priority: Priority;
  readonly blocks: readonly string[];
  /** Whether the KV cache of the prompt is transferred from another engine, so that no prefill is needed. */
  readonly imported?: boolean;
  /** Whether the job ends after the first token, with its KV cache kept for export. */
  readonly prefillOnly?: boolean;
  /** Called for each token with its index in this job, from 0. */
  readonly onToken: (index: number) => void;
  /** Called once unless the job is cancelled; `lost` if the engine crashed or changed its role during the job. */
  readonly onEnd: (outcome: 'done' | 'lost') => void;
}

interface ScheduledJob {
  readonly job: EngineJob;
  prefillLeft: number;
  produced: number;
  kvBlocks: number;
}

/** Load of the emulated engine at the monotonic time `at` in ms. */
export interface ModelLoad {
  readonly at: number;
  readonly running: number;
  readonly queued: number;
  readonly queuedPromptTokens: number;
  readonly kvBlocksUsed: number;
}

/** Change of the prefix cache, with the monotonic time in ms at which it happened. */
export interface ModelCacheEvent {
  readonly at: number;
  readonly sequence: number;
  readonly type: 'stored' | 'evicted';
  readonly block: string;
}

const PRIORITY_ORDER: Record<Priority, number> = {
  [Priority.Urgent]: 0,
  [Priority.Normal]: 1,
  [Priority.Bulk]: 2,
};

const MAX_CACHE_EVENTS = 4_096;

/** Timing model of one engine: continuous batching with chunked prefill, KV blocks and a prefix cache. */
export class EngineModel {
  private readonly queue: ScheduledJob[] = [];

  private readonly running: ScheduledJob[] = [];

  /** Cached prefix blocks, from the least to the most recently used. */
  private readonly cache = new Map<string, true>();

  private readonly loadHistory: ModelLoad[] = [];

  private readonly cacheEvents: ModelCacheEvent[] = [];

  private cacheSequence = 0;

  private kvUsed = 0;

  private pendingStep: Disposable | null = null;

  private currentRole: Role;

  private stepTimeFactor = 1;

  private unavailableUntil = 0;

  /** Prompt tokens found in the prefix cache (`hit`) and prompt tokens submitted (`asked`) since the start. */
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

  /** Sets the factor by which step times are multiplied; 1 is normal speed. */
  public setStepTimeFactor(factor: number): void {
    this.stepTimeFactor = factor;
  }

  /** Whether a role change or a model load keeps the engine from running steps. */
  public get isUnavailable(): boolean {
    return this.clock.monotonic() < this.unavailableUntil;
  }

  /** Queues a job by its priority; an imported KV cache delays it by the transfer time. */
  public submit(job: EngineJob): void {
    const cachedBlocks = this.touchCachedPrefix(job.blocks);
    const cached = Math.min(cachedBlocks * PREFIX_BLOCK_TOKENS, Math.max(0, job.promptTokens - 1));
    this.prefixTokens.asked += job.promptTokens;
    this.prefixTokens.hit += cached;
    const transferMs = job.imported === true ? job.promptTokens * this.parameters.transferMsPerToken : 0;
    const entry: ScheduledJob = {
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
    if (index >= 0) this.removeRunning(index);
  }

  /** Changes the role: all jobs and the cache are lost, and no step runs for the duration of a role change. */
  public changeRole(role: Role): void {
    this.endAllJobs();
    this.cache.clear();
    this.currentRole = role;
    this.suspendSteps(this.parameters.roleChangeMs);
  }

  /** Starts no step for `durationMs`; queued and running jobs are kept. */
  public suspendSteps(durationMs: number): void {
    this.unavailableUntil = Math.max(this.unavailableUntil, this.clock.monotonic() + durationMs);
    this.clock.after(durationMs, () => this.schedule());
  }

  /** Simulates a crash: all jobs and the cache are lost. */
  public crash(): void {
    this.endAllJobs();
    this.cache.clear();
  }

  /** Load now. */
  public load(): ModelLoad {
    const jobs = [...this.queue, ...this.running];
    return {
      at: this.clock.monotonic(),
      running: this.running.length,
      queued: this.queue.length,
      queuedPromptTokens: jobs.reduce((sum, entry) => sum + entry.prefillLeft, 0),
      kvBlocksUsed: this.kvUsed,
    };
  }

  /** Load as it was `loadReportLagMs` ago, as load reports state it. */
  public reportedLoad(): ModelLoad {
    const until = this.clock.monotonic() - this.parameters.loadReportLagMs;
    while (this.loadHistory.length > 1 && this.loadHistory[1]!.at <= until) this.loadHistory.shift();
    const [oldest] = this.loadHistory;
    return oldest !== undefined && oldest.at <= until
      ? oldest
      : {
        at: until, running: 0, queued: 0, queuedPromptTokens: 0, kvBlocksUsed: 0,
      };
  }

  /** Number of leading blocks that are in the prefix cache; does not mark them as used. */
  public cachedBlocks(blocks: readonly string[]): number {
    const missing = blocks.findIndex((block) => !this.cache.has(block));
    return missing < 0 ? blocks.length : missing;
  }

  /** Cache events after a sequence number that are at least `cacheEventLagMs` old. */
  public publishedCacheEvents(afterSequence: number): ModelCacheEvent[] {
    const until = this.clock.monotonic() - this.parameters.cacheEventLagMs;
    return this.cacheEvents.filter((event) => event.sequence > afterSequence && event.at <= until);
  }

  private enqueue(entry: ScheduledJob): void {
    const rank = PRIORITY_ORDER[entry.job.priority];
    let index = this.queue.length;
    while (index > 0 && PRIORITY_ORDER[this.queue[index - 1]!.job.priority] > rank) index -= 1;
    this.queue.splice(index, 0, entry);
    this.schedule();
  }

  private schedule(): void {
    if (this.pendingStep !== null || this.isUnavailable) return;
    this.fillBatch();
    if (this.running.length === 0) return;
    const plan = this.planStep();
    this.pendingStep = this.clock.after(plan.durationMs * this.stepTimeFactor, () => {
      this.pendingStep = null;
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

  private planStep(): { durationMs: number; prefill: Map<ScheduledJob, number> } {
    const p = this.parameters;
    const chunk = this.currentRole === Role.Prefill ? p.prefillChunkTokens : p.mixedChunkTokens;
    const prefill = new Map<ScheduledJob, number>();
    let budget = chunk;
    let decoding = 0;
    let context = 0;
    const waiting = this.running
      .filter((entry) => entry.prefillLeft > 0)
      .sort((a, b) => PRIORITY_ORDER[a.job.priority] - PRIORITY_ORDER[b.job.priority]);
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

  private completeStep(prefill: Map<ScheduledJob, number>): void {
    const finished: ScheduledJob[] = [];
    for (const entry of [...this.running]) {
      const share = prefill.get(entry);
      if (share !== undefined) entry.prefillLeft -= share;
      // No token yet for a sequence that is still in prefill or that joined during the step.
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
      this.removeRunning(index);
      entry.job.onEnd('done');
    }
  }

  private removeRunning(index: number): void {
    const [entry] = this.running.splice(index, 1);
    this.kvUsed -= entry!.kvBlocks;
  }

  private endAllJobs(): void {
    const lost = [...this.queue, ...this.running];
    this.queue.length = 0;
    this.running.length = 0;
    this.kvUsed = 0;
    this.pendingStep?.dispose();
    this.pendingStep = null;
    for (const entry of lost) entry.job.onEnd('lost');
  }

  private recordLoad(): void {
    this.loadHistory.push(this.load());
    if (this.loadHistory.length > 2_000) this.loadHistory.splice(0, 1_000);
  }

  /** Counts the leading blocks that are cached and marks them as most recently used. */
  private touchCachedPrefix(blocks: readonly string[]): number {
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
      if (!this.cache.delete(block)) this.addCacheEvent('stored', block);
      this.cache.set(block, true);
    }
    for (const block of this.cache.keys()) {
      if (this.cache.size <= this.parameters.cachedPrefixBlocks) break;
      this.cache.delete(block);
      this.addCacheEvent('evicted', block);
    }
  }

  private addCacheEvent(type: 'stored' | 'evicted', block: string): void {
    this.cacheSequence += 1;
    this.cacheEvents.push({
      at: this.clock.monotonic(), sequence: this.cacheSequence, type, block,
    });
    if (this.cacheEvents.length > MAX_CACHE_EVENTS) this.cacheEvents.splice(0, MAX_CACHE_EVENTS / 2);
  }
}
