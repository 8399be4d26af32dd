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

/** Failure of an edge without further distinction. */
export interface EdgeError {
  readonly code: 'unavailable';
  readonly message: string;
}
