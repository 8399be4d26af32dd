import type { Result } from '../result.js';
import type { CallOptions } from './runtime.js';

/** Priority class of a request, most urgent first. */
export enum Priority {
  Urgent = 'urgent',
  Normal = 'normal',
  Bulk = 'bulk',
}

/** Phases of inference that a model engine runs; `Mixed` runs both. */
export enum Role {
  Prefill = 'prefill',
  Decode = 'decode',
  Mixed = 'mixed',
}

/** Reference to a KV cache that an engine has exported. */
export interface CacheHandle {
  /** Name of the exporting engine. */
  readonly engine: string;
  readonly requestId: string;
  /** Number of tokens that the cache covers. */
  readonly tokens: number;
}

/** One attempt to run a request on an engine. */
export interface GenerateCall {
  readonly requestId: string;
  readonly attemptId: string;
  readonly workspace: string;
  readonly model: string;
  readonly prompt: string;
  /** Text already delivered to the caller by earlier attempts; generation continues after it. */
  readonly delivered: string;
  /** Index of the first token to generate, counted from the start of the whole answer. */
  readonly firstIndex: number;
  readonly maxTokens: number;
  readonly priority: Priority;
  /** KV cache to import instead of running prefill. */
  readonly importFrom?: CacheHandle;
  /** True to stop after prefill and keep the KV cache for export. */
  readonly prefillOnly?: boolean;
}

/** Why a generation ended. */
export enum FinishReason {
  Stop = 'stop',
  Length = 'length',
}

/** Event of a generation stream; `index` is the position of a token in the whole answer, starting at 0. */
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
  /** The request was not sent: no connection was made, or {@link OrderOptions.mayStillSend} returned false. */
  NotSent = 'not_sent',
  /** The engine refused the request and did nothing. */
  Refused = 'refused',
  /** The engine refused the request because it is leaving the fleet. */
  Leaving = 'leaving',
  /** The model is not loaded or the engine has the wrong role; nothing was done. */
  NotServed = 'not_served',
  /** The engine has no such stream, handle or order. */
  NotFound = 'not_found',
  /** The engine rejected the order because its fencing token is outdated. */
  Fenced = 'fenced',
  /** The request was sent, but its outcome is unknown. */
  Broken = 'broken',
}

/** Error of an engine call. */
export interface EngineError {
  readonly code: EngineErrorCode;
  readonly message: string;
  /** Time in milliseconds after which the engine asks for a retry. */
  readonly retryAfterMs?: number;
}

/** Change that an order asks an engine to make. */
export type OrderAction =
  | { readonly type: 'load'; readonly model: string; readonly version: string }
  | { readonly type: 'unload'; readonly model: string; readonly version: string }
  | { readonly type: 'load_adapter'; readonly model: string; readonly adapter: string }
  | { readonly type: 'role'; readonly role: Role };

/** Order to an engine. */
export interface Order {
  readonly orderId: string;
  readonly engine: string;
  /** Fencing token. */
  readonly term: number;
  /** Number of the order at this engine; grows by one with each order. */
  readonly sequence: number;
  readonly action: OrderAction;
}

/** State of an order at an engine. */
export enum OrderState {
  Running = 'running',
  Done = 'done',
  Failed = 'failed',
}

/** Model version that an engine has loaded. */
export interface LoadedModel {
  readonly model: string;
  readonly version: string;
  readonly adapters?: readonly string[];
}

/** Status that an engine reports about itself. */
export interface EngineStatus {
  readonly engine: string;
  /** Changes when the engine restarts. */
  readonly incarnation: string;
  readonly role: Role;
  readonly models: readonly LoadedModel[];
  /** States of recent orders by order id; lost when the engine restarts. */
  readonly orders: Readonly<Record<string, OrderState>>;
  readonly leaving: boolean;
}

/** Load of an engine, measured `ageMs` milliseconds before the report was read. */
export interface LoadReport {
  readonly engine: string;
  readonly ageMs: number;
  readonly running: number;
  readonly queued: number;
  /** Prompt tokens that are waiting for prefill. */
  readonly queuedPromptTokens: number;
  readonly kvBlocksUsed: number;
  readonly kvBlocksTotal: number;
  readonly leaving: boolean;
}

/** Change in an engine's prefix cache; a gap in the sequence numbers means that events were lost. */
export interface CacheEvent {
  readonly sequence: number;
  readonly type: 'stored' | 'evicted';
  /** Chained hash of the prompt up to and including this block. */
  readonly block: string;
}

/** Position from which to read a generation stream again. */
export interface ResumePosition {
  readonly requestId: string;
  /** Any attempt id under which the stream was read before. */
  readonly attemptId: string;
  /** Attempt id of the new reader. */
  readonly newAttemptId: string;
  /** Index of the first token to read. */
  readonly fromIndex: number;
}

/** Options of {@link Engine.order}. */
export interface OrderOptions extends CallOptions {
  /**
   * Whether the sender may still send the order. The adapter calls it in the same synchronous turn as the socket write
   * and drops the order if it returns false, so that a sender that has lost authority sends nothing.
   */
  readonly mayStillSend: () => boolean;
}

/** Interface to one model engine. */
export interface Engine {
  readonly name: string;
  /** Starts a generation. The stream ends early if the connection breaks; `signal` stops only the reading. */
  generate(call: GenerateCall, opts: CallOptions): Promise<Result<AsyncIterable<EngineEvent>, EngineError>>;
  /**
   * Reads an existing generation again from a position, without running its prompt again. The new reader gets the id
   * `position.newAttemptId`. Earlier attempt ids can still be used to resume the stream, but no longer to cancel it.
   */
  resume(
    position: ResumePosition,
    opts: CallOptions,
  ): Promise<Result<AsyncIterable<EngineEvent>, EngineError>>;
  /** Cancels a generation and frees its memory if `attemptId` is its latest reader. */
  cancel(requestId: string, attemptId: string, opts: CallOptions): Promise<Result<void, EngineError>>;
  /** Sends an order. Success means that the engine accepted it; its progress is in {@link EngineStatus.orders}. */
  order(order: Order, opts: OrderOptions): Promise<Result<OrderState, EngineError>>;
  /** Fetches the engine's status. */
  status(opts: CallOptions): Promise<Result<EngineStatus, EngineError>>;
  /** Fetches the engine's latest load report. */
  loadReport(opts: CallOptions): Promise<Result<LoadReport, EngineError>>;
  /** Fetches the cache events after `afterSequence`. Events arrive with a delay and some are missing. */
  cacheEvents(afterSequence: number, opts: CallOptions): Promise<Result<readonly CacheEvent[], EngineError>>;
  /** Stops a running stream at a token boundary and makes its KV cache available for import elsewhere. */
  exportCache(requestId: string, attemptId: string, opts: CallOptions): Promise<Result<CacheHandle, EngineError>>;
}
