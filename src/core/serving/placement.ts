import type { Priority, Role } from '../interfaces/index.js';

/** Generation request, reduced to what admission and routing need. */
export interface WorkItem {
  readonly requestId: string;
  readonly workspace: string;
  /** Weight of the workspace relative to others; 1 unless the fleet file states another one. */
  readonly weight?: number;
  readonly model: string;
  /** Groups requests with similar output lengths, for example by the name of the operation. */
  readonly kind: string;
  readonly priority: Priority;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Chained hashes of the prompt's prefix blocks, see `prefixes.ts`. */
  readonly prefixBlockHashes: readonly string[];
  /** Monotonic time in ms by which the first token must arrive. */
  readonly deadline: number;
  /** Monotonic time in ms of arrival. */
  readonly arrival: number;
  /** Prompt tokens whose KV cache is imported with the request and which therefore need no prefill. */
  readonly importedTokens?: number;
  /** True for the rest of an answer that has begun, which is never refused because of load. */
  readonly continuation?: boolean;
  /** Engines that must not be chosen again for this request. */
  readonly excludedEngines?: ReadonlySet<string>;
}

/** Engines of a request. `prefill` names a separate prefill engine, or is `null` if `engine` also does the prefill. */
export interface Placement {
  readonly engine: string;
  readonly prefill: string | null;
}

/** How an attempt ended. */
export enum AttemptOutcome {
  /** The answer is complete. */
  Done = 'done',
  /** The engine failed, refused or timed out. */
  Failed = 'failed',
  Cancelled = 'cancelled',
}

/** Reason why a request was refused, with the delay in ms before a retry. Nothing has been sent by then: `ran: no`. */
export type AdmissionRefusal =
  | { readonly code: 'queue_full'; readonly retryAfterMs: number }
  | { readonly code: 'deadline_unreachable'; readonly retryAfterMs: number }
  | { readonly code: 'no_engine'; readonly retryAfterMs: number };

/** What the router knows about an engine from the fleet file, orders and reports. */
export interface EngineInfo {
  readonly name: string;
  readonly failureDomain: string;
  readonly models: readonly string[];
  readonly role: Role;
  /** False while the engine is leaving, drained, changing its role or has not loaded its models. */
  readonly available: boolean;
}
