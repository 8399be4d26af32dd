import type { Result } from '../result.js';
import type { CallOptions } from './runtime.js';

/** One call to a plain service. */
export interface ServiceCall {
  readonly requestId: string;
  readonly attemptId: string;
  readonly workspace: string;
  readonly operation: string;
  readonly body: string;
  readonly idempotencyKey?: string;
}

/** Answer of a plain service, of any status. */
export interface ServiceAnswer {
  readonly requestId: string;
  readonly attemptId: string;
  readonly status: number;
  readonly body: string;
}

/** Error of a call to a plain service; `sent` is `'no'` only if the call was certainly not sent. */
export interface ServiceError {
  readonly code: 'unreachable' | 'leaving' | 'broken';
  readonly sent: 'no' | 'unknown';
  readonly message: string;
}

/** Interface to one backend server of a plain service. */
export interface PlainService {
  readonly name: string;
  /** Sends a call and waits for its answer; an answer of any status is a success, unless the server is leaving. */
  call(call: ServiceCall, opts: CallOptions): Promise<Result<ServiceAnswer, ServiceError>>;
}
