import type { Result } from '../result.js';
import type { CallOptions } from './runtime.js';

/** Urgency of a request. */
export enum Priority {
  Urgent = 'urgent',
  Normal = 'normal',
  Bulk = 'bulk',
}

/** Work that a model engine does. */
export enum Role {
  Prefill = 'prefill',
  Decode = 'decode',
  Mixed = 'mixed',
}

/** Reference to KV cache exported by an engine. */
export interface CacheHandle {
  readonly engine: string;
  readonly requestId: string;
  readonly tokens: number;
}

/** One try at an engine for one request. */
export interface GenerateCall {
  readonly requestId: string;
  readonly attemptId: string;
  readonly workspace: string;
  readonly model: string;
  readonly prompt: string;
  /** Text already delivered to the caller by earlier attempts; generation continues after it. */
  readonly delivered: string;
  /** Index of the first token to produce. */
  readonly firstIndex: number;
  readonly maxTokens: number;
  readonly priority: Priority;
  /** KV cache to import instead of prefilling the prompt. */
  readonly importFrom?: CacheHandle;
  /** Stop after prefill and keep the KV cache for export. */
  readonly prefillOnly?: boolean;
}

/** Why a generation ended. */
export enum FinishReason {
  Stop = 'stop',
  Length = 'length',
}

/** Event of a generation stream; `index` counts tokens of the whole answer from 0. */
export type EngineEvent =
  | {
    readonly type: 'token';
    readonly requestId: string;
    readonly attemptId: string;
    readonly index: number;
    readonly text: string;
  }
  | {
    readonly type: 'end';
    readonly requestId: string;
    readonly attemptId: string;
    /** Number of tokens in the whole answer. */
    readonly index: number;
    readonly reason: FinishReason;
    readonly promptTokens: number;
  };

/** Reasons why an engine call fails. */
export enum EngineErrorCode {
  /** Not sent: no connection was made, or the sender's guard refused. */
  NotSent = 'not_sent',
  /** The engine refused and did nothing. */
  Refused = 'refused',
  /** The engine is leaving and refused. */
  Leaving = 'leaving',
  /** The model is not loaded, or the role does not fit; nothing was done. */
  NotServed = 'not_served',
  /** The engine does not know the stream, handle or order. */
  NotFound = 'not_found',
  /** The order carried an old fencing number. */
  Fenced = 'fenced',
  /** Sent, but the outcome is unknown. */
  Broken = 'broken',
}

/** Error of an engine call. */
export interface EngineError {
  readonly code: EngineErrorCode;
  readonly message: string;
  readonly retryAfterMs?: number;
}

/** Change ordered from an engine. */
export type OrderAction =
  | { readonly type: 'load'; readonly model: string; readonly version: string }
  | { readonly type: 'unload'; readonly model: string; readonly version: string }
  | { readonly type: 'load_adapter'; readonly model: string; readonly adapter: string }
  | { readonly type: 'role'; readonly role: Role };

/** Order to an engine; `term` is the fencing token and `sequence` grows by one for each engine. */
export interface Order {
  readonly orderId: string;
  readonly engine: string;
  readonly term: number;
  readonly sequence: number;
  readonly action: OrderAction;
}

/** Progress of an order at an engine. */
export enum OrderState {
  Running = 'running',
  Done = 'done',
  Failed = 'failed',
}

/** Model version held by an engine. */
export interface LoadedModel {
  readonly model: string;
  readonly version: string;
  readonly adapters?: readonly string[];
}

/** What an engine says of itself. */
export interface EngineStatus {
  readonly engine: string;
  /** Changes when the engine restarts. */
  readonly incarnation: string;
  readonly role: Role;
  readonly models: readonly LoadedModel[];
  /** Recent orders by id; an engine forgets them when it restarts. */
  readonly orders: Readonly<Record<string, OrderState>>;
  readonly leaving: boolean;
}

/** Load of an engine as measured `ageMs` before the report was read. */
export interface LoadReport {
  readonly engine: string;
  readonly ageMs: number;
  readonly running: number;
  readonly queued: number;
  /** Prompt tokens that wait for prefill. */
  readonly queuedPromptTokens: number;
  readonly kvBlocksUsed: number;
  readonly kvBlocksTotal: number;
  readonly leaving: boolean;
}

/** Change in an engine's prefix cache; sequence numbers show gaps. */
export interface CacheEvent {
  readonly sequence: number;
  readonly type: 'stored' | 'evicted';
  /** Chained hash of the prompt up to and including this block. */
  readonly block: string;
}

/** Where to read a generation again. */
export interface ResumePosition {
  readonly requestId: string;
  /** Any attempt id under which the stream has been read. */
  readonly attemptId: string;
  readonly newAttemptId: string;
  /** Index of the first token to read. */
  readonly fromIndex: number;
}

/** Options of {@link Engine.order}. */
export interface OrderOptions extends CallOptions {
  /** Sender's guard; the adapter evaluates it in the same synchronous turn as the socket write. */
  readonly mayStillSend: () => boolean;
}

/** Model engine. */
export interface Engine {
  readonly name: string;
  /** Starts a generation. The stream ends early if the connection breaks; `signal` stops reading only. */
  generate(call: GenerateCall, opts: CallOptions): Promise<Result<AsyncIterable<EngineEvent>, EngineError>>;
  /**
   * Reads a generation again without running the prompt. The reader becomes attempt `position.newAttemptId`; earlier
   * attempt ids of the stream can still be resumed, but no longer cancel it.
   */
  resume(
    position: ResumePosition,
    opts: CallOptions,
  ): Promise<Result<AsyncIterable<EngineEvent>, EngineError>>;
  /** Cancels a generation and frees its memory, if `attemptId` is its latest reader. */
  cancel(requestId: string, attemptId: string, opts: CallOptions): Promise<Result<void, EngineError>>;
  /** Sends an order; success means accepted, and {@link Engine.status} shows its progress. */
  order(order: Order, opts: OrderOptions): Promise<Result<OrderState, EngineError>>;
  status(opts: CallOptions): Promise<Result<EngineStatus, EngineError>>;
  loadReport(opts: CallOptions): Promise<Result<LoadReport, EngineError>>;
  /** Cache events after `afterSequence`; late, and with gaps. */
  cacheEvents(afterSequence: number, opts: CallOptions): Promise<Result<readonly CacheEvent[], EngineError>>;
  /** Stops a running stream at a token boundary and makes its KV cache available for import elsewhere. */
  exportCache(requestId: string, attemptId: string, opts: CallOptions): Promise<Result<CacheHandle, EngineError>>;
}
