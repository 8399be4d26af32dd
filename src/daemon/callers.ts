import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Answer, AnswerEvent, EntryApi } from './api.js';
import { CompletionWriter, safeParseCompletion } from './completions.js';
import type { Completion } from './completions.js';
import { safeParseHeaders } from './callerheaders.js';
import type { CallerHeaders } from './callerheaders.js';
import {
  listenHttp, readBody, sendJson, sendRefusal,
} from './http.js';
import type {
  HttpLimits, HttpListener, ListenError,
} from './http.js';
import { httpRefusalAnswer, refusalAnswer } from './refusals.js';
import type { RefusalAnswer } from './refusals.js';
import type { Clock, Log, Meter } from '../core/interfaces/index.js';
import { RanStatus, refusedCallRan } from '../core/refusals.js';
import type { Refusal } from '../core/refusals.js';
import type { Result } from '../core/result.js';
import { reportUnexpected } from '../core/unexpected.js';

/** Options of {@link listenCallers}; times in ms, sizes in bytes. */
export interface CallerOptions {
  /** IP address and port to listen on. */
  readonly address: string;
  readonly limits: HttpLimits;
  /** Size of an answer's unsent part from which reading from the engine pauses. */
  readonly writeBufferBytes: number;
  /** Time without reading after which a caller counts as disconnected. */
  readonly stallTimeoutMs: number;
  readonly clock: Clock;
  readonly log: Log;
  readonly meter: Meter;
}

/** Refusal of an interrupted answer. Once a token was delivered, the request has run, even if `refusal` says `no`. */
function interruptionRefusal(refusal: Refusal, delivered: boolean): RefusalAnswer {
  const ran = refusedCallRan(refusal);
  return refusalAnswer(refusal, delivered && ran === RanStatus.No ? RanStatus.Yes : ran);
}

type InterruptedEvent = Extract<AnswerEvent, { type: 'interrupted' }>;

/** HTTP endpoints for callers. */
class CallerEndpoints {
  public constructor(private readonly entry: EntryApi, private readonly opts: CallerOptions) {}

