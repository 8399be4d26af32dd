import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ApplyOutcome, DrainReport, EntryApi } from './api.js';
import {
  listenHttp, readBody, sendJson, sendRefusal,
} from './http.js';
import type { HttpLimits, HttpListener, ListenError } from './http.js';
import { httpRefusalAnswer, refusalAnswer } from './refusals.js';
import type { Log, Meter } from '../core/interfaces/index.js';
import { FLEET_MAX_BYTES } from '../core/configuration/index.js';
import { formatIssue } from '../core/issues.js';
import { assertNever } from '../core/result.js';
import type { Result } from '../core/result.js';
import type { Secret } from '../core/configuration/index.js';
import { reportUnexpected } from '../core/unexpected.js';

const APPLY_TIMEOUT_MS = 10_000;

const MAX_APPLY_TIMEOUT_MS = 60_000;

const LIMITS: HttpLimits = { body: FLEET_MAX_BYTES, connections: 64, headerTimeout: 5_000 };

/** Options of {@link listenOperators}. */
export interface OperatorOptions {
  /** IP address and port to listen on. */
  readonly address: string;
  readonly token: Secret;
  readonly log: Log;
  readonly meter: Meter;
  /** Renders the metrics in the Prometheus text format. */
  readonly renderMetrics: () => string;
  /** Starts the planned stop of the process; resolves to its report before the listeners close. */
  readonly drain: () => Promise<DrainReport>;
}

function sha256(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

/** HTTP status for the outcome of an apply. */
function applyStatus(outcome: ApplyOutcome): number {
  switch (outcome.type) {
    case 'accepted':
      return 200;
    case 'invalid':
      return 422;
    case 'conflict':
      return 409;
    case 'unavailable':
      return 503;
    case 'unknown':
      return 504;
    default:
      return assertNever(outcome);
  }
}

/** Parses a whole number of at most 15 digits; `undefined` if the text is not one. */
function wholeNumber(text: string | null): number | undefined {
  return text !== null && /^\d{1,15}$/.test(text) ? Number(text) : undefined;
}

/** HTTP endpoints for operators; every request must carry the operator token. */
class OperatorEndpoints {
  private readonly expectedDigest: Buffer;

  public constructor(private readonly entry: EntryApi, private readonly opts: OperatorOptions) {
    this.expectedDigest = sha256(`Bearer ${opts.token.reveal()}`);
  }

  public async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    // Comparing digests takes the same time for every wrong token, whatever its length.
    if (!timingSafeEqual(sha256(req.headers.authorization ?? ''), this.expectedDigest)) {
      this.opts.log.warn('operator_unauthorized', { remote: req.socket.remoteAddress });
      sendRefusal(res, httpRefusalAnswer({ code: 'unauthorized' }));
      return;
    }
    const [path, query] = (req.url ?? '').split('?', 2);
    const route = `${req.method ?? ''} ${path ?? ''}`;
    if (route === 'POST /apply') await this.apply(req, res, new URLSearchParams(query));
    else if (route === 'GET /show') this.show(res);
    else if (route === 'GET /dump') sendJson(res, 200, this.entry.dump());
    else if (route === 'POST /drain') await this.drain(res);
    else if (route === 'GET /metrics') {
      res.writeHead(200, { 'content-type': 'text/plain; version=0.0.4; charset=utf-8' });
      res.end(this.opts.renderMetrics());
    } else sendRefusal(res, httpRefusalAnswer({ code: 'not_found', target: route.slice(0, 100) }));
  }

  private async apply(req: IncomingMessage, res: ServerResponse, query: URLSearchParams): Promise<void> {
    const base = wholeNumber(query.get('base'));
    const timeoutMs = Math.min(MAX_APPLY_TIMEOUT_MS, wholeNumber(query.get('timeout')) ?? APPLY_TIMEOUT_MS);
    if (query.has('base') && base === undefined) {
      sendRefusal(res, refusalAnswer({ code: 'invalid_request', path: 'base', expected: 'a revision' }));
      return;
    }
    const body = await readBody(req);
    if (!body.success) {
      if (body.error.code === 'not_utf8') {
        sendRefusal(res, refusalAnswer({ code: 'invalid_request', path: 'body', expected: 'UTF-8 text' }));
      } else if (body.error.code !== 'aborted') sendRefusal(res, httpRefusalAnswer(body.error));
      return;
    }
    const outcome = await this.entry.apply(body.data, base, timeoutMs);
    this.opts.log.info('apply', {
      outcome: outcome.type, ...('revision' in outcome ? { revision: outcome.revision } : {}),
    });
    const response = outcome.type === 'invalid'
      ? { ...outcome, issues: outcome.issues.map((issue) => ({ ...issue, text: formatIssue(issue) })) }
      : outcome;
    sendJson(res, applyStatus(outcome), response);
  }

  private show(res: ServerResponse): void {
    const inForce = this.entry.show();
    if (inForce === null) sendRefusal(res, refusalAnswer({ code: 'not_ready', retryAfterMs: 1_000 }));
    else sendJson(res, 200, inForce);
  }

  private async drain(res: ServerResponse): Promise<void> {
    this.opts.log.info('drain_requested');
    const report = await this.opts.drain();
    res.setHeader('connection', 'close');
    sendJson(res, 200, report);
  }
}

/** Opens the HTTP listener for operators; fails if the address cannot be used. */
export function listenOperators(entry: EntryApi, opts: OperatorOptions): Promise<Result<HttpListener, ListenError>> {
  const endpoints = new OperatorEndpoints(entry, opts);
  return listenHttp(opts.address, (req, res) => endpoints.handle(req, res), LIMITS, {
    onUnexpected: (err) => reportUnexpected(opts, 'operator', err),
  });
}
