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
