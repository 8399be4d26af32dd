import type { Result } from './result.js';

/** Resource that must be released exactly once. */
export interface Disposable {
  dispose(): void;
}

/** Source of time. Durations and deadlines are milliseconds on the monotonic scale. */
export interface Clock {
  /** Milliseconds since an arbitrary origin; never goes backwards. */
  monotonic(): number;
  /** Wall-clock time, for records and logs only. */
  now(): Date;
  /** Runs `callback` once after `delayMs`; dispose the handle to cancel it. */
  after(delayMs: number, callback: () => void): Disposable;
}

/** Source of randomness. */
export interface Random {
  /** Uniform number in [0, 1). */
  float(): number;
  /** Identifier that is unique across processes, of 16 or more URL-safe characters. */
  id(): string;
}

/** Options of a call over an edge. */
export interface CallOptions {
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

/** Value stored in the key-value service. */
export interface KeyValueEntry {
  readonly key: string;
  readonly value: string;
  /** Service-wide revision of the last write to this key; grows with every write. */
  readonly version: number;
  readonly leaseId?: string;
}

/** One compare-and-swap; applies only if the key's version equals `expected` (0 means absent). */
export interface CasOperation {
  readonly key: string;
  readonly expected: number;
  /** New value, or `null` to delete the key. */
  readonly value: string | null;
  /** Lease whose expiry deletes the key. */
  readonly leaseId?: string;
}

/** Outcome of one compare-and-swap. */
export type CasResult =
  | { readonly applied: true; readonly version: number }
  | { readonly applied: false; readonly current: KeyValueEntry | null };

/** Reasons why a key-value call gives no answer. */
export enum KeyValueErrorCode {
  /** Nothing took effect. */
  Unavailable = 'unavailable',
  /** The write may or may not have taken effect. */
  OutcomeUnknown = 'outcome_unknown',
  TooLarge = 'too_large',
  RateLimited = 'rate_limited',
  LeaseNotFound = 'lease_not_found',
}

/** Error of the key-value service. */
export interface KeyValueError {
  readonly code: KeyValueErrorCode;
  readonly message: string;
}

/** Change delivered by a watch. */
export type WatchEvent =
  | { readonly type: 'put'; readonly entry: KeyValueEntry }
  | { readonly type: 'delete'; readonly key: string; readonly version: number };

/** Largest value that the key-value service stores, in bytes. */
export const KEY_VALUE_MAX_BYTES = 1_000_000;

/** Most operations in one {@link KeyValue.transact} call. */
export const KEY_VALUE_MAX_OPERATIONS = 64;

/** Key-value service with compare-and-swap, leases and watches. Each method call counts as one call. */
export interface KeyValue {
  /** Reads one key; `null` when it is absent. */
  get(key: string, opts: CallOptions): Promise<Result<KeyValueEntry | null, KeyValueError>>;
  /** Reads all keys with a prefix, in key order. */
  range(prefix: string, opts: CallOptions): Promise<Result<readonly KeyValueEntry[], KeyValueError>>;
  /** Performs up to 64 independent compare-and-swaps in one call; each succeeds or fails on its own. */
  transact(
    operations: readonly CasOperation[],
    opts: CallOptions,
  ): Promise<Result<readonly CasResult[], KeyValueError>>;
  /** Grants a lease; the keys attached to it are deleted once it expires. */
  leaseGrant(ttlMs: number, opts: CallOptions): Promise<Result<string, KeyValueError>>;
  /** Extends a lease by its full time to live. */
  leaseRenew(leaseId: string, opts: CallOptions): Promise<Result<void, KeyValueError>>;
  /** Ends a lease and deletes its keys. */
  leaseRevoke(leaseId: string, opts: CallOptions): Promise<Result<void, KeyValueError>>;
  /** Streams changes with `version >= fromVersion`; the stream ends when the watch breaks. */
  watch(prefix: string, fromVersion: number, signal: AbortSignal): AsyncIterable<WatchEvent>;
}

/** Whether a host or backend server is staying. */
export enum HostState {
  Live = 'live',
  Leaving = 'leaving',
}

/** One row of the platform's lagging host list. */
export interface HostRecord {
  readonly host: string;
  readonly failureDomain: string;
  readonly state: HostState;
}

/** Lagging list of live and leaving hosts. */
export interface HostList {
  list(opts: CallOptions): Promise<Result<readonly HostRecord[], EdgeError>>;
}

/** Failure of an edge without further distinction. */
export interface EdgeError {
  readonly code: 'unavailable';
  readonly message: string;
}

/** Rate-limited store of model weights; engines fetch from it when ordered to load. */
export interface WeightStore {
  /** Size in bytes of one version of a model, and how many loads may run at the same time across the fleet. */
  describe(
    model: string,
    version: string,
    opts: CallOptions,
  ): Promise<Result<{ readonly bytes: number; readonly concurrentLoads: number }, EdgeError>>;
}

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

/** One call to a plain service. */
export interface ServiceCall {
  readonly requestId: string;
  readonly attemptId: string;
  readonly workspace: string;
  readonly operation: string;
  readonly body: string;
  readonly idempotencyKey?: string;
}

/** Answer of a plain service. */
export interface ServiceAnswer {
  readonly requestId: string;
  readonly attemptId: string;
  readonly status: number;
  readonly body: string;
}

/** Error of a plain-service call; `sent: 'no'` only where not having been sent is certain. */
export interface ServiceError {
  readonly code: 'unreachable' | 'leaving' | 'broken';
  readonly sent: 'no' | 'unknown';
  readonly message: string;
}

/** One backend server of a plain service. */
export interface PlainService {
  readonly name: string;
  call(call: ServiceCall, opts: CallOptions): Promise<Result<ServiceAnswer, ServiceError>>;
}

/** Error of a call to another entry. */
export type PeerError =
  | { readonly code: 'unreachable' | 'timeout'; readonly message: string }
  | { readonly code: 'rejected'; readonly message: string };

/** Sends JSON-RPC requests to other entries; results are checked by the caller. */
export interface PeerClient {
  call(address: string, method: string, params: unknown, opts: CallOptions): Promise<Result<unknown, PeerError>>;
}

/** Handles one JSON-RPC method; `params` is unchecked input. */
export type PeerHandler = (params: unknown) => Promise<Result<unknown, PeerError>>;

/** Where parts register the methods that they serve to other entries. */
export interface PeerServer {
  register(method: string, handler: PeerHandler): Disposable;
}

/** Values of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>;

/** Structured log. */
export interface Log {
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** Metric labels. */
export type Labels = Readonly<Record<string, string>>;

/** Metrics sink. */
export interface Meter {
  /** Adds to a counter. */
  count(name: string, amount?: number, labels?: Labels): void;
  /** Records a duration in milliseconds. */
  record(name: string, valueMs: number, labels?: Labels): void;
  /** Sets a gauge. */
  gauge(name: string, value: number, labels?: Labels): void;
}
