import { assertNever } from './result.js';

/** Whether a refused call was executed. `No` is used only where that is certain. */
export enum RanStatus {
  No = 'no',
  Unknown = 'unknown',
  Yes = 'yes',
}

/** Reason why a call is refused. {@link refusedCallRan} tells whether the call may have been executed nevertheless. */
export type Refusal =
  | { readonly code: 'invalid_request'; readonly path: string; readonly expected: string }
  | { readonly code: 'unknown_model'; readonly model: string }
  | { readonly code: 'unknown_service'; readonly service: string }
  | { readonly code: 'unknown_workspace'; readonly workspace: string }
  | { readonly code: 'idempotency_key_required'; readonly operation: string }
  | { readonly code: 'idempotency_key_reused'; readonly ran: RanStatus }
  | { readonly code: 'queue_full'; readonly retryAfterMs: number }
  | { readonly code: 'deadline_unreachable'; readonly retryAfterMs: number }
  | { readonly code: 'no_engine'; readonly retryAfterMs: number }
  | { readonly code: 'no_server'; readonly retryAfterMs: number }
  | { readonly code: 'not_ready'; readonly retryAfterMs: number }
  | { readonly code: 'draining' }
  | { readonly code: 'record_store_unavailable'; readonly ran: RanStatus; readonly retryAfterMs: number }
  /** Refused for `reason` before the record of the idempotency key was read, so an earlier attempt may have run. */
  | { readonly code: 'record_not_read'; readonly reason: string; readonly retryAfterMs: number }
  | { readonly code: 'outcome_unknown' }
  | { readonly code: 'engine_failed'; readonly ran: RanStatus }
  | { readonly code: 'deadline_exceeded'; readonly ran: RanStatus }
  | { readonly code: 'stream_lost' }
  | { readonly code: 'invalid_event_id' };

/** Returns whether the call behind a refusal was executed. */
export function refusedCallRan(refusal: Refusal): RanStatus {
  switch (refusal.code) {
    case 'invalid_request':
    case 'unknown_model':
    case 'unknown_service':
    case 'unknown_workspace':
    case 'idempotency_key_required':
    case 'queue_full':
    case 'deadline_unreachable':
    case 'no_engine':
    case 'no_server':
    case 'not_ready':
    case 'draining':
      return RanStatus.No;
    // The event id is unreadable, but the request that the caller wants to resume may have run.
    case 'invalid_event_id':
    case 'record_not_read':
    case 'outcome_unknown':
      return RanStatus.Unknown;
    case 'stream_lost':
      return RanStatus.Yes;
    case 'idempotency_key_reused':
    case 'record_store_unavailable':
    case 'engine_failed':
    case 'deadline_exceeded':
      return refusal.ran;
    default:
      return assertNever(refusal);
  }
}
