import { assertNever } from '../core/result.js';

/** Why a call gets no answer of a backend server. */
export type Refusal =
  /** This process knows no configuration yet. */
  | { readonly code: 'not_configured' }
  | { readonly code: 'no_route' }
  | { readonly code: 'invalid_call'; readonly message: string }
  | { readonly code: 'body_too_large' | 'head_too_large' }
  /** No backend server of the service takes work. */
  | { readonly code: 'no_server'; readonly retryAfterMs: number }
  /** All backend servers that may be used are fully occupied. */
  | { readonly code: 'occupied'; readonly retryAfterMs: number }
  /** Every send was refused by the backend server, or could not be written. */
  | { readonly code: 'not_executed'; readonly retryAfterMs: number }
  /** This process stops before the call would certainly have ended; others serve it. */
  | { readonly code: 'stopping'; readonly retryAfterMs: number }
  /** The time of the caller or of the route ended before the call was sent. */
  | { readonly code: 'expired'; readonly retryAfterMs: number }
  /** The call may have run, and its answer is lost. */
  | { readonly code: 'outcome_unknown'; readonly message: string }
  /** The call may have run, and the time of the caller or of the route ended. */
  | { readonly code: 'timeout' };

/** Status line and headers of a refusal. */
export interface RefusalAnswer {
  readonly status: number;
  readonly retryAfterMs: number | null;
}

/** How a refusal is told to the caller. 429 and 503 promise that the call has not run and will not run. */
export function refusalAnswer(refusal: Refusal): RefusalAnswer {
  switch (refusal.code) {
    case 'not_configured': return { status: 503, retryAfterMs: 500 };
    case 'no_route': return { status: 404, retryAfterMs: null };
    case 'invalid_call': return { status: 400, retryAfterMs: null };
    case 'body_too_large': return { status: 413, retryAfterMs: null };
    case 'head_too_large': return { status: 431, retryAfterMs: null };
    case 'no_server':
    case 'occupied':
    case 'not_executed':
    case 'stopping':
    case 'expired': return { status: 503, retryAfterMs: refusal.retryAfterMs };
    case 'outcome_unknown': return { status: 502, retryAfterMs: null };
    case 'timeout': return { status: 504, retryAfterMs: null };
    default: return assertNever(refusal);
  }
}
