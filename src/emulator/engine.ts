import {
  EngineErrorCode, FinishReason, OrderState,
} from '../core/interfaces/index.js';
import type {
  CacheEvent, CacheHandle, CallOptions, Clock, Engine, EngineError, EngineEvent, EngineStatus, GenerateCall,
  LoadedModel, LoadReport, Order, OrderOptions, ResumePosition, Role,
} from '../core/interfaces/index.js';
import { Fencing } from '../core/configuration/index.js';
import { prefixBlocks } from '../core/routing/index.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { sleep } from '../core/time.js';
import { estimateTokens } from '../core/tokens.js';
import { ENGINE_PARAMETERS, EngineModel } from './enginemodel.js';
import type { EngineParameters } from './enginemodel.js';
import { answerLength, answerToken } from './text.js';

/** Options of {@link EmulatedEngine}; `latencyMs` delays each call and is 1 by default. */
export interface EmulatedEngineOptions {
  readonly name: string;
  readonly role: Role;
  readonly models: readonly LoadedModel[];
  readonly fencing: Fencing;
  readonly parameters?: EngineParameters;
  readonly latencyMs?: number;
}

interface Stream {
  readonly call: GenerateCall;
  /** Attempt id of the latest reader; only this attempt may cancel the stream. */
  attemptId: string;
  readonly events: EngineEvent[];
  /** Callbacks that wake the waiting readers. */
  readonly readers: Set<() => void>;
  /** Whether the stream is complete, cancelled or lost, so that no more events follow. */
  closed: boolean;
}

/** Faults that tests can enable. */
export interface EngineFaults {
  /** While true, no call reaches the engine and open streams end early. */
  cut: boolean;
  /** Each event is delivered twice. */
  duplicateEvents: boolean;
  /** Before each event, a copy with the id of another request is delivered. */
  foreignEvents: boolean;
  /** Extra delay of each order in ms. The order takes effect even if its sender has died in the meantime. */
  orderDelayMs: number;
}

function engineError(code: EngineErrorCode, message: string): EngineError {
  return { code, message };
}

/** In-process model engine whose timing comes from {@link EngineModel}. */
export class EmulatedEngine implements Engine {
  public readonly name: string;

  public readonly model: EngineModel;

  public readonly faults: EngineFaults = {
    cut: false, duplicateEvents: false, foreignEvents: false, orderDelayMs: 0,
  };

  public leaving = false;

  /** Orders that took effect, in order of arrival. */
  public readonly appliedOrders: Order[] = [];

  /**
   * Orders that took effect while another order was running, or after a different order with the same or a later
   * sequence or with a later term. Must stay empty. Orders from before a restart are compared too, although the engine
   * itself has lost them.
   */
  public readonly conflictingOrders: Order[] = [];

  /** How often each request was started on this engine, by request id. */
  public readonly startsByRequest = new Map<string, number>();

  /** How often each prompt was started without a resumed position or an imported KV cache. */
  public readonly startsByPrompt = new Map<string, number>();

  /** Monotonic time in ms of the last request that was started. */
  public lastStartAt = -Infinity;

  private models: LoadedModel[];

  private orders: Record<string, OrderState> = {};

  private incarnation = 1;

  private highestTerm = 0;

  private readonly streams = new Map<string, Stream>();

  private readonly parameters: EngineParameters;

  public constructor(private readonly clock: Clock, private readonly options: EmulatedEngineOptions) {
    this.name = options.name;
    this.parameters = options.parameters ?? ENGINE_PARAMETERS;
    this.model = new EngineModel(clock, options.role, this.parameters);
    this.models = [...options.models];
  }

  /** Models that are loaded now. */
  public get loadedModels(): readonly LoadedModel[] {
    return this.models;
  }

  /** Request ids of the streams that are still being generated. */
  public get runningRequests(): string[] {
    return [...new Set(this.streams.values())].filter(({ closed }) => !closed).map(({ call }) => call.requestId);
  }

  public async generate(
    call: GenerateCall,
    opts: CallOptions,
  ): Promise<Result<AsyncIterable<EngineEvent>, EngineError>> {
    const connectionError = await this.simulateLatency(opts);
    if (connectionError !== null) return fail(connectionError);
    if (this.leaving) return fail(engineError(EngineErrorCode.Leaving, 'the engine is leaving'));
    const modelIsLoaded = this.models.some(({ model }) => model === call.model);
    if (!modelIsLoaded || this.model.isUnavailable) return fail(engineError(EngineErrorCode.NotServed, 'the model is not served now'));
    this.startsByRequest.set(call.requestId, (this.startsByRequest.get(call.requestId) ?? 0) + 1);
    if (call.firstIndex === 0 && call.importFrom === undefined) {
      this.startsByPrompt.set(call.prompt, (this.startsByPrompt.get(call.prompt) ?? 0) + 1);
    }
    this.lastStartAt = this.clock.monotonic();
    const stream: Stream = {
      call, attemptId: call.attemptId, events: [], readers: new Set(), closed: false,
    };
    this.streams.set(`${call.requestId}/${call.attemptId}`, stream);
    this.runStream(stream);
    return ok(this.readEvents(stream, call.firstIndex, opts.signal));
  }

