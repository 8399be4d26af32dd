import { RanStatus, refusedCallRan } from '../core/refusals.js';
import type { Refusal } from '../core/refusals.js';
import { assertNever } from '../core/result.js';

/** Refusals by a listener, before a request reaches the entry; nothing was run. */
export type HttpRefusal =
  | { readonly code: 'not_found'; readonly target: string }
  | { readonly code: 'method_not_allowed'; readonly allowed: string }
  | { readonly code: 'body_too_large'; readonly limitBytes: number }
  | { readonly code: 'request_timeout' }
  | { readonly code: 'headers_too_large' }
  | { readonly code: 'malformed_request' }
  | { readonly code: 'unauthorized' }
  | { readonly code: 'overloaded'; readonly retryAfterMs: number };

/** JSON body of every refusal. */
export interface RefusalBody {
  readonly error: {
    readonly code: string;
    readonly message: string;
    readonly ran: RanStatus;
    readonly retry_after_ms?: number;
  };
}

/** Refusal as an HTTP answer. */
export interface RefusalAnswer {
  readonly status: number;
  readonly body: RefusalBody;
}

const RAN_TEXT: Readonly<Record<RanStatus, string>> = {
  [RanStatus.No]: 'the call was not run',
  [RanStatus.Unknown]: 'it is unknown whether the call was run',
  [RanStatus.Yes]: 'the call was run',
};

/** HTTP status and message of a refusal by the entry. */
function describeRefusal(refusal: Refusal): readonly [status: number, message: string] {
  switch (refusal.code) {
    case 'invalid_request':
      return [400, `${refusal.path === '' ? 'request' : refusal.path}: expected ${refusal.expected}`];
    case 'unknown_model':
      return [404, `model ${JSON.stringify(refusal.model)} is not in the fleet file in force`];
    case 'unknown_service':
      return [404, `service or operation ${JSON.stringify(refusal.service)} is not in the fleet file in force`];
    case 'unknown_workspace':
      return [403, `workspace ${JSON.stringify(refusal.workspace)} is not in the fleet file in force`];
    case 'idempotency_key_required':
      return [400, `operation ${JSON.stringify(refusal.operation)} must not run twice; send an Idempotency-Key header`];
    case 'idempotency_key_reused':
      return [409, 'this Idempotency-Key was used for a different call'];
    case 'queue_full':
      return [429, 'the queue of this workspace and priority is full'];
    case 'deadline_unreachable':
      return [503, 'the deadline cannot be met at the present load'];
    case 'no_engine':
      return [503, 'no engine that serves this model is available'];
    case 'no_server':
      return [503, 'no backend server of this service is available'];
    case 'not_ready':
      return [503, 'no fleet file is in force at this entry yet'];
    case 'draining':
      return [503, 'this entry is stopping; ask /address for another one'];
    case 'record_store_unavailable':
      return [503, `the record of this call cannot be read or written now; ${RAN_TEXT[refusal.ran]}`];
    case 'record_not_read':
      return [503, `refused (${refusal.reason}) before the record of this Idempotency-Key was read; an earlier attempt may have run`];
    case 'outcome_unknown':
      return [504, 'the call was sent and no answer arrived; repeat it with the same Idempotency-Key to learn its outcome'];
    case 'engine_failed':
      return [502, `the engine failed; ${RAN_TEXT[refusal.ran]}`];
    case 'deadline_exceeded':
      return [504, `the deadline passed; ${RAN_TEXT[refusal.ran]}`];
    case 'stream_lost':
      return [410, 'the rest of this answer is lost; repeat the request without Last-Event-ID'];
    case 'invalid_event_id':
      return [400, 'Last-Event-ID is not an event id of this deployment'];
    default:
      return assertNever(refusal);
  }
}

/** HTTP status and message of a refusal by a listener. */
function describeHttpRefusal(refusal: HttpRefusal): readonly [status: number, message: string] {
  switch (refusal.code) {
    case 'not_found':
      return [404, `there is nothing at ${JSON.stringify(refusal.target)}`];
    case 'method_not_allowed':
      return [405, `only ${refusal.allowed} is accepted here`];
    case 'body_too_large':
      return [413, `the body is larger than ${refusal.limitBytes} bytes`];
    case 'request_timeout':
      return [408, 'the request did not arrive completely in time'];
    case 'headers_too_large':
      return [431, 'the headers are too large'];
    case 'malformed_request':
      return [400, 'the request is not valid HTTP/1.1'];
    case 'unauthorized':
      return [401, 'a valid bearer token is required'];
    case 'overloaded':
      return [503, 'this entry has too many connections or unread bodies'];
    default:
      return assertNever(refusal);
  }
}

function buildAnswer(
  refusal: Refusal | HttpRefusal,
  [status, message]: readonly [status: number, message: string],
  ran: RanStatus,
): RefusalAnswer {
  const retryAfter = 'retryAfterMs' in refusal ? { retry_after_ms: Math.ceil(refusal.retryAfterMs) } : {};
  return {
    status,
    body: {
      error: {
        code: refusal.code, message, ran, ...retryAfter,
      },
    },
  };
}

/** HTTP answer for a refusal by the entry. `ran` overrides the refusal's own value where the endpoint knows better. */
export function refusalAnswer(refusal: Refusal, ran: RanStatus = refusedCallRan(refusal)): RefusalAnswer {
  return buildAnswer(refusal, describeRefusal(refusal), ran);
}

/** HTTP answer for a refusal by a listener. */
export function httpRefusalAnswer(refusal: HttpRefusal): RefusalAnswer {
  return buildAnswer(refusal, describeHttpRefusal(refusal), RanStatus.No);
}
