import { DecoratorHandler, Pool } from 'undici';
import type { Dispatcher } from 'undici';
import { fail, ok } from '../core/result.js';
import { openSocket } from './sockets.js';
import type { Result } from '../core/result.js';

/** Failure of an HTTP call; `sent: false` only where no byte of the request was written. */
export interface HttpFailure {
  readonly sent: boolean;
  readonly message: string;
}

/** Answer head and body stream of an HTTP call. */
export type HttpAnswer = Dispatcher.ResponseData;

/** Options of {@link HttpConnection.send}. */
export interface SendOptions {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Record<string, string>;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
  /** Evaluated in the same synchronous turn as the write of the request; false stops it. */
  readonly mayStillSend?: () => boolean;
  /** The body of the answer may take longer than the timeout, which then covers the head only. */
  readonly streaming?: boolean;
}

interface SendState {
  sent: boolean;
}

interface StartHandler {
  onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void;
}

type ForwardingHandler = new (handler: Dispatcher.DispatchHandler) => StartHandler;

// The declarations of undici leave out the methods that its decorator forwards.
const Forwarding = DecoratorHandler as unknown as ForwardingHandler;

class SendGuard extends Forwarding {
  public constructor(
    handler: Dispatcher.DispatchHandler,
    private readonly state: SendState,
    private readonly mayStillSend: () => boolean,
  ) {
    super(handler);
  }

  public override onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
    if (!this.mayStillSend()) {
      controller.abort(new Error('the sender may no longer send'));
      return;
    }
    this.state.sent = true;
    super.onRequestStart(controller, context);
  }
}

const KEEP_ALIVE_MS = 30_000;
const CONNECT_TIMEOUT_MS = 2_000;

/** Options of {@link HttpConnection}. */
export interface HttpConnectionOptions {
  /** Most connections; unlimited by default. */
  readonly connections?: number | null;
  readonly connectTimeoutMs?: number;
}

/** Connections to one address; knows of each call whether it was written. */
export class HttpConnection {
  private readonly pool: Pool;

  public constructor(
    address: string,
    { connections = null, connectTimeoutMs = CONNECT_TIMEOUT_MS }: HttpConnectionOptions = {},
  ) {
    this.pool = new Pool(`http://${address}`, {
      connections,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: (opts, callback) => {
        openSocket(opts.hostname, Number(opts.port), connectTimeoutMs, callback);
      },
      bodyTimeout: 0,
    });
  }

  /** Sends one request and waits for the head of the answer. */
  public async send(opts: SendOptions): Promise<Result<HttpAnswer, HttpFailure>> {
    const state: SendState = { sent: false };
    const guard = opts.mayStillSend ?? (() => true);
    const dispatcher = this.pool.compose((dispatch) => (options, handler) => (
      dispatch(options, new SendGuard(handler, state, guard))
    ));
    // Timers of Node.js take whole milliseconds; remaining deadlines are fractions.
    const timeoutMs = Math.max(1, Math.ceil(opts.timeoutMs));
    const timeout = AbortSignal.timeout(timeoutMs);
    const signals = [
      ...(opts.signal === undefined ? [] : [opts.signal]),
      ...(opts.streaming === true ? [] : [timeout]),
    ];
    try {
      const answer = await dispatcher.request({
        method: opts.method,
        path: opts.path,
        headersTimeout: timeoutMs,
        ...(signals.length === 0 ? {} : { signal: AbortSignal.any(signals) }),
        ...(opts.body === undefined ? {} : { body: JSON.stringify(opts.body) }),
        headers: { ...(opts.body === undefined ? {} : { 'content-type': 'application/json' }), ...opts.headers },
      });
      return ok(answer);
    } catch (err) {
      return fail({ sent: state.sent, message: err instanceof Error ? err.message : String(err) });
    }
  }

  /** Sends one request and reads a JSON answer of any status. */
  public async json(opts: SendOptions): Promise<Result<{ status: number; body: unknown }, HttpFailure>> {
    const answer = await this.send(opts);
    if (!answer.success) return answer;
    try {
      const text = await answer.data.body.text();
      return ok({ status: answer.data.statusCode, body: text === '' ? undefined : JSON.parse(text) });
    } catch (err) {
      return fail({ sent: true, message: err instanceof Error ? err.message : String(err) });
    }
  }

  public close(): Promise<void> {
    return this.pool.destroy();
  }
}

/** Text of an answer's body as it arrives; characters that are split between chunks are joined. */
export async function* readText(answer: HttpAnswer): AsyncIterable<string> {
  const decoder = new TextDecoder();
  for await (const chunk of answer.body) yield decoder.decode(chunk as Buffer, { stream: true });
}
