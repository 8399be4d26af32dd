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

/** Options of an emulated engine. */
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
  /** Attempt id of the latest reader. */
  attemptId: string;
  readonly events: EngineEvent[];
  readonly readers: Set<() => void>;
  /** No more events will come. */
  closed: boolean;
}

/** Faults that tests switch on. */
export interface EngineFaults {
  /** No call reaches the engine. */
  cut: boolean;
  /** Each event is also delivered a second time. */
  duplicateEvents: boolean;
  /** Each event is preceded by an event of another request. */
  crossedEvents: boolean;
  /** Orders arrive this much later, in ms, also when their sender has died. */
  orderDelayMs: number;
}

function error(code: EngineErrorCode, message: string): EngineError {
  return { code, message };
}

/** In-process model engine over the timing model. */
export class EmulatedEngine implements Engine {
  public readonly name: string;

  public readonly model: EngineModel;

  public readonly faults: EngineFaults = {
    cut: false, duplicateEvents: false, crossedEvents: false, orderDelayMs: 0,
  };

  public leaving = false;

  /** Orders that had an effect, in order of arrival. */
  public readonly accepted: Order[] = [];

  /**
   * Orders that took effect while another order ran, or after a different order with the same or a later sequence or
   * with a later term; must stay empty. Orders before a restart count, although the engine has forgotten them.
   */
  public readonly conflicts: Order[] = [];

  /** Requests that started here, by request id, with the number of times. */
  public readonly started = new Map<string, number>();

  /** How often each prompt started from its beginning. */
  public readonly prompts = new Map<string, number>();

  /** Time of the last start of work, in ms. */
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

  /** Models that are loaded. */
  public get served(): readonly LoadedModel[] {
    return this.models;
  }

  /** Ids of the streams that are being generated. */
  public get running(): string[] {
    return [...new Set(this.streams.values())].filter(({ closed }) => !closed).map(({ call }) => call.requestId);
  }

  public async generate(
    call: GenerateCall,
    opts: CallOptions,
  ): Promise<Result<AsyncIterable<EngineEvent>, EngineError>> {
    const blocked = await this.travel(opts);
    if (blocked !== null) return fail(blocked);
    if (this.leaving) return fail(error(EngineErrorCode.Leaving, 'the engine is leaving'));
    const served = this.models.some(({ model }) => model === call.model);
    if (!served || this.model.away) return fail(error(EngineErrorCode.NotServed, 'the model is not served now'));
    this.started.set(call.requestId, (this.started.get(call.requestId) ?? 0) + 1);
    if (call.firstIndex === 0 && call.importFrom === undefined) {
      this.prompts.set(call.prompt, (this.prompts.get(call.prompt) ?? 0) + 1);
    }
    this.lastStartAt = this.clock.monotonic();
    const stream: Stream = {
      call, attemptId: call.attemptId, events: [], readers: new Set(), closed: false,
    };
    this.streams.set(`${call.requestId}/${call.attemptId}`, stream);
    this.run(stream);
    return ok(this.read(stream, call.firstIndex, opts.signal));
  }

  public async resume(
    position: ResumePosition,
    opts: CallOptions,
  ): Promise<Result<AsyncIterable<EngineEvent>, EngineError>> {
    const blocked = await this.travel(opts);
    if (blocked !== null) return fail(blocked);
    const stream = this.streams.get(`${position.requestId}/${position.attemptId}`);
    if (stream === undefined) return fail(error(EngineErrorCode.NotFound, 'no such stream'));
    stream.attemptId = position.newAttemptId;
    this.streams.set(`${position.requestId}/${position.newAttemptId}`, stream);
    return ok(this.read(stream, position.fromIndex, opts.signal));
  }

  public async cancel(requestId: string, attemptId: string, opts: CallOptions): Promise<Result<void, EngineError>> {
    const blocked = await this.travel(opts);
    if (blocked !== null) return fail(blocked);
    this.stop(requestId, attemptId);
    return ok(undefined);
  }

  public async order(order: Order, opts: OrderOptions): Promise<Result<OrderState, EngineError>> {
    if (this.faults.cut || !opts.mayStillSend()) return fail(error(EngineErrorCode.NotSent, 'the order was not sent'));
    await sleep(this.clock, (this.options.latencyMs ?? 1) + this.faults.orderDelayMs);
    return this.receive(order);
  }

