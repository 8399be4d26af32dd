import { z } from 'zod';
import type { Call } from './codec.js';
import type { Candidate } from './placement.js';
import type { Workspace } from './workspaces.js';

const countSchema = z.coerce.number().int().min(0).max(999_999_999);

const partsSchema = z.string().transform((text, context) => {
  const parts = text.split(',').map((item) => /^([0-9a-f]{1,64}):(\d{1,9})$/i.exec(item.trim()));
  if (parts.every((part) => part !== null)) {
    return parts.map((part) => ({ id: (part[1] ?? '').toLowerCase(), tokens: Number(part[2]) }));
  }
  context.addIssue({ code: 'custom', message: 'expected ID:TOKENS, separated by commas' });
  return z.NEVER;
});

/** Schema of the call that an operator asks about, as the query of a URL. */
export const explainedCallSchema = z.strictObject({
  host: z.string().min(1),
  target: z.string().startsWith('/'),
  /** Workspace whose key the caller would present; none where it would present no key. */
  workspace: z.string().min(1).optional(),
  /** Tokens of the prompt and of the longest answer; a call that generates text has both. */
  prompt: countSchema.optional(),
  output: countSchema.optional(),
  parts: partsSchema.optional(),
  /** Request id of the attempt that brought the first event of a stream that the caller takes up. */
  resumes: z.string().min(1).optional(),
});

/** Call that an operator asks about. */
export type ExplainedCall = z.infer<typeof explainedCallSchema>;

/** Call as a caller of the named workspace would send it; the workspace's key is known by its digest only. */
export function callOf({
  host, target, workspace, prompt, output, parts, resumes,
}: ExplainedCall, workspaces: readonly Workspace[]): Call {
  const digest = workspaces.find(({ name }) => name === workspace)?.keyDigests[0];
  return {
    id: 'explain',
    method: 'POST',
    host,
    target,
    headers: [],
    authorization: [],
    credential: digest === undefined ? { type: 'none' } : { type: 'key', digest },
    deadlineMs: null,
    lastEventId: null,
    resumes: resumes ?? null,
    generation: prompt === undefined || output === undefined ? null : {
      model: null, promptTokens: prompt, maxOutputTokens: output, parts: parts ?? [],
    },
  };
}

/** Server that a call may go to, with the figures that decide. */
export interface ExplainedServer {
  readonly server: string;
  readonly failureDomain: string;
  /** Version of the server's software. */
  readonly softwareVersion: string;
  readonly role: string | null;
  /** Calls that are open there as far as this gateway knows, and the most that may be. */
  readonly open: number;
  readonly limit: number;
  /** Whether recent calls failed there, so that it gets no work. */
  readonly suspect: boolean;
  /** Time in ms for which the server still wants no request; `null` where it has not asked for a pause. */
  readonly pausedMs: number | null;
  /** Whether rendezvous hashing selects it for the shared part of the prompt. */
  readonly preferred: boolean;
}

/** One step of a call: the reading of its prompt, or all of its work. */
export interface ExplainedStep {
  readonly step: 'prefill' | 'continuation' | 'whole';
  /** Servers in the order in which they would be chosen now; those at the end take no call. */
  readonly servers: readonly ExplainedServer[];
  /** Calls of this gateway that wait for such a slot. */
  readonly waiting: number;
  /** Whether the gateway that gives out the places of the engines is asked; its answer is not known before. */
  readonly placesAreOwned: boolean;
}

/** Answer that a call would get instead of being sent. */
export interface ExplainedRefusal {
  readonly code: string;
  readonly status: number;
  readonly retryAfterMs: number | null;
}

/** Where a call would go now, and why. */
export interface Explanation {
  /** `null` where the call would be sent. */
  readonly refusal: ExplainedRefusal | null;
  readonly route: string | null;
  readonly workspace: string | null;
  readonly priority: number | null;
  /** Rank among the waiting calls; `null` where calls are not ranked. */
  readonly rank: number | null;
  readonly service: string | null;
  /** Version of the software that the taken-up stream needs, as far as this gateway remembers; else `null`. */
  readonly softwareVersion: string | null;
  /** Services of the route with their weights, one of which is drawn for each call. */
  readonly destinations: readonly { readonly service: string; readonly weight: number }[];
  readonly steps: readonly ExplainedStep[];
  /** Sends after the first that the retry budget allows now. */
  readonly retriesLeft: number | null;
  readonly beliefs: {
    readonly configurationVersion: number | null;
    /** Age in ms of the servers' records. */
    readonly recordsAgeMs: number;
    /** Share of the gateways whose open calls are known. */
    readonly heardShare: number;
  };
}

/** Describes a candidate at a monotonic time in ms; `preferred` is the engine that rendezvous hashing selects. */
export function explainServer(
  {
    record, open, limit, suspect, pausedUntil,
  }: Candidate,
  preferred: string | null,
  now: number,
): ExplainedServer {
  return {
    server: record.id,
    failureDomain: record.failureDomain,
    softwareVersion: record.softwareVersion,
    role: record.role,
    open,
    limit,
    suspect,
    pausedMs: pausedUntil === null ? null : Math.round(pausedUntil - now),
    preferred: record.id === preferred,
  };
}
