import type { Priority, Role } from '../edges/index.js';

/** Generation request as the policy sees it. */
export interface WorkItem {
  readonly requestId: string;
  readonly workspace: string;
  /** Share of the workspace relative to others; 1 unless the fleet file says otherwise. */
  readonly weight?: number;
  readonly model: string;
  /** Groups requests whose output lengths resemble each other, for example an operation name. */
  readonly kind: string;
  readonly priority: Priority;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Chained hashes of the prompt's prefix blocks, see `prefixes.ts`. */
  readonly blocks: readonly string[];
  /** Monotonic time in ms by which the first token must arrive. */
  readonly deadline: number;
  /** Monotonic time in ms of arrival. */
  readonly arrival: number;
  /** Prompt tokens whose KV cache is imported with the request, so that they need no prefill. */
  readonly importedTokens?: number;
  /** The answer has begun; what is left of it is never refused for load. */
  readonly continuation?: boolean;
  /** Engines that must not be chosen again for this request. */
  readonly excluded?: ReadonlySet<string>;
}

/** Where a request runs. `prefill` names a separate prefill engine, or is `null` when `engine` prefills itself. */
export interface Placement {
  readonly engine: string;
  readonly prefill: string | null;
}

/** How an attempt ended. */
export enum AttemptOutcome {
  Done = 'done',
  /** The engine failed, refused or timed out. */
  Failed = 'failed',
  Cancelled = 'cancelled',
}

/** Why a request was not run. Every refusal of the policy happens before anything is sent: `ran: no`. */
export type PolicyRefusal =
  | { readonly code: 'queue_full'; readonly retryAfterMs: number }
  | { readonly code: 'deadline_unreachable'; readonly retryAfterMs: number }
  | { readonly code: 'no_engine'; readonly retryAfterMs: number };

/** What the router knows of an engine from the fleet file, orders and reports. */
export interface EngineFacts {
  readonly name: string;
  readonly failureDomain: string;
  readonly models: readonly string[];
  readonly role: Role;
  /** False while leaving, drained, changing role or not loaded. */
  readonly available: boolean;
}
