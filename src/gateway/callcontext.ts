import type { ServerResponse } from 'node:http';
import type { ForwardingService, Route } from './configuration.js';
import type { Call } from './codec.js';
import type { Run } from './openruns.js';
import type { Refusal } from './outcome.js';
import type { AnswerEnd } from './upstream.js';
import type { Caller } from './workspaces.js';

/** One send of a call to a backend server, for the log line of the call. */
export interface SendTrace {
  /** Version of the server's software. */
  readonly softwareVersion: string;
  /** Store revision of the record by which the server was chosen; `null` where the server was removed meanwhile. */
  readonly revision: number | null;
  /** Time in ms from the choice of the server to the write of the request; `null` while it is not written. */
  writtenMs: number | null;
  /** `null` while the answer has not ended. */
  end: AnswerEnd | null;
}

/** Measurements and steps of one call, for its log line; times in ms. */
export interface Trace {
  /** Monotonic time at which the call arrived. */
  readonly arrivedAt: number;
  /** Number of sends of the call; each one after the first takes from the retry budget. */
  countedSends: number;
  /** Whether a server has begun to run the call. */
  begun: boolean;
  /** Steps of the call with the time since its arrival. */
  readonly steps: string[];
  readonly sends: SendTrace[];
  /** Runs of the call at servers, without prefills. */
  readonly runs: Run[];
  /** Time from the arrival of the call to the first bytes of the answer's body. */
  firstMs: number | null;
  /** Rank with which the call got its slot; absent where calls are not ranked. */
  rank?: number;
  /** Longest time between two chunks of the answer's body. */
  pauseMs: number;
  /** Bytes of the answer's body that were written to the caller. */
  passedBytes: number;
  /** Id of the last event that has arrived of a stream that may be resumed. */
  lastEventId: string | null;
}

/** Call that is being forwarded. */
export interface CallContext {
  readonly call: Call;
  readonly body: Buffer | null;
  readonly route: Route;
  readonly service: ForwardingService;
  readonly caller: Caller;
  /** Version of the software that began the stream of this call and must go on with it; `null` while any may run it. */
  readonly softwareVersion: string | null;
  /** Priority of the call; 0 is the most urgent. */
  readonly priority: number;
  /** Monotonic time in ms by which the final answer is due. */
  readonly deadline: number;
  /** Whether the caller sends the call again after a refusal. */
  readonly retried: boolean;
  readonly trace: Trace;
  readonly res: ServerResponse;
  /** Aborts when the caller disconnects or the deadline passes; its reason is an {@link AbortReason}. */
  readonly ended: AbortSignal;
}

/** Why {@link CallContext.ended} aborts. */
export enum AbortReason {
  CallerLeft = 'caller left',
  Timeout = 'timeout',
  Quarantined = 'a part of the prompt is in quarantine',
  Failed = 'the call failed unexpectedly',
  Stopped = 'the grace period is over',
  OutOfReach = 'no backend server is in reach',
}

/** What the caller received. */
export type Delivery =
  | { readonly type: 'delivered'; readonly status: number }
  | { readonly type: 'cut'; readonly reason: string }
  | { readonly type: 'refused'; readonly refusal: Refusal };

/** Adds a step, with the time in ms since the arrival of the call, to its log line. */
export function addStep(trace: Trace, step: string, now: number): void {
  trace.steps.push(`${step}@${Math.round(now - trace.arrivedAt)}`);
}
