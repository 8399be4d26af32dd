import { assertNever } from '../core/result.js';

/** Why a gateway refuses a call or has no answer of a backend server for it. */
export type Refusal =
  /** This process has not read a configuration yet. */
  | { readonly code: 'not_configured' }
  | { readonly code: 'no_route' }
  | { readonly code: 'invalid_call'; readonly message: string }
  /** The call has no valid key. */
  | { readonly code: 'unauthorized'; readonly message: string }
  | { readonly code: 'body_too_large' | 'head_too_large' }
  /** No backend server of the service is available. */
  | { readonly code: 'no_server'; readonly retryAfterMs: number }
  /** All available backend servers are fully occupied. */
  | { readonly code: 'occupied'; readonly retryAfterMs: number }
  /** All available backend servers have asked for a pause. */
  | { readonly code: 'paused'; readonly retryAfterMs: number }
  /** Each send was refused by its backend server or could not be written. */
  | { readonly code: 'not_executed'; readonly retryAfterMs: number }
  /** A part of the prompt has crashed backend servers. */
  | { readonly code: 'quarantined'; readonly part: string; readonly retryAfterMs: number }
  /** This process stops before the end of the call is certain; another gateway can serve it. */
  | { readonly code: 'stopping'; readonly retryAfterMs: number }
  /** This process reaches no backend server, and other gateways do. */
  | { readonly code: 'out_of_reach'; readonly retryAfterMs: number }
  /** It is not known at which version of the software the stream began that the caller takes up. */
  | { readonly code: 'version_unknown'; readonly retryAfterMs: number }
  /** No backend server has the version of the software at which the stream began that the caller takes up. */
  | { readonly code: 'version_gone'; readonly retryAfterMs: number }
  /** The deadline of the caller or the timeout of the route passed before the call was sent. */
  | { readonly code: 'expired'; readonly retryAfterMs: number }
  /** The call may have been executed, and its answer was lost. */
  | { readonly code: 'outcome_unknown'; readonly message: string }
  /** The call may have been executed, and the deadline of the caller or the timeout of the route has passed. */
  | { readonly code: 'timeout' };

/** HTTP status of a refusal, and the delay in ms after which the caller may retry, or `null` where none is stated. */
export interface RefusalAnswer {
  readonly status: number;
  readonly retryAfterMs: number | null;
}

/** HTTP answer for a refusal. Status 429 or 503 promises that the call was not and will not be executed. */
export function refusalAnswer(refusal: Refusal): RefusalAnswer {
  switch (refusal.code) {
    case 'not_configured': return { status: 503, retryAfterMs: 500 };
    case 'no_route': return { status: 404, retryAfterMs: null };
    case 'unauthorized': return { status: 401, retryAfterMs: null };
    case 'invalid_call': return { status: 400, retryAfterMs: null };
    case 'body_too_large': return { status: 413, retryAfterMs: null };
    case 'head_too_large': return { status: 431, retryAfterMs: null };
    case 'no_server':
    case 'occupied':
    case 'paused':
    case 'not_executed':
    case 'quarantined':
    case 'stopping':
    case 'out_of_reach':
    case 'version_unknown':
    case 'version_gone':
    case 'expired': return { status: 503, retryAfterMs: refusal.retryAfterMs };
    case 'outcome_unknown': return { status: 502, retryAfterMs: null };
    case 'timeout': return { status: 504, retryAfterMs: null };
    default: return assertNever(refusal);
  }
}
