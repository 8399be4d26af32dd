import type { ServerResponse } from 'node:http';
import type { Clock, Log, Meter } from '../core/interfaces/index.js';
import type { Route } from './configuration.js';
import type { Call } from './codec.js';
import { refusalAnswer } from './outcome.js';
import { describeParts } from './placement.js';
import type { Refusal } from './outcome.js';
import type { Delivery, SendTrace, Trace } from './callcontext.js';

const MS_PER_S = 1_000;

/** Describes how the answer to a send ended, as `RESULT/CONNECTION/BYTES`. */
function describeEnd({ end }: SendTrace): string {
  return end === null ? '-' : `${end.how}/${end.connection}/${end.bytes}`;
}

/** Answers a call with a refusal, unless an answer has begun or the connection is closed. */
export function sendRefusal(res: ServerResponse, refusal: Refusal): void {
  if (res.destroyed || res.headersSent) return;
  const { status, retryAfterMs } = refusalAnswer(refusal);
  const text = JSON.stringify({ error: refusal });
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...(refusal.code === 'unauthorized' ? { 'www-authenticate': 'Bearer' } : {}),
    ...(retryAfterMs === null ? {} : { 'retry-after': (retryAfterMs / MS_PER_S).toFixed(2) }),
  });
  res.end(text);
}

function detailOf(delivery: Delivery): string | undefined {
  if (delivery.type === 'cut') return delivery.reason;
  return delivery.type === 'refused' && 'message' in delivery.refusal ? delivery.refusal.message : undefined;
}

/** Dependencies and state that the log line of a call needs. */
export interface ReportContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly meter: Meter;
  /** Version of the current configuration. */
  readonly version: number | undefined;
  /** Age in ms of the server records. */
  readonly recordsAgeMs: number;
}

/** Updates the metrics for a call that has ended and writes its log line. */
export function recordCall(
  call: Call | null,
  route: Route | null,
  workspace: string | null,
  delivery: Delivery,
  trace: Trace,
  context: ReportContext,
): void {
  const { clock, log, meter } = context;
  const tookMs = clock.monotonic() - trace.arrivedAt;
  const outcome = delivery.type === 'refused' ? delivery.refusal.code : delivery.type;
  const kind = route?.kind ?? 'none';
  meter.count('forwarded', 1, { outcome, route: kind });
  meter.record('forward_ms', tookMs, { route: kind });
  for (const { end } of trace.sends) {
    if (end !== null) meter.count('answer_ends', 1, { result: end.how, connection: end.connection });
  }
  const fields = {
    request: call?.id,
    route: route?.name,
    parts: call?.generation === undefined || call.generation === null
      ? undefined : describeParts(call.generation.parts.map(({ id }) => id), ' '),
    workspace: workspace ?? undefined,
    deadline_ms: call?.deadlineMs ?? undefined,
    version: context.version,
    servers_age_ms: Math.round(context.recordsAgeMs),
    steps: trace.steps.join(' '),
    rank: trace.rank,
    revisions: trace.sends.map(({ revision }) => revision ?? 'gone').join(' '),
    written_ms: trace.sends.map(({ writtenMs }) => writtenMs ?? '-').join(' '),
    ends: trace.sends.map(describeEnd).join(' '),
    passed_bytes: trace.passedBytes,
    last_event: trace.lastEventId ?? undefined,
    first_ms: trace.firstMs === null ? undefined : Math.round(trace.firstMs),
    pause_ms: trace.pauseMs === 0 ? undefined : Math.round(trace.pauseMs),
    took_ms: Math.round(tookMs),
    outcome,
    status: delivery.type === 'delivered' ? delivery.status : undefined,
    detail: detailOf(delivery),
  };
  if (delivery.type === 'delivered') log.info('call', fields);
  else log.warn('call', fields);
}
