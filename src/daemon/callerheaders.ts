import type { IncomingMessage } from 'node:http';
import { z } from 'zod';
import { Priority } from '../core/interfaces/index.js';
import type { Refusal } from '../core/refusals.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';

/** Workspace of callers that send no `x-workspace`; they are served only if the fleet file defines it. */
export const DEFAULT_WORKSPACE = 'default';

const DEFAULT_DEADLINE_MS = 30_000;

const MAX_DEADLINE_MS = 3_600_000;

const labelSchema = (expected: string) => z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, expected);

const headersSchema = z.object({
  'x-priority': z.enum(Priority, 'urgent, normal or bulk').default(Priority.Normal),
  'x-deadline-ms': z.string().regex(/^\d{1,9}$/, 'a number of milliseconds').transform(Number)
    .refine((value) => value >= 1 && value <= MAX_DEADLINE_MS, `from 1 to ${MAX_DEADLINE_MS} ms`)
    .default(DEFAULT_DEADLINE_MS),
  'x-workspace': labelSchema('the name of a workspace').default(DEFAULT_WORKSPACE),
  'x-kind': labelSchema('at most 64 letters, digits, dots, hyphens and underscores').optional(),
  'idempotency-key': z.string().regex(/^[\x21-\x7e]{1,200}$/, '1 to 200 visible ASCII characters').optional(),
  'last-event-id': z.string().regex(/^[\x21-\x7e]{1,2000}$/, 'an event id of this deployment').optional(),
});

/** Validated request headers of a caller. */
export type CallerHeaders = z.infer<typeof headersSchema>;

/** Validates the headers of a caller's request; the refusal names the first invalid header. */
export function safeParseHeaders(req: IncomingMessage): Result<CallerHeaders, Refusal> {
  const parsed = headersSchema.safeParse(req.headers);
  if (parsed.success) return ok(parsed.data);
  const issue = parsed.error.issues[0];
  return fail({ code: 'invalid_request', path: String(issue?.path[0] ?? ''), expected: issue?.message ?? 'valid headers' });
}
