import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Answer, AnswerEvent, EntryApi } from './api.js';
import { CompletionWriter, safeParseCompletion } from './completions.js';
import type { Completion } from './completions.js';
import { safeParseHeaders } from './headers.js';
import type { CallerHeaders } from './headers.js';
import {
  listenHttp, readBody, sendJson, sendRefusal,
} from './http.js';
import type {
  HttpLimits, HttpListener, ListenError,
} from './http.js';
import { httpRefusalAnswer, refusalAnswer } from './refusals.js';
import type { RefusalAnswer } from './refusals.js';
import type { Clock, Log, Meter } from '../core/interfaces/index.js';
import { Ran, refusedCallRan } from '../core/refusals.js';
import type { Refusal } from '../core/refusals.js';
import type { Result } from '../core/result.js';

/** What the caller listener needs beside the entry; times in ms, sizes in bytes. */
export interface CallerOptions {
  /** IP address and port to listen on. */
  readonly address: string;
  readonly limits: HttpLimits;
  /** Unread answer text held for one caller. */
  readonly buffer: number;
  /** Time after which a caller that reads nothing counts as disconnected. */
  readonly stall: number;
  readonly clock: Clock;
  readonly log: Log;
  readonly meter: Meter;
}

/** An answer that stops after its first token has certainly run, whatever its refusal says of a new request. */
function interruptedAnswer(refusal: Refusal, delivered: boolean): RefusalAnswer {
  const ran = refusedCallRan(refusal);
  return refusalAnswer(refusal, delivered && ran === Ran.No ? Ran.Yes : ran);
}

type InterruptedEvent = Extract<AnswerEvent, { type: 'interrupted' }>;

/** Caller HTTP over one entry. */
class CallerSurface {
  public constructor(private readonly entry: EntryApi, private readonly opts: CallerOptions) {}

  public async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    // Callers that keep a connection open would otherwise stay with an entry that is stopping.
    if (!this.entry.ready()) res.setHeader('connection', 'close');
    const target = (req.url ?? '').split('?', 1)[0] ?? '';
    const call = /^\/v1\/call\/([a-z0-9-]{1,63})\/([a-z0-9-]{1,63})$/.exec(target);
    if (call?.[1] !== undefined && call[2] !== undefined) await this.callService(req, res, call[1], call[2]);
    else if (target === '/v1/completions') await this.generate(req, res, false);
    else if (target === '/v1/chat/completions') await this.generate(req, res, true);
    else if (target === '/v1/models') this.read(req, res, () => this.models(res));
    else if (target === '/address') this.read(req, res, () => this.address(res));
    else if (target === '/ready') this.read(req, res, () => this.ready(res));
    else sendRefusal(res, httpRefusalAnswer({ code: 'not_found', target: target.slice(0, 100) }));
  }

  private refuse(res: ServerResponse, answer: RefusalAnswer, requestId?: string): void {
    const { code, ran } = answer.body.error;
    this.opts.meter.count('caller_refusals', 1, { code, ran });
    this.opts.log.warn('refused', { request: requestId, code, ran });
    sendRefusal(res, answer);
  }

  private read(req: IncomingMessage, res: ServerResponse, send: () => void): void {
    if (req.method === 'GET') send();
    else sendRefusal(res, httpRefusalAnswer({ code: 'method_not_allowed', allowed: 'GET' }));
  }

  private models(res: ServerResponse): void {
    const data = this.entry.models().map((id) => ({
      id, object: 'model', created: 0, owned_by: 'catkinscale',
    }));
    sendJson(res, 200, { object: 'list', data });
  }

  private address(res: ServerResponse): void {
    const answer = this.entry.address();
    if (!answer.success) return this.refuse(res, refusalAnswer(answer.error));
    const { address, failureDomain, keepMs } = answer.data;
    const headers = { 'cache-control': `max-age=${Math.floor(keepMs / 1_000)}` };
    return sendJson(res, 200, { address, failure_domain: failureDomain, keep_ms: keepMs }, headers);
  }

  private ready(res: ServerResponse): void {
    const ready = this.entry.ready();
    sendJson(res, ready ? 200 : 503, { ready });
  }

  /** Headers and body of a POST; answers the request itself and gives `null` where they are not acceptable. */
  private async receive(
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
    const received = await this.receive(req, res);
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
    const received = await this.receive(req, res);
    if (received === null) return;
    const completion = safeParseCompletion(chat, received.body);
    if (!completion.success) {
      this.refuse(res, refusalAnswer(completion.error));
      return;
    }
    const answer = await this.open(received.headers, completion.data);
    if (!answer.success) {
      this.refuse(res, refusalAnswer(answer.error));
      return;
    }
    const close = (): void => answer.data.close();
    res.on('close', close);
    if (res.destroyed) close();
    const writer = new CompletionWriter(completion.data, answer.data.requestId, this.opts.clock.now());
    if (completion.data.stream) await this.stream(res, answer.data, writer, started);
    else await this.collect(res, answer.data, writer, started);
    res.off('close', close);
  }

  private open(headers: CallerHeaders, completion: Completion): Promise<Result<Answer, Refusal>> {
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

  /** Sends tokens as they arrive. The status waits for the first event, so that an early failure has its own. */
  private async stream(res: ServerResponse, answer: Answer, writer: CompletionWriter, started: number): Promise<void> {
    let delivered = false;
    for await (const event of answer.events) {
      if (res.destroyed) break;
      if (event.type === 'interrupted') {
        this.interrupt(res, answer, event, delivered);
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
      if (!res.write(writer.token(event.eventId, event.text)) && !await this.drained(res)) break;
    }
    answer.close();
    res.destroy();
  }

  private interrupt(res: ServerResponse, answer: Answer, event: InterruptedEvent, delivered: boolean): void {
    const refusal = interruptedAnswer(event.refusal, delivered);
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

  /** Waits until the caller has read what is buffered; false if it has gone or reads nothing for too long. */
  private async drained(res: ServerResponse): Promise<boolean> {
    const wait = new AbortController();
    const stalled = this.opts.clock.after(this.opts.stall, () => wait.abort());
    const gone = (): void => wait.abort();
    res.once('close', gone);
    if (res.destroyed) gone();
    try {
      await once(res, 'drain', { signal: wait.signal });
      return true;
    } catch {
      return false;
    } finally {
      stalled.dispose();
      res.off('close', gone);
    }
  }

  /** Gathers a whole answer; a resumable stop tells the caller the text so far and where to continue. */
  private async collect(res: ServerResponse, answer: Answer, writer: CompletionWriter, started: number): Promise<void> {
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
        const { status, body } = interruptedAnswer(event.refusal, texts.length > 0);
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

/** Opens the caller listener of an entry. */
export function listenCallers(entry: EntryApi, opts: CallerOptions): Promise<Result<HttpListener, ListenError>> {
  const surface = new CallerSurface(entry, opts);
  return listenHttp(opts.address, (req, res) => surface.handle(req, res), opts.limits, { buffer: opts.buffer });
}
