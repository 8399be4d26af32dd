import { Pool } from 'undici';
import { rejectInvalidHeads } from '../adapters/answers.js';
import type { Secret } from '../core/configuration/index.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';

/** HTTP response of an entry. */
export interface Reply {
  readonly status: number;
  /** Parsed JSON, or the text if it is not JSON. */
  readonly body: unknown;
}

/** Failure without a response; `sent` is false if the entry certainly did not receive the request. */
export interface NoReply {
  readonly sent: boolean;
  readonly message: string;
}

/** Request to one entry. */
export interface EntryRequest {
  readonly address: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly token?: Secret;
  readonly body?: string;
  readonly timeoutMs: number;
}

/** Codes of errors that occur before a request is sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT', 'ERR_INVALID_URL',
]);

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

/** Sends one request to an entry over a new connection. */
export async function sendEntryRequest(req: EntryRequest): Promise<Result<Reply, NoReply>> {
  let pool: Pool | null = null;
  try {
    pool = new Pool(`http://${req.address}`);
    const res = await pool.compose(rejectInvalidHeads).request({
      path: req.path,
      method: req.method,
      headers: {
        connection: 'close',
        ...(req.token === undefined ? {} : { authorization: `Bearer ${req.token.reveal()}` }),
      },
      ...(req.body === undefined ? {} : { body: req.body }),
      headersTimeout: req.timeoutMs,
      bodyTimeout: req.timeoutMs,
    });
    return ok({ status: res.statusCode, body: parseBody(await res.body.text()) });
  } catch (err) {
    const code = String((err as { code?: unknown }).code ?? '');
    const message = err instanceof Error && err.message !== '' ? err.message : code;
    return fail({ sent: !NOT_SENT_CODES.has(code), message: `${req.address}: ${message}` });
  } finally {
    await pool?.destroy();
  }
}