  public async status(opts: CallOptions): Promise<Result<EngineStatus, EngineError>> {
    const blocked = await this.travel(opts);
    if (blocked !== null) return fail(blocked);
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
    const blocked = await this.travel(opts);
    if (blocked !== null) return fail(blocked);
    const load = this.model.lateLoad();
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
    const blocked = await this.travel(opts);
    if (blocked !== null) return fail(blocked);
    return ok(this.model.lateCacheEvents(afterSequence)
      .map(({ sequence, type, block }) => ({ sequence, type, block })));
  }

  public async exportCache(
    requestId: string,
    attemptId: string,
    opts: CallOptions,
  ): Promise<Result<CacheHandle, EngineError>> {
    const blocked = await this.travel(opts);
    if (blocked !== null) return fail(blocked);
    const stream = this.streams.get(`${requestId}/${attemptId}`);
    if (stream === undefined) return fail(error(EngineErrorCode.NotFound, 'no such stream'));
    this.stop(requestId, attemptId);
    return ok({
      engine: this.name, requestId, tokens: estimateTokens(stream.call.prompt) + stream.events.length,
    });
  }

  /** Loses everything in memory, as a crash and restart does. */
  public crash(): void {
    this.model.crash();
    this.streams.clear();
    this.orders = {};
    this.highestTerm = 0;
    this.incarnation += 1;
  }

  private receive(order: Order): Result<OrderState, EngineError> {
    const known = this.orders[order.orderId];
    const stale = order.term < this.highestTerm;
    if (stale && this.options.fencing === Fencing.Enforced) {
      return fail(error(EngineErrorCode.Fenced, `term ${order.term} is older than ${this.highestTerm}`));
    }
    if (known !== undefined && this.accepted.at(-1)?.orderId === order.orderId) return ok(known);
    this.judge(order);
    this.highestTerm = Math.max(this.highestTerm, order.term);
    this.accepted.push(order);
    this.orders[order.orderId] = OrderState.Running;
    this.perform(order);
    return ok(OrderState.Running);
  }

  private judge(order: Order): void {
    const busy = Object.values(this.orders).includes(OrderState.Running);
    // A copy of the latest order after a restart repeats that order, and does not contradict it.
    const repeated = this.accepted.at(-1)?.orderId === order.orderId;
    const overtaken = !repeated
      && this.accepted.some(({ term, sequence }) => term > order.term || sequence >= order.sequence);
    if (busy || overtaken) this.conflicts.push(order);
  }

  private perform(order: Order): void {
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

  private run(stream: Stream): void {
    const { call } = stream;
    const total = answerLength(call.prompt, call.maxTokens);
    const { requestId, attemptId } = call;
    this.model.submit({
      id: `${requestId}/${attemptId}`,
      promptTokens: estimateTokens(call.prompt) + call.firstIndex,
      outputTokens: Math.max(1, total - call.firstIndex),
      priority: call.priority,
      blocks: prefixBlocks(call.prompt),
      imported: call.importFrom !== undefined,
      prefillOnly: call.prefillOnly === true,
      onToken: (offset) => {
        const index = call.firstIndex + offset;
        if (index >= total) return;
        this.emit(stream, {
          type: 'token', requestId, attemptId, index, text: answerToken(call.prompt, index),
        });
      },
      onEnd: (outcome) => {
        if (outcome === 'done' && call.prefillOnly !== true) {
          const reason = total === call.maxTokens ? FinishReason.Length : FinishReason.Stop;
          this.emit(stream, {
            type: 'end', requestId, attemptId, index: total, reason, promptTokens: estimateTokens(call.prompt),
          });
        }
        this.close(stream);
      },
    });
  }

  private emit(stream: Stream, event: EngineEvent): void {
    if (this.faults.crossedEvents) stream.events.push({ ...event, requestId: `other-${event.requestId}` });
    stream.events.push(event);
    if (this.faults.duplicateEvents) stream.events.push(event);
    for (const wake of stream.readers) wake();
  }

  private close(stream: Stream): void {
    stream.closed = true;
    for (const wake of stream.readers) wake();
  }

  private stop(requestId: string, attemptId: string): void {
    const stream = this.streams.get(`${requestId}/${attemptId}`);
    if (stream === undefined || stream.attemptId !== attemptId) return;
    this.model.cancel(`${requestId}/${stream.call.attemptId}`);
    this.close(stream);
  }

  private async* read(stream: Stream, fromIndex: number, signal?: AbortSignal): AsyncIterable<EngineEvent> {
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

  private async travel(opts: CallOptions): Promise<EngineError | null> {
    if (this.faults.cut) {
      await sleep(this.clock, opts.timeoutMs, opts.signal);
      return error(EngineErrorCode.NotSent, 'no connection');
    }
    await sleep(this.clock, this.options.latencyMs ?? 1, opts.signal);
    return null;
  }
}