  public async resume(
    position: ResumePosition,
    opts: CallOptions,
  ): Promise<Result<AsyncIterable<EngineEvent>, EngineError>> {
    const connectionError = await this.simulateLatency(opts);
    if (connectionError !== null) return fail(connectionError);
    const stream = this.streams.get(`${position.requestId}/${position.attemptId}`);
    if (stream === undefined) return fail(engineError(EngineErrorCode.NotFound, 'no such stream'));
    stream.attemptId = position.newAttemptId;
    this.streams.set(`${position.requestId}/${position.newAttemptId}`, stream);
    return ok(this.readEvents(stream, position.fromIndex, opts.signal));
  }

  public async cancel(requestId: string, attemptId: string, opts: CallOptions): Promise<Result<void, EngineError>> {
    const connectionError = await this.simulateLatency(opts);
    if (connectionError !== null) return fail(connectionError);
    this.stopStream(requestId, attemptId);
    return ok(undefined);
  }

  public async order(order: Order, opts: OrderOptions): Promise<Result<OrderState, EngineError>> {
    if (this.faults.cut || !opts.mayStillSend()) return fail(engineError(EngineErrorCode.NotSent, 'the order was not sent'));
    await sleep(this.clock, (this.options.latencyMs ?? 1) + this.faults.orderDelayMs);
    return this.receiveOrder(order);
  }

  public async status(opts: CallOptions): Promise<Result<EngineStatus, EngineError>> {
    const connectionError = await this.simulateLatency(opts);
    if (connectionError !== null) return fail(connectionError);
    return ok({
      engine: this.name,
      incarnation: String(this.incarnation),
      role: this.model.role,
      models: [...this.models],
      orders: { ...this.orders },
      leaving: this.leaving,
    });
  }

  public async loadReport(opts: CallOptions): Promise<Result<LoadReport, EngineError>> {
    const connectionError = await this.simulateLatency(opts);
    if (connectionError !== null) return fail(connectionError);
    const load = this.model.reportedLoad();
    return ok({
      engine: this.name,
      ageMs: this.clock.monotonic() - load.at,
      running: load.running,
      queued: load.queued,
      queuedPromptTokens: load.queuedPromptTokens,
      kvBlocksUsed: load.kvBlocksUsed,
      kvBlocksTotal: this.parameters.kvBlocks,
      leaving: this.leaving,
    });
  }

  public async cacheEvents(
    afterSequence: number,
    opts: CallOptions,
  ): Promise<Result<readonly CacheEvent[], EngineError>> {
    const connectionError = await this.simulateLatency(opts);
    if (connectionError !== null) return fail(connectionError);
    return ok(this.model.publishedCacheEvents(afterSequence)
      .map(({ sequence, type, block }) => ({ sequence, type, block })));
  }

  public async exportCache(
    requestId: string,
    attemptId: string,
    opts: CallOptions,
  ): Promise<Result<CacheHandle, EngineError>> {
    const connectionError = await this.simulateLatency(opts);
    if (connectionError !== null) return fail(connectionError);
    const stream = this.streams.get(`${requestId}/${attemptId}`);
    if (stream === undefined) return fail(engineError(EngineErrorCode.NotFound, 'no such stream'));
    this.stopStream(requestId, attemptId);
    return ok({
      engine: this.name, requestId, tokens: estimateTokens(stream.call.prompt) + stream.events.length,
    });
  }

  /** Simulates a crash and restart: all state in memory is lost and the incarnation goes up by one. */
  public crash(): void {
    this.model.crash();
    this.streams.clear();
    this.orders = {};
    this.highestTerm = 0;
    this.incarnation += 1;
  }

  private receiveOrder(order: Order): Result<OrderState, EngineError> {
    const knownState = this.orders[order.orderId];
    const termIsStale = order.term < this.highestTerm;
    if (termIsStale && this.options.fencing === Fencing.Enforced) {
      return fail(engineError(EngineErrorCode.Fenced, `term ${order.term} is older than ${this.highestTerm}`));
    }
    if (knownState !== undefined && this.appliedOrders.at(-1)?.orderId === order.orderId) return ok(knownState);
    this.recordConflict(order);
    this.highestTerm = Math.max(this.highestTerm, order.term);
    this.appliedOrders.push(order);
    this.orders[order.orderId] = OrderState.Running;
    this.executeOrder(order);
    return ok(OrderState.Running);
  }

