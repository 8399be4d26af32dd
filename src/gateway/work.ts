import type { ServerResponse } from 'node:http';
import type { ForwardingService, Route } from './configuration.js';
import type { Call } from './dialect.js';
import type { Refusal } from './outcome.js';

/** What one send to a backend server was based on. */
export interface SendTrace {
  /** Revision of the server's record by which it was chosen; `null` where it has gone meanwhile. */
  readonly revision: number | null;
  /** Time in ms from the choice of the server to the write of the request; `null` while it is not written. */
  writtenMs: number | null;
}

/** Counts and findings of one call, for its log line; times in ms. */
export interface Trace {
  readonly arrivedAt: number;
  /** Sends that count against the retry budget once there is more than one. */
  arrivals: number;
  readonly steps: string[];
  readonly sends: SendTrace[];
  /** Time from the arrival to the first bytes of the answer's body. */
  firstMs: number | null;
  /** Longest time between two pieces of the answer's body. */
  pauseMs: number;
}

/** One call on its way to an answer. */
export interface Work {
  readonly call: Call;
  readonly body: Buffer | null;
  readonly route: Route;
  readonly service: ForwardingService;
  /** Monotonic time in ms by which the final answer is due. */
  readonly deadline: number;
  /** Whether the caller was refused before and has come back. */
  readonly retried: boolean;
  readonly trace: Trace;
  readonly res: ServerResponse;
  /** Aborts when the caller has left or the time is over. */
  readonly ended: AbortSignal;
}

/** Why {@link Work.ended} aborts. */
export enum EndReason {
  CallerLeft = 'caller left',
  Timeout = 'timeout',
}

/** What the caller got. */
export type Delivery =
  | { readonly type: 'delivered'; readonly status: number }
  | { readonly type: 'cut'; readonly reason: string }
  | { readonly type: 'refused'; readonly refusal: Refusal };

/** Adds a step with its time to the log line of a call. */
export function note(trace: Trace, step: string, now: number): void {
  trace.steps.push(`${step}@${Math.round(now - trace.arrivedAt)}`);
}
