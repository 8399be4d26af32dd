import type { ApplyOutcome, FleetRevision } from '../core/configuration/index.js';
import type { FinishReason, Priority } from '../core/interfaces/index.js';
import type { Refusal } from '../core/refusals.js';
import type { Result } from '../core/result.js';

export type { ApplyOutcome, FleetRevision } from '../core/configuration/index.js';

/** Validated generation request of a caller. */
export interface GenerateRequest {
  readonly workspace: string;
  readonly model: string;
  readonly prompt: string;
  /** Label for requests with similar output lengths; lengths are estimated separately for each kind. */
  readonly kind: string;
  readonly maxTokens: number;
  readonly priority: Priority;
  /** Deadline for the first token, in ms from now. */
  readonly deadlineMs: number;
}

/** Event of an answer; each one is delivered to the caller exactly once and in order. */
export type AnswerEvent =
  | { readonly type: 'token'; readonly eventId: string; readonly index: number; readonly text: string }
  | {
    readonly type: 'end';
    readonly eventId: string;
    readonly reason: FinishReason;
    readonly promptTokens: number;
    readonly outputTokens: number;
  }
  /** The stream ends early. If `resumable`, the caller can continue it at any entry with its last event id. */
  | { readonly type: 'interrupted'; readonly resumable: boolean; readonly refusal: Refusal };

/** Answer that is being generated. A slow reader slows down the engine's stream (backpressure). */
export interface Answer {
  readonly requestId: string;
  readonly events: AsyncIterable<AnswerEvent>;
  /** Stops reading. The engine's stream is cancelled at the end of the resume window, which starts now. */
  close(): void;
}

/** Validated call of a plain service. */
export interface ServiceRequest {
  readonly workspace: string;
  readonly service: string;
  readonly operation: string;
  readonly body: string;
  readonly deadlineMs: number;
  readonly idempotencyKey?: string;
}

/** Answer of a plain service; `repeated` means that it is the stored outcome of an earlier attempt. */
export interface ServiceOutcome {
  readonly requestId: string;
  readonly status: number;
  readonly body: string;
  readonly repeated: boolean;
}

/** Entry that a caller should send its requests to. */
export interface AddressAnswer {
  readonly address: string;
  readonly failureDomain: string;
  /** Time for which the caller may cache this answer, in ms. */
  readonly keepMs: number;
}

/** Result of a planned stop; counts of requests. */
export interface DrainReport {
  readonly finished: number;
  /** Streams that were ended when the drain bound passed and that callers can resume at another entry. */
  readonly handedOver: number;
  /** Requests that were still running when the stop ended. */
  readonly cut: number;
  readonly durationMs: number;
}

/** Interface of one entry for its HTTP listeners and the process that runs it. */
export interface EntryApi {
  generate(req: GenerateRequest): Promise<Result<Answer, Refusal>>;
  /** Continues a streamed answer after the event with this id. */
  resume(eventId: string): Promise<Result<Answer, Refusal>>;
  callService(req: ServiceRequest): Promise<Result<ServiceOutcome, Refusal>>;
  /** Chooses an entry for a caller that asks for an address. */
  address(): Result<AddressAnswer, Refusal>;
  /** Names of the models in the fleet file in force. */
  models(): readonly string[];
  /** True if a fleet file is in force and no planned stop has begun. */
  ready(): boolean;
  /**
   * Puts a fleet file in force. `baseRevision` is the revision that the file replaces; another one in force is a
   * conflict. `undefined` stands for the revision in force at the time of the call.
   */
  apply(file: string, baseRevision: number | undefined, timeoutMs: number): Promise<ApplyOutcome>;
  /** Fleet file in force, or `null` if there is none yet. */
  show(): FleetRevision | null;
  /** Internal state for operators: keys are stable, ages are in ms, secrets are left out. */
  dump(): Record<string, unknown>;
  /** Starts the planned stop, or joins the one that is running. */
  drain(): Promise<DrainReport>;
}