  private recordConflict(order: Order): void {
    const orderIsRunning = Object.values(this.orders).includes(OrderState.Running);
    // After a restart the latest order may arrive again. It is a repetition, not a conflict.
    const isRepeated = this.appliedOrders.at(-1)?.orderId === order.orderId;
    const laterOrderWasApplied = !isRepeated
      && this.appliedOrders.some(({ term, sequence }) => term > order.term || sequence >= order.sequence);
    if (orderIsRunning || laterOrderWasApplied) this.conflictingOrders.push(order);
  }

  private executeOrder(order: Order): void {
    const { incarnation } = this;
    const { action } = order;
    const durationMs = action.type === 'role' ? this.parameters.roleChangeMs : this.parameters.modelLoadMs;
    if (action.type === 'role') this.model.changeRole(action.role);
    this.clock.after(durationMs, () => {
      if (this.incarnation !== incarnation) return;
      this.orders[order.orderId] = OrderState.Done;
      if (action.type === 'load') {
        this.models = this.models.filter(({ model }) => model !== action.model);
        this.models.push({ model: action.model, version: action.version });
      }
      if (action.type === 'unload') {
        this.models = this.models.filter(({ model, version }) => model !== action.model || version !== action.version);
      }
      if (action.type === 'load_adapter') {
        this.models = this.models.map((loaded) => (loaded.model === action.model
          ? { ...loaded, adapters: [...loaded.adapters ?? [], action.adapter] }
          : loaded));
      }
    });
  }

  private runStream(stream: Stream): void {
    const { call } = stream;
    const answerTokens = answerLength(call.prompt, call.maxTokens);
    const { requestId, attemptId } = call;
    this.model.submit({
      id: `${requestId}/${attemptId}`,
      promptTokens: estimateTokens(call.prompt) + call.firstIndex,
      outputTokens: Math.max(1, answerTokens - call.firstIndex),
      priority: call.priority,
      blocks: prefixBlocks(call.prompt),
      imported: call.importFrom !== undefined,
      prefillOnly: call.prefillOnly === true,
      onToken: (offset) => {
        const index = call.firstIndex + offset;
        if (index >= answerTokens) return;
        this.emitEvent(stream, {
          type: 'token', requestId, attemptId, index, text: answerToken(call.prompt, index),
        });
      },
      onEnd: (outcome) => {
        if (outcome === 'done' && call.prefillOnly !== true) {
          const reason = answerTokens === call.maxTokens ? FinishReason.Length : FinishReason.Stop;
          this.emitEvent(stream, {
            type: 'end', requestId, attemptId, index: answerTokens, reason, promptTokens: estimateTokens(call.prompt),
          });
        }
        this.closeStream(stream);
      },
    });
  }

  private emitEvent(stream: Stream, event: EngineEvent): void {
    if (this.faults.foreignEvents) stream.events.push({ ...event, requestId: `other-${event.requestId}` });
    stream.events.push(event);
    if (this.faults.duplicateEvents) stream.events.push(event);
    for (const wake of stream.readers) wake();
  }

  private closeStream(stream: Stream): void {
    stream.closed = true;
    for (const wake of stream.readers) wake();
  }

  private stopStream(requestId: string, attemptId: string): void {
    const stream = this.streams.get(`${requestId}/${attemptId}`);
    if (stream === undefined || stream.attemptId !== attemptId) return;
    this.model.cancel(`${requestId}/${stream.call.attemptId}`);
    this.closeStream(stream);
  }

  private async* readEvents(stream: Stream, fromIndex: number, signal?: AbortSignal): AsyncIterable<EngineEvent> {
    const { attemptId } = stream;
    let position = 0;
    while (signal?.aborted !== true && !this.faults.cut) {
      const event = stream.events[position];
      if (event !== undefined) {
        position += 1;
        if (event.index >= fromIndex) yield { ...event, attemptId };
        continue;
      }
      if (stream.closed) return;
      await new Promise<void>((resolve) => {
        const wake = (): void => {
          stream.readers.delete(wake);
          signal?.removeEventListener('abort', wake);
          resolve();
        };
        stream.readers.add(wake);
        signal?.addEventListener('abort', wake);
      });
    }
  }

  private async simulateLatency(opts: CallOptions): Promise<EngineError | null> {
    if (this.faults.cut) {
      await sleep(this.clock, opts.timeoutMs, opts.signal);
      return engineError(EngineErrorCode.NotSent, 'no connection');
    }
    await sleep(this.clock, this.options.latencyMs ?? 1, opts.signal);
    return null;
  }
}