  public async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    // Closes persistent connections, so that callers do not stay on an entry that is stopping.
    if (!this.entry.ready()) res.setHeader('connection', 'close');
    const target = (req.url ?? '').split('?', 1)[0] ?? '';
    const call = /^\/v1\/call\/([a-z0-9-]{1,63})\/([a-z0-9-]{1,63})$/.exec(target);
    if (call?.[1] !== undefined && call[2] !== undefined) await this.callService(req, res, call[1], call[2]);
    else if (target === '/v1/completions') await this.generate(req, res, false);
    else if (target === '/v1/chat/completions') await this.generate(req, res, true);
    else if (target === '/v1/models') this.handleGet(req, res, () => this.sendModels(res));
    else if (target === '/address') this.handleGet(req, res, () => this.sendAddress(res));
    else if (target === '/ready') this.handleGet(req, res, () => this.sendReadiness(res));
    else sendRefusal(res, httpRefusalAnswer({ code: 'not_found', target: target.slice(0, 100) }));
  }

  private refuse(res: ServerResponse, answer: RefusalAnswer, requestId?: string): void {
    const { code, ran } = answer.body.error;
    this.opts.meter.count('caller_refusals', 1, { code, ran });
    this.opts.log.warn('refused', { request: requestId, code, ran });
    sendRefusal(res, answer);
  }

  private handleGet(req: IncomingMessage, res: ServerResponse, send: () => void): void {
    if (req.method === 'GET') send();
    else sendRefusal(res, httpRefusalAnswer({ code: 'method_not_allowed', allowed: 'GET' }));
  }

  private sendModels(res: ServerResponse): void {
    const data = this.entry.models().map((id) => ({
      id, object: 'model', created: 0, owned_by: 'catkinscale',
    }));
    sendJson(res, 200, { object: 'list', data });
  }

  private sendAddress(res: ServerResponse): void {
    const answer = this.entry.address();
    if (!answer.success) return this.refuse(res, refusalAnswer(answer.error));
    const { address, failureDomain, keepMs } = answer.data;
    const headers = { 'cache-control': `max-age=${Math.floor(keepMs / 1_000)}` };
    return sendJson(res, 200, { address, failure_domain: failureDomain, keep_ms: keepMs }, headers);
  }

  private sendReadiness(res: ServerResponse): void {
    const ready = this.entry.ready();
    sendJson(res, ready ? 200 : 503, { ready });
  }

  /** Validates headers and body of a POST. On invalid input it sends the refusal and resolves to `null`. */
  private async readPost(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<{ readonly headers: CallerHeaders; readonly body: string } | null> {
    if (req.method !== 'POST') {
      sendRefusal(res, httpRefusalAnswer({ code: 'method_not_allowed', allowed: 'POST' }));
      return null;
    }
    const headers = safeParseHeaders(req);
    const body = await readBody(req);
    if (!body.success) {
      if (body.error.code === 'not_utf8') {
        this.refuse(res, refusalAnswer({ code: 'invalid_request', path: 'body', expected: 'UTF-8 text' }));
      } else if (body.error.code !== 'aborted') this.refuse(res, httpRefusalAnswer(body.error));
      return null;
    }
    if (!headers.success) {
      this.refuse(res, refusalAnswer(headers.error));
      return null;
    }
    return { headers: headers.data, body: body.data };
  }

  private async callService(
    req: IncomingMessage,
    res: ServerResponse,
    service: string,
    operation: string,
  ): Promise<void> {
    const received = await this.readPost(req, res);
    if (received === null) return;
    const key = received.headers['idempotency-key'];
    const outcome = await this.entry.callService({
      workspace: received.headers['x-workspace'],
      service,
      operation,
      body: received.body,
      deadlineMs: received.headers['x-deadline-ms'],
      ...(key === undefined ? {} : { idempotencyKey: key }),
    });
    if (!outcome.success) {
      this.refuse(res, refusalAnswer(outcome.error));
      return;
    }
    const {
      requestId, status, body, repeated,
    } = outcome.data;
    const valid = Number.isInteger(status) && status >= 200 && status <= 599;
    res.writeHead(valid ? status : 502, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      'x-request-id': requestId,
      ...(repeated ? { 'x-repeated': 'true' } : {}),
    });
    res.end(body);
  }

  private async generate(req: IncomingMessage, res: ServerResponse, chat: boolean): Promise<void> {
    const started = this.opts.clock.monotonic();
    const received = await this.readPost(req, res);
    if (received === null) return;
    const completion = safeParseCompletion(chat, received.body);
    if (!completion.success) {
      this.refuse(res, refusalAnswer(completion.error));
      return;
    }
    const answer = await this.startAnswer(received.headers, completion.data);
    if (!answer.success) {
      this.refuse(res, refusalAnswer(answer.error));
      return;
    }
    const close = (): void => answer.data.close();
    res.on('close', close);
    if (res.destroyed) close();
    const writer = new CompletionWriter(completion.data, answer.data.requestId, this.opts.clock.now());
    if (completion.data.stream) await this.sendStream(res, answer.data, writer, started);
    else await this.sendWhole(res, answer.data, writer, started);
    res.off('close', close);
  }

  private startAnswer(headers: CallerHeaders, completion: Completion): Promise<Result<Answer, Refusal>> {
    const eventId = headers['last-event-id'];
    if (eventId !== undefined) return this.entry.resume(eventId);
    return this.entry.generate({
      workspace: headers['x-workspace'],
      model: completion.model,
      prompt: completion.prompt,
      kind: headers['x-kind'] ?? (completion.chat ? 'chat' : 'completion'),
      maxTokens: completion.maxTokens,
      priority: headers['x-priority'],
      deadlineMs: headers['x-deadline-ms'],
    });
  }

  /** Streams an answer. Headers are sent with the first event, so that an earlier failure gets its own status. */
  private async sendStream(
    res: ServerResponse,
    answer: Answer,
    writer: CompletionWriter,
    started: number,
  ): Promise<void> {
    let delivered = false;
    for await (const event of answer.events) {
      if (res.destroyed) break;
      if (event.type === 'interrupted') {
        this.sendInterruption(res, answer, event, delivered);
        return;
      }
      if (!res.headersSent) {
        this.opts.meter.record('caller_first_token_ms', this.opts.clock.monotonic() - started);
        res.writeHead(200, {
          'content-type': 'text/event-stream; charset=utf-8', 'cache-control': 'no-cache', 'x-request-id': answer.requestId,
        });
      }
      if (event.type === 'end') {
        this.opts.meter.count('caller_answers', 1, { form: 'stream' });
        res.end(writer.end(event));
        return;
      }
      delivered = true;
      if (!res.write(writer.token(event.eventId, event.text)) && !await this.waitForDrain(res)) break;
    }
    answer.close();
    res.destroy();
  }

  private sendInterruption(res: ServerResponse, answer: Answer, event: InterruptedEvent, delivered: boolean): void {
    const refusal = interruptionRefusal(event.refusal, delivered);
    if (!res.headersSent) {
      this.refuse(res, refusal, answer.requestId);
      return;
    }
    const { code, ran } = refusal.body.error;
    this.opts.meter.count('caller_interruptions', 1, { code, resumable: String(event.resumable) });
    this.opts.log.warn('interrupted', {
      request: answer.requestId, code, ran, resumable: event.resumable,
    });
    res.end(`data: ${JSON.stringify({ error: { ...refusal.body.error, resumable: event.resumable } })}\n\n`);
  }

  /** Waits until the write buffer is empty; false if the caller disconnects or stalls for `stallTimeoutMs`. */
  private async waitForDrain(res: ServerResponse): Promise<boolean> {
    const wait = new AbortController();
    const stallTimer = this.opts.clock.after(this.opts.stallTimeoutMs, () => wait.abort());
    const onClose = (): void => wait.abort();
    res.once('close', onClose);
    if (res.destroyed) onClose();
    try {
      await once(res, 'drain', { signal: wait.signal });
      return true;
    } catch {
      return false;
    } finally {
      stallTimer.dispose();
      res.off('close', onClose);
    }
  }

  /** Sends an answer as one body; after a resumable interruption, the text so far and the last event id. */
  private async sendWhole(
    res: ServerResponse,
    answer: Answer,
    writer: CompletionWriter,
    started: number,
  ): Promise<void> {
    const texts: string[] = [];
    let lastEventId: string | null = null;
    for await (const event of answer.events) {
      if (res.destroyed) break;
      if (event.type === 'token') {
        if (texts.length === 0) this.opts.meter.record('caller_first_token_ms', this.opts.clock.monotonic() - started);
        texts.push(event.text);
        lastEventId = event.eventId;
      } else if (event.type === 'end') {
        this.opts.meter.count('caller_answers', 1, { form: 'whole' });
        sendJson(res, 200, writer.whole(texts.join(''), event), { 'x-request-id': answer.requestId });
        return;
      } else {
        const { status, body } = interruptionRefusal(event.refusal, texts.length > 0);
        const resume = event.resumable && lastEventId !== null
          ? { resume: { last_event_id: lastEventId, text: texts.join('') } } : {};
        this.opts.log.warn('interrupted', {
          request: answer.requestId, code: body.error.code, ran: body.error.ran, resumable: event.resumable,
        });
        sendJson(res, status, { error: { ...body.error, ...resume } }, { 'x-request-id': answer.requestId });
        return;
      }
    }
    answer.close();
    res.destroy();
  }
}

/** Opens the HTTP listener for callers; fails if the address cannot be used. */
export function listenCallers(entry: EntryApi, opts: CallerOptions): Promise<Result<HttpListener, ListenError>> {
  const endpoints = new CallerEndpoints(entry, opts);
  return listenHttp(
    opts.address,
    (req, res) => endpoints.handle(req, res),
    opts.limits,
    { writeBufferBytes: opts.writeBufferBytes, onUnexpected: (err) => reportUnexpected(opts, 'caller', err) },
  );
}
