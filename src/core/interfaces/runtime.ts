/** Resource that must be disposed exactly once. */
export interface Disposable {
  dispose(): void;
}

/** Source of time. Durations are in milliseconds; deadlines are in milliseconds on the monotonic clock. */
export interface Clock {
  /** Milliseconds since an arbitrary origin; never decreases. */
  monotonic(): number;
  /** Wall-clock time, for records and logs only. */
  now(): Date;
  /** Runs `callback` once after `delayMs`; dispose the handle to cancel it. */
  after(delayMs: number, callback: () => void): Disposable;
}

/** Source of randomness. */
export interface Random {
  /** Uniformly distributed number in [0, 1). */
  float(): number;
  /** Identifier that is unique across processes, with at least 16 URL-safe characters. */
  id(): string;
}

/** Options of a call to something outside of the process. */
export interface CallOptions {
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

/** Failure of a call to something outside of the process, where the caller needs no further detail. */
export interface UnavailableError {
  readonly code: 'unavailable';
  readonly message: string;
}
