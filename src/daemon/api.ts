import type { ApplyOutcome, FleetRevision } from '../core/configuration/index.js';
import type { FinishReason, Priority } from '../core/interfaces/index.js';
import type { Refusal } from '../core/refusals.js';
import type { Result } from '../core/result.js';

export type { ApplyOutcome, FleetRevision } from '../core/configuration/index.js';

/** Generation request after the caller's input has been checked. */
export interface GenerateRequest {
  readonly workspace: string;
  readonly model: string;
  readonly prompt: string;
  /** Groups requests whose output lengths resemble each other. */
  readonly kind: string;
  readonly maxTokens: number;
  readonly priority: Priority;
  /** Time from now by which the first token must arrive, in ms. */
  readonly deadlineMs: number;
}

/** Event of an answer as the caller sees it, exactly once and in order. */
export type AnswerEvent =
  | { readonly type: 'token'; readonly eventId: string; readonly index: number; readonly text: string }
  | {
    readonly type: 'end';
    readonly eventId: string;
    readonly reason: FinishReason;
    readonly promptTokens: number;
    readonly outputTokens: number;
  }
  /** The stream stops here; the caller continues with the last event id, at any entry if `resumable`. */
  | { readonly type: 'interrupted'; readonly resumable: boolean; readonly refusal: Refusal };

/** Running answer. Reading it slowly slows the engine stream down; `close` starts the resume window. */
export interface Answer {
  readonly requestId: string;
  readonly events: AsyncIterable<AnswerEvent>;
  /** Ends the reading; the engine's stream is cancelled once the resume window has passed. */
  close(): void;
}

/** Call of a plain service after the caller's input has been checked. */
export interface ServiceRequest {
  readonly workspace: string;
  readonly service: string;
  readonly operation: string;
  readonly body: string;
  readonly deadlineMs: number;
  readonly idempotencyKey?: string;
}

/** Answer of a plain service; `repeated` tells that a stored outcome was returned. */
export interface ServiceOutcome {
  readonly requestId: string;
  readonly status: number;
  readonly body: string;
  readonly repeated: boolean;
}

/** Which entry a caller should use. */
export interface AddressAnswer {
  readonly address: string;
  readonly failureDomain: string;
  /** How long the caller may keep this answer, in ms. */
  readonly keepMs: number;
}

/** Result of a planned stop. */
export interface DrainReport {
  readonly finished: number;
  /** Streams that ended at the bound with a resumable event id. */
  readonly handedOver: number;
  readonly cut: number;
  readonly durationMs: number;
}

/** One entry, as its HTTP listeners and command line use it. */
export interface EntryApi {
  generate(req: GenerateRequest): Promise<Result<Answer, Refusal>>;
  /** Continues an answer after the event with this id. */
  resume(eventId: string): Promise<Result<Answer, Refusal>>;
  callService(req: ServiceRequest): Promise<Result<ServiceOutcome, Refusal>>;
  address(): Result<AddressAnswer, Refusal>;
  models(): readonly string[];
  /** True once a fleet file is in force and the entry is not leaving. */
  ready(): boolean;
  /** `baseRevision` is the revision that the operator read; absent means whatever is in force now. */
  apply(file: string, baseRevision: number | undefined, timeoutMs: number): Promise<ApplyOutcome>;
  show(): FleetRevision | null;
  /** State of this process under stable keys, with ages in ms and without secrets. */
  dump(): Record<string, unknown>;
  drain(): Promise<DrainReport>;
}
